"""An in-memory platform store with its own clock and injected faults."""

from hibiscuspin.edges import StoreEntry, StoreError

__all__ = ["FakeClock", "FakeStore", "StoreConnection"]

CALL_S = 0.003


class FakeClock:
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        """Returns the test's time."""
        return self.now

    def wall(self) -> float:
        """Returns the test's time."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Advances the test's time."""
        self.now += seconds


class FakeStore:
    """The keys and leases that all instances share.

    Attributes:
        faults: The active faults: `outage`, `slow` or `skipped_watch`.
        replies_to_lose: How many of the next replies get lost.
    """

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.faults: set[str] = set()
        self.replies_to_lose = 0
        self._revision = 0
        self._entry_by_key: dict[str, StoreEntry] = {}
        self._expires_at_by_lease: dict[str, float] = {}

    def write(self, key: str, value: bytes, lease: str) -> int:
        """Writes a key without a condition and returns its revision."""
        self._revision += 1
        self._entry_by_key[key] = StoreEntry(
            key, value, self._revision, lease=lease
        )
        return self._revision

    def read(self, key: str) -> StoreEntry | None:
        """Ends expired leases, then reads a key."""
        self._expire()
        return self._entry_by_key.get(key)

    def entries(self, prefix: str) -> list[StoreEntry]:
        """Ends expired leases, then reads all keys under a prefix."""
        self._expire()
        return [
            e for k, e in self._entry_by_key.items() if k.startswith(prefix)
        ]

    def delete(self, key: str) -> None:
        """Deletes a key."""
        del self._entry_by_key[key]

    def extend_lease(self, lease: str, ttl_s: float) -> None:
        """Creates or extends a lease that expires `ttl_s` from now."""
        self._expires_at_by_lease[lease] = self.clock.now + ttl_s

    def is_live(self, lease: str) -> bool:
        """Returns whether a lease has not expired."""
        self._expire()
        return lease in self._expires_at_by_lease

    def end_lease(self, lease: str) -> None:
        """Ends a lease and releases its keys."""
        self._expires_at_by_lease.pop(lease, None)
        for key, entry in self._entry_by_key.items():
            if entry.lease == lease:
                self._revision += 1
                self._entry_by_key[key] = entry._replace(
                    lease="", revision=self._revision
                )

    def _expire(self) -> None:
        for lease, expires_at in list(self._expires_at_by_lease.items()):
            if expires_at <= self.clock.now:
                self.end_lease(lease)


class StoreConnection:
    """A `PlatformStore`: one instance's connection to the store."""

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self._lease_count = 0
        self.cut = False

    def get(self, key: str, deadline: float) -> StoreEntry | None:
        """Reads one key."""
        self._send(deadline)
        return self._store.read(key)

    def list_prefix(self, prefix: str, deadline: float) -> list[StoreEntry]:
        """Reads all keys under a prefix."""
        self._send(deadline)
        return self._store.entries(prefix)

    def watch(
        self, key: str, revision: int, wait_s: float, deadline: float
    ) -> StoreEntry | None:
        """Returns the key, after `wait_s` with the fault `skipped_watch`."""
        self._send(deadline)
        if "skipped_watch" in self._store.faults:
            self._store.clock.sleep(wait_s)
        return self._store.read(key)

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        """Writes a key if its revision matches; 0 stands for an absent key."""
        self._send(deadline)
        entry = self._store.read(key)
        if (entry.revision if entry else 0) != revision:
            return self._reply(None, deadline)
        return self._reply(self._store.write(key, value, ""), deadline)

    def acquire(
        self, key: str, value: bytes, lease: str, deadline: float
    ) -> int | None:
        """Acquires a key for a lease, unless another lease has it."""
        self._send(deadline)
        entry = self._store.read(key)
        is_taken = entry is not None and entry.lease not in ("", lease)
        if is_taken or not self._store.is_live(lease):
            return self._reply(None, deadline)
        return self._reply(self._store.write(key, value, lease), deadline)

    def release(self, key: str, lease: str, deadline: float) -> bool:
        """Fails: no test releases a key."""
        raise NotImplementedError

    def delete(self, key: str, revision: int, deadline: float) -> bool:
        """Deletes a key if its revision matches."""
        self._send(deadline)
        entry = self._store.read(key)
        if entry is None or entry.revision != revision:
            return False
        self._store.delete(key)
        return True

    def grant_lease(self, ttl_s: float, deadline: float) -> str:
        """Creates a lease."""
        self._send(deadline)
        self._lease_count += 1
        lease = f"{id(self)}-{self._lease_count}"
        self._store.extend_lease(lease, ttl_s)
        self._ttl_s = ttl_s
        self._reply(None, deadline)
        return lease

    def renew_lease(self, lease: str, deadline: float) -> bool:
        """Renews a lease; returns False if it has expired."""
        self._send(deadline)
        if not self._store.is_live(lease):
            return False
        self._store.extend_lease(lease, self._ttl_s)
        self._reply(None, deadline)
        return True

    def revoke_lease(self, lease: str, deadline: float) -> None:
        """Ends a lease and releases its keys."""
        self._send(deadline)
        self._store.end_lease(lease)

    def abort(self) -> None:
        """Does nothing: no call blocks."""

    def _send(self, deadline: float) -> None:
        clock, faults = self._store.clock, self._store.faults
        if self.cut or "outage" in faults:
            clock.now = max(clock.now, deadline)
            raise StoreError("no connection", False)
        clock.sleep(CALL_S)
        if "slow" in faults:
            clock.sleep(1.0)

    def _reply(self, result: int | None, deadline: float) -> int | None:
        clock = self._store.clock
        if self._store.replies_to_lose:
            self._store.replies_to_lose -= 1
            clock.now = max(clock.now, deadline)
        if clock.now >= deadline:
            raise StoreError("no reply", None)
        return result
