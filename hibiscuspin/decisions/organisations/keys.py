"""Finds the organisation that a caller's key belongs to.

Load pattern: keys come and go with each version of the configuration, also
while callers keep connections open. Each request is checked against the table
in force at that moment.
"""

import enum
import hashlib
from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    "KeyCheck",
    "KeyStatus",
    "KeyTable",
    "Organisation",
    "check_key",
    "digest",
]

_SCHEME = "bearer"


class Organisation(NamedTuple):
    """An organisation whose callers share the targets with others.

    Attributes:
        name: Its name.
        priority: The priority of its requests, which goes before that of
            their route; 0 is the highest. None if the route's applies.
    """

    name: str
    priority: int | None = None


class KeyTable(NamedTuple):
    """The keys in force.

    Attributes:
        organisation_by_digest: Organisations by the SHA-256 digest of a key.
    """

    organisation_by_digest: Mapping[str, Organisation]


class KeyStatus(enum.Enum):
    """Whether a request names a key, and whether the key is known."""

    NONE = "none"
    VALID = "valid"
    INVALID = "invalid"


class KeyCheck(NamedTuple):
    """The result of a check; the organisation is None without a valid key."""

    status: KeyStatus
    organisation: Organisation | None = None


def digest(key: str) -> str:
    """Returns the hexadecimal SHA-256 digest of a key."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def check_key(table: KeyTable, authorization: str) -> KeyCheck:
    """Checks the value of an Authorization header; empty if there is none."""
    if not authorization:
        return KeyCheck(KeyStatus.NONE)
    scheme, _, key = authorization.strip().partition(" ")
    if scheme.lower() != _SCHEME:
        return KeyCheck(KeyStatus.INVALID)
    organisation = table.organisation_by_digest.get(digest(key.strip()))
    if organisation is None:
        return KeyCheck(KeyStatus.INVALID)
    return KeyCheck(KeyStatus.VALID, organisation)
