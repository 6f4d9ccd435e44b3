"""Moves engines to the versions that trainers name; the coordinator's work.

An engine that is to load is cleared first: its samples go on at other
engines from the events that they have, and it gets no new ones until it has
loaded. A run that meets a load would stand still for its whole length.
"""

import threading
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import weight_orders
from hibiscuspin.decisions.weight_orders import EngineView, ModelNeed
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import TargetState, WeightOrder
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.discovered import DiscoveredTargets, Target
from hibiscuspin.tasks.instances import Instances, Term
from hibiscuspin.tasks.target_exchange import TargetExchange

__all__ = ["WeightOrders"]

TICK_S = 0.05
CALL_TIMEOUT_S = 0.6
LOAD_THREADS = 32
# Over a load among others and its checks; then the engine is used again.
HOLD_S = 2.5
# A load takes 0.9 s at full speed.
FIRST_CHECK_S = 0.85
CHECK_PERIOD_S = 0.1
# An order without an answer may be carried out this much later.
LOAD_TIMEOUT_S = 2.4

_log = get_logger("weights")


class _AssignInputs(NamedTuple):
    """What engines are assigned by."""

    wanted_by_model: dict[str, int]
    versions_by_engine: dict[str, dict[str, int]]


class WeightOrders:
    """Orders engines while this instance has the duty."""

    name = "weight orders"

    def __init__(
        self,
        instances: Instances,
        targets: DiscoveredTargets,
        exchange: TargetExchange,
        wanted_by_model: Callable[[], Mapping[str, int]],
        finish_first: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        """Creates the task.

        Args:
            instances: Tells whether this instance has the duty.
            targets: The engines.
            exchange: Clears engines of samples.
            wanted_by_model: Returns the newest versions that were named.
            finish_first: Returns whether open generations of a service must
                end under the weights that they began with.
            clock: The time.
        """
        self._instances = instances
        self._targets = targets
        self._exchange = exchange
        self._wanted_by_model = wanted_by_model
        self._finish_first = finish_first
        self._clock = clock
        self._loading_by_engine: dict[str, str] = {}
        self._assign_inputs: _AssignInputs | None = None
        self._engines_by_model: dict[str, list[str]] = {}
        # The newest version of each model, and when it was heard of.
        self._named_by_model: dict[str, tuple[int, float]] = {}
        self._loads = ThreadPoolExecutor(
            LOAD_THREADS, thread_name_prefix="load"
        )

    def run(self, stop: threading.Event) -> None:
        """Orders until `stop` is set."""
        while not stop.wait(TICK_S):
            term = self._instances.term()
            if term is None or self._clock.monotonic() < term.orders_from:
                continue
            self._move(term, stop)
        self._loads.shutdown()

    def _move(self, term: Term, stop: threading.Event) -> None:
        """Starts the loads that are due."""
        wanted_by_model = self._wanted_by_model()
        self._note_names(wanted_by_model)
        engines = {
            target.name: target
            for target in self._targets.all()
            if target.record.version_by_model
            and not target.gone
            and not target.record.draining
        }
        open_by_name = self._targets.open_everywhere()
        assigned = self._assigned(wanted_by_model, engines)
        views_by_model = {
            model: [
                EngineView(
                    name,
                    engines[name].version(model),
                    open_by_name.get(name, 0),
                    engines[name].record.slots,
                )
                for name in names
            ]
            for model, names in assigned.items()
        }
        at_once = weight_orders.loads_at_once(len(engines))
        for model in weight_orders.turns(wanted_by_model, views_by_model):
            wanted, named_at = self._named_by_model[model]
            names = weight_orders.next_engines(
                ModelNeed(model, wanted, named_at),
                views_by_model[model],
                dict(self._loading_by_engine),
                at_once - len(self._loading_by_engine),
                self._clock.monotonic(),
            )
            if names:
                self._loading_by_engine.update(dict.fromkeys(names, model))
                self._loads.submit(
                    self._clear_and_load, names, model, wanted, term, stop
                )

    def _assigned(
        self, wanted_by_model: Mapping[str, int], engines: Mapping[str, Target]
    ) -> dict[str, list[str]]:
        """Returns each model's engines; chosen anew only after a change."""
        inputs = _AssignInputs(
            dict(wanted_by_model),
            {
                name: {model: target.version(model) for model in models}
                for name, target in engines.items()
                if (
                    models := wanted_by_model.keys()
                    & target.record.version_by_model.keys()
                )
            },
        )
        if inputs != self._assign_inputs:
            chosen = weight_orders.assign(*inputs)
            if chosen != self._engines_by_model:
                _log.info(
                    "Engines assigned.", extra={"engines_by_model": chosen}
                )
            self._assign_inputs = inputs
            self._engines_by_model = chosen
        return self._engines_by_model

    def _note_names(self, wanted_by_model: Mapping[str, int]) -> None:
        """Keeps when each version was heard of first."""
        now = self._clock.monotonic()
        for model, wanted in wanted_by_model.items():
            if self._named_by_model.get(model, (0, 0.0))[0] != wanted:
                self._named_by_model[model] = (wanted, now)

    def _clear_and_load(
        self,
        names: list[str],
        model: str,
        wanted: int,
        term: Term,
        stop: threading.Event,
    ) -> None:
        try:
            self._exchange.clear(names, model, HOLD_S)
        except Exception:
            _log.exception("Engines not cleared.")
        for name in names:
            self._loads.submit(self._load, name, model, wanted, term, stop)

    def _load(
        self,
        name: str,
        model: str,
        wanted: int,
        term: Term,
        stop: threading.Event,
    ) -> None:
        """Orders one engine and waits until it has loaded."""
        version = 0
        try:
            target = self._targets.get(name)
            if target is not None and self._order(target, model, wanted, term):
                version = self._await_load(target, model, wanted, stop)
        except Exception:
            _log.exception("Load failed.")
        finally:
            self._exchange.release(name, model, version)
            self._loading_by_engine.pop(name, None)

    def _order(
        self, target: Target, model: str, wanted: int, term: Term
    ) -> bool:
        """Gives the order; returns whether a load may be under way."""
        state = self._state(target)
        if state is None:
            return False
        if state.version_by_model.get(model, 0) >= wanted or state.loading:
            return True
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
            return False
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        accepted = False
        try:
            outcome = target.calls.order(order, deadline)
            accepted, detail = outcome.accepted, outcome.detail
        except TargetError as error:
            detail = str(error)
        _log.info(
            "Order given.",
            extra={
                "target": target.name,
                "model": model,
                "version": wanted,
                "orders": state.orders,
                "busy": state.busy,
                "fencing": term.fencing,
                "accepted": accepted,
                "detail": detail,
            },
        )
        return accepted

    def _await_load(
        self, target: Target, model: str, wanted: int, stop: threading.Event
    ) -> int:
        """Returns the version that the engine serves in the end."""
        until = self._clock.monotonic() + LOAD_TIMEOUT_S
        version = 0
        wait_s = FIRST_CHECK_S
        while self._clock.monotonic() < until and not stop.wait(wait_s):
            wait_s = CHECK_PERIOD_S
            state = self._state(target)
            if state is None:
                continue
            version = state.version_by_model.get(model, 0)
            if version >= wanted:
                break
        return version

    def _state(self, target: Target) -> TargetState | None:
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        try:
            return target.calls.state(deadline)
        except TargetError as error:
            _log.info(
                "Engine not asked.",
                extra={"target": target.name, "reason": str(error)},
            )
            return None
