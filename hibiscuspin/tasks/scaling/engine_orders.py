"""Orders engines while this instance has the coordinator's duty.

Every instance follows the list of engines, so that a new coordinator knows
which ones were lost just before. The plan itself lives in the coordinator's
memory and is made anew in each term.
"""

import threading
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.scaling import demand, orders, plan
from hibiscuspin.decisions.scaling.engines import (
    EngineGroup,
    EngineListing,
    PresentPoint,
    highest_present,
    is_list_usable,
    record_present,
)
from hibiscuspin.decisions.scaling.limits import ScalingLimits, find_problem
from hibiscuspin.decisions.scaling.orders import DueOrder, OrderResult
from hibiscuspin.decisions.scaling.plan import EnginePlan
from hibiscuspin.edges.duty_calls import (
    DutyCallError,
    DutyCalls,
    DutyHolder,
    EngineCountOrder,
    EngineCountOutcome,
)
from hibiscuspin.logs import get_logger
from hibiscuspin.metrics import Metrics
from hibiscuspin.tasks.discovered import DiscoveredTarget, DiscoveredTargets
from hibiscuspin.tasks.instances import Instances, Term
from hibiscuspin.tasks.route_table import Routes
from hibiscuspin.tasks.scaling.waiting_samples import WaitingSamples

__all__ = ["EngineOrders", "list_engines"]

TICK_S = 1.0
# An order may arrive this long after the term has ended; the next coordinator
# waits longer than that.
CALL_TIMEOUT_S = 0.6
MAX_PARALLEL_CALLS = 8

_log = get_logger("duties")


class _ServicePlan(NamedTuple):
    """The plan of a service, and the fencing number of its term."""

    fencing: int
    plan: EnginePlan


class _Inputs(NamedTuple):
    """What an order was decided from, for its log line."""

    demand: int
    needed: int
    wanted: int
    present: int
    leaving: int


class EngineOrders:
    """Plans and orders the engines of all services that have limits."""

    name = "engine orders"

    def __init__(
        self,
        instances: Instances,
        targets: DiscoveredTargets,
        calls: DutyCalls,
        routes: Routes,
        limits_by_service: Callable[[], Mapping[str, ScalingLimits]],
        waiting: WaitingSamples,
        list_max_age_s: Callable[[], float],
        data_centres: Collection[str],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Creates the task.

        Args:
            instances: Provides this instance's term as coordinator.
            targets: The engines.
            calls: Sends the orders.
            routes: Tells which requests a service gets.
            limits_by_service: Returns the limits of the services to scale.
            waiting: The samples that wait at all instances.
            list_max_age_s: Returns the age of the list above which the store
                counts as out.
            data_centres: The data centres of the deployment.
            clock: The time source.
            metrics: Counts the orders.
        """
        self._instances = instances
        self._targets = targets
        self._calls = calls
        self._routes = routes
        self._limits_by_service = limits_by_service
        self._waiting = waiting
        self._list_max_age_s = list_max_age_s
        self._data_centres = data_centres
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._plan_by_service: dict[str, _ServicePlan] = {}
        self._points_by_service: dict[str, tuple[PresentPoint, ...]] = {}
        self._problem_by_service: dict[str, str] = {}
        self._shortage_by_service: dict[str, int] = {}
        # The data centres of each service with a call in flight.
        self._calls_in_flight: set[tuple[str, str]] = set()
        self._executor = ThreadPoolExecutor(
            MAX_PARALLEL_CALLS, thread_name_prefix="engines"
        )

    def run(self, stop: threading.Event) -> None:
        """Looks at all services once a second until `stop` is set."""
        while not stop.wait(TICK_S):
            self.look()
        self._executor.shutdown()

    def look(self) -> None:
        """Looks at all services once, and starts the orders that are due."""
        now = self._clock.monotonic()
        targets = self._targets
        if not targets.list_received or not is_list_usable(
            targets.list_received_at,
            targets.reconnected_at,
            self._list_max_age_s(),
            now,
        ):
            return
        limits_by_service = self._limits_by_service()
        with self._lock:
            for service in self._plan_by_service.keys() - limits_by_service:
                del self._plan_by_service[service]
        if not limits_by_service:
            return
        listed = targets.all()
        term = self._instances.term()
        for service, limits in limits_by_service.items():
            engines = [t for t in listed if t.record.service == service]
            if self._is_valid(service, limits, engines):
                self._look_at(service, limits, engines, term)

    def _is_valid(
        self,
        service: str,
        limits: ScalingLimits,
        engines: Collection[DiscoveredTarget],
    ) -> bool:
        used = {engine.record.data_centre for engine in engines}
        problem = find_problem(limits, used, self._data_centres)
        if problem and problem != self._problem_by_service.get(service):
            _log.error(
                "Service not scaled: its limits are invalid.",
                extra={"service": service, "reason": problem},
            )
        self._problem_by_service[service] = problem
        return not problem

    def _look_at(
        self,
        service: str,
        limits: ScalingLimits,
        engines: Collection[DiscoveredTarget],
        term: Term | None,
    ) -> None:
        now = self._clock.monotonic()
        listing = list_engines(engines)
        points = self._points_by_service.get(service, ())
        points = record_present(points, listing, now)
        self._points_by_service[service] = points
        present = sum(listing.present_by_group.values())
        self._metrics.engines_seen.labels(service).set(present)
        if term is None:
            with self._lock:
                self._plan_by_service.pop(service, None)
            self._metrics.engines_wanted.labels(service).set(0)
            return
        samples = self._samples(service, engines)
        with self._lock:
            known = self._plan_by_service.get(service)
            if known is None or known.fencing != term.fencing:
                begun = plan.begin_plan(highest_present(points), listing)
                known = _ServicePlan(term.fencing, begun)
            current = plan.next_plan(
                known.plan,
                limits,
                listing,
                samples,
                now,
                may_release=self._routes.serves_only_jobs(service),
            )
            due: list[DueOrder] = []
            if now >= term.orders_from:
                due = [
                    order
                    for order in orders.due_orders(
                        current, limits, listing, now
                    )
                    if (service, order.group.data_centre)
                    not in self._calls_in_flight
                ]
            for order in due:
                current = orders.begin_order(current, order, now)
                self._calls_in_flight.add((service, order.group.data_centre))
            self._plan_by_service[service] = _ServicePlan(term.fencing, current)
        inputs = _Inputs(
            demand.peak(current.history),
            plan.needed_engines(current).engines,
            sum(current.wanted_by_group.values()),
            present,
            sum(listing.leaving_by_group.values()),
        )
        self._report(service, inputs)
        for order in due:
            self._executor.submit(
                self._send, service, order, limits, term, inputs
            )

    def _samples(
        self, service: str, engines: Collection[DiscoveredTarget]
    ) -> int:
        in_flight_by_name = self._targets.total_in_flight_by_name()
        in_flight = sum(
            in_flight_by_name.get(engine.name, 0) for engine in engines
        )
        return in_flight + self._waiting.total()[service]

    def _report(self, service: str, inputs: _Inputs) -> None:
        self._metrics.engines_wanted.labels(service).set(inputs.wanted)
        shortage = max(0, inputs.needed - inputs.wanted)
        if shortage != self._shortage_by_service.get(service, 0):
            _log.warning(
                "Number of engines that are needed but can't be ordered "
                "changed.",
                extra={
                    "service": service,
                    "shortage": shortage,
                    **inputs._asdict(),
                },
            )
        self._shortage_by_service[service] = shortage

    def _send(
        self,
        service: str,
        order: DueOrder,
        limits: ScalingLimits,
        term: Term,
        inputs: _Inputs,
    ) -> None:
        """Sends an order and records its outcome."""
        subject = (service, order.group.data_centre)
        try:
            # The duty may have ended while the order waited for a thread.
            if not self._instances.begin_order(term):
                return
            result, reason = self._call(service, order, term)
            self._record(service, order, limits, term, result)
            self._log_order(service, order, term, inputs, result, reason)
        except Exception:
            _log.exception("Sending an order of engines failed.")
        finally:
            with self._lock:
                self._calls_in_flight.discard(subject)

    def _call(
        self, service: str, order: DueOrder, term: Term
    ) -> tuple[OrderResult, str]:
        """Makes the call; returns its result and the reason of a failure."""
        try:
            outcome = self._calls.set_engine_count(
                DutyHolder(self._instances.member.name, term.fencing),
                EngineCountOrder(
                    service,
                    order.group.data_centre,
                    order.engines,
                    order.group.interruptible,
                ),
                self._clock.monotonic() + CALL_TIMEOUT_S,
            )
        except DutyCallError as error:
            if error.is_final:
                return OrderResult.REJECTED, str(error)
            if error.applied is False:
                return OrderResult.NOT_SENT, str(error)
            return OrderResult.UNKNOWN, str(error)
        if outcome is EngineCountOutcome.UNAVAILABLE:
            return OrderResult.UNAVAILABLE, ""
        return OrderResult.ACCEPTED, ""

    def _record(
        self,
        service: str,
        order: DueOrder,
        limits: ScalingLimits,
        term: Term,
        result: OrderResult,
    ) -> None:
        now = self._clock.monotonic()
        self._metrics.engine_orders.labels(service, result.value).inc()
        with self._lock:
            known = self._plan_by_service.get(service)
            if known is None or known.fencing != term.fencing:
                return
            after = orders.after_order(
                known.plan, order, result, limits.boot_s, now
            )
            self._plan_by_service[service] = known._replace(plan=after)

    def _log_order(
        self,
        service: str,
        order: DueOrder,
        term: Term,
        inputs: _Inputs,
        result: OrderResult,
        reason: str,
    ) -> None:
        fields: dict[str, Any] = {
            "service": service,
            "data_centre": order.group.data_centre,
            "interruptible": order.group.interruptible,
            "engines": order.engines,
            "listed_there": order.present,
            "cause": order.reason,
            "outcome": result.value,
            "reason": reason,
            "fencing": term.fencing,
            **inputs._asdict(),
        }
        _log.info("Order of engines sent.", extra=fields)


def list_engines(engines: Collection[DiscoveredTarget]) -> EngineListing:
    """Counts the engines of a service.

    Engines that load weights or have failed lately count as present.
    """
    present: Counter[EngineGroup] = Counter()
    leaving: Counter[EngineGroup] = Counter()
    reclaimed = set()
    slots = []
    for engine in engines:
        record = engine.record
        group = EngineGroup(record.data_centre, record.interruptible)
        if engine.accepts_work:
            present[group] += 1
            slots.append(record.slots)
        else:
            leaving[group] += 1
            if record.interruptible and record.leaves_at is not None:
                reclaimed.add(group)
    slots.sort()
    middle = slots[(len(slots) - 1) // 2] if slots else 0
    return EngineListing(present, leaving, frozenset(reclaimed), middle)
