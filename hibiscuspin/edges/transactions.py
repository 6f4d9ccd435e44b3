"""A key-value service with transactions, leases and watches of prefixes.

`TransactionStore` is what instances use that keep nothing of their own; the
adapter of a platform implements it. All deadlines are on the monotonic
clock.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol

from hibiscuspin.edges import StoreError

__all__ = [
    "Change",
    "Committed",
    "Conflict",
    "Grant",
    "HistoryLostError",
    "LeaseLostError",
    "Put",
    "Scan",
    "StoredValue",
    "Transaction",
    "TransactionStore",
    "Watched",
]


class HistoryLostError(StoreError):
    """The store no longer knows the changes that a watch asked for."""


class LeaseLostError(StoreError):
    """A lease has ended; the call had no effect."""


class StoredValue(NamedTuple):
    """One key as it was read.

    Attributes:
        key: The key.
        value: The value.
        revision: The store's revision at the last change of the key.
        created: The store's revision at the creation of the key.
        lease: The lease that the key ends with, 0 for none.
    """

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0


class Scan(NamedTuple):
    """All keys under a prefix, and the store's revision when it was read."""

    values: tuple[StoredValue, ...]
    revision: int


class Change(NamedTuple):
    """One change under a watched prefix; `value` is None if it was deleted."""

    key: str
    revision: int
    value: StoredValue | None


class Watched(NamedTuple):
    """Changes in order, and the revision after which to go on."""

    changes: tuple[Change, ...]
    revision: int


class Put(NamedTuple):
    """One key to write."""

    key: str
    value: bytes
    lease: int = 0


class Transaction(NamedTuple):
    """Writes that take effect together, or not at all.

    Attributes:
        expected: Revisions by key that must hold; 0 for a missing key.
        puts: Keys to write.
        deletes: Keys to delete.
    """

    expected: Mapping[str, int]
    puts: Sequence[Put] = ()
    deletes: Sequence[str] = ()


class Committed(NamedTuple):
    """A transaction took effect at this revision."""

    revision: int


class Conflict(NamedTuple):
    """A transaction had no effect; the expected keys as they are now."""

    values_by_key: Mapping[str, StoredValue]


class Grant(NamedTuple):
    """A lease and the time that the store granted it for."""

    lease: int
    ttl_s: float


class TransactionStore(Protocol):
    """The platform's key-value service.

    Every call raises `StoreError` where it got no answer; its `applied` is
    False only if the call surely had no effect.
    """

    def read(self, key: str, deadline: float) -> StoredValue | None:
        """Reads one key."""

    def scan(self, prefix: str, deadline: float) -> Scan:
        """Reads all keys under a prefix; pages are no common snapshot."""

    def watch(
        self, prefix: str, after: int, wait_s: float, deadline: float
    ) -> Watched:
        """Waits for changes under a prefix later than a revision.

        Raises:
            HistoryLostError: Changes after that revision are forgotten.
        """

    def commit(
        self, transaction: Transaction, deadline: float
    ) -> Committed | Conflict:
        """Carries out a transaction.

        Raises:
            LeaseLostError: A put names a lease that has ended.
        """

    def grant_lease(self, ttl_s: float, deadline: float) -> Grant:
        """Creates a lease."""

    def renew_lease(self, lease: int, deadline: float) -> None:
        """Renews a lease.

        Raises:
            LeaseLostError: The lease has ended.
        """

    def revoke_lease(self, lease: int, deadline: float) -> None:
        """Ends a lease and deletes its keys."""
