"""Pure decision functions without I/O, threads, clocks or logging.

A decision takes its state, an event and the current time, and returns the new
state and the commands to execute. Randomness is passed in as a seeded
generator.
"""
