"""In-process steps for weight roll-outs, with fake engines."""

import random
from collections import Counter
from typing import Any

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from hibiscuspin.decisions.weights import (
    DesiredWeights,
    EngineLocation,
    EngineOrder,
    EngineStatus,
    Phase,
    StageOrder,
    is_newer,
    missing_orders,
    ready_to_switch,
)

SOURCE = "store:1"
DEADLINE_S = 60.0
TURNS = 80
FETCH_TURNS = 2
FAULTS = (
    "an engine crashes",
    "a seed crashes",
    "a fetch fails",
    "a switch fails",
    "a region is cut off",
    "a newer version overtakes",
    "an engine reverts",
    "status is lost",
)


class FakeEngine:
    """An engine; `turn` advances its fetch, which takes `FETCH_TURNS` turns."""

    def __init__(self, name: str, region: str) -> None:
        self.name = name
        self.location = EngineLocation(region, f"{name}:1")
        self.current_version = 1
        self.staged = {1}
        self.fetch_source = ""
        self.fetch_turns_left = 0
        self.fetch_version = 0
        self.reachable = True
        self.failing_orders = 0
        self.fencing = 0

    def turn(self) -> None:
        """Advances the fetch in progress."""
        if not self.fetch_source:
            return
        self.fetch_turns_left -= 1
        if self.fetch_turns_left <= 0:
            self.staged.add(self.fetch_version)
            self.fetch_source = ""

    def crash(self) -> None:
        """Restarts with the first version only."""
        self.current_version, self.staged, self.fetch_source = 1, {1}, ""

    def status(self) -> EngineStatus:
        """Returns the status that a read of the engine observes."""
        if not self.reachable:
            return EngineStatus(0, reachable=False)
        return EngineStatus(
            self.current_version, tuple(sorted(self.staged)), self.fetch_source
        )


class FakeRollout:
    """A roll-out over regions of fake engines, in turns."""

    def __init__(self, regions: int, engines: int) -> None:
        self.engines_by_name = {
            f"r{region}-e{number}": FakeEngine(
                f"r{region}-e{number}", f"r{region}"
            )
            for region in range(regions)
            for number in range(engines)
        }
        self.locations = {
            n: e.location for n, e in self.engines_by_name.items()
        }
        self.statuses: dict[str, EngineStatus] = {}
        self.desired = DesiredWeights(
            "m", 2, SOURCE, Phase.STAGE, 10, DEADLINE_S
        )
        self.store_copies = 0
        self.lose_status_turns = 0
        self.unread_engine = ""
        self.switched_unstaged = False

    def declare(self, version: int) -> None:
        """Declares a higher version as the desired one."""
        fencing = self.desired.fencing + 1
        newer = DesiredWeights(
            "m", version, SOURCE, Phase.STAGE, fencing, DEADLINE_S
        )
        assert is_newer(self.desired, newer)
        assert not is_newer(newer, self.desired)
        self.desired = newer

    def turn(self, now: float) -> None:
        """Advances the engines, reads their statuses and executes orders."""
        for engine in self.engines_by_name.values():
            engine.turn()
        self._read_statuses()
        names = list(self.engines_by_name)
        orders = missing_orders(
            self.desired, names, self.locations, self.statuses
        )
        for order in orders:
            self._execute(order)
        if ready_to_switch(self.desired, self.locations, self.statuses, now):
            fencing = self.desired.fencing + 1
            switching = self.desired._replace(
                phase=Phase.SWITCH, fencing=fencing
            )
            assert not is_newer(switching, self.desired)
            self.desired = switching

    def _read_statuses(self) -> None:
        if self.lose_status_turns > 0:
            self.lose_status_turns -= 1
            return
        for name, engine in self.engines_by_name.items():
            if name != self.unread_engine:
                self.statuses[name] = engine.status()

    def _execute(self, order: EngineOrder) -> None:
        engine = self.engines_by_name[order.engine]
        if not engine.reachable or order.fencing < engine.fencing:
            return
        engine.fencing = order.fencing
        if engine.failing_orders > 0:
            engine.failing_orders -= 1
        elif isinstance(order, StageOrder):
            self._fetch(engine, order)
        elif order.version in engine.staged:
            engine.current_version = order.version
        else:
            self.switched_unstaged = True

    def _fetch(self, engine: FakeEngine, order: StageOrder) -> None:
        if engine.fetch_source or order.version in engine.staged:
            return
        engine.fetch_source = order.source
        engine.fetch_version = order.version
        engine.fetch_turns_left = FETCH_TURNS
        self.store_copies += order.source == SOURCE

    def strike(self, fault: str, rng: random.Random) -> None:
        """Injects one fault."""
        engine = rng.choice(list(self.engines_by_name.values()))
        if fault == "an engine crashes":
            candidates = [
                e
                for e in self.engines_by_name.values()
                if e.fetch_source != SOURCE and not self._has_only_copy(e)
            ]
            rng.choice(candidates).crash()
        elif fault == "a seed crashes":
            seeds = [
                e
                for e in self.engines_by_name.values()
                if e.fetch_source == SOURCE
            ]
            (seeds or [engine])[0].crash()
        elif fault in ("a fetch fails", "a switch fails"):
            engine.failing_orders = 1
            if engine.fetch_source == SOURCE:
                engine.fetch_source = ""
        elif fault == "a region is cut off":
            self._set_reachable("r1", reachable=False)
        elif fault == "a newer version overtakes":
            self.declare(self.desired.version + 1)
        elif fault == "an engine reverts":
            engine.current_version = 1
        elif fault == "status is lost":
            self.lose_status_turns = 3

    def has_started(self, phase: str) -> bool:
        """Returns whether a phase has started; staging starts with a fetch."""
        fetching = any(e.fetch_source for e in self.engines_by_name.values())
        started = fetching or self.desired.phase == Phase.SWITCH
        return started and self.desired.phase == phase

    def heal(self) -> None:
        """Makes all engines reachable again."""
        self._set_reachable("", reachable=True)

    def _set_reachable(self, region: str, *, reachable: bool) -> None:
        for engine in self.engines_by_name.values():
            if engine.location.region.startswith(region):
                engine.reachable = reachable

    def _has_only_copy(self, engine: FakeEngine) -> bool:
        copies_by_region = Counter(
            e.location.region
            for e in self.engines_by_name.values()
            if self.desired.version in e.staged
        )
        has_copy = self.desired.version in engine.staged
        return has_copy and copies_by_region[engine.location.region] == 1

    def settled(self) -> bool:
        """Returns whether each reachable engine serves the desired version."""
        return all(
            e.current_version == self.desired.version
            for e in self.engines_by_name.values()
            if e.reachable
        )


@given("a roll-out over {regions:d} regions with {engines:d} engines each")
def make_rollout(context: Any, regions: int, engines: int) -> None:
    context.rollout = FakeRollout(regions, engines)


@when('"{fault}" strikes in phase "{phase}"')
def inject_in_phase(context: Any, fault: str, phase: str) -> None:
    rollout = context.rollout
    injected = False
    for turn in range(TURNS):
        rollout.turn(turn / 10)
        if not injected and rollout.has_started(phase):
            rollout.strike(fault, random.Random(7))
            injected = True
    assert injected


@when("the status of one engine never arrives")
def lose_status_of_one(context: Any) -> None:
    context.rollout.unread_engine = "r0-e0"


@then("every reachable engine serves the wanted version")
def check_converged(context: Any) -> None:
    assert context.rollout.settled()


@then("at most {copies:d} copies come from the weight store")
def check_copies(context: Any, copies: int) -> None:
    assert 0 < context.rollout.store_copies <= copies, (
        context.rollout.store_copies
    )


@then("no engine serves a version that it was not staged with")
def check_staged(context: Any) -> None:
    assert not context.rollout.switched_unstaged


@then("the second phase begins at the deadline and not before")
def check_deadline(context: Any) -> None:
    rollout = context.rollout
    for turn in range(TURNS):
        rollout.turn(turn / 10)
    assert rollout.desired.phase == Phase.STAGE
    rollout.turn(DEADLINE_S)
    assert rollout.desired.phase == Phase.SWITCH


@then(
    "{count:d} random roll-outs end with the wanted version "
    "everywhere reachable"
)
def check_random_rollouts(context: Any, count: int) -> None:
    events = st.lists(
        st.tuples(st.integers(0, 40), st.sampled_from(FAULTS)), max_size=6
    )

    @settings(
        derandomize=True, database=None, max_examples=count, deadline=None
    )
    @for_all(events, st.integers(0, 2**16))
    def run(faults: list[tuple[int, str]], seed: int) -> None:
        rollout = FakeRollout(3, 4)
        draw = random.Random(seed)
        for turn in range(TURNS):
            for _, fault in (f for f in faults if f[0] == turn):
                rollout.strike(fault, draw)
            if turn == TURNS // 2 + 1:
                rollout.heal()
            rollout.turn(turn / 10)
        for turn in range(TURNS):
            rollout.turn(DEADLINE_S + turn)
        assert rollout.settled(), faults
        assert not rollout.switched_unstaged, faults

    run()
