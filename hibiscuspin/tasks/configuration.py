"""The configuration in force on this instance, and changes to it."""

import pathlib
import secrets
import threading
import time
from collections.abc import Callable

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.config import Config, Document
from hibiscuspin.config.document import StoredDocument
from hibiscuspin.decisions import configuration as decision
from hibiscuspin.edges import PlatformStore, StoreError
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.config_history import ConfigHistory, HistoryEntry

__all__ = ["CONFIG_KEY", "Configuration"]

CONFIG_KEY = "hibiscuspin/config"
LOCAL_COPY_NAME = "config.json"
APPLY_TIMEOUT_S = 8.0
APPLY_ATTEMPTS = 5
RETRY_S = 0.2

Listener = Callable[[Document], None]

_log = get_logger("config")


class Configuration:
    """The document in force on this instance; thread-safe."""

    def __init__(
        self,
        store: PlatformStore,
        clock: Clock,
        folder: pathlib.Path | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._sleep = sleep
        self._store = store
        self._history = ConfigHistory(store)
        self._local_copy = folder / LOCAL_COPY_NAME if folder else None
        self._clock = clock
        self._lock = threading.Lock()
        self._state = decision.ConfigState()
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` with each document that comes into force."""
        self._listeners.append(listener)

    @property
    def revision(self) -> int:
        """The revision in force, or 0."""
        return self._state.revision

    def document(self) -> Document:
        """Returns the document in force.

        Raises:
            HibiscusError: The instance has no configuration yet.
        """
        document = self._state.document
        if document is None:
            raise HibiscusError(
                ErrorKind.NOT_CONFIGURED,
                "This instance has no configuration yet.",
            )
        return document

    def config(self) -> Config:
        """Returns the configuration in force."""
        return self.document().config

    def offer(self, document: Document) -> bool:
        """Puts a document in force if it is newer; returns whether it was."""
        with self._lock:
            self._state, accepted = decision.apply_if_newer(
                self._state, document
            )
            if accepted:
                self._save_local_copy(document)
        if accepted:
            _log.info(
                "Configuration in force.",
                extra={"revision": document.revision.number},
            )
            for listener in self._listeners:
                listener(document)
        return accepted

    def load_local_copy(self) -> None:
        """Loads the local copy from the data folder, if there is one."""
        if self._local_copy is None or not self._local_copy.exists():
            return
        try:
            self.offer(Document.decode(self._local_copy.read_bytes()))
        except (OSError, msgspec.MsgspecError):
            _log.warning("The local copy of the configuration can't be read.")

    def history(self) -> list[HistoryEntry]:
        """Returns the previous configurations, oldest first.

        Raises:
            HibiscusError: The store is unavailable.
        """
        deadline = self._clock.monotonic() + APPLY_TIMEOUT_S
        try:
            return self._history.all(deadline)
        except StoreError as error:
            raise _store_unavailable(ExecutionStatus.NO) from error

    def roll_back(self, revision: int, author: str) -> Document:
        """Applies a previous configuration again, as a new revision.

        Raises:
            HibiscusError: The revision is not in the history, another change
                was written first, or the store is unavailable.
        """
        expected_revision = self.revision
        deadline = self._clock.monotonic() + APPLY_TIMEOUT_S
        try:
            earlier = self._history.get(revision, deadline)
        except StoreError as error:
            raise _store_unavailable(ExecutionStatus.NO) from error
        return self.apply(earlier.config, author, expected_revision)

    def apply(
        self, config: Config, author: str, expected_revision: int
    ) -> Document:
        """Writes a configuration over the revision that the operator has read.

        Raises:
            HibiscusError: Another change was written first, or the store is
                unavailable.
        """
        change_id = secrets.token_hex(8)
        stored: StoredDocument = {
            "change_id": change_id,
            "author": author,
            "config": config,
        }
        value = msgspec.json.encode(stored)
        deadline = self._clock.monotonic() + APPLY_TIMEOUT_S
        revision = self._write_until_deadline(
            value, expected_revision, change_id, deadline
        )
        document = Document.from_stored(revision, value)
        self.offer(document)
        return document

    def _write_until_deadline(
        self,
        value: bytes,
        expected_revision: int,
        change_id: str,
        deadline: float,
    ) -> int:
        """Retries the write until the store responds or the deadline passes.

        If a response was lost, the retry may be refused because this change
        itself was already written.
        """
        attempt_s = APPLY_TIMEOUT_S / APPLY_ATTEMPTS
        ran = ExecutionStatus.NO
        while True:
            end = min(deadline, self._clock.monotonic() + attempt_s)
            try:
                self._add_replaced_to_history(expected_revision, end)
                revision = self._store.compare_and_swap(
                    CONFIG_KEY, value, expected_revision, end
                )
                if revision is not None:
                    return revision
                return self._find_own_revision(change_id, end, ran)
            except StoreError as error:
                if error.applied is not False:
                    ran = ExecutionStatus.UNKNOWN
                remaining_s = deadline - self._clock.monotonic()
                if remaining_s <= RETRY_S:
                    raise _store_unavailable(ran) from error
            self._sleep(RETRY_S)

    def _add_replaced_to_history(
        self, expected_revision: int, deadline: float
    ) -> None:
        """Adds the document that a change will replace to the history."""
        entry = (
            self._store.get(CONFIG_KEY, deadline) if expected_revision else None
        )
        if entry is not None and entry.revision == expected_revision:
            self._history.add(entry, deadline)

    def _find_own_revision(
        self, change_id: str, deadline: float, ran: ExecutionStatus
    ) -> int:
        """Returns the revision that an earlier attempt wrote.

        After a refused write, this distinguishes a lost response from a lost
        race.

        Raises:
            HibiscusError: Another change was written first.
        """
        entry = self._store.get(CONFIG_KEY, deadline)
        if entry is not None:
            document = Document.from_stored(entry.revision, entry.value)
            if document.revision.change_id == change_id:
                return entry.revision
        replaced_revision = self._history.revision_of(change_id, deadline)
        if replaced_revision is not None:
            return replaced_revision
        raise HibiscusError(
            ErrorKind.CONFIG_CONFLICT,
            "Another change was written first; read the configuration again.",
            ran,
        )

    def _save_local_copy(self, document: Document) -> None:
        """Replaces the copy atomically, so that a crash leaves the old one."""
        if self._local_copy is None:
            return
        new_copy = self._local_copy.with_suffix(".new")
        try:
            new_copy.write_bytes(document.encode())
            new_copy.replace(self._local_copy)
        except OSError:
            _log.warning(
                "The local copy of the configuration can't be written."
            )


def _store_unavailable(ran: ExecutionStatus) -> HibiscusError:
    return HibiscusError(
        ErrorKind.STORE_UNAVAILABLE, "The store did not respond.", ran
    )
