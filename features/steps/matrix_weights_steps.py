"""Steps on the weights row of the fault matrix, with fakes and a fake clock."""

from collections.abc import Callable, Collection
from concurrent.futures import Future
from typing import Any, cast

from behave import given, then, when

from features.shared_store import FakeClock, FakeStore, StoreView
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
FAULT_TURNS = 25
LAST_TURN = 300
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
    """One engine that shows faults; `turn` lets its fetch go on."""

    def __init__(self, world: "World", name: str, checks: bool) -> None:
        self.world = world
        self.name = name
        self.checks = checks
        self.current = 1
        self.held = {1}
        self.fetching = ""
        self.fetch_left = 0
        self.version = 0
        self.fencing = 0
        self.failures = 0
        self.lost = 0
        self.silent = False
        self.switched = False
        self.crashed_unread = False

    def turn(self) -> None:
        """Lets the fetch in progress go on."""
        if not self.fetching:
            return
        self.world.reach("fetch", self)
        self.fetch_left -= 1
        if self.fetching and self.fetch_left <= 0:
            self.held.add(self.version)
            self.fetching = ""

    def fetch_weight_state(self, deadline: float) -> WeightState:
        """Reads the engine back."""
        if self.switched:
            self.world.reach("confirm", self)
        self._meet()
        self.crashed_unread = False
        return WeightState(
            self.current, tuple(sorted(self.held)), self.fetching
        )

    def stage_weights(
        self, version: int, source: str, fencing: int, deadline: float
    ) -> None:
        """Takes a stage order."""
        self.world.reach("stage", self)
        self._take_order(fencing)
        if version not in self.held and not self.fetching:
            self.fetching, self.version = source, version
            self.fetch_left = FETCH_TURNS
        self._answer()

    def switch_weights(
        self, version: int, fencing: int, deadline: float
    ) -> None:
        """Takes a switch order."""
        self.world.reach("switch", self)
        self._take_order(fencing)
        if version not in self.held:
            if not self.crashed_unread:
                self.world.unheld.append(self.name)
            raise TargetError("not held", sent=True, refused=True)
        self.current = version
        self.switched = True
        self._answer()

    def crash(self) -> None:
        """Restarts with the weights that it was installed with."""
        self.current, self.held, self.fetching = 1, {1}, ""
        self.crashed_unread = True

    def _meet(self) -> None:
        if self.silent:
            raise TargetError("silent", sent=True, silent=True)

    def _take_order(self, fencing: int) -> None:
        self._meet()
        if self.failures > 0:
            self.failures -= 1
            raise TargetError("swap failed", sent=True)
        if self.checks and fencing < self.fencing:
            self.world.refused += 1
            raise TargetError("old fencing number", sent=True, refused=True)
        self.fencing = max(self.fencing, fencing)
        self.world.taken.append((self.name, fencing))

    def _answer(self) -> None:
        if self.lost > 0:
            self.lost -= 1
            raise TargetError("answer lost", sent=True, silent=True)


class FakeTargets:
    """Finds the fake engines."""

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        self._engines_by_name = engines

    def engine(self, name: str) -> FakeEngine:
        """Returns one engine."""
        return self._engines_by_name[name]


class FakeHub:
    """Passes snapshots between the instances of the world at once."""

    def __init__(self, world: "World", instance: str) -> None:
        self._world = world
        self._instance = instance

    def instances(self) -> list[PeerRecord]:
        """Returns the instances that have not died."""
        return [
            PeerRecord(name, f"dc-{name}", "127.0.0.1:1")
            for name in self._world.live
        ]

    def publish(self, topic: str, body: bytes) -> None:
        """Passes a status on, and keeps the newest for repair."""
        self._world.statuses_by_origin[self._instance] = body
        for name in self._reachable():
            self._world.rollouts_by_name[name].on_statuses(self._instance, body)

    def publish_as(
        self, topic: str, origin: str, revision: Revision, body: bytes
    ) -> None:
        """Passes a record on, and keeps it for repair."""
        assert topic == DESIRED_TOPIC
        self._world.bodies.append(body)
        for name in self._reachable():
            self._world.rollouts_by_name[name].on_desired(origin, body)

    def _reachable(self) -> list[str]:
        cut = self._world.cut
        if self._instance in cut:
            return []
        others = [n for n in self._world.live if n not in cut]
        return [n for n in others if n != self._instance]


class World:
    """Two instances, two regions of three engines, one store, one fault."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.store = FakeStore(self.clock)
        self.views_by_name = {n: StoreView(self.store) for n in ("a", "b")}
        self.live = ["a", "b"]
        self.cut: set[str] = set()
        self.bodies: list[bytes] = []
        self.statuses_by_origin: dict[str, bytes] = {}
        self.taken: list[tuple[str, int]] = []
        self.unheld: list[str] = []
        self.refused = 0
        self.step = ""
        self.faults: list[str] = []
        self.acting = ""
        self.engines_by_name = {
            f"{region}-{number}": FakeEngine(
                self, f"{region}-{number}", number != 2
            )
            for region in ("a", "b")
            for number in range(3)
        }
        self.rollouts_by_name = {n: self._rollouts(n) for n in self.live}

    def _rollouts(self, name: str) -> WeightRollouts:
        rollouts = WeightRollouts(
            name,
            cast(Any, FakeTargets(self.engines_by_name)),
            self.views_by_name[name],
            self.clock,
            cast(Any, InlineExecutor()),
            cast(Any, FakeHub(self, name)),
        )
        rollouts.configure(_document())
        return rollouts

    def reach(self, step: str, engine: FakeEngine) -> None:
        """Strikes the faults of the step when it is first reached."""
        if step != self.step:
            return
        faults, self.faults, self.step = self.faults, [], ""
        for fault in sorted(faults, key="process_death".__eq__):
            STRIKES[fault](self, engine)

    def publish(self, name: str, version: int) -> None:
        """Lets a trainer publish through one instance, and repeat it."""
        for _ in range(LAST_TURN):
            try:
                self.rollouts_by_name[name].roll_out(MODEL, version, SOURCE)
                return
            except HibiscusError:
                self.turn()

    def turn(self) -> None:
        """Lets all engines and instances go on."""
        self.clock.now += TURN_S
        for engine in self.engines_by_name.values():
            engine.turn()
        for name in list(self.live):
            self.acting = name
            try:
                self.rollouts_by_name[name].turn()
            except Crash:
                continue
        self.acting = ""

    def heal(self) -> None:
        """Ends all faults; peers compare digests again."""
        self.store.faults.clear()
        self.cut = set()
        for view in self.views_by_name.values():
            view.cut = False
        for engine in self.engines_by_name.values():
            engine.silent = False
        for name in self.live:
            for body in self.bodies:
                self.rollouts_by_name[name].on_desired(MODEL, body)
            for origin, body in self.statuses_by_origin.items():
                if origin != name:
                    self.rollouts_by_name[name].on_statuses(origin, body)


def _crash_engine(world: World, engine: FakeEngine) -> None:
    engine.crash()


def _kill_instance(world: World, engine: FakeEngine) -> None:
    victim = world.acting or "a"
    world.live.remove(victim)
    if world.acting:
        raise Crash


def _fail_swap(world: World, engine: FakeEngine) -> None:
    engine.failures = 1
    engine.fetching = ""
    if engine.switched:
        engine.current = 1


def _stop_store(world: World, engine: FakeEngine) -> None:
    world.store.faults.add("outage")


def _slow_store(world: World, engine: FakeEngine) -> None:
    world.store.faults.add("slow")


def _lose_answers(world: World, engine: FakeEngine) -> None:
    engine.lost = 1
    world.store.lose_answers = 1


def _pause(world: World, engine: FakeEngine) -> None:
    """The other instance goes on to version 3 while this one is paused."""
    world.publish("b" if world.acting == "a" else "a", 3)
    world.clock.now += PAUSE_S


def _race(world: World, engine: FakeEngine) -> None:
    world.publish("a", 3)
    world.publish("b", 2)


def _silence(world: World, engine: FakeEngine) -> None:
    engine.silent = True


def _cut(world: World, engine: FakeEngine) -> None:
    world.cut = {"b"}
    world.views_by_name["b"].cut = True


STRIKES: dict[str, Callable[[World, FakeEngine], None]] = {
    "engine_crash": _crash_engine,
    "process_death": _kill_instance,
    "swap_failure": _fail_swap,
    "store_down": _stop_store,
    "store_slow": _slow_store,
    "lost_answer": _lose_answers,
    "paused_holder": _pause,
    "racing_operators": _race,
    "silent_connection": _silence,
    "partition": _cut,
}


def _document() -> Document:
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
def make_world(context: Any) -> None:
    context.world = World()


@when('"{faults}" strikes a roll-out at step "{step}"')
def strike(context: Any, faults: str, step: str) -> None:
    world = context.world
    world.step, world.faults = step, faults.split("+")
    world.publish("a", 2)
    for turn in range(LAST_TURN):
        if turn == FAULT_TURNS:
            assert not world.faults, f"step {step} was not reached"
            world.heal()
        world.turn()


@then("after the fault all engines serve version {version:d}")
def check_serving(context: Any, version: int) -> None:
    serving = {n: e.current for n, e in context.world.engines_by_name.items()}
    assert set(serving.values()) == {version}, serving


@then("no engine was switched to weights that it was known not to hold")
def check_held(context: Any) -> None:
    assert not context.world.unheld, context.world.unheld


@then("no engine that checks fencing took an order older than its newest")
def check_fencing(context: Any) -> None:
    world = context.world
    newest: dict[str, int] = {}
    for name, fencing in world.taken:
        if world.engines_by_name[name].checks:
            assert fencing >= newest.get(name, 0), (name, fencing)
            newest[name] = fencing
