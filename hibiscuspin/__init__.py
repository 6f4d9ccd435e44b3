"""A rollout service for reinforcement learning.

The package serves live requests and rollouts from a shared pool of engines.
`daemon.Daemon` runs one instance, `Settings` holds the settings of a process,
and every failure that a caller sees is raised as a `HibiscusError`.
"""

from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.settings import Settings

__all__ = [
    "ErrorKind",
    "HibiscusError",
    "ExecutionStatus",
    "Settings",
    "__version__",
]

__version__ = "0.1.0"
