"""An in-memory platform store whose writes can fail, get lost or be delayed."""

import threading

from hibiscuspin.edges import StoreEntry, StoreError

__all__ = ["FaultyStore"]


class FaultyStore:
    """Keys with revisions; each `fault` applies once.

    With the fault `down`, the next call fails without effect, and with
    `refused` it is refused. The other faults apply to the next
    `compare_and_swap`: with `lost`, it fails after its effect; with `late`, it
    fails and takes effect only at `apply_delayed`, if the revision still
    matches then; with `late and refused`, the call after it is refused too.
    """

    def __init__(self) -> None:
        self.fault = ""
        self._lock = threading.Lock()
        self._revision = 0
        self._entries_by_key: dict[str, StoreEntry] = {}
        self._delayed_writes: list[tuple[str, bytes, int]] = []

    def get(self, key: str, deadline: float) -> StoreEntry | None:
        """Reads a key."""
        self._raise_if_down()
        return self._entries_by_key.get(key)

    def list_prefix(self, prefix: str, deadline: float) -> list[StoreEntry]:
        """Reads all keys under a prefix."""
        self._raise_if_down()
        return [
            entry
            for key, entry in sorted(self._entries_by_key.items())
            if key.startswith(prefix)
        ]

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        """Writes a key if its revision matches, or fails by the set fault."""
        fault, self.fault = self.fault, ""
        if fault == "down":
            raise StoreError("store is down", None)
        if fault == "refused":
            raise StoreError("write refused", False)
        if fault.startswith("late"):
            self.fault = fault.removeprefix("late").removeprefix(" and ")
            self._delayed_writes.append((key, value, revision))
            raise StoreError("write delayed", None)
        new_revision = self._write(key, value, revision)
        if fault == "lost":
            raise StoreError("reply lost", None)
        return new_revision

    def delete(self, key: str, revision: int, deadline: float) -> bool:
        """Deletes a key if its revision matches."""
        self._raise_if_down()
        entry = self._entries_by_key.get(key)
        if entry is None or entry.revision != revision:
            return False
        del self._entries_by_key[key]
        return True

    def apply_delayed(self) -> None:
        """Applies the delayed writes."""
        delayed, self._delayed_writes = self._delayed_writes, []
        for key, value, revision in delayed:
            self._write(key, value, revision)

    def _write(self, key: str, value: bytes, revision: int) -> int | None:
        entry = self._entries_by_key.get(key)
        if (entry.revision if entry else 0) != revision:
            return None
        self._revision += 1
        self._entries_by_key[key] = StoreEntry(key, value, self._revision)
        return self._revision

    def _raise_if_down(self) -> None:
        if self.fault in ("down", "refused"):
            applied = None if self.fault == "down" else False
            self.fault = ""
            raise StoreError("store is down", applied)
