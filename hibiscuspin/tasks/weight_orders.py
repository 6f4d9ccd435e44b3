"""Orders engines to load the versions that trainers name.

The coordinator does this. An engine is cleared of samples before it loads:
they continue on other engines from the events that they already have, and the
engine gets no new ones until it has loaded. A run on a loading engine would
stall for the whole load.
"""

import threading
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import weight_orders
from hibiscuspin.decisions.weight_orders import DesiredVersion, EngineView
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import TargetState, WeightOrder
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.discovered import DiscoveredTarget, DiscoveredTargets
from hibiscuspin.tasks.instances import Instances, Term
from hibiscuspin.tasks.target_exchange import TargetExchange

__all__ = ["WeightOrders"]

TICK_S = 0.05
CALL_TIMEOUT_S = 0.6
MAX_PARALLEL_LOADS = 32
# Longer than a load that runs beside others, with its checks; after this time
# the engine is used again in any case.
LOAD_PAUSE_S = 2.5
# Just below the 0.9 s of a load at full speed.
FIRST_CHECK_DELAY_S = 0.85
CHECK_PERIOD_S = 0.1
# An order whose response was lost may still be carried out this much later.
LOAD_TIMEOUT_S = 2.4

_log = get_logger("weights")


class _AssignmentInputs(NamedTuple):
    """The inputs of the engine assignment, compared to detect changes."""

    desired_by_model: dict[str, int]
    versions_by_engine: dict[str, dict[str, int]]


class WeightOrders:
    """Sends weight orders while this instance has the coordinator's duty."""

    name = "weight orders"

    def __init__(
        self,
        instances: Instances,
        targets: DiscoveredTargets,
        exchange: TargetExchange,
        desired_by_model: Callable[[], Mapping[str, int]],
        finish_first: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        """Creates the task.

        Args:
            instances: Provides this instance's term as coordinator.
            targets: The engines.
            exchange: Clears engines of samples.
            desired_by_model: Returns the newest version that a trainer named
                for each model.
            finish_first: Returns whether generations in flight of a service
                must end under the weights that they started with.
            clock: The time source.
        """
        self._instances = instances
        self._targets = targets
        self._exchange = exchange
        self._desired_by_model = desired_by_model
        self._finish_first = finish_first
        self._clock = clock
        self._loading_by_engine: dict[str, str] = {}
        self._assignment_inputs: _AssignmentInputs | None = None
        self._engines_by_model: dict[str, list[str]] = {}
        # The newest version of each model, and when it was first observed.
        self._desired_since_by_model: dict[str, tuple[int, float]] = {}
        self._executor = ThreadPoolExecutor(
            MAX_PARALLEL_LOADS, thread_name_prefix="load"
        )

    def run(self, stop: threading.Event) -> None:
        """Starts due loads until `stop` is set."""
        while not stop.wait(TICK_S):
            term = self._instances.term()
            if term is None or self._clock.monotonic() < term.orders_from:
                continue
            self._start_loads(term, stop)
        self._executor.shutdown()

    def _start_loads(self, term: Term, stop: threading.Event) -> None:
        """Starts the loads that are due."""
        desired_by_model = self._desired_by_model()
        self._track_desired(desired_by_model)
        engines = {
            target.name: target
            for target in self._targets.all()
            if target.record.version_by_model and target.accepts_work
        }
        in_flight_by_name = self._targets.total_in_flight_by_name()
        assigned = self._assign_engines(desired_by_model, engines)
        views_by_model = {
            model: [
                EngineView(
                    name,
                    engines[name].version(model),
                    in_flight_by_name.get(name, 0),
                    engines[name].record.slots,
                )
                for name in names
            ]
            for model, names in assigned.items()
        }
        max_parallel = weight_orders.max_concurrent_loads(len(engines))
        for model in weight_orders.loading_order(
            desired_by_model, views_by_model
        ):
            desired, desired_since = self._desired_since_by_model[model]
            names = weight_orders.engines_to_load(
                DesiredVersion(model, desired, desired_since),
                views_by_model[model],
                dict(self._loading_by_engine),
                max_parallel - len(self._loading_by_engine),
                self._clock.monotonic(),
            )
            if names:
                self._loading_by_engine.update(dict.fromkeys(names, model))
                self._executor.submit(
                    self._clear_and_load, names, model, desired, term, stop
                )

    def _assign_engines(
        self,
        desired_by_model: Mapping[str, int],
        engines: Mapping[str, DiscoveredTarget],
    ) -> dict[str, list[str]]:
        """Returns each model's engines; reassigns only if inputs changed."""
        inputs = _AssignmentInputs(
            dict(desired_by_model),
            {
                name: {model: target.version(model) for model in models}
                for name, target in engines.items()
                if (
                    models := desired_by_model.keys()
                    & target.record.version_by_model.keys()
                )
            },
        )
        if inputs != self._assignment_inputs:
            assigned = weight_orders.assign_engines(*inputs)
            if assigned != self._engines_by_model:
                _log.info(
                    "Engines assigned to models.",
                    extra={"engines_by_model": assigned},
                )
            self._assignment_inputs = inputs
            self._engines_by_model = assigned
        return self._engines_by_model

    def _track_desired(self, desired_by_model: Mapping[str, int]) -> None:
        """Records when each desired version was first observed."""
        now = self._clock.monotonic()
        for model, desired in desired_by_model.items():
            if self._desired_since_by_model.get(model, (0, 0.0))[0] != desired:
                self._desired_since_by_model[model] = (desired, now)

    def _clear_and_load(
        self,
        names: list[str],
        model: str,
        desired: int,
        term: Term,
        stop: threading.Event,
    ) -> None:
        try:
            self._exchange.clear_samples(names, model, LOAD_PAUSE_S)
        except Exception:
            _log.exception("Could not clear engines of samples before a load.")
        for name in names:
            self._executor.submit(
                self._load_engine, name, model, desired, term, stop
            )

    def _load_engine(
        self,
        name: str,
        model: str,
        desired: int,
        term: Term,
        stop: threading.Event,
    ) -> None:
        """Sends the order to one engine and waits until it has loaded."""
        version = 0
        try:
            target = self._targets.get(name)
            if target is not None and self._send_order(
                target, model, desired, term
            ):
                version = self._await_load(target, model, desired, stop)
        except Exception:
            _log.exception("Loading weights on an engine failed.")
        finally:
            self._exchange.release(name, model, version)
            self._loading_by_engine.pop(name, None)

    def _send_order(
        self, target: DiscoveredTarget, model: str, desired: int, term: Term
    ) -> bool:
        """Sends the order if needed; returns whether to wait for a load."""
        state = self._read_state(target)
        if state is None:
            return False
        if state.version_by_model.get(model, 0) >= desired or state.loading:
            return True
        order = WeightOrder(
            model,
            desired,
            self._finish_first(target.record.service)
            or self._targets.is_limited(target.name),
            self._instances.member.name,
            term.fencing,
            state.accepted_orders,
        )
        # The duty may have ended while the state was queried.
        if not self._instances.begin_order(term):
            return False
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        accepted = False
        try:
            outcome = target.client.send_order(order, deadline)
            accepted, detail = outcome.accepted, outcome.detail
        except TargetError as error:
            detail = str(error)
        _log.info(
            "Weight order sent to engine.",
            extra={
                "target": target.name,
                "model": model,
                "version": desired,
                "orders": state.accepted_orders,
                "busy": state.busy_requests,
                "fencing": term.fencing,
                "accepted": accepted,
                "detail": detail,
            },
        )
        return accepted

    def _await_load(
        self,
        target: DiscoveredTarget,
        model: str,
        desired: int,
        stop: threading.Event,
    ) -> int:
        """Waits for a load.

        Returns:
            The version that the engine serves after the load or the timeout;
            0 if unknown.
        """
        deadline = self._clock.monotonic() + LOAD_TIMEOUT_S
        version = 0
        wait_s = FIRST_CHECK_DELAY_S
        while self._clock.monotonic() < deadline and not stop.wait(wait_s):
            wait_s = CHECK_PERIOD_S
            state = self._read_state(target)
            if state is None:
                continue
            version = state.version_by_model.get(model, 0)
            if version >= desired:
                break
        return version

    def _read_state(self, target: DiscoveredTarget) -> TargetState | None:
        sent_at = self._clock.monotonic()
        reach = self._targets.reach
        try:
            state = target.client.fetch_state(sent_at + CALL_TIMEOUT_S)
            reach.record_answer()
            return state
        except TargetError as error:
            if error.silent or not error.sent:
                reach.record_unanswered(target.name, sent_at)
            _log.info(
                "Engine did not report its state.",
                extra={"target": target.name, "reason": str(error)},
            )
            return None
