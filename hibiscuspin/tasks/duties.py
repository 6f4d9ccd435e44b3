"""Duties with a single holder: leases in the store with fencing numbers.

An instance has one lease, and only while it holds a duty. A free duty is
assigned to the live instance of the data centre that rendezvous hashing
selects, and stays there until its holder stops or its lease expires.
"""

import threading
from typing import NamedTuple, TypedDict

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import leases
from hibiscuspin.edges import PlatformStore, StoreError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.hub import PeerError, PeerHub
from hibiscuspin.rendezvous import owner

__all__ = ["Duties", "Holder", "Holding"]

TICK_S = 1.0
CALL_TIMEOUT_S = 2.0
HOLDER_FRESH_S = 1.0
DUTY_PREFIX = "hibiscuspin/duties/"
TAKE_METHOD = "duties.take"

_log = get_logger("duties")


class Holder(TypedDict):
    """The value under a duty's key: its holder and the holder's address."""

    instance: str
    data_centre: str
    trainer_address: str


class Holding(NamedTuple):
    """A duty that this instance holds."""

    duty: str
    fencing: int


class _Seen(NamedTuple):
    """The last observed holder of a duty, and until when to rely on it."""

    holder: Holder
    fresh_until: float


class Duties:
    """Acquires duties and renews their lease; a supervised task."""

    name = "duties"

    def __init__(
        self,
        store: PlatformStore,
        clock: Clock,
        holder: Holder,
        hub: PeerHub,
    ) -> None:
        self._store = store
        self._clock = clock
        self._holder = holder
        self._value = msgspec.json.encode(holder)
        self._hub = hub
        self._lock = threading.Lock()
        self._lease_lock = threading.Lock()
        self._lease = leases.Lease()
        self._renew_at = 0.0
        self._stopped = False
        self._holdings_by_duty: dict[str, Holding] = {}
        self._seen_by_duty: dict[str, _Seen] = {}
        hub.serve(TAKE_METHOD, self._on_take)

    def run(self, stop: threading.Event) -> None:
        """Renews the lease until `stop` is set, then hands all duties over."""
        while not stop.wait(TICK_S):
            self.tick()
        self.hand_over()

    def tick(self) -> None:
        """Renews the lease if renewal is due."""
        if not self._renew_due():
            return
        try:
            self._renew()
        except StoreError:
            _log.warning("The store did not respond to the lease renewal.")

    def valid(self, holding: Holding) -> bool:
        """Returns whether this instance may still act on a duty."""
        with self._lock:
            held = self._holdings_by_duty.get(holding.duty) == holding
            return held and self._usable()

    def hold(self, duty: str) -> Holding | None:
        """Acquires a duty; returns None if another instance has it.

        Raises:
            StoreError: The store did not respond.
        """
        with self._lock:
            holding = self._holdings_by_duty.get(duty)
            if holding and self._usable():
                return holding
            seen = self._seen_by_duty.get(duty)
            if seen and self._clock.monotonic() < seen.fresh_until:
                return None
        if self._offer_to_preferred(duty):
            return None
        return self._take(duty)

    def holder(self, duty: str) -> Holder | None:
        """Returns the holder of a duty, read from the store within 1 s."""
        now = self._clock.monotonic()
        with self._lock:
            seen = self._seen_by_duty.get(duty)
            if seen and now < seen.fresh_until:
                return seen.holder
        entry = self._store.get(DUTY_PREFIX + duty, now + CALL_TIMEOUT_S)
        if entry is None or not entry.lease:
            return None
        holder = msgspec.json.decode(entry.value, type=Holder)
        if holder["instance"] != self._holder["instance"]:
            with self._lock:
                self._seen_by_duty[duty] = _Seen(holder, now + HOLDER_FRESH_S)
        return holder

    def holdings(self) -> list[Holding]:
        """Returns the duties that this instance holds."""
        with self._lock:
            return list(self._holdings_by_duty.values())

    def _usable(self) -> bool:
        now = self._clock.monotonic()
        return leases.usable(self._lease, now, self._clock.wall())

    def _preferred(self, duty: str) -> str | None:
        """Returns the live instance of this data centre to assign a duty to."""
        names = [
            record.name
            for record in self._hub.instances()
            if record.data_centre == self._holder["data_centre"]
            and record.state == "alive"
        ]
        return owner(duty, names)

    def _offer_to_preferred(self, duty: str) -> bool:
        """Offers the preferred instance a duty; returns whether it replied."""
        preferred = self._preferred(duty)
        if preferred in (None, self._holder["instance"]):
            return False
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        try:
            self._hub.call(str(preferred), TAKE_METHOD, duty.encode(), deadline)
        except PeerError:
            return False
        return True

    def _on_take(self, body: bytes) -> bytes:
        holding = self._take(body.decode())
        return b"taken" if holding else b""

    def _take(self, duty: str) -> Holding | None:
        lease = self._ensure_lease()
        if not lease:
            return None
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        fencing = self._store.acquire(
            DUTY_PREFIX + duty, self._value, lease, deadline
        )
        if fencing is None:
            return None
        holding = Holding(duty, fencing)
        with self._lock:
            if self._lease.lease != lease or self._stopped:
                return None
            self._holdings_by_duty[duty] = holding
            self._seen_by_duty.pop(duty, None)
        _log.info("Duty acquired.", extra={"duty": duty, "fencing": fencing})
        return holding

    def _ensure_lease(self) -> str:
        """Returns the lease for acquiring a duty; requests one if needed."""
        with self._lease_lock:
            with self._lock:
                if self._stopped:
                    return ""
                if self._usable():
                    return self._lease.lease
            self._renew()
            return self._lease.lease

    def _renew_due(self) -> bool:
        with self._lock:
            held = bool(self._holdings_by_duty)
            return held and self._clock.monotonic() >= self._renew_at

    def _renew(self) -> None:
        asked_at, asked_at_wall = self._clock.monotonic(), self._clock.wall()
        deadline = asked_at + CALL_TIMEOUT_S
        with self._lock:
            lease = self._lease.lease
        if not lease or not self._store.renew_lease(lease, deadline):
            lease = self._store.grant_lease(leases.LEASE_TTL_S, deadline)
        with self._lock:
            if lease != self._lease.lease:
                self._holdings_by_duty.clear()
            self._lease = leases.granted(lease, asked_at, asked_at_wall)
            self._renew_at = asked_at + leases.RENEW_PERIOD_S

    def hand_over(self) -> None:
        """Releases all duties and notifies their next holders."""
        with self._lock:
            self._stopped = True
            lease, self._lease = self._lease.lease, leases.Lease()
            duties = list(self._holdings_by_duty)
            self._holdings_by_duty.clear()
        if not lease:
            return
        try:
            deadline = self._clock.monotonic() + CALL_TIMEOUT_S
            self._store.revoke_lease(lease, deadline)
        except StoreError:
            _log.warning("The lease could not be revoked; it will expire.")
            return
        for duty in duties:
            self._pass_to_next(duty)

    def _pass_to_next(self, duty: str) -> None:
        names = [
            record.name
            for record in self._hub.instances()
            if record.data_centre == self._holder["data_centre"]
            and record.name != self._holder["instance"]
        ]
        heir = owner(duty, names)
        if heir is None:
            return
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        try:
            self._hub.call(heir, TAKE_METHOD, duty.encode(), deadline)
        except PeerError:
            _log.warning(
                "The next holder of a duty could not be notified.",
                extra={"duty": duty},
            )
