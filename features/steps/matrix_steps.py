"""Steps of the fault matrix that run in-process, over fakes."""

import random
import threading
import time
from collections.abc import Collection
from typing import Any

import msgspec
from behave import given, then, when

from features.steps.matrix_fakes import (
    Crash,
    FakeService,
    FakeStore,
    Script,
    ShiftedClock,
)
from hibiscuspin.config import Config, Document
from hibiscuspin.config.document import ConfigRevision
from hibiscuspin.decisions.claims import Part
from hibiscuspin.edges import ServiceRequest, StoreEntry
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.tasks.attempts import AttemptLog
from hibiscuspin.tasks.claims import Claims
from hibiscuspin.tasks.configuration import CONFIG_KEY, Configuration
from hibiscuspin.tasks.enforced import KeyedReplicas
from hibiscuspin.tasks.once import AtMostOnceCalls
from hibiscuspin.tasks.services import LiveServices
from hibiscuspin.tasks.targets import Targets

SERVICE = "offers"
REPLICAS = ("r1", "r2")
TIMEOUT_S = 1.5
RECORD_S = 0.4
CONFIG_CLOCK_SPEED = 8.0
CONFIG_SLOW_S = 1.0


def make_config(names: Collection[str], user: str = "user") -> Config:
    """Returns a configuration with replicas of one service."""
    return {
        "user": user,
        "teams_by_name": {},
        "models_by_name": {},
        "trainers_by_name": {},
        "sites_by_name": {},
        "targets_by_name": {
            name: {
                "kind": "service",
                "data_centre": "a",
                "address": f"127.0.0.1:{number}",
                "service": SERVICE,
            }
            for number, name in enumerate(names, 1)
        },
        "services_by_name": {},
        "service_levels_by_name": {},
    }


class ScriptedTargets(Targets):
    """Targets whose clients are fakes."""

    script: Script
    runs: list[ServiceRequest]

    def choose_service(
        self, service: str, excluded: Collection[str]
    ) -> str | None:
        """Chooses a replica, and shows the faults of this step."""
        name = super().choose_service(service, excluded)
        self.script.reach("choose")
        return name

    def service(self, name: str) -> Any:
        """Returns the fake of a replica."""
        super().service(name)
        return FakeService(name, self.runs, self.script)


class EntryInstance:
    """The parts of an instance that serve calls that may not be repeated."""

    def __init__(
        self,
        entries: dict[str, StoreEntry],
        runs: list[ServiceRequest],
        script: Script,
    ) -> None:
        self.script = script
        self.store = FakeStore(entries, script)
        self.store.step_of_write = step_of_claims
        clock = script.clock
        self.targets = ScriptedTargets(
            "i", "a", clock, random.Random(1), "round_robin"
        )
        self.targets.script = script
        self.targets.runs = runs
        self.revision = 0
        self.configure(REPLICAS)
        self.claims = Claims(self.store, clock)  # type: ignore[arg-type]
        self.once = AtMostOnceCalls(
            self.claims, KeyedReplicas(self.targets, clock), clock
        )
        self.live = LiveServices(self.targets, clock, AttemptLog())
        self.stop = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(task,), daemon=True)
            for task in self.claims.tasks()
        ]
        for thread in self.threads:
            thread.start()

    def configure(self, names: Collection[str]) -> None:
        """Brings a set of replicas into force."""
        self.revision += 1
        revision = ConfigRevision(self.revision, "change")
        self.targets.configure(Document(revision, make_config(names)))

    def reconfigure(self) -> None:
        """Two operators each take a replica out; the later change counts."""
        self.configure(REPLICAS[:1])
        self.configure(REPLICAS[1:])

    def send(self, request_id: str) -> str:
        """Sends the call of the scenario; returns how it ended."""
        clock = self.script.clock
        call = ServiceRequest(request_id, "POST", "/offers", b"body", "", "key")

        def run(call: ServiceRequest, deadline: float) -> Any:
            return self.live.call(SERVICE, call, deadline, repeatable=False)

        try:
            self.script.reach("accept")
            answer = self.once.call(
                "team",
                SERVICE,
                {"repeatable": False, "timeout_s": TIMEOUT_S},
                call,
                clock.monotonic() + TIMEOUT_S,
                run,
            )
            if answer.body != call.body:
                return "wrong"
            return "ok"
        except Crash:
            return "died"
        except HibiscusError as error:
            if "dead" in self.script.standing:
                return "died"
            return "not_run" if error.ran == "no" else "unknown"

    def close(self) -> None:
        """Stops the committers, which flush first."""
        self.stop.set()
        for task in self.claims.tasks():
            task.interrupt()
        for thread in self.threads:
            thread.join()

    def _run(self, task: Any) -> None:
        try:
            task.run(self.stop)
        except Crash:
            return


def step_of_claims(key: str, value: bytes) -> str:
    """Returns the step that writes a part: its claims or an outcome."""
    part = msgspec.json.decode(value, type=Part)
    claims = part["claims_by_key"].values()
    return "record" if any(c["outcome"] for c in claims) else "claim"


@given("two entry instances over one store and two replicas")
def live_world(context: Any) -> None:
    context.entries = {}
    context.service_runs = []


@when('"{faults}" strikes the first call at step "{step}"')
def strike_live(context: Any, faults: str, step: str) -> None:
    entries, runs = context.entries, context.service_runs
    script = Script(step, faults.split("+"), ShiftedClock())
    first = EntryInstance(entries, runs, script)
    script.reconfigure = first.reconfigure
    context.first_end = first.send("first")
    died = "dead" in script.standing or context.first_end == "died"
    time.sleep(RECORD_S if step == "record" else 0)
    died = died or "dead" in script.standing
    unstruck = list(script.pending)
    if not died:
        script.heal()
    first.close()
    context.unstruck = unstruck
    healthy = Script("", [], ShiftedClock())
    healthy.clock.shift_s = script.clock.shift_s
    second = EntryInstance(entries, runs, healthy)
    context.repeat_end = second.send("second")
    second.close()


@then('the first call ends "{first}" and its repeat "{repeat}"')
def check_ends(context: Any, first: str, repeat: str) -> None:
    assert not context.unstruck, context.unstruck
    seen = (context.first_end, context.repeat_end)
    assert seen == (first, repeat), seen


@then("the call ran {runs:d} time in all and no answer was false")
def check_live_runs(context: Any, runs: int) -> None:
    ran = [call.request_id for call in context.service_runs]
    assert len(ran) == runs, ran
    assert not (context.first_end == "not_run" and "first" in ran), ran


def step_of_config(key: str, value: bytes) -> str:
    """Returns the step that writes the configuration's key."""
    return "write" if key == CONFIG_KEY else ""


class ConfigWorld:
    """Two instances, and an operator who changes the configuration."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.entries: dict[str, StoreEntry] = {}
        self.store = FakeStore(self.entries, script)
        self.store.step_of_write = step_of_config
        clock = script.clock
        self.first = Configuration(self.store, clock)  # type: ignore[arg-type]
        self.second = Configuration(self.store, clock)  # type: ignore[arg-type]
        self.seen: list[int] = []
        self.second.subscribe(lambda d: self.seen.append(d.revision.number))

    def race(self) -> None:
        """Another operator writes over the same revision first."""
        held = self.entries[CONFIG_KEY]
        stored = {
            "change_id": "other",
            "author": "other",
            "config": make_config((), "other"),
        }
        value = msgspec.json.encode(stored)
        self.entries[CONFIG_KEY] = StoreEntry(
            CONFIG_KEY, value, held.revision + 1
        )

    def refresh(self) -> None:
        """Both instances read the store, as their watches would."""
        entry = self.entries[CONFIG_KEY]
        document = Document.from_stored(entry.revision, entry.value)
        self.first.offer(document)
        self.second.offer(document)


@given("two instances that hold the configuration of one store")
def config_world(context: Any) -> None:
    script = Script("", [], ShiftedClock(CONFIG_CLOCK_SPEED))
    script.slow_s = CONFIG_SLOW_S
    world = ConfigWorld(script)
    world.first.apply(make_config((), "old"), "operator", 0)
    world.refresh()
    script.reconfigure = world.race
    context.config_world = world


@when('"{faults}" strikes a change of the configuration at step "{step}"')
def strike_config(context: Any, faults: str, step: str) -> None:
    world = context.config_world
    script = world.script
    script.step, script.pending = step, faults.split("+")
    try:
        script.reach("check")
        document = world.first.apply(
            make_config((), "new"), "operator", world.first.revision
        )
        context.told = "ok"
        script.reach("notify")
        if "partition" not in script.standing:
            world.second.offer(document)
        script.reach("apply")
    except Crash:
        context.told = "ok" if step == "apply" else "died"
    except HibiscusError as error:
        conflict = error.kind is ErrorKind.CONFIG_CONFLICT
        lost = conflict and error.ran is ExecutionStatus.NO
        context.told = "conflict" if lost else str(error.ran)


@then('the operator is told "{told}"')
def check_told(context: Any, told: str) -> None:
    assert context.told == told, context.told


@then(
    'after the fault both instances hold the "{held}" configuration '
    "and none went back"
)
def check_held(context: Any, held: str) -> None:
    world = context.config_world
    world.script.heal()
    world.refresh()
    users = (world.first.config()["user"], world.second.config()["user"])
    assert users == (held, held), users
    assert world.seen == sorted(world.seen), world.seen
