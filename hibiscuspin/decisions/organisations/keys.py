"""Finds the organisation that a caller's key belongs to.

Load pattern: keys come and go with each version of the configuration, also
while callers keep connections open. Each request is checked against the table
in force at that moment.
"""

import enum
import hashlib
from collections.abc import Mapping, Sequence
from typing import NamedTuple

__all__ = [
    "BuiltTable",
    "KeyCheck",
    "KeyStatus",
    "KeyTable",
    "ListedKeys",
    "Organisation",
    "build_table",
    "check_key",
    "digest",
    "effective_priority",
    "find_organisation",
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


class ListedKeys(NamedTuple):
    """One entry of the configuration: an organisation and its keys.

    Attributes:
        organisation: The organisation.
        digests: The SHA-256 digests of its keys.
    """

    organisation: Organisation
    digests: Sequence[str]


class BuiltTable(NamedTuple):
    """A table of keys, and what was wrong with its entries.

    Attributes:
        table: The keys that authenticate an organisation.
        sharing_names: The names of the organisations that list a key in
            common, a row for each such set; these keys are not in the table.
        repeated_names: Names of more than one entry, whose keys are joined.
    """

    table: KeyTable
    sharing_names: Sequence[tuple[str, ...]]
    repeated_names: Sequence[str]


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


def build_table(entries: Sequence[ListedKeys]) -> BuiltTable:
    """Builds the table of keys from the entries of a configuration.

    Entries with the same name are one organisation with the first priority
    that one of them gives. A key that several organisations list
    authenticates none, since requests with it could be charged to the wrong
    one.
    """
    organisation_by_name: dict[str, Organisation] = {}
    names_by_digest: dict[str, set[str]] = {}
    repeated_names = set()
    for organisation, digests in entries:
        known = organisation_by_name.get(organisation.name)
        if known is not None:
            repeated_names.add(known.name)
        if known is None or known.priority is None:
            organisation_by_name[organisation.name] = organisation
        for key_digest in digests:
            names_by_digest.setdefault(key_digest, set()).add(organisation.name)
    organisation_by_digest = {
        key_digest: organisation_by_name[next(iter(names))]
        for key_digest, names in names_by_digest.items()
        if len(names) == 1
    }
    sharing_names = {
        tuple(sorted(names))
        for names in names_by_digest.values()
        if len(names) > 1
    }
    return BuiltTable(
        KeyTable(organisation_by_digest),
        sorted(sharing_names),
        sorted(repeated_names),
    )


def find_organisation(table: KeyTable | None, name: str) -> Organisation:
    """Returns an organisation by name; without a priority if it is unknown."""
    if table is not None:
        for organisation in table.organisation_by_digest.values():
            if organisation.name == name:
                return organisation
    return Organisation(name)


def effective_priority(
    organisation: Organisation | None, route_priority: int
) -> int:
    """Returns a request's priority: its organisation's before its route's."""
    if organisation is None or organisation.priority is None:
        return route_priority
    return organisation.priority
