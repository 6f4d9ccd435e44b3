"""Which formats of values all live instances can read.

Load pattern: instances are replaced by those of a newer build one after the
other. Old and new ones write for each other, and what an old one can't decode
must wait until no old one is left. An old instance may also come back, when
the upgrade is undone.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from hibiscuspin.decisions.recovery import LiveInstance

__all__ = ["OWN_FORMATS", "Announcement", "Format", "all_read", "reads"]


class Format(StrEnum):
    """A change of what instances write that earlier builds can't decode."""

    JOB_ORGANISATION = "job-organisation"


# What this build can read, and so announces.
OWN_FORMATS = tuple(Format)


class Announcement(NamedTuple):
    """The formats that one incarnation of an instance reads.

    Attributes:
        term: The incarnation. After a rollback an older build may run under
            the name while the record of the newer one has not expired.
        formats: The formats, which may include some that are unknown here.
    """

    term: str
    formats: frozenset[str]


def reads(
    member: LiveInstance,
    announcement_by_name: Mapping[str, Announcement],
    wanted: Format,
) -> bool:
    """Returns whether an instance has announced that it reads a format.

    Builds from before announcements write none, so that none means no.
    """
    announcement = announcement_by_name.get(member.name)
    return (
        announcement is not None
        and announcement.term == member.term
        and wanted in announcement.formats
    )


def all_read(
    members: Iterable[LiveInstance],
    announcement_by_name: Mapping[str, Announcement],
    wanted: Format,
) -> bool:
    """Returns whether all live instances have announced a format.

    No known instance means that the registrations are not loaded: then none
    is known to read it.
    """
    known = list(members)
    return bool(known) and all(
        reads(member, announcement_by_name, wanted) for member in known
    )
