"""Tracks which instances are live.

The platform's list seeds the view; peers' reports keep it current.
"""

import random
import threading
import time

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.membership import (
    Evidence,
    Member,
    MemberState,
    Report,
    Verdict,
    judge_members,
    report_neighbours,
)
from hibiscuspin.decisions.overlay import edges_of
from hibiscuspin.edges import InstanceList, InstanceRecord, TargetError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.hub import PeerHub, PeerRecord
from hibiscuspin.settings import Settings

__all__ = ["Membership"]

TICK_S = 0.5
# A gap between ticks above this means that this instance was paused.
PAUSE_THRESHOLD_S = 1.5
LIST_TIMEOUT_S = 1.0
# How often the platform's list is read while no peer is connected.
ISOLATED_LIST_PERIOD_S = 1.0
LIST_PERIOD_S = 15.0
# How long a new neighbour may stay silent before its silence counts.
START_GRACE_S = 10.0
# A dead or departed instance is dropped after this time unless still listed.
FORGET_AFTER_S = 60.0
# How long the task still runs after announcing that this instance leaves.
LEAVE_DELAY_S = 0.3
MEMBERS_TOPIC = "members"
REPORTS_TOPIC = "reports"
REACHABLE = frozenset({MemberState.ALIVE, MemberState.SLOW, MemberState.PAUSED})

_log = get_logger("membership")


class Membership:
    """Maintains the overlay's streams and the verdicts; a supervised task."""

    name = "membership"

    def __init__(
        self,
        settings: Settings,
        hub: PeerHub,
        instances: InstanceList,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._hub = hub
        self._instances = instances
        self._clock = clock
        self._rng = rng
        self._own_member = Member(
            settings.instance,
            settings.data_centre,
            str(settings.peer_address),
        )
        self._lock = threading.Lock()
        self._members_by_name = {self._own_member.name: self._own_member}
        self._reports_by_observer: dict[str, list[Report]] = {}
        self._verdicts_by_name: dict[str, Verdict] = {}
        self._expected_at_by_name: dict[str, float] = {}
        self._listed: set[str] = set()
        self._view_changed = True
        self._watched: list[Member] = []
        self._probed: set[str] = set()
        self._next_list_read_at = 0.0
        self._last_tick_at = 0.0
        self._observing_since = 0.0
        hub.subscribe(MEMBERS_TOPIC, self._on_member)
        hub.subscribe(REPORTS_TOPIC, self._on_reports)

    def states_by_name(self) -> dict[str, MemberState]:
        """Returns the state of each known instance."""
        with self._lock:
            verdicts = self._verdicts_by_name
            return {name: verdict.state for name, verdict in verdicts.items()}

    def fleet_size(self) -> int:
        """Returns the number of instances considered live, at least 1."""
        states = self.states_by_name().values()
        return max(1, sum(state in REACHABLE for state in states))

    def run(self, stop: threading.Event) -> None:
        """Watches neighbours until `stop` is set, then announces leaving."""
        self._last_tick_at = self._clock.monotonic()
        self._publish_self()
        while not stop.wait(TICK_S):
            self._tick(self._clock.monotonic())
        self._own_member = self._own_member._replace(leaving=True)
        self._publish_self()
        time.sleep(LEAVE_DELAY_S)

    def _tick(self, now: float) -> None:
        if now - self._last_tick_at > PAUSE_THRESHOLD_S:
            # This instance was paused: silence before now proves nothing.
            self._observing_since = now
        self._last_tick_at = now
        if now >= self._next_list_read_at:
            self._read_list(now)
        self._update_connections(now)
        self._publish_reports(now)
        self._update_verdicts(now)
        self._refute()

    def _read_list(self, now: float) -> None:
        alone = not self._hub.neighbours()
        period_s = ISOLATED_LIST_PERIOD_S if alone else LIST_PERIOD_S
        self._next_list_read_at = now + period_s * self._rng.uniform(0.8, 1.2)
        try:
            records = self._instances.instances(now + LIST_TIMEOUT_S)
        except TargetError:
            _log.debug("The platform's instance list could not be read.")
            return
        self._apply_list([r for r in records if not r.leaving], now)

    def _apply_list(self, records: list[InstanceRecord], now: float) -> None:
        self._listed = {record.name for record in records}
        with self._lock:
            self._view_changed = True
            for r in records:
                known = self._members_by_name.get(r.name)
                listed = Member(r.name, r.data_centre, r.peer_address)
                if known is None:
                    self._members_by_name[r.name] = listed
            forgotten = [
                name
                for name, verdict in self._verdicts_by_name.items()
                if verdict.state in (MemberState.DEAD, MemberState.LEFT)
                and name not in self._listed
                and now - verdict.since > FORGET_AFTER_S
            ]
            for name in forgotten:
                self._members_by_name.pop(name, None)
                self._verdicts_by_name.pop(name, None)
                self._reports_by_observer.pop(name, None)
        for name in forgotten:
            self._hub.forget(name)

    def _neighbours(self) -> tuple[list[Member], list[Member]]:
        """Returns the members to watch, and those to open a stream to."""
        with self._lock:
            members = {
                name: member
                for name, member in self._members_by_name.items()
                if not member.leaving
                and self._state(name)
                not in (MemberState.DEAD, MemberState.LEFT)
            }
        members[self._own_member.name] = self._own_member
        edges = edges_of(
            self._own_member.node, [m.node for m in members.values()]
        )
        opened = [members[e.acceptor] for e in edges if e.opener == self._name]
        accepted = [
            members[e.opener] for e in edges if e.acceptor == self._name
        ]
        return opened + accepted, opened

    def _update_connections(self, now: float) -> None:
        if not self._view_changed:
            return
        self._watched, opened = self._neighbours()
        # Silent members are connected to as well: only a connection attempt
        # shows that a dead opener's address refuses connections.
        opened += [m for m in self._watched if m.name in self._probed]
        self._hub.connect({m.name: m.peer_address for m in opened})
        expected = self._expected_at_by_name
        self._expected_at_by_name = {
            m.name: expected.get(m.name, now + START_GRACE_S)
            for m in self._watched
        }

    def _publish_reports(self, now: float) -> None:
        heard = self._hub.heard_at_by_name()
        heard_at = {
            name: max(heard.get(name, expected), self._observing_since)
            for name, expected in self._expected_at_by_name.items()
        }
        reports = report_neighbours(
            self._name, self._watched, heard_at, self._hub.refusing_peers(), now
        )
        probed = {report.subject for report in reports}
        self._view_changed |= probed != self._probed
        self._probed = probed
        kept = [
            report
            for report in self._reports_by_observer.get(self._name, [])
            if self._state(report.subject) == MemberState.DEAD
            and report.subject not in heard_at
        ]
        reports = sorted(kept + reports)
        if reports != self._reports_by_observer.get(self._name, []):
            self._reports_by_observer[self._name] = reports
            self._hub.publish(REPORTS_TOPIC, msgspec.msgpack.encode(reports))

    def _update_verdicts(self, now: float) -> None:
        with self._lock:
            reports = [
                report
                for observed in self._reports_by_observer.values()
                for report in observed
            ]
            if not reports and not self._view_changed:
                return
            self._view_changed = False
            before = self._verdicts_by_name
            unlisted = (
                set(self._members_by_name) - self._listed
                if self._listed
                else set()
            )
            self._verdicts_by_name = judge_members(
                self._own_member.node,
                self._members_by_name,
                reports,
                before,
                unlisted,
                now,
            )
            after = self._verdicts_by_name
        for name, verdict in after.items():
            previous = before.get(name)
            if previous is None or previous.state != verdict.state:
                self._view_changed = True
                _log.info(
                    "Instance state changed.",
                    extra={"peer": name, "state": str(verdict.state)},
                )
        self._hub.set_instances(self._peer_records())

    def _peer_records(self) -> list[PeerRecord]:
        with self._lock:
            return [
                PeerRecord(
                    member.name,
                    member.data_centre,
                    member.peer_address,
                    str(self._state(name)),
                )
                for name, member in self._members_by_name.items()
                if self._state(name) in REACHABLE
            ]

    def _refute(self) -> None:
        """Publishes a new revision if this instance is reported unreachable."""
        with self._lock:
            reported = any(
                report.subject == self._name
                and report.revision == self._own_member.revision
                and report.evidence != Evidence.SLOW
                for observed in self._reports_by_observer.values()
                for report in observed
            )
        if reported:
            self._publish_self()

    def _publish_self(self) -> None:
        revision = self._hub.next_revision()
        with self._lock:
            self._own_member = self._own_member._replace(revision=revision)
            self._members_by_name[self._name] = self._own_member
        body = msgspec.msgpack.encode(self._own_member)
        self._hub.publish_as(MEMBERS_TOPIC, self._name, revision, body)

    def _on_member(self, origin: str, body: bytes) -> None:
        member = msgspec.msgpack.decode(body, type=Member)
        with self._lock:
            known = self._members_by_name.get(member.name)
            if known is None or member.revision > known.revision:
                self._members_by_name[member.name] = member
                self._view_changed = True

    def _on_reports(self, origin: str, body: bytes) -> None:
        reports = msgspec.msgpack.decode(body, type=list[Report])
        with self._lock:
            self._reports_by_observer[origin] = reports
            self._view_changed = True

    def _state(self, name: str) -> MemberState:
        verdict = self._verdicts_by_name.get(name)
        return verdict.state if verdict else MemberState.ALIVE

    @property
    def _name(self) -> str:
        return self._own_member.name
