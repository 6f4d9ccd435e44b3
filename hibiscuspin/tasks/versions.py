"""The newest published version of each trainer, persisted in the store."""

import threading
from typing import TypedDict

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.edges import PlatformStore, StoreError
from hibiscuspin.errors import ErrorKind, HibiscusError

__all__ = ["PublishedVersion", "Versions", "version_key"]

TRAINER_PREFIX = "hibiscuspin/trainers/"
STORE_TIMEOUT_S = 2.0
MAX_WRITE_ATTEMPTS = 5


class PublishedVersion(TypedDict):
    """The value stored under a trainer's version key."""

    version: int
    source: str
    published_at_s: float


def version_key(trainer: str) -> str:
    """Returns the store key of a trainer's newest version."""
    return f"{TRAINER_PREFIX}{trainer}/version"


class Versions:
    """Reads and advances the trainers' versions; thread-safe."""

    def __init__(self, store: PlatformStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        self._published_by_trainer: dict[str, PublishedVersion] = {}

    def publish(
        self, trainer: str, version: int, source: str
    ) -> PublishedVersion:
        """Advances a trainer's version; an older one changes nothing.

        Returns:
            The newest version, which differs from the given one if that is
            older.

        Raises:
            HibiscusError: The store did not confirm the version; `ran` states
                whether it may have committed it.
        """
        proposed: PublishedVersion = {
            "version": version,
            "source": source,
            "published_at_s": self._clock.wall(),
        }
        try:
            return self._advance(trainer, proposed)
        except StoreError as error:
            raise HibiscusError(
                ErrorKind.STORE_UNAVAILABLE,
                "The store did not confirm the version.",
                error.ran,
            ) from error

    def current(self, trainer: str) -> int:
        """Returns the newest version known to this instance, or 0."""
        with self._lock:
            published = self._published_by_trainer.get(trainer)
            return published["version"] if published else 0

    def refresh(self, trainer: str) -> int:
        """Refreshes the newest version from the store; returns it, or 0.

        Raises:
            StoreError: The store did not respond.
        """
        entry = self._store.get(version_key(trainer), self._deadline())
        if entry is not None:
            self._cache_newest(trainer, _decode(entry.value))
        return self.current(trainer)

    def _advance(
        self, trainer: str, proposed: PublishedVersion
    ) -> PublishedVersion:
        key = version_key(trainer)
        value = msgspec.json.encode(proposed)
        for _ in range(MAX_WRITE_ATTEMPTS):
            entry = self._store.get(key, self._deadline())
            if entry is not None:
                stored = _decode(entry.value)
                if stored["version"] >= proposed["version"]:
                    return self._cache_newest(trainer, stored)
            revision = entry.revision if entry else 0
            deadline = self._deadline()
            if self._store.compare_and_swap(key, value, revision, deadline):
                return self._cache_newest(trainer, proposed)
        raise StoreError(
            f"version of trainer {trainer!r} not stored: "
            f"{MAX_WRITE_ATTEMPTS} compare-and-swap attempts lost",
            False,
        )

    def _cache_newest(
        self, trainer: str, published: PublishedVersion
    ) -> PublishedVersion:
        with self._lock:
            known = self._published_by_trainer.get(trainer)
            if known is None or known["version"] < published["version"]:
                self._published_by_trainer[trainer] = published
                return published
            return known

    def _deadline(self) -> float:
        return self._clock.monotonic() + STORE_TIMEOUT_S


def _decode(value: bytes) -> PublishedVersion:
    return msgspec.json.decode(value, type=PublishedVersion)
