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

__all__ = ["Duties", "Holder", "HeldDuty"]

RENEWAL_CHECK_S = 1.0
CALL_TIMEOUT_S = 2.0
HOLDER_CACHE_S = 1.0
DUTY_PREFIX = "hibiscuspin/duties/"
ACQUIRE_METHOD = "duties.take"

_log = get_logger("duties")


class Holder(TypedDict):
    """The value under a duty's key: its holder and the holder's address."""

    instance: str
    data_centre: str
    trainer_address: str


class HeldDuty(NamedTuple):
    """A duty that this instance holds."""

    duty: str
    fencing: int


class _CachedHolder(NamedTuple):
    """The last observed holder of a duty, and until when to rely on it."""

    holder: Holder
    valid_until: float


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
        self._holdings_by_duty: dict[str, HeldDuty] = {}
        self._cached_holder_by_duty: dict[str, _CachedHolder] = {}
        hub.serve(ACQUIRE_METHOD, self._on_acquire)

    def run(self, stop: threading.Event) -> None:
        """Renews the lease until `stop` is set, then hands all duties over."""
        while not stop.wait(RENEWAL_CHECK_S):
            self.tick()
        self.hand_over()

    def tick(self) -> None:
        """Renews the lease if renewal is due."""
        if not self._renewal_due():
            return
        try:
            self._renew_lease()
        except StoreError:
            _log.warning("The store did not respond to the lease renewal.")

    def is_valid(self, holding: HeldDuty) -> bool:
        """Returns whether this instance may still act on a duty."""
        with self._lock:
            held = self._holdings_by_duty.get(holding.duty) == holding
            return held and self._lease_usable()

    def acquire(self, duty: str) -> HeldDuty | None:
        """Acquires a duty; returns None if it is left to another instance.

        Raises:
            StoreError: The store did not respond.
        """
        with self._lock:
            holding = self._holdings_by_duty.get(duty)
            if holding and self._lease_usable():
                return holding
            cached = self._cached_holder_by_duty.get(duty)
            if cached and self._clock.monotonic() < cached.valid_until:
                return None
        if self._offer_to_preferred(duty):
            return None
        return self._acquire(duty)

    def holder(self, duty: str) -> Holder | None:
        """Returns the holder of a duty, read from the store at most 1 s ago."""
        now = self._clock.monotonic()
        with self._lock:
            cached = self._cached_holder_by_duty.get(duty)
            if cached and now < cached.valid_until:
                return cached.holder
        entry = self._store.get(DUTY_PREFIX + duty, now + CALL_TIMEOUT_S)
        if entry is None or not entry.lease:
            return None
        holder = msgspec.json.decode(entry.value, type=Holder)
        if holder["instance"] != self._holder["instance"]:
            with self._lock:
                self._cached_holder_by_duty[duty] = _CachedHolder(
                    holder, now + HOLDER_CACHE_S
                )
        return holder

    def held_duties(self) -> list[HeldDuty]:
        """Returns the duties that this instance holds."""
        with self._lock:
            return list(self._holdings_by_duty.values())

    def _lease_usable(self) -> bool:
        now = self._clock.monotonic()
        return leases.is_usable(self._lease, now, self._clock.wall())

    def _preferred_instance(self, duty: str) -> str | None:
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
        preferred = self._preferred_instance(duty)
        if preferred in (None, self._holder["instance"]):
            return False
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        try:
            self._hub.call(
                str(preferred), ACQUIRE_METHOD, duty.encode(), deadline
            )
        except PeerError:
            return False
        return True

    def _on_acquire(self, body: bytes) -> bytes:
        holding = self._acquire(body.decode())
        return b"taken" if holding else b""

    def _acquire(self, duty: str) -> HeldDuty | None:
        lease = self._ensure_lease()
        if not lease:
            return None
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        fencing = self._store.acquire(
            DUTY_PREFIX + duty, self._value, lease, deadline
        )
        if fencing is None:
            return None
        holding = HeldDuty(duty, fencing)
        with self._lock:
            if self._lease.lease_id != lease or self._stopped:
                return None
            self._holdings_by_duty[duty] = holding
            self._cached_holder_by_duty.pop(duty, None)
        _log.info("Duty acquired.", extra={"duty": duty, "fencing": fencing})
        return holding

    def _ensure_lease(self) -> str:
        """Returns the lease for acquiring a duty; requests one if needed."""
        with self._lease_lock:
            with self._lock:
                if self._stopped:
                    return ""
                if self._lease_usable():
                    return self._lease.lease_id
            self._renew_lease()
            return self._lease.lease_id

    def _renewal_due(self) -> bool:
        with self._lock:
            held = bool(self._holdings_by_duty)
            return held and self._clock.monotonic() >= self._renew_at

    def _renew_lease(self) -> None:
        sent_at, sent_at_wall = self._clock.monotonic(), self._clock.wall()
        deadline = sent_at + CALL_TIMEOUT_S
        with self._lock:
            lease = self._lease.lease_id
        if not lease or not self._store.renew_lease(lease, deadline):
            lease = self._store.grant_lease(leases.LEASE_TTL_S, deadline)
        with self._lock:
            if lease != self._lease.lease_id:
                self._holdings_by_duty.clear()
            self._lease = leases.lease_from_grant(lease, sent_at, sent_at_wall)
            self._renew_at = sent_at + leases.RENEW_PERIOD_S

    def hand_over(self) -> None:
        """Releases all duties and notifies their next holders."""
        with self._lock:
            self._stopped = True
            lease, self._lease = self._lease.lease_id, leases.Lease()
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
            self._notify_next_holder(duty)

    def _notify_next_holder(self, duty: str) -> None:
        names = [
            record.name
            for record in self._hub.instances()
            if record.data_centre == self._holder["data_centre"]
            and record.name != self._holder["instance"]
        ]
        next_holder = owner(duty, names)
        if next_holder is None:
            return
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        try:
            self._hub.call(next_holder, ACQUIRE_METHOD, duty.encode(), deadline)
        except PeerError:
            _log.warning(
                "The next holder of a duty could not be notified.",
                extra={"duty": duty},
            )
