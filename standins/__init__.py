"""Stand-ins for the systems around hibiscuspin, for tests and the demo.

A stand-in is run as `python -m standins.NAME --address HOST:PORT`. Faults are
injected with `PUT /faults`. None of this is part of the installed package.
"""
