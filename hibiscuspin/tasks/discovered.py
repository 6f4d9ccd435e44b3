"""Discovered targets, with this instance's measurements of each."""

import functools
import math
import threading
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import ejection, ewma
from hibiscuspin.decisions.limits import Demand
from hibiscuspin.decisions.placement import TargetView
from hibiscuspin.decisions.software import Software
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import (
    LimitListener,
    TargetClient,
    TargetRecord,
)
from hibiscuspin.logs import get_logger
from hibiscuspin.metrics import Metrics
from hibiscuspin.tasks.crash_reports import CrashReports
from hibiscuspin.tasks.target_limits import Incarnation, Send, TargetLimits
from hibiscuspin.tasks.target_reach import TargetReach

__all__ = [
    "CRASH_RECHECK_S",
    "REFUSAL_BACKOFF_S",
    "Connect",
    "DiscoveredTargets",
    "DiscoveredTarget",
]

# A target that refused a request has a free slot again after one short
# response.
REFUSAL_BACKOFF_S = 0.1
# Everyday faults last seconds, so a failed target is retried early.
MAX_FAILURE_BACKOFF_S = 3.0
# Live targets register again within this time once the store is reachable.
REREGISTRATION_GRACE_S = 2.0
# Job holders exchange their loads five times a second.
PEER_LOAD_TTL_S = 0.7
DEFAULT_RESPONSE_S = 0.05
DEFAULT_EVENT_INTERVAL_S = 0.05
# How long a target that closed a connection may take to accept another one.
PROBE_TIMEOUT_S = 0.3
CRASH_RECHECK_S = 0.1
# How many other targets are tried before a target counts as crashed.
REACH_CHECKS = 3
# How long an instance that refused or failed a request gets no other one.
PEER_BACKOFF_S = 0.5
SAME_DATA_CENTRE_LINK_S = 0.0005
SAME_REGION_LINK_S = 0.004
OTHER_REGION_LINK_S = 0.02

# Creates the client of a target; the client calls the second argument for each
# response that says that the target is draining, and the third one with the
# request limit that a response names.
Connect = Callable[
    [TargetRecord, Callable[[], None], LimitListener], TargetClient
]

_log = get_logger("targets")


class _PeerLoad(NamedTuple):
    """Another instance's requests in flight, and when the report expires."""

    in_flight_by_name: dict[str, int]
    expires_at: float


class DiscoveredTarget:
    """One incarnation of a target.

    Attributes:
        record: Its entry in the store.
        client: The client for it.
        gone: Whether it has left the list, was replaced by a newer
            incarnation, or its address now belongs to another target.
        says_draining: Whether one of its responses said that it is draining.
            The list may show that later, or not at all.
        is_peer: Whether it is another instance, which chooses the target.
        confirmation_lock: Held while the target is asked which incarnation it
            is, and while the next two are read.
        asked_at: When it was asked last, in monotonic time.
        confirmed_at: When it was asked last and said that it is this one.
    """

    def __init__(
        self,
        record: TargetRecord,
        client: TargetClient,
        *,
        is_peer: bool = False,
    ) -> None:
        self.record = record
        self.is_peer = is_peer
        self.client = client
        self.gone = False
        self.says_draining = False
        self.confirmation_lock = threading.Lock()
        self.asked_at = self.confirmed_at = -math.inf
        self.in_flight = 0
        self.health = ejection.Health()
        self.backoff_until = 0.0
        self.paused_until_by_model: dict[str, float] = {}
        self.response_time: ewma.Mean | None = None
        self.event_interval: ewma.Mean | None = None
        self.confirmed_version_by_model: dict[str, int] = {}

    @property
    def name(self) -> str:
        """The target's name."""
        return self.record.name

    def is_listening(self, deadline: float) -> bool:
        """Returns whether its address accepts a connection.

        Raises:
            TargetError: It neither accepted nor refused one by the deadline.
        """
        return self.client.is_listening(deadline)

    @property
    def software(self) -> Software:
        """What generates the events of its streams."""
        return Software(self.record.service, self.record.software_version)

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the target."""
        return Incarnation(self.record.name, self.record.born_ms)

    @property
    def accepts_work(self) -> bool:
        """Whether it may get new requests."""
        return not (self.gone or self.record.draining or self.says_draining)

    def check_accepts_work(self) -> None:
        """Checks again right before a request is sent.

        Raises:
            TargetError: The target began to drain while the request waited
                for a thread.
        """
        if not self.accepts_work:
            raise TargetError(
                f"target {self.name} is draining or gone",
                sent=False,
                refused=True,
            )

    def version(self, model: str) -> int:
        """Returns the last known version of a model that it serves, or 0."""
        registered = self.record.version_by_model.get(model, 0)
        return max(registered, self.confirmed_version_by_model.get(model, 0))


class DiscoveredTargets:
    """All discovered targets; thread-safe."""

    def __init__(
        self,
        data_centre: str,
        region_by_data_centre: Mapping[str, str],
        clock: Clock,
        connect: Connect,
        metrics: Metrics | None = None,
    ) -> None:
        self._data_centre = data_centre
        self._region_by_data_centre = region_by_data_centre
        self._clock = clock
        self._connect = connect
        metrics = metrics or Metrics()
        self.limits = TargetLimits(clock, metrics)
        self.crashes = CrashReports(clock, metrics)
        self.reach = TargetReach(clock, metrics)
        self._lock = threading.Lock()
        self._targets_by_name: dict[str, DiscoveredTarget] = {}
        self._load_by_instance: dict[str, _PeerLoad] = {}
        # The incarnation of each listed target that is known to be draining;
        # peers may report one before the list shows it.
        self._draining_by_name: dict[str, Incarnation] = {}
        # Called once for each incarnation whose response says that it is
        # draining.
        self.on_draining: Callable[[Incarnation], None] = lambda target: None
        # Asks other instances whether they reach a target.
        self.is_listening_elsewhere: Callable[[Incarnation], bool] = (
            lambda target: False
        )
        self.list_received = False
        self.list_received_at = 0.0
        self.reconnected_at = float("-inf")

    def replace(
        self, records: Iterable[TargetRecord], reconnected_at: float
    ) -> None:
        """Replaces the list of targets.

        Args:
            records: The targets as the store lists them.
            reconnected_at: Monotonic time at which the store was last reached
                again after an outage. Soon after that, targets missing from
                the list are kept, since they may still register again.
        """
        now = self._clock.monotonic()
        records_by_name = {record.name: record for record in records}
        with self._lock:
            self.list_received = True
            self.list_received_at = now
            self.reconnected_at = reconnected_at
            for name in list(self._targets_by_name):
                if (
                    name in records_by_name
                    or now < reconnected_at + REREGISTRATION_GRACE_S
                ):
                    continue
                target = self._targets_by_name.pop(name)
                target.gone = True
                target.client.close()
                _log.info(
                    "Target removed: no longer in the store's list.",
                    extra={"target": name},
                )
            for record in records_by_name.values():
                self._upsert(record)
            self.reach.set_known(len(self._targets_by_name))
            self._draining_by_name = {
                name: target
                for name, target in self._draining_by_name.items()
                if name in records_by_name
            }
            self.limits.retain(
                [
                    target.incarnation
                    for target in self._targets_by_name.values()
                ]
            )

    def _upsert(self, record: TargetRecord) -> None:
        known = self._targets_by_name.get(record.name)
        same = (
            known is not None
            and known.record.born_ms == record.born_ms
            and known.record.address == record.address
        )
        if known is not None and same:
            if record.draining and not known.record.draining:
                _log.info(
                    "Target has started draining.",
                    extra={"target": record.name},
                )
            known.record = _keep_departure(known.record, record)
            return
        if known is not None:
            known.gone = True
            known.client.close()
        incarnation = Incarnation(record.name, record.born_ms)
        client = self._connect(
            record,
            functools.partial(self._report_draining, incarnation),
            functools.partial(self.limits.record_response, incarnation),
        )
        target = DiscoveredTarget(record, client)
        target.says_draining = (
            self._draining_by_name.get(record.name) == incarnation
        )
        self._targets_by_name[record.name] = target
        _log.info(
            "Target discovered.",
            extra={
                "target": record.name,
                "service": record.service,
                "address": str(record.address),
                "born_ms": record.born_ms,
                "software_version": record.software_version,
            },
        )

    def get(self, name: str) -> DiscoveredTarget | None:
        """Returns a target if it accepts new work, else None."""
        target = self._targets_by_name.get(name)
        return target if target is not None and target.accepts_work else None

    def _report_draining(self, incarnation: Incarnation) -> None:
        if self.record_draining(incarnation):
            self.on_draining(incarnation)

    def record_draining(self, incarnation: Incarnation) -> bool:
        """Records that a response said that a target is draining.

        Returns:
            Whether that is new.
        """
        name = incarnation.name
        with self._lock:
            if self._draining_by_name.get(name) == incarnation:
                return False
            self._draining_by_name[name] = incarnation
            target = self._targets_by_name.get(name)
            if (
                target is not None
                and target.record.born_ms == incarnation.born_ms
            ):
                target.says_draining = True
        _log.info(
            "Target says that it is draining.",
            extra={"target": name, "born_ms": incarnation.born_ms},
        )
        return True

    def of_service(self, service: str) -> list[DiscoveredTarget]:
        """Returns the targets of a service that accept new work."""
        with self._lock:
            return [
                target
                for target in self._targets_by_name.values()
                if target.record.service == service and target.accepts_work
            ]

    def accepting_work(self) -> list[DiscoveredTarget]:
        """Returns the targets of all services that accept new work."""
        return [target for target in self.all() if target.accepts_work]

    def all(self) -> list[DiscoveredTarget]:
        """Returns all targets, including those that are draining."""
        with self._lock:
            return list(self._targets_by_name.values())

    def event_s(self, target: DiscoveredTarget) -> float:
        """Returns the expected seconds per event of a target's streams."""
        now = self._clock.monotonic()
        interval = target.event_interval
        return ewma.estimate(interval, DEFAULT_EVENT_INTERVAL_S, now)

    def limits_of(self, service: str) -> dict[Incarnation, float]:
        """Returns the request limits of the targets that accept new work."""
        return {
            target: rate_per_s
            for target in self.known_of(service)
            if math.isfinite(rate_per_s := self.limits.rate_per_s(target))
        }

    def is_limited(self, name: str) -> bool:
        """Returns whether a target names a request limit."""
        target = self._targets_by_name.get(name)
        return target is not None and math.isfinite(
            self.limits.rate_per_s(target.incarnation)
        )

    def known_of(self, service: str) -> list[Incarnation]:
        """Returns the targets of a service that accept new work."""
        return [target.incarnation for target in self.of_service(service)]

    def request_tokens(
        self,
        key: str,
        service: str,
        demand: Demand,
        views: Iterable[TargetView],
    ) -> None:
        """Asks for tokens if any of the usable targets names a request limit.

        Args:
            key: The request or job; a later call replaces the earlier one.
            service: The service of the requests.
            demand: How many requests wait.
            views: The targets that could take them now.
        """
        now = self._clock.monotonic()
        usable_names = [
            view.name
            for view in views
            if view.is_limited
            and view.free_slots > 0
            and view.backoff_until <= now
        ]
        if usable_names:
            self.limits.request_tokens(key, service, demand, usable_names)

    def views(
        self, service: str, model: str = "", *, deferrable: bool = False
    ) -> list[TargetView]:
        """Returns a service's targets as the placement decisions see them.

        Args:
            service: The service.
            model: The model whose version matters, or an empty string.
            deferrable: Whether the request is a sample or a reward call.
        """
        now = self._clock.monotonic()
        targets = self.of_service(service)
        suspects_by_target = self.crashes.suspects_by_target()
        elsewhere = self._in_flight_elsewhere(now)
        event_s = self._median(
            targets, "event_interval", DEFAULT_EVENT_INTERVAL_S, now
        )
        answer_s = self._median(
            targets, "response_time", DEFAULT_RESPONSE_S, now
        )
        return [
            TargetView(
                name=target.name,
                slots=target.record.slots,
                in_flight_here=target.in_flight,
                in_flight_elsewhere=elsewhere[target.name],
                link_s=self._link_s(target.record.data_centre),
                answer_s=ewma.estimate(target.response_time, answer_s, now),
                event_s=ewma.estimate(target.event_interval, event_s, now),
                version=target.version(model) if model else 0,
                backoff_until=max(
                    target.backoff_until,
                    target.paused_until_by_model.get(model, 0.0),
                ),
                sends=self.limits.sends(target.incarnation, deferrable),
                rate_per_s=self.limits.rate_per_s(target.incarnation),
                suspects=suspects_by_target.get(target.name, 0),
                software=target.software,
            )
            for target in targets
        ]

    def _median(
        self,
        targets: list[DiscoveredTarget],
        attribute: str,
        default: float,
        now: float,
    ) -> float:
        """Returns the lower median of an attribute's means, or `default`.

        The median keeps a few slow targets from shifting the estimate.
        """
        means = [getattr(target, attribute) for target in targets]
        values = sorted(mean.value for mean in means if mean is not None)
        return values[(len(values) - 1) // 2] if values else default

    def round_trip_s(self, target: DiscoveredTarget) -> float:
        """Returns the round-trip time of the link to a target."""
        return self._link_s(target.record.data_centre)

    def _link_s(self, data_centre: str) -> float:
        if data_centre == self._data_centre:
            return SAME_DATA_CENTRE_LINK_S
        regions = self._region_by_data_centre
        if regions.get(data_centre) == regions.get(self._data_centre):
            return SAME_REGION_LINK_S
        return OTHER_REGION_LINK_S

    def in_flight_by_name(self) -> dict[str, int]:
        """Returns this instance's requests in flight on each target."""
        with self._lock:
            return {
                name: target.in_flight
                for name, target in self._targets_by_name.items()
                if target.in_flight
            }

    def total_in_flight_by_name(self) -> dict[str, int]:
        """Returns the known requests in flight of all instances."""
        total = self._in_flight_elsewhere(self._clock.monotonic())
        total.update(self.in_flight_by_name())
        return dict(total)

    def record_peer_load(
        self, instance: str, in_flight_by_name: dict[str, int]
    ) -> None:
        """Records another instance's requests in flight on each target."""
        now = self._clock.monotonic()
        with self._lock:
            self._load_by_instance[instance] = _PeerLoad(
                in_flight_by_name, now + PEER_LOAD_TTL_S
            )

    def _in_flight_elsewhere(self, now: float) -> Counter[str]:
        total: Counter[str] = Counter()
        for load in list(self._load_by_instance.values()):
            if load.expires_at > now:
                total.update(load.in_flight_by_name)
        return total

    def try_start(self, target: DiscoveredTarget, send: Send) -> bool:
        """Counts a request as in flight, if the target's limit allows it.

        Returns:
            Whether the request may be sent.
        """
        if not self.limits.take(target.incarnation, send):
            return False
        with self._lock:
            target.in_flight += 1
        return True

    def request_ended(self, target: DiscoveredTarget) -> None:
        """Stops counting a request as in flight on a target."""
        with self._lock:
            target.in_flight -= 1

    def record_success(
        self,
        target: DiscoveredTarget,
        *,
        answer_s: float | None = None,
        event_s: float | None = None,
    ) -> None:
        """Records a complete response, or a stream's time per event."""
        if not target.is_peer:
            self.reach.record_answer()
        now = self._clock.monotonic()
        with self._lock:
            target.health = ejection.after_success(target.health)
            target.backoff_until = 0.0
            if answer_s is not None:
                target.response_time = ewma.add(
                    target.response_time, answer_s, now
                )
            if event_s is not None:
                target.event_interval = ewma.add(
                    target.event_interval, event_s, now
                )

    def record_error(
        self,
        target: DiscoveredTarget,
        error: TargetError,
        request_id: str,
        sent_at: float,
    ) -> None:
        """Updates a target's state after a failed attempt of a request.

        Args:
            target: The target.
            error: How the attempt ended.
            request_id: The request's id.
            sent_at: When the attempt started, in monotonic time.
        """
        if target.is_peer:
            self._record_peer_error(target, error, request_id)
            return
        if error.refused or error.status:
            self.reach.record_answer()
        elif error.silent or not error.sent:
            self.reach.record_unanswered(target.name, sent_at)
        # The client sets `draining` if the target responded with status 421.
        if error.draining:
            self.remove_misdirected(target)
        elif error.refused:
            self.record_refusal(target)
        else:
            self.record_failure(target, error.silent, str(error), request_id)

    def _record_peer_error(
        self, target: DiscoveredTarget, error: TargetError, request_id: str
    ) -> None:
        now = self._clock.monotonic()
        with self._lock:
            target.backoff_until = now + PEER_BACKOFF_S
        _log.info(
            "Attempt through another instance failed.",
            extra={
                "request_id": request_id,
                "peer": target.name,
                "refused": error.refused,
                "sent": error.sent,
                "reason": str(error),
            },
        )

    def record_if_crashed(
        self,
        target: DiscoveredTarget,
        error: TargetError,
        key: str,
        request_id: str,
        sent_at: float,
    ) -> bool:
        """Records a crash if a failed attempt ended with one.

        A target that crashed has closed the connection, and nothing listens at
        its address. One that is cut off does neither; one that drains or has
        left the list may end at any time.

        Args:
            target: The target.
            error: How the attempt ended.
            key: The request's fingerprint; empty if it is not tracked.
            request_id: The request's id.
            sent_at: When it was sent, in monotonic time.

        Returns:
            Whether to check again after `CRASH_RECHECK_S`: a process that ends
            may close its connections before it stops listening.
        """
        if not (key and error.disconnected and target.accepts_work):
            return False
        if target.is_peer:
            return False
        deadline = self._clock.monotonic() + PROBE_TIMEOUT_S
        try:
            is_listening = target.client.is_listening(deadline)
        except TargetError as failure:
            _log.info(
                "Target closed a connection and can't be reached.",
                extra={
                    "request_id": request_id,
                    "target": target.name,
                    "reason": str(failure),
                },
            )
            return False
        if is_listening:
            _log.info(
                "Target closed a connection, but still listens.",
                extra={"request_id": request_id, "target": target.name},
            )
            return True
        if not self._is_any_listening(deadline, target.name) and (
            self.is_listening_elsewhere(target.incarnation)
        ):
            _log.info(
                "Target closed a connection, but accepts those of others.",
                extra={"request_id": request_id, "target": target.name},
            )
            return False
        incarnation = f"{target.name}/{target.record.born_ms}"
        self.crashes.record_crash(key, incarnation, sent_at, request_id)
        return False

    def _is_any_listening(self, deadline: float, failed: str) -> bool:
        """Returns whether this instance reaches a target beside a failed one.

        Those are tried first that have not failed since any one answered.
        """
        if self.reach.is_doubtful:
            return False
        unanswered = self.reach.unanswered()
        others = [t for t in self.accepting_work() if t.name != failed]
        others.sort(key=lambda target: target.name in unanswered)
        for target in others[:REACH_CHECKS]:
            sent_at = self._clock.monotonic()
            try:
                if target.is_listening(deadline):
                    self.reach.record_answer(new_connection=True)
                    return True
            except TargetError as error:
                _log.debug(
                    "Target not reached while another one is checked.",
                    extra={"target": target.name, "reason": str(error)},
                )
            self.reach.record_unanswered(target.name, sent_at)
        return False

    def record_refusal(self, target: DiscoveredTarget) -> None:
        """Backs off from a target that had no free slot."""
        now = self._clock.monotonic()
        with self._lock:
            target.backoff_until = max(
                target.backoff_until, now + REFUSAL_BACKOFF_S
            )

    def record_failure(
        self,
        target: DiscoveredTarget,
        silent: bool,
        reason: str,
        request_id: str,
    ) -> None:
        """Records a failed attempt; silent or repeated ones cause a backoff."""
        now = self._clock.monotonic()
        with self._lock:
            target.health = ejection.after_failure(target.health, silent, now)
            backoff_until = min(
                target.health.ejected_until, now + MAX_FAILURE_BACKOFF_S
            )
            previous = target.backoff_until
            target.backoff_until = max(previous, backoff_until)
        _log.info(
            "Attempt at a target failed.",
            extra={
                "request_id": request_id,
                "target": target.name,
                "born_ms": target.record.born_ms,
                "others_in_flight": target.in_flight,
                "silent": silent,
                "reason": reason,
                "rests_s": round(max(0.0, backoff_until - now), 2),
            },
        )

    def pause(self, names: Iterable[str], model: str, until: float) -> None:
        """Stops a model's new work on targets about to load its weights."""
        for name in names:
            target = self._targets_by_name.get(name)
            if target is not None:
                target.paused_until_by_model[model] = until

    def resume(self, name: str, model: str, version: int) -> None:
        """Ends a pause and records the version that the target serves."""
        target = self._targets_by_name.get(name)
        if target is not None:
            target.paused_until_by_model.pop(model, None)
            known = target.confirmed_version_by_model.get(model, 0)
            target.confirmed_version_by_model[model] = max(known, version)

    def remove_misdirected(self, target: DiscoveredTarget) -> None:
        """Stops using a target whose address now belongs to another one."""
        target.gone = True
        target.client.close()
        _log.info(
            "Target removed: its address now belongs to another target.",
            extra={"target": target.name},
        )


def _keep_departure(known: TargetRecord, record: TargetRecord) -> TargetRecord:
    """Returns a record with the earlier time of departure of the two.

    An entry that is read again names the time that was left when its target
    wrote it.
    """
    if known.leaves_at is None or record.leaves_at is None:
        return record
    return record._replace(leaves_at=min(known.leaves_at, record.leaves_at))
