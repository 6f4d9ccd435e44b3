"""Runs one instance on the platform: `python3 -m hibiscuspin.platform`."""

import os
import pathlib
import signal
import sys
import threading

from hibiscuspin import logs
from hibiscuspin.memory import return_freed_memory
from hibiscuspin.platform import words
from hibiscuspin.platform.app import EdgeInstance
from hibiscuspin.settings import SettingsError, exit_with_problems

__all__ = ["main"]

PROGRAM = "hibiscuspin.platform"
# The settings file may change without a SIGHUP.
CHANGE_POLL_S = 1.0


def main() -> None:
    """Runs until SIGTERM; reloads settings on SIGHUP or a file change."""
    return_freed_memory()
    path = pathlib.Path(os.environ.get(words.BOOT_VARIABLE, ""))
    try:
        instance = EdgeInstance.from_file(path)
    except SettingsError as error:
        exit_with_problems(PROGRAM, error.problems)
    logs.configure("INFO", instance.settings.instance, sys.stdout)
    stop = threading.Event()
    reload_requested = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    signal.signal(signal.SIGHUP, lambda *_: reload_requested.set())
    instance.start()
    modified = _modified_at(path)
    while not stop.wait(CHANGE_POLL_S):
        if reload_requested.is_set() or _modified_at(path) != modified:
            reload_requested.clear()
            modified = _modified_at(path)
            instance.reload()
    instance.stop()


def _modified_at(path: pathlib.Path) -> float:
    try:
        return path.stat().st_mtime
    except OSError:
        return 0.0


if __name__ == "__main__":
    main()
