"""Steps for the live and configuration paths of the fault matrix.

They run in-process, over fakes.
"""

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
    FaultScript,
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
CALL_TIMEOUT_S = 1.5
RECORD_WAIT_S = 0.4
CONFIG_CLOCK_SPEED = 8.0
CONFIG_STORE_DELAY_S = 1.0


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
    """Targets whose replicas have fake clients."""

    script: FaultScript
    executed_calls: list[ServiceRequest]

    def choose_service(
        self, service: str, excluded: Collection[str]
    ) -> str | None:
        """Chooses a replica, then injects the faults of step `choose`."""
        name = super().choose_service(service, excluded)
        self.script.reach_step("choose")
        return name

    def service(self, name: str) -> Any:
        """Returns a fake client of a replica."""
        super().service(name)
        return FakeService(name, self.executed_calls, self.script)


class EntryInstance:
    """The components of an instance that serve non-repeatable calls."""

    def __init__(
        self,
        entries: dict[str, StoreEntry],
        executed_calls: list[ServiceRequest],
        script: FaultScript,
    ) -> None:
        self.script = script
        self.store = FakeStore(entries, script)
        self.store.step_for_write = claims_write_step
        clock = script.clock
        self.targets = ScriptedTargets(
            "i", "a", clock, random.Random(1), "round_robin"
        )
        self.targets.script = script
        self.targets.executed_calls = executed_calls
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
        """Applies a configuration with a set of replicas."""
        self.revision += 1
        revision = ConfigRevision(self.revision, "change")
        self.targets.configure(Document(revision, make_config(names)))

    def reconfigure(self) -> None:
        """Applies two changes that each remove a replica; the last one wins."""
        self.configure(REPLICAS[:1])
        self.configure(REPLICAS[1:])

    def send(self, request_id: str) -> str:
        """Sends the call of the scenario and returns its result."""
        clock = self.script.clock
        call = ServiceRequest(request_id, "POST", "/offers", b"body", "", "key")

        def run(call: ServiceRequest, deadline: float) -> Any:
            return self.live.call(SERVICE, call, deadline, repeatable=False)

        try:
            self.script.reach_step("accept")
            response = self.once.call(
                "team",
                SERVICE,
                {"repeatable": False, "timeout_s": CALL_TIMEOUT_S},
                call,
                clock.monotonic() + CALL_TIMEOUT_S,
                run,
            )
            if response.body != call.body:
                return "wrong"
            return "ok"
        except Crash:
            return "died"
        except HibiscusError as error:
            if "dead" in self.script.active:
                return "died"
            return "not_run" if error.ran == "no" else "unknown"

    def close(self) -> None:
        """Stops the committer threads, which flush their changes first."""
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


def claims_write_step(key: str, value: bytes) -> str:
    """Returns the step at which a part of a shard of claims is written.

    A part with an outcome is written at `record`, any other at `claim`.
    """
    part = msgspec.json.decode(value, type=Part)
    claims = part["claims_by_key"].values()
    return "record" if any(c["outcome"] for c in claims) else "claim"


@given("two entry instances over one store and two replicas")
def make_live_world(context: Any) -> None:
    context.entries = {}
    context.executed_calls = []


@when('"{faults}" strikes the first call at step "{step}"')
def inject_live_fault(context: Any, faults: str, step: str) -> None:
    entries, executed_calls = context.entries, context.executed_calls
    script = FaultScript(step, faults.split("+"), ShiftedClock())
    first = EntryInstance(entries, executed_calls, script)
    script.reconfigure = first.reconfigure
    context.first_result = first.send("first")
    died = "dead" in script.active or context.first_result == "died"
    time.sleep(RECORD_WAIT_S if step == "record" else 0)
    died = died or "dead" in script.active
    not_injected = list(script.pending)
    if not died:
        script.heal()
    first.close()
    context.not_injected = not_injected
    no_faults = FaultScript("", [], ShiftedClock())
    no_faults.clock.shift_s = script.clock.shift_s
    second = EntryInstance(entries, executed_calls, no_faults)
    context.repeat_result = second.send("second")
    second.close()


@then('the first call ends "{first}" and its repeat "{repeat}"')
def check_results(context: Any, first: str, repeat: str) -> None:
    assert not context.not_injected, context.not_injected
    actual = (context.first_result, context.repeat_result)
    assert actual == (first, repeat), actual


@then("the call ran {runs:d} time in all and no answer was false")
def check_executions(context: Any, runs: int) -> None:
    executed_ids = [call.request_id for call in context.executed_calls]
    assert len(executed_ids) == runs, executed_ids
    assert not (
        context.first_result == "not_run" and "first" in executed_ids
    ), executed_ids


def config_write_step(key: str, value: bytes) -> str:
    """Returns `write` for the key of the configuration, else no step."""
    return "write" if key == CONFIG_KEY else ""


class ConfigWorld:
    """Two instances over one store, whose configuration operators change."""

    def __init__(self, script: FaultScript) -> None:
        self.script = script
        self.entries: dict[str, StoreEntry] = {}
        self.store = FakeStore(self.entries, script)
        self.store.step_for_write = config_write_step
        clock = script.clock
        self.first = Configuration(self.store, clock)  # type: ignore[arg-type]
        self.second = Configuration(self.store, clock)  # type: ignore[arg-type]
        self.observed_revisions: list[int] = []
        self.second.subscribe(
            lambda d: self.observed_revisions.append(d.revision.number)
        )

    def apply_competing_change(self) -> None:
        """Stores another operator's change over the same revision first."""
        current = self.entries[CONFIG_KEY]
        competing_change = {
            "change_id": "other",
            "author": "other",
            "config": make_config((), "other"),
        }
        value = msgspec.json.encode(competing_change)
        self.entries[CONFIG_KEY] = StoreEntry(
            CONFIG_KEY, value, current.revision + 1
        )

    def refresh(self) -> None:
        """Has both instances read the store, as their watches would."""
        entry = self.entries[CONFIG_KEY]
        document = Document.from_stored(entry.revision, entry.value)
        self.first.offer(document)
        self.second.offer(document)


@given("two instances that hold the configuration of one store")
def make_config_world(context: Any) -> None:
    script = FaultScript("", [], ShiftedClock(CONFIG_CLOCK_SPEED))
    script.slow_call_s = CONFIG_STORE_DELAY_S
    world = ConfigWorld(script)
    world.first.apply(make_config((), "old"), "operator", 0)
    world.refresh()
    script.reconfigure = world.apply_competing_change
    context.config_world = world


@when('"{faults}" strikes a change of the configuration at step "{step}"')
def inject_config_fault(context: Any, faults: str, step: str) -> None:
    world = context.config_world
    script = world.script
    script.step, script.pending = step, faults.split("+")
    try:
        script.reach_step("check")
        document = world.first.apply(
            make_config((), "new"), "operator", world.first.revision
        )
        context.operator_result = "ok"
        script.reach_step("notify")
        if "partition" not in script.active:
            world.second.offer(document)
        script.reach_step("apply")
    except Crash:
        context.operator_result = "ok" if step == "apply" else "died"
    except HibiscusError as error:
        conflict = error.kind is ErrorKind.CONFIG_CONFLICT
        lost_race = conflict and error.ran is ExecutionStatus.NO
        context.operator_result = "conflict" if lost_race else str(error.ran)


@then('the operator is told "{told}"')
def check_operator_result(context: Any, told: str) -> None:
    assert context.operator_result == told, context.operator_result


@then(
    'after the fault both instances hold the "{held}" configuration '
    "and none went back"
)
def check_final_config(context: Any, held: str) -> None:
    world = context.config_world
    world.script.heal()
    world.refresh()
    users = (world.first.config()["user"], world.second.config()["user"])
    assert users == (held, held), users
    assert world.observed_revisions == sorted(world.observed_revisions), (
        world.observed_revisions
    )
