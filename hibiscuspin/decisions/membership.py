"""Failure detection: which instances are slow, paused, dead or cut off.

Each instance reports the neighbours from which it receives no messages. A
report counts only against the member revision that it names; a member that
receives a report against itself publishes a higher revision. Inside a data
centre, `QUORUM` reports are required to declare a member paused or dead. A
data centre is cut off if no chain of working streams leads to it; its members
are not declared dead for this reason.
"""

import enum
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from hibiscuspin.decisions.overlay import Node, bridges
from hibiscuspin.decisions.snapshots import Revision

__all__ = [
    "Evidence",
    "Member",
    "Report",
    "MemberState",
    "Verdict",
    "judge_members",
    "report_neighbours",
]

SLOW_AFTER_S = 2.5
SILENT_AFTER_S = 4.0
DEAD_AFTER_S = 10.0
QUORUM = 2


class MemberState(enum.StrEnum):
    """The state of an instance as its peers judge it."""

    ALIVE = "alive"
    SLOW = "slow"
    PAUSED = "paused"
    DEAD = "dead"
    CUT = "cut"
    LEFT = "left"


class Evidence(enum.StrEnum):
    """What an observer reports about a neighbour."""

    SLOW = "slow"
    SILENT = "silent"
    REFUSED = "refused"


class Member(NamedTuple):
    """An instance as described by itself or by the platform's list."""

    name: str
    data_centre: str
    peer_address: str
    revision: Revision = Revision(0, 0)
    leaving: bool = False

    @property
    def node(self) -> Node:
        """The member as a node of the overlay."""
        return Node(self.name, self.data_centre)


class Report(NamedTuple):
    """One observer's evidence against one revision of a member."""

    observer: str
    subject: str
    revision: Revision
    evidence: Evidence


class Verdict(NamedTuple):
    """The judged state of a member.

    Attributes:
        state: The state.
        since: When the member entered this state, in monotonic time.
        revision: The revision of the member that was judged.
    """

    state: MemberState
    since: float
    revision: Revision = Revision(0, 0)


def report_neighbours(
    observer: str,
    neighbours: Iterable[Member],
    heard_at_by_name: Mapping[str, float],
    refused: Iterable[str],
    now: float,
) -> list[Report]:
    """Returns the observer's reports on its neighbours.

    Args:
        observer: The name of the reporting instance.
        neighbours: Members from which it should receive messages.
        heard_at_by_name: When the last message of each neighbour arrived, or
            when the first was expected.
        refused: Names of members whose address refuses connections.
        now: The monotonic time.
    """
    refusing = set(refused)
    reports = []
    for member in neighbours:
        silence_s = now - heard_at_by_name.get(member.name, now)
        evidence = _evidence(silence_s, member.name in refusing)
        if evidence is not None:
            reports.append(
                Report(observer, member.name, member.revision, evidence)
            )
    return reports


def judge_members(
    own: Node,
    members_by_name: Mapping[str, Member],
    reports: Iterable[Report],
    verdicts_by_name: Mapping[str, Verdict],
    unlisted: Collection[str],
    now: float,
) -> dict[str, Verdict]:
    """Returns the verdict on each member.

    Args:
        own: This instance.
        members_by_name: All known members.
        reports: Reports of all observers, including this instance.
        verdicts_by_name: The previous verdicts.
        unlisted: Names of members that are missing from the platform's list;
            this counts as one additional report.
        now: The monotonic time.
    """
    valid_by_name = _valid_reports(members_by_name, reports)
    cut_off = _cut_off_centres(
        own, members_by_name, valid_by_name, verdicts_by_name
    )
    verdicts = {}
    for name, member in members_by_name.items():
        previous = verdicts_by_name.get(name, Verdict(MemberState.ALIVE, now))
        reports_against = valid_by_name.get(name, [])
        if member.leaving:
            state = MemberState.LEFT
        elif member.data_centre in cut_off:
            state = MemberState.CUT
        elif name == own.name or not reports_against:
            was_dead = previous.state == MemberState.DEAD
            same_revision = previous.revision == member.revision
            state = (
                MemberState.DEAD
                if was_dead and same_revision
                else MemberState.ALIVE
            )
        else:
            voters = _voters(member, members_by_name, verdicts_by_name)
            extra_reports = int(name in unlisted)
            state = _next_state(
                member,
                reports_against,
                voters,
                extra_reports,
                previous,
                now,
            )
        since = previous.since if state == previous.state else now
        verdicts[name] = Verdict(state, since, member.revision)
    return verdicts


def _evidence(silence_s: float, refuses: bool) -> Evidence | None:
    if silence_s <= SLOW_AFTER_S:
        return None
    if refuses:
        return Evidence.REFUSED
    if silence_s <= SILENT_AFTER_S:
        return Evidence.SLOW
    return Evidence.SILENT


def _valid_reports(
    members_by_name: Mapping[str, Member], reports: Iterable[Report]
) -> dict[str, list[Report]]:
    valid_by_name: dict[str, list[Report]] = {}
    for report in reports:
        member = members_by_name.get(report.subject)
        if member is not None and member.revision == report.revision:
            valid_by_name.setdefault(report.subject, []).append(report)
    return valid_by_name


def _voters(
    member: Member,
    members_by_name: Mapping[str, Member],
    verdicts_by_name: Mapping[str, Verdict],
) -> set[str]:
    """Returns whose reports count: live members of the same data centre."""
    return {
        other.name
        for other in members_by_name.values()
        if other.data_centre == member.data_centre
        and other.name != member.name
        and _is_live(verdicts_by_name.get(other.name))
    }


def _is_live(verdict: Verdict | None) -> bool:
    return verdict is None or verdict.state in (
        MemberState.ALIVE,
        MemberState.SLOW,
    )


def _next_state(
    member: Member,
    reports: list[Report],
    voters: set[str],
    extra_reports: int,
    previous: Verdict,
    now: float,
) -> MemberState:
    if (
        previous.state == MemberState.DEAD
        and previous.revision == member.revision
    ):
        return MemberState.DEAD
    counted = [r for r in reports if not voters or r.observer in voters]
    serious = [r for r in counted if r.evidence != Evidence.SLOW]
    quorum = min(QUORUM, max(1, len(voters)))
    if (
        not serious
        or len({r.observer for r in serious}) + extra_reports < quorum
    ):
        return MemberState.SLOW if counted else MemberState.ALIVE
    if any(r.evidence == Evidence.REFUSED for r in serious):
        return MemberState.DEAD
    if (
        previous.state == MemberState.PAUSED
        and now - previous.since >= DEAD_AFTER_S
    ):
        return MemberState.DEAD
    return MemberState.PAUSED


def _has_cross_centre_report(
    members_by_name: Mapping[str, Member],
    valid_by_name: Mapping[str, list[Report]],
) -> bool:
    """Tells whether any report concerns a member of another data centre."""
    for subject, reports in valid_by_name.items():
        centre = members_by_name[subject].data_centre
        for report in reports:
            observer = members_by_name.get(report.observer)
            if observer is not None and observer.data_centre != centre:
                return True
    return False


def _cut_off_centres(
    own: Node,
    members_by_name: Mapping[str, Member],
    valid_by_name: Mapping[str, list[Report]],
    verdicts_by_name: Mapping[str, Verdict],
) -> set[str]:
    """Returns the data centres to which no chain of working streams leads."""
    if not _has_cross_centre_report(members_by_name, valid_by_name):
        return set()
    nodes = [
        member.node
        for name, member in members_by_name.items()
        if not member.leaving
        and verdicts_by_name.get(name, Verdict(MemberState.ALIVE, 0)).state
        != MemberState.DEAD
    ]
    centre_by_name = {node.name: node.data_centre for node in nodes}
    silent = {
        (report.observer, subject)
        for subject, reports in valid_by_name.items()
        for report in reports
        if report.evidence == Evidence.SILENT
    }
    reached = {own.data_centre}
    frontier = [own.data_centre]
    while frontier:
        centre = frontier.pop()
        for a, b in bridges(centre, nodes):
            near, far = (a, b) if centre_by_name[a] == centre else (b, a)
            other = centre_by_name[far]
            if other not in reached and (near, far) not in silent:
                reached.add(other)
                frontier.append(other)
    return set(centre_by_name.values()) - reached
