"""Finds out which live instances can decode a job of an organisation."""

import time
from collections.abc import Mapping

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import formats
from hibiscuspin.decisions.formats import (
    OWN_FORMATS,
    Announcement,
    Format,
)
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.rpc import PeerHttpClient, PeerUnreachableError
from hibiscuspin.tasks.instances import Instances
from hibiscuspin.tasks.job_store import JobContents

__all__ = ["PeerFormats"]

PROBE_TIMEOUT_S = 0.3
# All probes of one request together; the rest is asked at the next request.
PROBES_TIMEOUT_S = 1.0
# After a start the registrations arrive within this time.
VIEW_TIMEOUT_S = 2.0
VIEW_POLL_S = 0.02
# No route has a host under this reserved domain, so that nobody accepts it.
_PROBE = msgspec.msgpack.encode(
    JobContents("", "probe.invalid", "", "", 0, 0, (), "organisation")
)

_log = get_logger("membership")


class PeerFormats:
    """Tells which instances read jobs of organisations; thread-safe.

    An instance of a build that announces nothing is asked to accept a job that
    it has no route for. It refuses that as not its own if it can decode it.
    """

    def __init__(
        self,
        instances: Instances,
        peers: PeerHttpClient,
        clock: Clock,
        accept_method: str,
    ) -> None:
        """Creates the object.

        Args:
            instances: The live instances and what they announce.
            peers: Makes the calls to them.
            clock: The time source.
            accept_method: The method that offers a job to an instance.
        """
        self._instances = instances
        self._peers = peers
        self._clock = clock
        self._accept_method = accept_method
        # What instances that announce nothing were found to read.
        self._probed_by_name: dict[str, Announcement] = {}

    def may_name_organisation(self) -> bool:
        """Returns whether all live instances read jobs of organisations.

        Waits for the registrations if they are not loaded yet.
        """
        until = self._clock.monotonic() + VIEW_TIMEOUT_S
        while not self._instances.is_view_loaded():
            if self._clock.monotonic() >= until:
                return False
            time.sleep(VIEW_POLL_S)
        members = self._instances.members()
        return formats.all_read(
            members.values(),
            self._announcements(members),
            Format.JOB_ORGANISATION,
        )

    def readers(
        self, members: Mapping[str, LiveInstance]
    ) -> dict[str, LiveInstance]:
        """Returns those among live instances that read such jobs."""
        announced = self._announcements(members)
        return {
            name: member
            for name, member in members.items()
            if formats.reads(member, announced, Format.JOB_ORGANISATION)
        }

    def _announcements(
        self, members: Mapping[str, LiveInstance]
    ) -> dict[str, Announcement]:
        """Returns what instances announce or were found to read, by name."""
        until = self._clock.monotonic() + PROBES_TIMEOUT_S
        own = self._instances.member
        announced = {
            **self._instances.announcements(),
            own.name: Announcement(own.term, frozenset(OWN_FORMATS)),
        }
        for name, member in members.items():
            row = announced.get(name)
            if row is None or row.term != member.term:
                found = self._probe(member, until)
                if found is not None:
                    announced[name] = found
        return announced

    def _probe(self, member: LiveInstance, until: float) -> Announcement | None:
        """Finds out what an instance reads; None if that stays unknown."""
        known = self._probed_by_name.get(member.name)
        if known is not None and known.term == member.term:
            return known
        if self._clock.monotonic() >= until:
            return None
        try:
            self._peers.call(
                member.address, self._accept_method, _PROBE, PROBE_TIMEOUT_S
            )
        except PeerUnreachableError:
            return None
        except HibiscusError as error:
            can_read = error.kind is ErrorKind.NOT_HOLDER
        else:
            # No build accepts a job without a route.
            can_read = False
        found = Announcement(
            member.term,
            frozenset({Format.JOB_ORGANISATION} if can_read else ()),
        )
        self._probed_by_name[member.name] = found
        _log.info(
            "An instance that announces no formats was asked for one.",
            extra={
                "peer": member.name,
                "format": Format.JOB_ORGANISATION,
                "reads": can_read,
            },
        )
        return found
