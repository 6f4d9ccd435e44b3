"""Previous configurations, stored for rollbacks.

The document that a change replaces is stored before the change is written,
so that the history has no gaps. Only the newest documents are retained.
"""

from typing import NamedTuple

import msgspec

from hibiscuspin.config import Document
from hibiscuspin.config.document import StoredDocument
from hibiscuspin.edges import PlatformStore, StoreEntry
from hibiscuspin.errors import ErrorKind, HibiscusError

__all__ = ["ConfigHistory", "HistoryEntry"]

HISTORY_PREFIX = "hibiscuspin/config-history/"
MAX_HISTORY_LENGTH = 10


class HistoryEntry(NamedTuple):
    """A previous configuration, without its content."""

    revision: int
    change_id: str
    author: str


class ConfigHistory:
    """The most recent previous configurations."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    def add(self, entry: StoreEntry, deadline: float) -> None:
        """Adds the document that is being replaced; deletes the oldest.

        Raises:
            StoreError: The store did not respond.
        """
        key = f"{HISTORY_PREFIX}{entry.revision}"
        self._store.compare_and_swap(key, entry.value, 0, deadline)
        entries = self._entries(deadline)
        for old in entries[:-MAX_HISTORY_LENGTH]:
            self._store.delete(old.key, old.revision, deadline)

    def all(self, deadline: float) -> list[HistoryEntry]:
        """Returns the previous configurations, oldest first."""
        history = []
        for entry in self._entries(deadline):
            stored = msgspec.json.decode(entry.value, type=StoredDocument)
            history.append(
                HistoryEntry(
                    _revision_number(entry),
                    stored["change_id"],
                    stored["author"],
                )
            )
        return history

    def get(self, revision: int, deadline: float) -> Document:
        """Returns a previous configuration.

        Raises:
            HibiscusError: The revision is not in the history.
        """
        entry = self._store.get(f"{HISTORY_PREFIX}{revision}", deadline)
        if entry is None:
            raise HibiscusError(
                ErrorKind.NOT_FOUND,
                f"Revision {revision} is not in the history.",
            )
        return Document.from_stored(revision, entry.value)

    def revision_of(self, change_id: str, deadline: float) -> int | None:
        """Returns the revision of a change, or None if it is not stored."""
        for entry in self.all(deadline):
            if entry.change_id == change_id:
                return entry.revision
        return None

    def _entries(self, deadline: float) -> list[StoreEntry]:
        entries = self._store.list_prefix(HISTORY_PREFIX, deadline)
        return sorted(entries, key=_revision_number)


def _revision_number(entry: StoreEntry) -> int:
    return int(entry.key.removeprefix(HISTORY_PREFIX))
