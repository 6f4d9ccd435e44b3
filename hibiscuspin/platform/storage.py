"""The program of storage machines: it stores nothing and waits for SIGTERM.

The platform requires machines with disks to run a program, but all persistent
data is in the platform's store.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.sigwait({signal.SIGTERM, signal.SIGINT})
