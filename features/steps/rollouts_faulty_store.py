"""A platform store in memory whose writes can fail, get lost or come late."""

import threading

from hibiscuspin.edges import StoreEntry, StoreError

__all__ = ["FaultyStore"]


class FaultyStore:
    """Keys with revisions; `fault` applies to the next call only.

    Faults: `down` fails before the effect, `lost` after it, `late` fails and
    takes effect at `apply_late`, if the revision still fits then.
    """

    def __init__(self) -> None:
        self.fault = ""
        self._lock = threading.Lock()
        self._revision = 0
        self._entries_by_key: dict[str, StoreEntry] = {}
        self._late: list[tuple[str, bytes, int]] = []

    def get(self, key: str, deadline: float) -> StoreEntry | None:
        """Reads a key."""
        self._fail_read()
        return self._entries_by_key.get(key)

    def list_prefix(self, prefix: str, deadline: float) -> list[StoreEntry]:
        """Reads keys."""
        self._fail_read()
        return [
            entry
            for key, entry in sorted(self._entries_by_key.items())
            if key.startswith(prefix)
        ]

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        """Writes a key, or shows the fault."""
        fault, self.fault = self.fault, ""
        if fault == "down":
            raise StoreError("down", None)
        if fault == "late":
            self._late.append((key, value, revision))
            raise StoreError("late", None)
        made = self._write(key, value, revision)
        if fault == "lost":
            raise StoreError("lost", None)
        return made

    def delete(self, key: str, revision: int, deadline: float) -> bool:
        """Deletes a key."""
        self._fail_read()
        held = self._entries_by_key.get(key)
        if held is None or held.revision != revision:
            return False
        del self._entries_by_key[key]
        return True

    def apply_late(self) -> None:
        """Lets the delayed writes take effect."""
        late, self._late = self._late, []
        for key, value, revision in late:
            self._write(key, value, revision)

    def _write(self, key: str, value: bytes, revision: int) -> int | None:
        held = self._entries_by_key.get(key)
        if (held.revision if held else 0) != revision:
            return None
        self._revision += 1
        self._entries_by_key[key] = StoreEntry(key, value, self._revision)
        return self._revision

    def _fail_read(self) -> None:
        if self.fault == "down":
            self.fault = ""
            raise StoreError("down", None)
