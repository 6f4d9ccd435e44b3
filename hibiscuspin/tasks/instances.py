"""Registers this instance in the store and knows the others that live.

All instances are equal. One of them at a time has the coordinator's duty:
it gives orders to engines and hands the jobs of lost instances to others.
The duty is a key under the instance's own lease, and its creation revision
is the fencing number.
"""

import random
import threading
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from hibiscuspin import rendezvous
from hibiscuspin.clock import Clock
from hibiscuspin.decisions.recovery import Member
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.transactions import (
    Committed,
    LeaseLostError,
    Put,
    StoredValue,
    Transaction,
    TransactionStore,
)
from hibiscuspin.logs import get_logger

__all__ = ["LIVE_PREFIX", "Instances", "Term"]

LIVE_PREFIX = "hibiscuspin/live/"
_INSTANCE_PREFIX = LIVE_PREFIX + "instances/"
_DUTY_KEY = LIVE_PREFIX + "coordinator"
# Outlives the duty, so that the next holder knows whether to wait.
_LAST_HOLDER_KEY = "hibiscuspin/last-coordinator"

# A lost instance is noticed one lease after its last renewal.
LEASE_TTL_S = 2.0
# Two renewals may be lost before the lease ends.
RENEW_PERIOD_S = 0.6
# The holder stops acting this long before the store may end its lease.
SAFETY_MARGIN_S = 0.3
CALL_TIMEOUT_S = 1.6
# A fleet's instances register within a second of each other. The coordinator
# and those next in turn must see a loss soon; the others' view may lag.
NEAR_GAP_S = 0.25
FAR_GAP_S = 1.5
NEAR_TURNS = 3
# Each rank of candidates waits this much longer for a free duty.
TURN_S = 0.3

_log = get_logger("membership")


class Term(NamedTuple):
    """A time in which this instance has the coordinator's duty.

    Attributes:
        fencing: The number of the term; later terms have higher ones.
        orders_from: When it may give its first order.
    """

    fencing: int
    orders_from: float


class _Registration(NamedTuple):
    lease: int = 0
    valid_until: float = 0.0


class Instances:
    """Keeps the registration, the view of others and the duty."""

    name = "instances"

    def __init__(
        self,
        member: Member,
        store: TransactionStore,
        clock: Clock,
        draw: random.Random,
        takeover_s: float,
    ) -> None:
        """Creates the task.

        Args:
            member: This instance.
            store: The platform's store.
            clock: The time.
            draw: Spreads the renewals of a fleet.
            takeover_s: How long engines must not hear from two coordinators.
        """
        self.member = member
        self._store = store
        self._clock = clock
        self._draw = draw
        self.takeover_s = takeover_s
        self._registration = _Registration()
        self._members_by_name: dict[str, Member] = {}
        self._known_by_name: dict[str, Member] = {}
        self._duty: StoredValue | None = None
        self._duty_free_since = 0.0
        self._term: Term | None = None
        self._leaving = threading.Event()

    def coordinator(self) -> str:
        """Returns the name of the coordinator, as last heard."""
        duty = self._duty
        return duty.value.decode() if duty is not None else ""

    def watch_gap_s(self) -> float:
        """Returns how long changes of the live instances may gather."""
        near = self._term is not None or self._turn() < NEAR_TURNS
        return NEAR_GAP_S if near else FAR_GAP_S

    def _turn(self) -> int:
        """Returns how many instances take a free duty before this one."""
        names = {*self._members_by_name, self.member.name}
        return rendezvous.rank("coordinator", names).index(self.member.name)

    def members(self) -> dict[str, Member]:
        """Returns the live instances by name, as last heard."""
        return dict(self._members_by_name)

    def last_known(self, name: str) -> Member | None:
        """Returns an instance as it was registered last, gone or not."""
        return self._known_by_name.get(name)

    def others(self) -> list[Member]:
        """Returns the other live instances, those of this data centre first."""
        own = self.member
        rows = [
            member
            for name, member in self._members_by_name.items()
            if name != own.name
        ]
        order = rendezvous.rank(own.name, [row.name for row in rows])
        rows.sort(
            key=lambda row: (
                row.data_centre != own.data_centre,
                order.index(row.name),
            )
        )
        return rows

    def relays(self) -> list[str]:
        """Returns the addresses of instances that may pass calls on."""
        return [member.address for member in self.others()]

    def term(self) -> Term | None:
        """Returns this instance's term while it may act on it."""
        term = self._term
        now = self._clock.monotonic()
        if term is None or now >= self._registration.valid_until:
            return None
        return term

    def on_values(self, values_by_key: Mapping[str, StoredValue]) -> None:
        """Takes the registrations and the duty as the store has them."""
        members = {}
        for key, value in values_by_key.items():
            if key.startswith(_INSTANCE_PREFIX):
                member = msgspec.json.decode(value.value, type=Member)
                members[member.name] = member
        for name in members.keys() - self._members_by_name.keys():
            _log.info("Instance joined.", extra={"peer": name})
        for name in self._members_by_name.keys() - members.keys():
            _log.info("Instance gone.", extra={"peer": name})
        self._members_by_name = members
        self._known_by_name.update(members)
        duty = values_by_key.get(_DUTY_KEY)
        if duty is None and self._duty is not None:
            self._duty_free_since = self._clock.monotonic()
        self._duty = duty
        lease = self._registration.lease
        if self._term and (duty is None or duty.lease != lease):
            self._end_term("the store has another holder")

    def run(self, stop: threading.Event) -> None:
        """Renews the registration until `stop` is set, then ends it."""
        while not stop.is_set():
            try:
                self._keep()
                self._seek_duty()
            except StoreError as error:
                _log.debug("Registration failed.", extra={"reason": str(error)})
            stop.wait(RENEW_PERIOD_S * self._draw.uniform(0.9, 1.1))
        self.leave()

    def leave(self) -> None:
        """Ends the registration, and with it the duty."""
        self._leaving.set()
        self._end_term("this instance stops")
        lease = self._registration.lease
        self._registration = _Registration()
        if lease:
            try:
                self._store.revoke_lease(lease, self._deadline())
            except StoreError as error:
                _log.warning("Lease not ended.", extra={"reason": str(error)})

    def _deadline(self) -> float:
        return self._clock.monotonic() + CALL_TIMEOUT_S

    def _keep(self) -> None:
        if self._leaving.is_set():
            return
        asked_at = self._clock.monotonic()
        lease = self._registration.lease
        if lease:
            try:
                self._store.renew_lease(lease, self._deadline())
                self._extend(lease, asked_at)
                return
            except LeaseLostError:
                _log.warning("Lease lost.", extra={"lease": lease})
                self._registration = _Registration()
                self._end_term("the lease has ended")
        self._register()

    def _register(self) -> None:
        asked_at = self._clock.monotonic()
        lease = self._store.grant_lease(LEASE_TTL_S, self._deadline()).lease
        put = Put(
            _INSTANCE_PREFIX + self.member.name,
            msgspec.json.encode(self.member),
            lease,
        )
        self._store.commit(Transaction({}, (put,)), self._deadline())
        self._extend(lease, asked_at)
        _log.info("Registered.", extra={"lease": lease})

    def _extend(self, lease: int, asked_at: float) -> None:
        valid_until = asked_at + LEASE_TTL_S - SAFETY_MARGIN_S
        self._registration = _Registration(lease, valid_until)

    def _seek_duty(self) -> None:
        lease = self._registration.lease
        if not lease or self._duty is not None or self._leaving.is_set():
            return
        now = self._clock.monotonic()
        if now < self._duty_free_since + self._turn() * TURN_S:
            return
        self._take_duty(lease)

    def _take_duty(self, lease: int) -> None:
        last = self._store.read(_LAST_HOLDER_KEY, self._deadline())
        name = self.member.name.encode()
        puts = (Put(_DUTY_KEY, name, lease), Put(_LAST_HOLDER_KEY, name))
        expected = {
            _DUTY_KEY: 0,
            _LAST_HOLDER_KEY: last.revision if last else 0,
        }
        outcome = self._store.commit(
            Transaction(expected, puts), self._deadline()
        )
        if not isinstance(outcome, Committed):
            return
        now = self._clock.monotonic()
        # One machine is one holder, also after a restart.
        same = last is None or last.value == name
        orders_from = now if same else now + self.takeover_s
        self._term = Term(outcome.revision, orders_from)
        _log.info(
            "Coordinator's duty taken.",
            extra={
                "fencing": outcome.revision,
                "last": last.value.decode() if last else "",
            },
        )

    def _end_term(self, reason: str) -> None:
        if self._term is not None:
            _log.info("Coordinator's duty ended.", extra={"reason": reason})
        self._term = None
