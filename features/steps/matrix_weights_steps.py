"""Steps for the weights path of the fault matrix.

They run in-process, over fakes and a fake clock.
"""

from collections.abc import Callable, Collection
from concurrent.futures import Future
from typing import Any, cast

from behave import given, then, when

from features.shared_store import FakeClock, FakeStore, StoreConnection
from features.steps.matrix_fakes import Crash
from hibiscuspin.config import Document
from hibiscuspin.config.document import ConfigRevision
from hibiscuspin.decisions.snapshots import Revision
from hibiscuspin.edges import TargetError, WeightState
from hibiscuspin.errors import HibiscusError
from hibiscuspin.peers.hub import PeerRecord
from hibiscuspin.tasks.weights import DESIRED_TOPIC, WeightRollouts

MODEL = "m"
SOURCE = "store:1"
TURN_S = 0.2
HEAL_TURN = 25
MAX_TURNS = 300
FETCH_TURNS = 2
PAUSE_S = 60.0


class InlineExecutor:
    """Runs work in the caller's thread, in order."""

    def map(self, work: Callable[[Any], Any], items: Collection[Any]) -> Any:
        """Returns the results of all items."""
        return [work(item) for item in items]

    def submit(self, work: Callable[[], Any]) -> Future[Any]:
        """Runs one piece of work."""
        future: Future[Any] = Future()
        future.set_result(work())
        return future


class FakeEngine:
    """An engine with injected faults; `turn` advances its fetch."""

    def __init__(self, world: "World", name: str, checks_fencing: bool) -> None:
        self.world = world
        self.name = name
        self.checks_fencing = checks_fencing
        self.current_version = 1
        self.staged_versions = {1}
        self.fetch_source = ""
        self.fetch_turns_left = 0
        self.fetch_version = 0
        self.fencing = 0
        self.failing_orders = 0
        self.lost_responses = 0
        self.silent = False
        self.switched = False
        self.crashed_since_read = False

    def turn(self) -> None:
        """Advances the fetch in progress."""
        if not self.fetch_source:
            return
        self.world.reach("fetch", self)
        self.fetch_turns_left -= 1
        if self.fetch_source and self.fetch_turns_left <= 0:
            self.staged_versions.add(self.fetch_version)
            self.fetch_source = ""

    def fetch_weight_state(self, deadline: float) -> WeightState:
        """Returns the state of the engine's weights."""
        if self.switched:
            self.world.reach("confirm", self)
        self._check_reachable()
        self.crashed_since_read = False
        return WeightState(
            self.current_version,
            tuple(sorted(self.staged_versions)),
            self.fetch_source,
        )

    def stage_weights(
        self, version: int, source: str, fencing: int, deadline: float
    ) -> None:
        """Executes a stage order."""
        self.world.reach("stage", self)
        self._accept_order(fencing)
        if version not in self.staged_versions and not self.fetch_source:
            self.fetch_source, self.fetch_version = source, version
            self.fetch_turns_left = FETCH_TURNS
        self._respond()

    def switch_weights(
        self, version: int, fencing: int, deadline: float
    ) -> None:
        """Executes a switch order."""
        self.world.reach("switch", self)
        self._accept_order(fencing)
        if version not in self.staged_versions:
            if not self.crashed_since_read:
                self.world.unstaged_switches.append(self.name)
            raise TargetError("version is not staged", sent=True, refused=True)
        self.current_version = version
        self.switched = True
        self._respond()

    def crash(self) -> None:
        """Restarts with version 1, with which it was installed."""
        self.current_version, self.staged_versions, self.fetch_source = (
            1,
            {1},
            "",
        )
        self.crashed_since_read = True

    def _check_reachable(self) -> None:
        if self.silent:
            raise TargetError("engine is silent", sent=True, silent=True)

    def _accept_order(self, fencing: int) -> None:
        self._check_reachable()
        if self.failing_orders > 0:
            self.failing_orders -= 1
            raise TargetError("swap failed", sent=True)
        if self.checks_fencing and fencing < self.fencing:
            self.world.refused_orders += 1
            raise TargetError("old fencing number", sent=True, refused=True)
        self.fencing = max(self.fencing, fencing)
        self.world.accepted_orders.append((self.name, fencing))

    def _respond(self) -> None:
        if self.lost_responses > 0:
            self.lost_responses -= 1
            raise TargetError("response lost", sent=True, silent=True)


class FakeTargets:
    """Returns the fake engines by name."""

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        self._engines_by_name = engines

    def engine(self, name: str) -> FakeEngine:
        """Returns one engine."""
        return self._engines_by_name[name]


class FakeHub:
    """Delivers snapshots to the other instances synchronously."""

    def __init__(self, world: "World", instance: str) -> None:
        self._world = world
        self._instance = instance

    def instances(self) -> list[PeerRecord]:
        """Returns the instances that have not died."""
        return [
            PeerRecord(name, f"dc-{name}", "127.0.0.1:1")
            for name in self._world.live_instances
        ]

    def publish(self, topic: str, body: bytes) -> None:
        """Delivers a status, and stores the newest one for `World.heal`."""
        self._world.statuses_by_origin[self._instance] = body
        for name in self._reachable_peers():
            self._world.rollouts_by_name[name].on_statuses(self._instance, body)

    def publish_as(
        self, topic: str, origin: str, revision: Revision, body: bytes
    ) -> None:
        """Delivers a record, and stores it for `World.heal`."""
        assert topic == DESIRED_TOPIC
        self._world.desired_bodies.append(body)
        for name in self._reachable_peers():
            self._world.rollouts_by_name[name].on_desired(origin, body)

    def _reachable_peers(self) -> list[str]:
        cut_off = self._world.cut_off_instances
        if self._instance in cut_off:
            return []
        others = [n for n in self._world.live_instances if n not in cut_off]
        return [n for n in others if n != self._instance]


class World:
    """Two instances, two regions of three engines, one store, and faults."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.store = FakeStore(self.clock)
        self.connections_by_instance = {
            n: StoreConnection(self.store) for n in ("a", "b")
        }
        self.live_instances = ["a", "b"]
        self.cut_off_instances: set[str] = set()
        self.desired_bodies: list[bytes] = []
        self.statuses_by_origin: dict[str, bytes] = {}
        self.accepted_orders: list[tuple[str, int]] = []
        self.unstaged_switches: list[str] = []
        self.refused_orders = 0
        self.step = ""
        self.faults: list[str] = []
        self.acting_instance = ""
        self.engines_by_name = {
            f"{region}-{number}": FakeEngine(
                self, f"{region}-{number}", number != 2
            )
            for region in ("a", "b")
            for number in range(3)
        }
        self.rollouts_by_name = {
            n: self._make_rollouts(n) for n in self.live_instances
        }

    def _make_rollouts(self, name: str) -> WeightRollouts:
        rollouts = WeightRollouts(
            name,
            cast(Any, FakeTargets(self.engines_by_name)),
            self.connections_by_instance[name],
            self.clock,
            cast(Any, InlineExecutor()),
            cast(Any, FakeHub(self, name)),
        )
        rollouts.configure(_make_document())
        return rollouts

    def reach(self, step: str, engine: FakeEngine) -> None:
        """Injects the faults when their step is first reached."""
        if step != self.step:
            return
        faults, self.faults, self.step = self.faults, [], ""
        # `process_death` comes last, since its injector may raise `Crash`.
        for fault in sorted(faults, key="process_death".__eq__):
            INJECTORS_BY_FAULT[fault](self, engine)

    def publish(self, name: str, version: int) -> None:
        """Publishes a version through one instance and retries on errors."""
        for _ in range(MAX_TURNS):
            try:
                self.rollouts_by_name[name].roll_out(MODEL, version, SOURCE)
                return
            except HibiscusError:
                self.turn()

    def turn(self) -> None:
        """Runs one turn of all engines and instances."""
        self.clock.now += TURN_S
        for engine in self.engines_by_name.values():
            engine.turn()
        for name in list(self.live_instances):
            self.acting_instance = name
            try:
                self.rollouts_by_name[name].reconcile()
            except Crash:
                continue
        self.acting_instance = ""

    def heal(self) -> None:
        """Ends all faults and redelivers all snapshots.

        Peers would request the missing ones after they compare digests.
        """
        self.store.faults.clear()
        self.cut_off_instances = set()
        for connection in self.connections_by_instance.values():
            connection.cut = False
        for engine in self.engines_by_name.values():
            engine.silent = False
        for name in self.live_instances:
            for body in self.desired_bodies:
                self.rollouts_by_name[name].on_desired(MODEL, body)
            for origin, body in self.statuses_by_origin.items():
                if origin != name:
                    self.rollouts_by_name[name].on_statuses(origin, body)


def _crash_engine(world: World, engine: FakeEngine) -> None:
    engine.crash()


def _kill_instance(world: World, engine: FakeEngine) -> None:
    victim = world.acting_instance or "a"
    world.live_instances.remove(victim)
    if world.acting_instance:
        raise Crash


def _fail_swap(world: World, engine: FakeEngine) -> None:
    engine.failing_orders = 1
    engine.fetch_source = ""
    if engine.switched:
        engine.current_version = 1


def _stop_store(world: World, engine: FakeEngine) -> None:
    world.store.faults.add("outage")


def _slow_store(world: World, engine: FakeEngine) -> None:
    world.store.faults.add("slow")


def _lose_responses(world: World, engine: FakeEngine) -> None:
    engine.lost_responses = 1
    world.store.replies_to_lose = 1


def _pause_instance(world: World, engine: FakeEngine) -> None:
    """Pauses the acting instance while the other one publishes version 3."""
    world.publish("b" if world.acting_instance == "a" else "a", 3)
    world.clock.now += PAUSE_S


def _publish_racing_versions(world: World, engine: FakeEngine) -> None:
    world.publish("a", 3)
    world.publish("b", 2)


def _silence_engine(world: World, engine: FakeEngine) -> None:
    engine.silent = True


def _cut_off_instance(world: World, engine: FakeEngine) -> None:
    world.cut_off_instances = {"b"}
    world.connections_by_instance["b"].cut = True


INJECTORS_BY_FAULT: dict[str, Callable[[World, FakeEngine], None]] = {
    "engine_crash": _crash_engine,
    "process_death": _kill_instance,
    "swap_failure": _fail_swap,
    "store_down": _stop_store,
    "store_slow": _slow_store,
    "lost_answer": _lose_responses,
    "paused_holder": _pause_instance,
    "racing_operators": _publish_racing_versions,
    "silent_connection": _silence_engine,
    "partition": _cut_off_instance,
}


def _make_document() -> Document:
    config: Any = {
        "sites_by_name": {
            region: {"region": region, "data_centres": [f"dc-{region}"]}
            for region in ("a", "b")
        },
        "targets_by_name": {
            f"{region}-{number}": {
                "kind": "engine",
                "data_centre": f"dc-{region}",
                "address": f"{region}-{number}:1",
                "model": MODEL,
            }
            for region in ("a", "b")
            for number in range(3)
        },
    }
    return Document(ConfigRevision(1, "first"), config)


@given("two instances that own the engines of two regions")
def make_weights_world(context: Any) -> None:
    context.world = World()


@when('"{faults}" strikes a roll-out at step "{step}"')
def inject_faults(context: Any, faults: str, step: str) -> None:
    world = context.world
    world.step, world.faults = step, faults.split("+")
    world.publish("a", 2)
    for turn in range(MAX_TURNS):
        if turn == HEAL_TURN:
            assert not world.faults, f"step {step} was not reached"
            world.heal()
        world.turn()


@then("after the fault all engines serve version {version:d}")
def check_served_version(context: Any, version: int) -> None:
    served_versions = {
        n: e.current_version for n, e in context.world.engines_by_name.items()
    }
    assert set(served_versions.values()) == {version}, served_versions


@then("no engine was switched to weights that it was known not to hold")
def check_unstaged_switches(context: Any) -> None:
    assert not context.world.unstaged_switches, context.world.unstaged_switches


@then("no engine that checks fencing took an order older than its newest")
def check_fencing(context: Any) -> None:
    world = context.world
    newest: dict[str, int] = {}
    for name, fencing in world.accepted_orders:
        if world.engines_by_name[name].checks_fencing:
            assert fencing >= newest.get(name, 0), (name, fencing)
            newest[name] = fencing
