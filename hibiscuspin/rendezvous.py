"""Rendezvous hashing: assigns keys to names.

Adding or removing a name changes the owner of few keys only.
"""

import hashlib
from collections.abc import Collection

__all__ = ["owner", "rank"]

_DIGEST_BYTES = 8


def rank(key: str, names: Collection[str]) -> list[str]:
    """Returns the names by descending weight for the key, owner first."""
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def owner(key: str, names: Collection[str]) -> str | None:
    """Returns the name with the highest weight for the key, if any."""
    return max(names, key=lambda name: _weight(key, name), default=None)


def _weight(key: str, name: str) -> bytes:
    text = f"{key}\0{name}".encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
