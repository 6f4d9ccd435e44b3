"""Steps on weight roll-outs: fake engines that follow the decisions."""

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
    """One engine; fetches take some turns."""

    def __init__(self, name: str, region: str) -> None:
        self.name = name
        self.place = EngineLocation(region, f"{name}:1")
        self.current = 1
        self.staged = {1}
        self.fetching = ""
        self.fetch_left = 0
        self.fetch_version = 0
        self.up = True
        self.failures = 0
        self.fencing = 0

    def turn(self) -> None:
        """Lets a fetch go on."""
        if not self.fetching:
            return
        self.fetch_left -= 1
        if self.fetch_left <= 0:
            self.staged.add(self.fetch_version)
            self.fetching = ""

    def crash(self) -> None:
        """Loses all but the first version."""
        self.current, self.staged, self.fetching = 1, {1}, ""

    def status(self) -> EngineStatus:
        """What a read of the engine tells."""
        if not self.up:
            return EngineStatus(0, reachable=False)
        return EngineStatus(
            self.current, tuple(sorted(self.staged)), self.fetching
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
        self.places = {n: e.place for n, e in self.engines_by_name.items()}
        self.statuses: dict[str, EngineStatus] = {}
        self.wanted = DesiredWeights(
            "m", 2, SOURCE, Phase.STAGE, 10, DEADLINE_S
        )
        self.store_copies = 0
        self.lose_status_turns = 0
        self.never_heard = ""
        self.switched_unstaged = False

    def want(self, version: int) -> None:
        """Declares a higher version."""
        fencing = self.wanted.fencing + 1
        offered = DesiredWeights(
            "m", version, SOURCE, Phase.STAGE, fencing, DEADLINE_S
        )
        assert is_newer(self.wanted, offered)
        assert not is_newer(offered, self.wanted)
        self.wanted = offered

    def turn(self, now: float) -> None:
        """Engines go on, are read and get orders."""
        for engine in self.engines_by_name.values():
            engine.turn()
        self._read()
        names = list(self.engines_by_name)
        commands = missing_orders(
            self.wanted, names, self.places, self.statuses
        )
        for command in commands:
            self._carry_out(command)
        if ready_to_switch(self.wanted, self.places, self.statuses, now):
            fencing = self.wanted.fencing + 1
            switching = self.wanted._replace(
                phase=Phase.SWITCH, fencing=fencing
            )
            assert not is_newer(switching, self.wanted)
            self.wanted = switching

    def _read(self) -> None:
        if self.lose_status_turns > 0:
            self.lose_status_turns -= 1
            return
        for name, engine in self.engines_by_name.items():
            if name != self.never_heard:
                self.statuses[name] = engine.status()

    def _carry_out(self, command: EngineOrder) -> None:
        engine = self.engines_by_name[command.engine]
        if not engine.up or command.fencing < engine.fencing:
            return
        engine.fencing = command.fencing
        if engine.failures > 0:
            engine.failures -= 1
        elif isinstance(command, StageOrder):
            self._fetch(engine, command)
        elif command.version in engine.staged:
            engine.current = command.version
        else:
            self.switched_unstaged = True

    def _fetch(self, engine: FakeEngine, command: StageOrder) -> None:
        if engine.fetching or command.version in engine.staged:
            return
        engine.fetching = command.source
        engine.fetch_version = command.version
        engine.fetch_left = FETCH_TURNS
        self.store_copies += command.source == SOURCE

    def strike(self, fault: str, draw: random.Random) -> None:
        """Brings one fault about."""
        engine = draw.choice(list(self.engines_by_name.values()))
        if fault == "an engine crashes":
            idle = [
                e
                for e in self.engines_by_name.values()
                if e.fetching != SOURCE and not self._holds_only_copy(e)
            ]
            draw.choice(idle).crash()
        elif fault == "a seed crashes":
            seeds = [
                e for e in self.engines_by_name.values() if e.fetching == SOURCE
            ]
            (seeds or [engine])[0].crash()
        elif fault in ("a fetch fails", "a switch fails"):
            engine.failures = 1
            if engine.fetching == SOURCE:
                engine.fetching = ""
        elif fault == "a region is cut off":
            self._set_up("r1", up=False)
        elif fault == "a newer version overtakes":
            self.want(self.wanted.version + 1)
        elif fault == "an engine reverts":
            engine.current = 1
        elif fault == "status is lost":
            self.lose_status_turns = 3

    def under_way(self, phase: str) -> bool:
        """Tells whether a phase has begun; staging begins with a fetch."""
        fetching = any(e.fetching for e in self.engines_by_name.values())
        begun = fetching or self.wanted.phase == Phase.SWITCH
        return begun and self.wanted.phase == phase

    def heal(self) -> None:
        """Ends all cuts."""
        self._set_up("", up=True)

    def _set_up(self, region: str, *, up: bool) -> None:
        for engine in self.engines_by_name.values():
            if engine.place.region.startswith(region):
                engine.up = up

    def _holds_only_copy(self, engine: FakeEngine) -> bool:
        holders = Counter(
            e.place.region
            for e in self.engines_by_name.values()
            if self.wanted.version in e.staged
        )
        held = self.wanted.version in engine.staged
        return held and holders[engine.place.region] == 1

    def settled(self) -> bool:
        """Tells whether each reachable engine serves what is wanted."""
        return all(
            e.current == self.wanted.version
            for e in self.engines_by_name.values()
            if e.up
        )


@given("a roll-out over {regions:d} regions with {engines:d} engines each")
def make_rollout(context: Any, regions: int, engines: int) -> None:
    context.rollout = FakeRollout(regions, engines)


@when('"{fault}" strikes in phase "{phase}"')
def strike_in_phase(context: Any, fault: str, phase: str) -> None:
    rollout = context.rollout
    struck = False
    for turn in range(TURNS):
        rollout.turn(turn / 10)
        if not struck and rollout.under_way(phase):
            rollout.strike(fault, random.Random(7))
            struck = True
    assert struck


@when("the status of one engine never arrives")
def lose_one_status(context: Any) -> None:
    context.rollout.never_heard = "r0-e0"


@then("every reachable engine serves the wanted version")
def check_settled(context: Any) -> None:
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
    assert rollout.wanted.phase == Phase.STAGE
    rollout.turn(DEADLINE_S)
    assert rollout.wanted.phase == Phase.SWITCH


@then(
    "{count:d} random roll-outs end with the wanted version "
    "everywhere reachable"
)
def check_random(context: Any, count: int) -> None:
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
