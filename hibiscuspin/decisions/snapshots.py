"""The snapshots of an instance, and their reconciliation with a peer's.

Only the newest snapshot of each topic and origin is stored. Snapshots are
assigned to buckets by key. Equal bucket hashes imply equal contents, so two
instances find their differences without exchanging all keys. Topics that stay
inside a data centre have separate buckets, after the others.
"""

import hashlib
from collections.abc import Iterable, Sequence
from typing import NamedTuple

__all__ = [
    "Key",
    "Revision",
    "Snapshot",
    "SnapshotTable",
    "is_data_centre_topic",
]

BUCKETS = 16
MAX_TOMBSTONES = 4096
DATA_CENTRE_TOPICS = frozenset({"leaving", "loads", "metrics"})


class Key(NamedTuple):
    """Identifies a series of snapshots: a topic and the origin's name."""

    topic: str
    origin: str


class Revision(NamedTuple):
    """Orders the snapshots of one key."""

    incarnation: int
    number: int


class Snapshot(NamedTuple):
    """The state that an origin published on a topic."""

    key: Key
    revision: Revision
    body: bytes


class SnapshotTable:
    """The newest snapshot of each key, with a hash for each bucket."""

    def __init__(self) -> None:
        self._by_key: dict[Key, Snapshot] = {}
        self._tombstones_by_key: dict[Key, Revision] = {}
        self._hashes = [0] * (2 * BUCKETS)

    def __len__(self) -> int:
        return len(self._by_key)

    def get(self, key: Key) -> Snapshot | None:
        """Returns the snapshot of a key, or None."""
        return self._by_key.get(key)

    def all(self) -> list[Snapshot]:
        """Returns all snapshots."""
        return list(self._by_key.values())

    def add_if_newer(self, snapshot: Snapshot) -> bool:
        """Stores a snapshot if it is newer; returns whether it was."""
        existing = self._by_key.get(snapshot.key)
        if existing is not None and existing.revision >= snapshot.revision:
            return False
        tombstone = self._tombstones_by_key.get(snapshot.key)
        if tombstone is not None and tombstone >= snapshot.revision:
            return False
        if existing is not None:
            self._toggle_hash(existing)
        self._by_key[snapshot.key] = snapshot
        self._toggle_hash(snapshot)
        return True

    def forget_origin(self, origin: str) -> None:
        """Deletes an origin's snapshots; only newer ones are stored again."""
        for key in [key for key in self._by_key if key.origin == origin]:
            existing = self._by_key.pop(key)
            self._toggle_hash(existing)
            self._tombstones_by_key[key] = existing.revision
        while len(self._tombstones_by_key) > MAX_TOMBSTONES:
            del self._tombstones_by_key[next(iter(self._tombstones_by_key))]

    def bucket_hashes(self, local: bool) -> list[int]:
        """Returns the bucket hashes to send to a peer.

        Args:
            local: Whether the peer is in the same data centre.
        """
        return self._hashes[: 2 * BUCKETS if local else BUCKETS]

    def differing_buckets(self, hashes: Sequence[int]) -> list[int]:
        """Returns the buckets whose contents differ from a peer's."""
        pairs = zip(self._hashes, hashes, strict=False)
        return [i for i, (own, other) in enumerate(pairs) if own != other]

    def revisions(self, buckets: Iterable[int]) -> dict[Key, Revision]:
        """Returns the revision of each key in some buckets."""
        selected = set(buckets)
        return {
            key: snapshot.revision
            for key, snapshot in self._by_key.items()
            if _bucket(key) in selected
        }

    def newer_than(
        self, buckets: Iterable[int], revisions: dict[Key, Revision]
    ) -> list[Snapshot]:
        """Returns the snapshots that are missing or older at a peer.

        Args:
            buckets: The buckets to compare.
            revisions: The peer's revisions in these buckets.
        """
        lowest = Revision(-1, -1)
        return [
            self._by_key[key]
            for key, revision in self.revisions(buckets).items()
            if revision > revisions.get(key, lowest)
        ]

    def _toggle_hash(self, snapshot: Snapshot) -> None:
        self._hashes[_bucket(snapshot.key)] ^= _hash(
            (*snapshot.key, *snapshot.revision)
        )


def is_data_centre_topic(topic: str) -> bool:
    """Tells whether a topic stays inside the data centre of its origin."""
    return topic in DATA_CENTRE_TOPICS


def _bucket(key: Key) -> int:
    bucket = _hash(key) % BUCKETS
    return bucket + BUCKETS if is_data_centre_topic(key.topic) else bucket


def _hash(parts: Iterable[object]) -> int:
    text = "\0".join(map(str, parts)).encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, "big")
