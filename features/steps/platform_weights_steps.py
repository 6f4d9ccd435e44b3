"""Steps on weight loads of several models that share engines."""

import random
from collections import Counter
from typing import Any, NamedTuple

from behave import given, then, when

from hibiscuspin.decisions import weight_orders
from hibiscuspin.decisions.weight_orders import DesiredVersion, EngineView

TICK_S = 0.05
NAME_PERIOD_S = 4.0
LOAD_S = 0.9
SIMULATED_S = 60.0
MODELS = 4
SLOTS = 8


@given("{engines:d} engines that serve {models:d} models at version 1")
def set_engines(context: Any, engines: int, models: int) -> None:
    context.versions = {
        f"e{number:02d}": {f"m{model}": 1 for model in range(models)}
        for number in range(engines)
    }


@given('{engines:d} more engines that serve only model "{model}" at version 1')
def add_engines(context: Any, engines: int, model: str) -> None:
    for number in range(engines):
        context.versions[f"f{number}"] = {model: 1}


@when("engines are assigned for version {wanted:d} of all")
def assign(context: Any, wanted: int) -> None:
    models = {model for row in context.versions.values() for model in row}
    context.desired = dict.fromkeys(sorted(models), wanted)
    context.assigned = weight_orders.assign_engines(
        context.desired, context.versions
    )


@when(
    "they load, and engines are assigned for version {wanted:d} of all",
)
def load_and_assign(context: Any, wanted: int) -> None:
    context.assigned_before = context.assigned
    for model, names in context.assigned.items():
        for name in names:
            context.versions[name][model] = context.desired[model]
    assign(context, wanted)


@when(
    "one engine is lost, and engines are assigned for version {wanted:d} of all"
)
def lose_and_assign(context: Any, wanted: int) -> None:
    context.assigned_before = context.assigned
    name = context.assigned["m0"][0]
    del context.versions[name]
    assign(context, wanted)


@then("each model has {count:d} engines and none has more than {most:d} models")
def check_assigned(context: Any, count: int, most: int) -> None:
    assert {len(names) for names in context.assigned.values()} == {count}
    models_by_engine = Counter(
        name for names in context.assigned.values() for name in names
    )
    assert max(models_by_engine.values()) <= most, models_by_engine


@then('model "{model}" has {count:d} engines and model "{other}" has {rest:d}')
def check_two(
    context: Any, model: str, count: int, other: str, rest: int
) -> None:
    assert len(context.assigned[model]) == count, context.assigned
    assert len(context.assigned[other]) == rest, context.assigned


@then("all models have the same engines as before")
def check_same(context: Any) -> None:
    for model, names in context.assigned.items():
        assert set(names) == set(context.assigned_before[model]), model


@then("each model has {count:d} engines, of which {new:d} is new at most")
def check_few_moves(context: Any, count: int, new: int) -> None:
    for model, names in context.assigned.items():
        assert len(names) == count, context.assigned
        moved = set(names) - set(context.assigned_before[model])
        assert len(moved) <= new, (model, moved)


def parse_engine_views(texts: str) -> list[EngineView]:
    rows = []
    for text in texts.split():
        name, _, fields = text.partition(":")
        version, busy = map(int, fields.split(","))
        rows.append(EngineView(name, version, busy, SLOTS))
    return rows


@given('assigned engines "{texts}" of model "{model}"')
def set_assigned(context: Any, texts: str, model: str) -> None:
    if not hasattr(context, "views_by_model"):
        context.views_by_model = {}
    context.views_by_model[model] = parse_engine_views(texts)


@then('the models load in the order "{models}"')
def check_turns(context: Any, models: str) -> None:
    desired = dict.fromkeys(context.views_by_model, 2)
    found = weight_orders.loading_order(desired, context.views_by_model)
    assert found == models.split(), found


@when(
    '"{name}" loads "{other}" and version {wanted:d} of "{model}" is wanted '
    "with room for {room:d}"
)
def next_of_model(
    context: Any, name: str, other: str, wanted: int, model: str, room: int
) -> None:
    context.loads = weight_orders.engines_to_load(
        DesiredVersion(model, wanted, 0.0),
        context.views_by_model[model],
        {name: other},
        room,
        10.0,
    )


class _Load(NamedTuple):
    """A load in progress."""

    model: str
    version: int
    ends_at: float


class LoadSimulation:
    """Simulates the loads of models whose trainers announce versions.

    Attributes:
        versions_by_engine: For each engine, the version of each model.
        uses_assignment: Whether each model gets a share of the engines
            instead of all.
        announced_versions: How many versions were announced.
        load_count: How many loads were started.
        max_concurrent_loads: The most engines that loaded at once.
        min_able_engines: The fewest engines that could run the newest step
            of a model.
    """

    def __init__(
        self,
        versions_by_engine: dict[str, dict[str, int]],
        uses_assignment: bool,
    ):
        self.versions_by_engine = versions_by_engine
        self.uses_assignment = uses_assignment
        self.desired_by_model: dict[str, int] = {}
        self.announced_at_by_model: dict[str, float] = {}
        self.load_by_engine: dict[str, _Load] = {}
        self.announced_versions = 0
        self.load_count = 0
        self.max_concurrent_loads = 0
        self.min_able_engines = len(versions_by_engine)

    def announce_version(self, model: str, now: float) -> None:
        self.announced_at_by_model[model] = now
        self.desired_by_model[model] = self.desired_by_model.get(model, 1) + 1
        self.announced_versions += 1

    def advance(self, now: float) -> None:
        for name, load in list(self.load_by_engine.items()):
            if now >= load.ends_at:
                self.versions_by_engine[name][load.model] = load.version
                del self.load_by_engine[name]
        assigned = {
            model: list(self.versions_by_engine)
            for model in self.desired_by_model
        }
        if self.uses_assignment:
            assigned = weight_orders.assign_engines(
                self.desired_by_model, self.versions_by_engine
            )
        views_by_model = {
            model: [
                EngineView(n, self.versions_by_engine[n][model], 0, SLOTS)
                for n in names
            ]
            for model, names in assigned.items()
        }
        max_loads = weight_orders.max_concurrent_loads(
            len(self.versions_by_engine)
        )
        for model in weight_orders.loading_order(
            self.desired_by_model, views_by_model
        ):
            desired = DesiredVersion(
                model,
                self.desired_by_model[model],
                self.announced_at_by_model[model],
            )
            loading = {
                name: load.model for name, load in self.load_by_engine.items()
            }
            for name in weight_orders.engines_to_load(
                desired,
                views_by_model[model],
                loading,
                max_loads - len(loading),
                now,
            ):
                self.load_by_engine[name] = _Load(
                    model, desired.version, now + LOAD_S
                )
                self.load_count += 1
            able_engines = sum(
                row[model] >= desired.version - 1
                and not (
                    name in self.load_by_engine
                    and self.load_by_engine[name].model == model
                )
                for name, row in self.versions_by_engine.items()
            )
            self.min_able_engines = min(self.min_able_engines, able_engines)
        self.max_concurrent_loads = max(
            self.max_concurrent_loads, len(self.load_by_engine)
        )


def simulate(
    versions_by_engine: dict[str, dict[str, int]], uses_assignment: bool
) -> LoadSimulation:
    rows = {name: dict(row) for name, row in versions_by_engine.items()}
    simulation = LoadSimulation(rows, uses_assignment)
    rng = random.Random(7)
    next_announcement_by_model = {
        f"m{n}": NAME_PERIOD_S * rng.random() for n in range(MODELS)
    }
    for tick in range(int(SIMULATED_S / TICK_S)):
        now = tick * TICK_S
        for model, at in next_announcement_by_model.items():
            if now >= at:
                simulation.announce_version(model, now)
                next_announcement_by_model[model] = at + NAME_PERIOD_S
        simulation.advance(now)
    return simulation


@when("a version of each is named each 4 s for 60 s and loads take 0.9 s")
def simulate_both(context: Any) -> None:
    context.shared = simulate(context.versions, True)
    context.unshared = simulate(context.versions, False)


@then(
    "each newest step always has {engines:d} engines at least, and more than "
    "if each had all"
)
def check_able(context: Any, engines: int) -> None:
    found = (context.shared.min_able_engines, context.unshared.min_able_engines)
    assert found[0] >= engines and found[0] > found[1], found


@then("fewer loads are made than if each had all, {most:d} a version at most")
def check_loads(context: Any, most: int) -> None:
    load_count = context.shared.load_count
    assert load_count < context.unshared.load_count
    assert load_count <= most * context.shared.announced_versions, load_count


@then("at most {most:d} engines load at once")
def check_most(context: Any, most: int) -> None:
    assert context.shared.max_concurrent_loads <= most, (
        context.shared.max_concurrent_loads
    )
