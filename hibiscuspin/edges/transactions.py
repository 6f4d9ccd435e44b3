"""A key-value service with transactions, leases and watches of prefixes.

Instances without local storage use `TransactionStore`; the platform adapter
implements it. All deadlines are in seconds on the monotonic clock.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

import msgspec

from hibiscuspin.edges import StoreError

__all__ = [
    "KeyChange",
    "CommitResult",
    "CommitConflict",
    "LeaseGrant",
    "HistoryLostError",
    "LeaseLostError",
    "PutOperation",
    "STORED_VALUE_ERRORS",
    "ScanResult",
    "StoredValue",
    "Transaction",
    "TransactionStore",
    "WatchResult",
]


# Raised by decoding a stored value that is malformed or nested too deeply.
STORED_VALUE_ERRORS = (msgspec.DecodeError, RecursionError)


class HistoryLostError(StoreError):
    """The store has discarded changes that a watch requested."""


class LeaseLostError(StoreError):
    """A lease has expired or was revoked; the call had no effect."""


class StoredValue(NamedTuple):
    """One key and its value, as read from the store.

    Attributes:
        key: The key.
        value: The value.
        revision: The store's revision at the last change of the key.
        created: The store's revision at the creation of the key.
        lease: The lease with which the key expires, 0 for none.
    """

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0


class ScanResult(NamedTuple):
    """All keys under a prefix, and the store's revision at the read."""

    values: tuple[StoredValue, ...]
    revision: int


class KeyChange(NamedTuple):
    """One changed key under a watched prefix; `value` is None if deleted."""

    key: str
    revision: int
    value: StoredValue | None


class WatchResult(NamedTuple):
    """Changes in order, and the revision from which to continue the watch."""

    changes: tuple[KeyChange, ...]
    revision: int


class PutOperation(NamedTuple):
    """One key to write."""

    key: str
    value: bytes
    lease: int = 0


class Transaction(NamedTuple):
    """Writes that are applied atomically.

    Attributes:
        expected: The revisions that keys must have; 0 for a missing key.
        puts: Keys to write.
        deletes: Keys to delete.
    """

    expected: Mapping[str, int]
    puts: Sequence[PutOperation] = ()
    deletes: Sequence[str] = ()


class CommitResult(NamedTuple):
    """The revision at which a transaction was applied."""

    revision: int


class CommitConflict(NamedTuple):
    """The current values of the expected keys of a rejected transaction."""

    values_by_key: Mapping[str, StoredValue]


class LeaseGrant(NamedTuple):
    """A lease and the time to live that the store granted."""

    lease: int
    ttl_s: float


class TransactionStore(Protocol):
    """The platform's key-value service.

    Every method raises `StoreError` if the call fails; its `applied` is False
    only if the call certainly had no effect.
    """

    def read(self, key: str, deadline: float) -> StoredValue | None:
        """Reads one key."""

    def scan(self, prefix: str, deadline: float) -> ScanResult:
        """Reads all keys under a prefix, page by page, not as a snapshot."""

    def watch(
        self, prefix: str, after: int, wait_s: float, deadline: float
    ) -> WatchResult:
        """Waits for changes under a prefix after a revision.

        Raises:
            HistoryLostError: The store has discarded some of these changes.
        """

    def commit(
        self, transaction: Transaction, deadline: float
    ) -> CommitResult | CommitConflict:
        """Applies a transaction.

        Raises:
            LeaseLostError: A put names a lease that no longer exists.
        """

    def grant_lease(self, ttl_s: float, deadline: float) -> LeaseGrant:
        """Creates a lease."""

    def renew_lease(self, lease: int, deadline: float) -> None:
        """Renews a lease.

        Raises:
            LeaseLostError: The lease no longer exists.
        """

    def revoke_lease(self, lease: int, deadline: float) -> None:
        """Revokes a lease, which deletes its keys."""
