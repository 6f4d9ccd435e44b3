"""Watches the store's configuration key on behalf of a data centre.

Rendezvous hashing selects a few watchers among the live instances of each
data centre; the others receive updates from their peers. An instance without
any configuration polls the store itself.
"""

import random
import threading
from collections.abc import Callable

from hibiscuspin.clock import Clock
from hibiscuspin.config import Document
from hibiscuspin.edges import PlatformStore, StoreError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.hub import PeerRecord
from hibiscuspin.rendezvous import rank
from hibiscuspin.tasks.configuration import CONFIG_KEY, Configuration

__all__ = ["ConfigWatcher"]

WATCHERS_PER_DATA_CENTRE = 2
WATCH_TIMEOUT_S = 4.0
RESPONSE_GRACE_S = 1.0
RETRY_S = 0.5
SELECTION_CHECK_S = 1.0
WATCHER_KEY = "config-watcher"

_log = get_logger("config")


class ConfigWatcher:
    """Watches the key while selected; a task with its own store client."""

    name = "config-watcher"

    def __init__(
        self,
        instance: str,
        data_centre: str,
        configuration: Configuration,
        store: PlatformStore,
        instances: Callable[[], list[PeerRecord]],
        clock: Clock,
        draw: random.Random,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._configuration = configuration
        self._store = store
        self._instances = instances
        self._clock = clock
        self._draw = draw

    def interrupt(self) -> None:
        """Aborts the pending watch."""
        self._store.abort()

    def run(self, stop: threading.Event) -> None:
        """Watches until `stop` is set."""
        self._configuration.load_local_copy()
        while not stop.is_set():
            if self._configuration.revision and not self._is_selected():
                stop.wait(SELECTION_CHECK_S)
                continue
            try:
                key_exists = self._watch()
            except StoreError:
                _log.warning(
                    "The store did not respond to the configuration watch."
                )
                key_exists = False
            if not key_exists:
                stop.wait(RETRY_S * self._draw.uniform(0.5, 1.5))

    def _is_selected(self) -> bool:
        names = [
            record.name
            for record in self._instances()
            if record.data_centre == self._data_centre
            and record.state == "alive"
        ]
        return (
            self._instance
            in rank(WATCHER_KEY, names)[:WATCHERS_PER_DATA_CENTRE]
        )

    def _watch(self) -> bool:
        """Waits for a newer document; returns whether the key exists.

        The wait is short, so that a watch that the store fails to wake still
        ends soon; its response carries the current document.
        """
        known_revision = self._configuration.revision
        wait_s = WATCH_TIMEOUT_S if known_revision else 0.0
        deadline = self._clock.monotonic() + wait_s + RESPONSE_GRACE_S
        entry = self._store.watch(CONFIG_KEY, known_revision, wait_s, deadline)
        if entry is None:
            return False
        document = Document.from_stored(entry.revision, entry.value)
        self._configuration.offer(document)
        return True
