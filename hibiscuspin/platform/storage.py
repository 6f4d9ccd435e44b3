"""The program of storage machines: it keeps nothing and waits for its end.

Machines with disks must run a role; what lasts is in the platform's store.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.sigwait({signal.SIGTERM, signal.SIGINT})
