"""Carries out weight roll-outs: each instance sends orders to its engines.

The desired version is a record in the platform's store, one key for each
model; the record's revision is the fencing number of all orders. Instances
learn of a change from their peers, and share the statuses of the engines that
they own.
"""

import threading
from collections.abc import Collection, Iterable
from concurrent.futures import Executor
from typing import NamedTuple

import msgspec

from hibiscuspin import rendezvous
from hibiscuspin.clock import Clock
from hibiscuspin.config import Document
from hibiscuspin.decisions import weights as decision
from hibiscuspin.decisions.snapshots import Revision
from hibiscuspin.decisions.weights import (
    DesiredWeights,
    EngineLocation,
    EngineOrder,
    EngineStatus,
    Phase,
    StageOrder,
)
from hibiscuspin.edges import PlatformStore, StoreError, TargetError
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.hub import PeerHub
from hibiscuspin.tasks.targets import Targets
from hibiscuspin.tasks.weight_records import WeightRecords

__all__ = ["STATUS_TOPIC", "DESIRED_TOPIC", "RolloutState", "WeightRollouts"]

DESIRED_TOPIC = "weights.wanted"
STATUS_TOPIC = "weights.status"
ACTIVE_PERIOD_S = 0.2
IDLE_PERIOD_S = 5.0
MIN_TURN_GAP_S = 0.05
STORE_READ_PERIOD_S = 30.0
ORDER_TIMEOUT_S = 2.0
# Orders that were planned longer ago than this are dropped.
MAX_PLAN_AGE_S = 2.0
# The switch begins after this time even if some engines have not staged.
STAGE_TIMEOUT_S = 300.0
MAX_WRITE_ATTEMPTS = 4

_log = get_logger("weights")


class RolloutState(NamedTuple):
    """The progress of a model's roll-out, as this instance knows it.

    Attributes:
        desired: The record in force.
        engines: The number of the model's engines.
        staged: How many of them have the version staged.
        serving: How many of them serve the version.
        lagging: The engines that do not serve the version.
    """

    desired: DesiredWeights
    engines: int
    staged: int
    serving: int
    lagging: tuple[str, ...]


class WeightRollouts:
    """Reconciles this instance's engines with the desired versions.

    A supervised task.
    """

    name = "weights"

    def __init__(
        self,
        instance: str,
        targets: Targets,
        store: PlatformStore,
        clock: Clock,
        executor: Executor,
        hub: PeerHub,
    ) -> None:
        self._instance = instance
        self._targets = targets
        self._records = WeightRecords(store, clock)
        self._clock = clock
        self._executor = executor
        self._hub = hub
        self._wake = threading.Event()
        self._lock = threading.Lock()
        self._desired_by_model: dict[str, DesiredWeights] = {}
        self._locations_by_model: dict[str, dict[str, EngineLocation]] = {}
        self._data_centre_by_engine: dict[str, str] = {}
        self._statuses_by_engine: dict[str, EngineStatus] = {}
        self._next_store_read_at = 0.0
        self._rolling_out = False

    def configure(self, document: Document) -> None:
        """Replaces the engines with those of a new configuration."""
        regions = {
            data_centre: site["region"]
            for site in document.config["sites_by_name"].values()
            for data_centre in site["data_centres"]
        }
        locations: dict[str, dict[str, EngineLocation]] = {}
        data_centres: dict[str, str] = {}
        for name, target in document.config["targets_by_name"].items():
            if target["kind"] == "engine":
                location = EngineLocation(
                    regions[target["data_centre"]], target["address"]
                )
                locations.setdefault(target["model"], {})[name] = location
                data_centres[name] = target["data_centre"]
        with self._lock:
            self._locations_by_model = locations
            self._data_centre_by_engine = data_centres
        self._wake.set()

    def roll_out(self, model: str, version: int, source: str) -> DesiredWeights:
        """Sets the desired version of a model; idempotent.

        Returns:
            The record in force, of this version or a higher one.

        Raises:
            HibiscusError: The version could not be stored, since the store
                failed or other writers kept winning the compare-and-swap.
        """
        desired = DesiredWeights(
            model=model,
            version=version,
            source=source,
            phase=Phase.STAGE,
            fencing=0,
            switch_at_s=self._clock.wall() + STAGE_TIMEOUT_S,
        )
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                known = self._records.read(model)
                if known is not None and known.version >= version:
                    self._adopt(known)
                    return known
                written = self._records.write(
                    desired, known.fencing if known else 0
                )
            except StoreError:
                continue
            if written is not None:
                self._adopt(written)
                return written
        # The trainer's version is published already, and its roll-out may be
        # recorded by a write that was not confirmed.
        raise HibiscusError(
            ErrorKind.STORE_UNAVAILABLE,
            "The store did not confirm the version's roll-out.",
            ExecutionStatus.UNKNOWN,
        )

    def state(self, model: str) -> RolloutState | None:
        """Returns the progress of a model's roll-out; None without one."""
        with self._lock:
            desired = self._desired_by_model.get(model)
            locations = self._locations_by_model.get(model, {})
            statuses = {
                name: self._statuses_by_engine.get(name) for name in locations
            }
        if desired is None:
            return None
        staged = _count(
            desired.version in s.staged for s in statuses.values() if s
        )
        lagging = sorted(
            name
            for name, status in statuses.items()
            if status is None or status.current != desired.version
        )
        return RolloutState(
            desired,
            len(locations),
            staged,
            len(locations) - len(lagging),
            tuple(lagging),
        )

    def on_desired(self, origin: str, body: bytes) -> None:
        """Adopts a model's record from a peer if it is newer."""
        self._adopt(
            msgspec.json.decode(body, type=DesiredWeights), publish=False
        )

    def on_statuses(self, origin: str, body: bytes) -> None:
        """Records the engine statuses that a peer has read."""
        statuses = msgspec.json.decode(body, type=dict[str, EngineStatus])
        with self._lock:
            self._statuses_by_engine.update(statuses)
        if self._rolling_out:
            self._wake.set()

    def interrupt(self) -> None:
        """Starts the next turn without waiting for its period."""
        self._wake.set()

    def run(self, stop: threading.Event) -> None:
        """Reconciles until `stop` is set."""
        while not stop.is_set():
            self._wake.clear()
            self._rolling_out = self.reconcile()
            self._wake.wait(
                ACTIVE_PERIOD_S if self._rolling_out else IDLE_PERIOD_S
            )
            stop.wait(MIN_TURN_GAP_S)

    def reconcile(self) -> bool:
        """Reconciles once; returns whether a roll-out is in progress."""
        self._read_owned_records()
        in_progress = [
            self._reconcile_model(desired) for desired in self._all_desired()
        ]
        return any(in_progress)

    def _reconcile_model(self, desired: DesiredWeights) -> bool:
        """Reconciles one model; returns whether its roll-out is unfinished."""
        with self._lock:
            locations = dict(self._locations_by_model.get(desired.model, {}))
        owned = self._owned_engines(locations)
        self._refresh_statuses(owned)
        with self._lock:
            statuses = {
                name: status
                for name, status in self._statuses_by_engine.items()
                if name in locations
            }
        planned_at = self._clock.monotonic()
        orders = decision.missing_orders(desired, owned, locations, statuses)
        list(
            self._executor.map(
                lambda order: self._send_order(desired, order, planned_at),
                orders,
            )
        )
        if any(not isinstance(order, StageOrder) for order in orders):
            self._refresh_statuses(owned)
        if decision.ready_to_switch(
            desired, locations, statuses, self._clock.wall()
        ):
            self._begin_switch(desired)
        return not self._is_rolled_out(desired, locations)

    def _is_rolled_out(
        self, desired: DesiredWeights, engines: Iterable[str]
    ) -> bool:
        with self._lock:
            statuses = [self._statuses_by_engine.get(name) for name in engines]
        return all(s and s.current == desired.version for s in statuses)

    def _owned_engines(self, engines: Iterable[str]) -> list[str]:
        """Returns the engines that this instance sends orders to.

        An engine's owner is an instance of its data centre, or any instance
        if none is live there.
        """
        instances = self._hub.instances()
        all_names = {instance.name for instance in instances}
        owned: list[str] = []
        for engine in engines:
            data_centre = self._data_centre_by_engine.get(engine)
            local = {i.name for i in instances if i.data_centre == data_centre}
            if rendezvous.owner(engine, local or all_names) == self._instance:
                owned.append(engine)
        return owned

    def _refresh_statuses(self, engines: Collection[str]) -> None:
        read = dict(
            zip(
                engines,
                self._executor.map(self._read_status, engines),
                strict=True,
            )
        )
        with self._lock:
            changed = {
                name: status
                for name, status in read.items()
                if self._statuses_by_engine.get(name) != status
            }
            self._statuses_by_engine.update(changed)
        if changed:
            self._hub.publish(STATUS_TOPIC, msgspec.json.encode(read))

    def _read_status(self, engine: str) -> EngineStatus:
        deadline = self._clock.monotonic() + ORDER_TIMEOUT_S
        try:
            state = self._targets.engine(engine).fetch_weight_state(deadline)
        except TargetError:
            return EngineStatus(0, reachable=False)
        return EngineStatus(state.current, state.staged, state.fetching)

    def _send_order(
        self, desired: DesiredWeights, order: EngineOrder, planned_at: float
    ) -> None:
        now = self._clock.monotonic()
        if now - planned_at > MAX_PLAN_AGE_S or self._is_superseded(desired):
            return
        engine = self._targets.engine(order.engine)
        deadline = now + ORDER_TIMEOUT_S
        try:
            if isinstance(order, StageOrder):
                engine.stage_weights(
                    order.version, order.source, order.fencing, deadline
                )
            else:
                engine.switch_weights(order.version, order.fencing, deadline)
        except TargetError:
            _log.warning(
                "Weight order to an engine failed.",
                extra={"target": order.engine},
            )

    def _is_superseded(self, desired: DesiredWeights) -> bool:
        with self._lock:
            return self._desired_by_model.get(desired.model) != desired

    def _begin_switch(self, desired: DesiredWeights) -> None:
        """Stores the switch phase if this instance owns the model."""
        names = {instance.name for instance in self._hub.instances()}
        if rendezvous.owner(desired.model, names) != self._instance:
            return
        switching = desired._replace(phase=Phase.SWITCH)
        try:
            known = self._records.write(switching, desired.fencing)
            if known is None:
                known = self._records.read(desired.model)
            if known is not None:
                self._adopt(known)
        except StoreError:
            _log.warning(
                "Switch phase could not be stored; retrying on the next turn."
            )

    def _all_desired(self) -> list[DesiredWeights]:
        with self._lock:
            return list(self._desired_by_model.values())

    def _read_owned_records(self) -> None:
        """Reads the records of the models that this instance owns, when due.

        This recovers changes whose messages from peers were lost.
        """
        now = self._clock.monotonic()
        if now < self._next_store_read_at:
            return
        self._next_store_read_at = now + STORE_READ_PERIOD_S
        with self._lock:
            models = list(self._locations_by_model)
        names = {instance.name for instance in self._hub.instances()}
        for model in models:
            if rendezvous.owner(model, names) != self._instance:
                continue
            try:
                known = self._records.read(model)
            except StoreError:
                return
            if known is not None:
                self._adopt(known)

    def _adopt(self, desired: DesiredWeights, *, publish: bool = True) -> None:
        with self._lock:
            known = self._desired_by_model.get(desired.model)
            if not decision.is_newer(known, desired):
                return
            self._desired_by_model[desired.model] = desired
        _log.info(
            "Desired weight version or phase changed.",
            extra={
                "model": desired.model,
                "version": desired.version,
                "phase": str(desired.phase),
            },
        )
        if publish:
            revision = Revision(0, desired.fencing)
            body = msgspec.json.encode(desired)
            self._hub.publish_as(DESIRED_TOPIC, desired.model, revision, body)
        self._wake.set()


def _count(flags: Iterable[bool]) -> int:
    return sum(1 for flag in flags if flag)
