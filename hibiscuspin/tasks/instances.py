"""Registers this instance in the store and tracks the other live ones.

All instances are equal. One of them at a time has the coordinator's duty:
it sends orders to engines and hands the jobs of lost instances to others.
The duty is a key under the instance's own lease, and the key's creation
revision is the fencing number.
"""

import random
import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple, TypedDict

import msgspec

from hibiscuspin import rendezvous
from hibiscuspin.clock import Clock
from hibiscuspin.decisions import registration
from hibiscuspin.decisions.duty import (
    DutyView,
    is_duty_of_predecessor,
    is_duty_unclaimed,
    is_term_over,
    orders_from,
)
from hibiscuspin.decisions.formats import OWN_FORMATS, Announcement
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.decisions.registration import IDLE_LEASE, LeasePlan
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.transactions import (
    STORED_VALUE_ERRORS,
    CommitResult,
    LeaseLostError,
    PutOperation,
    StoredValue,
    Transaction,
    TransactionStore,
)
from hibiscuspin.logs import get_logger

__all__ = ["LIVE_PREFIX", "Instances", "Term"]

LIVE_PREFIX = "hibiscuspin/live/"
_INSTANCE_PREFIX = LIVE_PREFIX + "instances/"
# Apart from the registration, whose readers in earlier builds reject a longer
# array and would take the instance for lost.
_FORMATS_PREFIX = LIVE_PREFIX + "formats/"
_DUTY_KEY = LIVE_PREFIX + "coordinator"
# Outlives the duty key, so that the next holder knows whether another instance
# had the duty; if so, the next holder waits before its first order.
_LAST_HOLDER_KEY = "hibiscuspin/last-coordinator"

TICK_S = 0.6
# The holder stops acting this long before its lease may expire in the store.
SAFETY_MARGIN_S = 0.3
STORE_TIMEOUT_S = 1.6
# An order may be on its way to an engine this long.
ORDER_SLACK_S = 0.6
# A fleet's instances register within a second of each other, so changes are
# batched for these times. The coordinator and the next candidates must see a
# loss soon; the view of the others may lag.
FAST_WATCH_GAP_S = 0.25
SLOW_WATCH_GAP_S = 1.5
FAST_WATCH_RANKS = 3
# A candidate waits this much longer per rank before it takes a free duty.
RANK_DELAY_S = 0.3
# After a start, instances that started together have registered by then.
FIRST_DUTY_DELAY_S = 0.8

_log = get_logger("membership")


class Term(NamedTuple):
    """A period in which this instance has the coordinator's duty.

    Attributes:
        fencing: The fencing number of the term; later terms have higher ones.
        orders_from: Monotonic time from which it may send orders.
    """

    fencing: int
    orders_from: float


class _LastHolder(NamedTuple):
    """The record of the last coordinator.

    Attributes:
        name: Its name.
        wait_s: How long after it gave up the duty others must not send
            orders; None if it has not given it up. The instances have no
            common clock, so that this is no point in time.
    """

    name: str
    wait_s: float | None

    def encode(self) -> bytes:
        """Returns the record's bytes, which begin with the name."""
        wait = "" if self.wait_s is None else f" {self.wait_s:.3f}"
        return f"{self.name}{wait}".encode()

    @classmethod
    def decode(cls, value: bytes) -> "_LastHolder":
        """Reads a record."""
        name, _, wait = value.decode().partition(" ")
        return cls(name, float(wait) if wait else None)


class _Registration(NamedTuple):
    lease: int = 0
    plan: LeasePlan = IDLE_LEASE
    renewed_at: float = 0.0

    @property
    def valid_until(self) -> float:
        """When the lease may have expired in the store."""
        return self.renewed_at + self.plan.ttl_s - SAFETY_MARGIN_S


class Instances:
    """Maintains the registration, the view of other instances and the duty."""

    name = "instances"

    def __init__(
        self,
        member: LiveInstance,
        store: TransactionStore,
        clock: Clock,
        rng: random.Random,
        takeover_s: float,
        has_jobs: Callable[[], bool] = lambda: False,
        is_isolated: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates the task.

        Args:
            member: This instance.
            store: The platform's store.
            clock: The time source.
            rng: Adds jitter, so that a fleet's renewals spread out.
            takeover_s: How long a new coordinator waits before its first
                order, so that engines don't get orders from two coordinators.
            has_jobs: Returns whether this instance holds unfinished jobs.
            is_isolated: Returns whether this instance reaches no target, and
                so can't give orders.
        """
        self.member = member
        self._store = store
        self._clock = clock
        self._rng = rng
        self.takeover_s = takeover_s
        self._has_jobs = has_jobs
        self._is_isolated = is_isolated
        self._prompt_lease_needed_at = float("-inf")
        self._registration = _Registration()
        self._members_by_name: dict[str, LiveInstance] = {}
        self._known_by_name: dict[str, LiveInstance] = {}
        self._announcement_by_name: dict[str, Announcement] = {}
        self._duty: StoredValue | None = None
        # Infinity until the duty is known to be free.
        self._duty_free_since = float("inf")
        # The revision of the duty when it was last seen to be held.
        self._held_revision = 0
        self._term: Term | None = None
        # Leases of this process; any other lease of its name is of an earlier
        # incarnation.
        self._own_leases: set[int] = set()
        self._order_lock = threading.Lock()
        self._ordered_at = float("-inf")
        self._leaving = threading.Event()
        self._wake = threading.Event()

    def coordinator(self) -> str:
        """Returns the last known coordinator's name, or an empty string."""
        duty = self._duty
        return duty.value.decode() if duty is not None else ""

    def is_view_loaded(self) -> bool:
        """Returns whether any registrations are known."""
        return bool(self._known_by_name)

    def must_see_losses_soon(self) -> bool:
        """Returns whether this instance must soon see another one's loss.

        That is the coordinator, and the next in turn for its duty.
        """
        if not self._known_by_name:
            return False
        return self._term is not None or self._rank() < FAST_WATCH_RANKS

    def watch_gap_s(self, region_rank: int) -> float:
        """Returns how long changes of the live instances may be batched.

        Args:
            region_rank: This instance's rank in its region; the first feeds
                the others.
        """
        fast = region_rank == 0 or self.must_see_losses_soon()
        return FAST_WATCH_GAP_S if fast else SLOW_WATCH_GAP_S

    def _rank(self) -> int:
        """Returns how many instances may take a free duty before this one."""
        names = {*self._members_by_name, self.member.name}
        return rendezvous.rank("coordinator", names).index(self.member.name)

    def members(self) -> dict[str, LiveInstance]:
        """Returns the last known live instances by name."""
        return dict(self._members_by_name)

    def announcements(self) -> dict[str, Announcement]:
        """Returns which formats instances have announced, by name."""
        return dict(self._announcement_by_name)

    def last_known(self, name: str) -> LiveInstance | None:
        """Returns an instance's last registration, even if it is gone."""
        return self._known_by_name.get(name)

    def others(self) -> list[LiveInstance]:
        """Returns the other live instances, this data centre's first."""
        own = self.member
        members = [
            member
            for name, member in self._members_by_name.items()
            if name != own.name
        ]
        order = rendezvous.rank(own.name, [member.name for member in members])
        members.sort(
            key=lambda member: (
                member.data_centre != own.data_centre,
                order.index(member.name),
            )
        )
        return members

    def relays(self) -> list[str]:
        """Returns the addresses of instances that may relay store calls."""
        return [member.address for member in self.others()]

    def term(self) -> Term | None:
        """Returns this instance's term; None if it must not coordinate."""
        term = self._term
        now = self._clock.monotonic()
        if term is None or now >= self._registration.valid_until:
            return None
        return term

    def begin_order(self, term: Term) -> bool:
        """Records that an order is about to be sent.

        Returns:
            Whether the term has not ended, so that the order may be sent.
        """
        with self._order_lock:
            if self.term() != term:
                return False
            self._ordered_at = self._clock.monotonic()
            return True

    def on_values(self, values_by_key: Mapping[str, StoredValue]) -> None:
        """Updates the view from the stored registrations and duty.

        Args:
            values_by_key: All values under `LIVE_PREFIX`.
        """
        members = {}
        for key, value in values_by_key.items():
            member = _decode_member(key, value)
            if member is not None:
                members[member.name] = member
        for name in members.keys() - self._members_by_name.keys():
            _log.info(
                "Instance appeared in the store's registrations.",
                extra={"peer": name},
            )
        for name in self._members_by_name.keys() - members.keys():
            _log.info(
                "Instance disappeared from the store's registrations.",
                extra={"peer": name},
            )
        # Before the members, so that one that has just registered is not taken
        # for an instance that announces nothing.
        self._announcement_by_name = _decode_announcements(values_by_key)
        self._members_by_name = members
        self._known_by_name.update(members)
        duty = values_by_key.get(_DUTY_KEY)
        now = self._clock.monotonic()
        if duty is None and self._duty is not None:
            self._duty_free_since = now
        elif duty is None and self._duty_free_since == float("inf"):
            self._duty_free_since = now + FIRST_DUTY_DELAY_S
        if duty is not None:
            self._held_revision = duty.revision
        self._duty = duty
        self._update_term(duty, values_by_key)
        if self._had_duty_before_restart():
            self._wake.set()

    def _update_term(
        self, duty: StoredValue | None, values_by_key: Mapping[str, StoredValue]
    ) -> None:
        """Ends or begins a term as the stored duty demands."""
        lease = self._registration.lease
        revisions = (value.revision for value in values_by_key.values())
        view = DutyView(
            duty.lease if duty else 0,
            duty.revision if duty else 0,
            max(revisions, default=0),
        )
        term = self._term
        if term is not None and is_term_over(view, lease, term.fencing):
            self._end_term("the store names another holder or none")
        may_hold = not (self._leaving.is_set() or self._is_isolated())
        if may_hold and is_duty_unclaimed(view, lease, term is not None):
            first_order_at = self._clock.monotonic() + self.takeover_s
            self._term = Term(view.revision, first_order_at)
            _log.info(
                "This instance has the coordinator's duty; the store's answer "
                "to its acquisition was lost.",
                extra={"fencing": view.revision},
            )

    def run(self, stop: threading.Event) -> None:
        """Renews the registration until `stop` is set, then revokes it."""
        while not stop.is_set():
            try:
                self._renew_or_register()
                self._give_up_duty_if_isolated()
                self._compete_for_duty()
            except StoreError as error:
                _log.debug(
                    "Failed to renew the registration or to acquire the duty.",
                    extra={"reason": str(error)},
                )
            self._wake.wait(TICK_S * self._rng.uniform(0.9, 1.1))
            self._wake.clear()
        self.leave()

    def interrupt(self) -> None:
        """Wakes `run` so that it notices the stop."""
        self._wake.set()

    def leave(self) -> None:
        """Revokes the registration, and with it the duty."""
        self._leaving.set()
        term = self._term
        if term is not None:
            with self._order_lock:
                self._end_term("this instance is stopping")
            self._record_last_order(term)
        lease = self._registration.lease
        self._registration = _Registration()
        if lease:
            try:
                self._store.revoke_lease(lease, self._deadline())
            except StoreError as error:
                _log.warning(
                    "Lease could not be revoked on shutdown.",
                    extra={"reason": str(error)},
                )

    def _record_last_order(self, term: Term) -> None:
        """Tells the next coordinator how long it must wait."""
        now = self._clock.monotonic()
        wait_s = self._ordered_at + self.takeover_s + ORDER_SLACK_S - now
        record = _LastHolder(self.member.name, max(0.0, wait_s))
        put = PutOperation(_LAST_HOLDER_KEY, record.encode())
        # The acquisition wrote the record, and a later one replaces it.
        expected = {_LAST_HOLDER_KEY: term.fencing}
        try:
            self._store.commit(Transaction(expected, (put,)), self._deadline())
        except StoreError as error:
            _log.info(
                "The last order was not recorded; the next coordinator waits "
                "longer.",
                extra={"reason": str(error)},
            )

    def _deadline(self) -> float:
        return self._clock.monotonic() + STORE_TIMEOUT_S

    def _lease_plan(self) -> LeasePlan:
        now = self._clock.monotonic()
        if (
            self.must_see_losses_soon()
            or self._has_jobs()
            or self._may_take_duty(now)
        ):
            self._prompt_lease_needed_at = now
        return registration.lease_plan(
            self._registration.plan, self._prompt_lease_needed_at, now
        )

    def _renew_or_register(self) -> None:
        if self._leaving.is_set():
            return
        requested_at = self._clock.monotonic()
        plan = self._lease_plan()
        lease, current_plan, renewed_at = self._registration
        if lease and plan == current_plan:
            if requested_at < renewed_at + plan.renew_s:
                return
            try:
                self._store.renew_lease(lease, self._deadline())
                self._registration = _Registration(lease, plan, requested_at)
                return
            except LeaseLostError:
                _log.warning(
                    "Lease expired in the store; registering again.",
                    extra={"lease": lease},
                )
                self._registration = _Registration()
                self._end_term("the lease has expired")
        self._register(plan)

    def _register(self, plan: LeasePlan) -> None:
        """Registers under a new lease; an earlier one expires by itself."""
        requested_at = self._clock.monotonic()
        lease = self._store.grant_lease(plan.ttl_s, self._deadline()).lease
        self._own_leases.add(lease)
        name = self.member.name
        announcement = Announcement(self.member.term, frozenset(OWN_FORMATS))
        puts = (
            PutOperation(
                _INSTANCE_PREFIX + name, msgspec.json.encode(self.member), lease
            ),
            PutOperation(
                _FORMATS_PREFIX + name,
                msgspec.json.encode(announcement._asdict()),
                lease,
            ),
        )
        self._store.commit(Transaction({}, puts), self._deadline())
        self._registration = _Registration(lease, plan, requested_at)
        _log.info(
            "This instance has registered in the store.",
            extra={"lease": lease, "ttl_s": plan.ttl_s},
        )

    def _had_duty_before_restart(self) -> bool:
        """Returns whether the duty names an earlier incarnation of this one."""
        duty = self._duty
        return duty is not None and is_duty_of_predecessor(
            duty.value.decode(), duty.lease, self.member.name, self._own_leases
        )

    def _give_up_duty_if_isolated(self) -> None:
        if not self._is_isolated():
            return
        term = self._term
        if term is not None:
            with self._order_lock:
                self._end_term("this instance reaches no target")
            self._record_last_order(term)
        duty = self._duty
        if duty is not None and duty.lease in self._own_leases:
            expected = {_DUTY_KEY: duty.revision}
            self._store.commit(
                Transaction(expected, deletes=(_DUTY_KEY,)), self._deadline()
            )

    def _may_take_duty(self, now: float) -> bool:
        if self._leaving.is_set() or self._is_isolated():
            return False
        if self._had_duty_before_restart():
            return True
        if self._duty is not None:
            return False
        return now >= self._duty_free_since + self._rank() * RANK_DELAY_S

    def _compete_for_duty(self) -> None:
        lease = self._registration.lease
        prompt = self._registration.plan == registration.PROMPT_LEASE
        if lease and prompt and self._may_take_duty(self._clock.monotonic()):
            self._acquire_duty(lease)

    def _acquire_duty(self, lease: int) -> None:
        last = self._store.read(_LAST_HOLDER_KEY, self._deadline())
        record = _LastHolder(self.member.name, None)
        puts = (
            PutOperation(_DUTY_KEY, self.member.name.encode(), lease),
            PutOperation(_LAST_HOLDER_KEY, record.encode()),
        )
        duty = self._duty
        expected = {
            _DUTY_KEY: duty.revision if duty else 0,
            _LAST_HOLDER_KEY: last.revision if last else 0,
        }
        outcome = self._store.commit(
            Transaction(expected, puts), self._deadline()
        )
        if not isinstance(outcome, CommitResult):
            return
        now = self._clock.monotonic()
        # The same name means the same machine, which after a restart is still
        # the same holder and need not wait.
        last_holder = _LastHolder.decode(last.value) if last else record
        first_order_at = now
        if last is not None and last_holder.name != self.member.name:
            # A term that was never seen here may have ended just now.
            saw_last_term = last.revision == self._held_revision
            first_order_at = orders_from(
                self._duty_free_since if saw_last_term else now,
                self.takeover_s,
                last_holder.wait_s,
                now,
            )
        self._term = Term(outcome.revision, first_order_at)
        _log.info(
            "This instance has taken the coordinator's duty.",
            extra={
                "fencing": outcome.revision,
                "last": last_holder.name if last else "",
                "orders_in_s": round(first_order_at - now, 2),
            },
        )

    def _end_term(self, reason: str) -> None:
        if self._term is not None:
            _log.info(
                "This instance's coordinator duty has ended.",
                extra={"reason": reason},
            )
        self._term = None


class _StoredAnnouncement(TypedDict):
    """An announcement as it is stored; later builds may add keys."""

    term: str
    formats: list[str]


def _decode_announcements(
    values_by_key: Mapping[str, StoredValue],
) -> dict[str, Announcement]:
    """Decodes the announced formats by instance; ignores invalid values."""
    found = {}
    for key, value in values_by_key.items():
        if not key.startswith(_FORMATS_PREFIX):
            continue
        try:
            stored = msgspec.json.decode(value.value, type=_StoredAnnouncement)
        except STORED_VALUE_ERRORS as error:
            _log.warning(
                "Ignoring an invalid announcement of formats.",
                extra={"key": key, "reason": str(error)},
            )
            continue
        found[key.removeprefix(_FORMATS_PREFIX)] = Announcement(
            stored["term"], frozenset(stored["formats"])
        )
    return found


def _decode_member(key: str, value: StoredValue) -> LiveInstance | None:
    """Decodes a registration; returns None for other and invalid values."""
    if not key.startswith(_INSTANCE_PREFIX):
        return None
    try:
        return msgspec.json.decode(value.value, type=LiveInstance)
    except STORED_VALUE_ERRORS as error:
        _log.warning(
            "Ignoring an invalid registration of an instance.",
            extra={"key": key, "reason": str(error)},
        )
        return None
