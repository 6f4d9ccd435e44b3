"""Moves engines to the versions that trainers name; the coordinator's work."""

import threading
from collections.abc import Callable, Mapping

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import weight_orders
from hibiscuspin.decisions.weight_orders import EngineView, Ordered
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import TargetState, WeightOrder
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.discovered import DiscoveredTargets, Target
from hibiscuspin.tasks.instances import Instances, Term

__all__ = ["WeightOrders"]

TICK_S = 0.05
CALL_TIMEOUT_S = 0.8

_log = get_logger("weights")


class WeightOrders:
    """Orders engines while this instance has the duty."""

    name = "weight orders"

    def __init__(
        self,
        instances: Instances,
        targets: DiscoveredTargets,
        wanted_by_model: Callable[[], Mapping[str, int]],
        finish_first: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        """Creates the task.

        Args:
            instances: Tells whether this instance has the duty.
            targets: The engines.
            wanted_by_model: Returns the newest versions that were named.
            finish_first: Returns whether open generations of a service must
                end under the weights that they began with.
            clock: The time.
        """
        self._instances = instances
        self._targets = targets
        self._wanted_by_model = wanted_by_model
        self._finish_first = finish_first
        self._clock = clock
        self._ordered_by_name: dict[str, Ordered] = {}
        self._busy_by_name: dict[str, int] = {}

    def run(self, stop: threading.Event) -> None:
        """Orders until `stop` is set."""
        while not stop.wait(TICK_S):
            term = self._instances.term()
            now = self._clock.monotonic()
            if term is None:
                self._ordered_by_name.clear()
                continue
            if now < term.orders_from:
                continue
            for model, wanted in self._wanted_by_model().items():
                self._move(model, wanted, term)

    def _move(self, model: str, wanted: int, term: Term) -> None:
        by_name = {
            _key(target): target
            for target in self._targets.all()
            if model in target.record.version_by_model
            and not target.gone
            and not target.record.draining
        }
        views = [
            EngineView(
                name,
                target.version(model),
                max(target.open_calls, self._busy_by_name.get(name, 0)),
            )
            for name, target in by_name.items()
        ]
        now = self._clock.monotonic()
        due = weight_orders.next_engines(
            wanted, views, self._ordered_by_name, now
        )
        for name in due:
            self._order(name, by_name[name], model, wanted, term)

    def _order(
        self, name: str, target: Target, model: str, wanted: int, term: Term
    ) -> None:
        state = self._state(name, target, model)
        if state is None:
            self._recheck(name, wanted, False)
            return
        version = state.version_by_model.get(model, 0)
        if version >= wanted:
            self._ordered_by_name.pop(name, None)
            return
        if state.loading:
            self._recheck(name, wanted, True)
            return
        order = WeightOrder(
            model,
            wanted,
            self._finish_first(target.record.service),
            self._instances.member.name,
            term.fencing,
            state.orders,
        )
        # The duty may have ended while the state was asked for.
        if self._instances.term() != term:
            return
        self._give(name, target, order)

    def _state(
        self, name: str, target: Target, model: str
    ) -> TargetState | None:
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        try:
            state = target.calls.state(deadline)
        except TargetError as error:
            _log.info(
                "Engine not asked.",
                extra={"target": target.name, "reason": str(error)},
            )
            return None
        self._busy_by_name[name] = state.busy
        target.least_version_by_model[model] = max(
            target.least_version_by_model.get(model, 0),
            state.version_by_model.get(model, 0),
        )
        return state

    def _give(self, name: str, target: Target, order: WeightOrder) -> None:
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        accepted = False
        try:
            outcome = target.calls.order(order, deadline)
            accepted = outcome.accepted
            detail = outcome.detail
        except TargetError as error:
            detail = str(error)
        self._recheck(name, order.version, accepted)
        _log.info(
            "Order given.",
            extra={
                "target": target.name,
                "model": order.model,
                "version": order.version,
                "orders": order.orders,
                "fencing": order.fencing,
                "accepted": accepted,
                "detail": detail,
            },
        )

    def _recheck(self, name: str, version: int, accepted: bool) -> None:
        at = self._clock.monotonic() + weight_orders.RECHECK_S
        self._ordered_by_name[name] = Ordered(version, accepted, at)


def _key(target: Target) -> str:
    return f"{target.name}/{target.record.born_ms}"
