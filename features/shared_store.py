"""A platform store in memory, with a clock and faults of its own."""

from hibiscuspin.edges import StoreEntry, StoreError

__all__ = ["FakeClock", "FakeStore", "StoreView"]

CALL_S = 0.003


class FakeClock:
    """Time that only tests move."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        """Returns the test's time."""
        return self.now

    def wall(self) -> float:
        """Returns the test's time."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Moves the test's time on."""
        self.now += seconds


class FakeStore:
    """Keys and leases; `faults` names what goes wrong now."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.faults: set[str] = set()
        self.lose_answers = 0
        self._index = 0
        self._by_key: dict[str, StoreEntry] = {}
        self._ends_by_lease: dict[str, float] = {}

    def write(self, key: str, value: bytes, lease: str) -> int:
        """Writes a key without a condition and returns its revision."""
        self._index += 1
        self._by_key[key] = StoreEntry(key, value, self._index, lease=lease)
        return self._index

    def read(self, key: str) -> StoreEntry | None:
        """Reads a key, after leases that have lapsed are ended."""
        self._expire()
        return self._by_key.get(key)

    def keys(self, prefix: str) -> list[StoreEntry]:
        """Reads all keys under a prefix."""
        self._expire()
        return [e for k, e in self._by_key.items() if k.startswith(prefix)]

    def remove(self, key: str) -> None:
        """Deletes a key."""
        del self._by_key[key]

    def extend(self, lease: str, ttl_s: float) -> None:
        """Sets the end of a lease, counted from now."""
        self._ends_by_lease[lease] = self.clock.now + ttl_s

    def live(self, lease: str) -> bool:
        """Tells whether a lease has not ended."""
        self._expire()
        return lease in self._ends_by_lease

    def end(self, lease: str) -> None:
        """Ends a lease and frees its keys."""
        self._ends_by_lease.pop(lease, None)
        for key, entry in self._by_key.items():
            if entry.lease == lease:
                self._index += 1
                self._by_key[key] = entry._replace(
                    lease="", revision=self._index
                )

    def _expire(self) -> None:
        for lease, end in list(self._ends_by_lease.items()):
            if end <= self.clock.now:
                self.end(lease)


class StoreView:
    """The store as one instance reaches it; a `PlatformStore`."""

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self._leases = 0
        self.cut = False

    def get(self, key: str, deadline: float) -> StoreEntry | None:
        """Reads one key."""
        self._send(deadline)
        return self._store.read(key)

    def list_prefix(self, prefix: str, deadline: float) -> list[StoreEntry]:
        """Reads all keys under a prefix."""
        self._send(deadline)
        return self._store.keys(prefix)

    def watch(
        self, key: str, revision: int, wait_s: float, deadline: float
    ) -> StoreEntry | None:
        """Returns the key at once, or what a skipped watch shows."""
        self._send(deadline)
        if "skipped_watch" in self._store.faults:
            self._store.clock.sleep(wait_s)
        return self._store.read(key)

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        """Writes a key if its revision is as given; 0 means absent."""
        self._send(deadline)
        held = self._store.read(key)
        if (held.revision if held else 0) != revision:
            return self._answer(None, deadline)
        return self._answer(self._store.write(key, value, ""), deadline)

    def acquire(
        self, key: str, value: bytes, lease: str, deadline: float
    ) -> int | None:
        """Takes a key for a lease."""
        self._send(deadline)
        held = self._store.read(key)
        taken = held is not None and held.lease not in ("", lease)
        if taken or not self._store.live(lease):
            return self._answer(None, deadline)
        return self._answer(self._store.write(key, value, lease), deadline)

    def release(self, key: str, lease: str, deadline: float) -> bool:
        """Gives a key back; the tests need none."""
        raise NotImplementedError

    def delete(self, key: str, revision: int, deadline: float) -> bool:
        """Deletes a key if its revision is as given."""
        self._send(deadline)
        held = self._store.read(key)
        if held is None or held.revision != revision:
            return False
        self._store.remove(key)
        return True

    def grant_lease(self, ttl_s: float, deadline: float) -> str:
        """Creates a lease."""
        self._send(deadline)
        self._leases += 1
        lease = f"{id(self)}-{self._leases}"
        self._store.extend(lease, ttl_s)
        self._ttl_s = ttl_s
        self._answer(None, deadline)
        return lease

    def renew_lease(self, lease: str, deadline: float) -> bool:
        """Renews a lease; returns False where it has lapsed."""
        self._send(deadline)
        if not self._store.live(lease):
            return False
        self._store.extend(lease, self._ttl_s)
        self._answer(None, deadline)
        return True

    def revoke_lease(self, lease: str, deadline: float) -> None:
        """Ends a lease and frees its keys."""
        self._send(deadline)
        self._store.end(lease)

    def abort(self) -> None:
        """Does nothing: no call waits."""

    def _send(self, deadline: float) -> None:
        clock, faults = self._store.clock, self._store.faults
        if self.cut or "outage" in faults:
            clock.now = max(clock.now, deadline)
            raise StoreError("no connection", False)
        clock.sleep(CALL_S)
        if "slow" in faults:
            clock.sleep(1.0)

    def _answer(self, result: int | None, deadline: float) -> int | None:
        clock = self._store.clock
        if self._store.lose_answers:
            self._store.lose_answers -= 1
            clock.now = max(clock.now, deadline)
        if clock.now >= deadline:
            raise StoreError("no answer", None)
        return result
