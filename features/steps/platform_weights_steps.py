"""Steps on the loads of several models that share engines, in-process."""

import random
from collections import Counter
from typing import Any, NamedTuple

from behave import given, then, when

from hibiscuspin.decisions import weight_orders
from hibiscuspin.decisions.weight_orders import DesiredVersion, EngineView

TICK_S = 0.05
NAME_PERIOD_S = 4.0
LOAD_S = 0.9
PLAYED_S = 60.0
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
    context.wanted = dict.fromkeys(sorted(models), wanted)
    context.assigned = weight_orders.assign_engines(
        context.wanted, context.versions
    )


@when(
    "they load, and engines are assigned for version {wanted:d} of all",
)
def load_and_choose(context: Any, wanted: int) -> None:
    context.before = context.assigned
    for model, names in context.assigned.items():
        for name in names:
            context.versions[name][model] = context.wanted[model]
    assign(context, wanted)


@when(
    "one engine is lost, and engines are assigned for version {wanted:d} of all"
)
def lose_and_choose(context: Any, wanted: int) -> None:
    context.before = context.assigned
    name = context.assigned["m0"][0]
    del context.versions[name]
    assign(context, wanted)


@then("each model has {count:d} engines and none has more than {most:d} models")
def check_assigned(context: Any, count: int, most: int) -> None:
    assert {len(names) for names in context.assigned.values()} == {count}
    taken = Counter(
        name for names in context.assigned.values() for name in names
    )
    assert max(taken.values()) <= most, taken


@then('model "{model}" has {count:d} engines and model "{other}" has {rest:d}')
def check_two(
    context: Any, model: str, count: int, other: str, rest: int
) -> None:
    assert len(context.assigned[model]) == count, context.assigned
    assert len(context.assigned[other]) == rest, context.assigned


@then("all models have the same engines as before")
def check_same(context: Any) -> None:
    for model, names in context.assigned.items():
        assert set(names) == set(context.before[model]), model


@then("each model has {count:d} engines, of which {new:d} is new at most")
def check_few_moves(context: Any, count: int, new: int) -> None:
    for model, names in context.assigned.items():
        assert len(names) == count, context.assigned
        moved = set(names) - set(context.before[model])
        assert len(moved) <= new, (model, moved)


def views(texts: str) -> list[EngineView]:
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
    context.views_by_model[model] = views(texts)


@then('the models load in the order "{models}"')
def check_turns(context: Any, models: str) -> None:
    wanted = dict.fromkeys(context.views_by_model, 2)
    found = weight_orders.loading_order(wanted, context.views_by_model)
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
    """A load that is under way."""

    model: str
    version: int
    ends_at: float


class Replay:
    """Plays the loads of models whose trainers name versions in turn.

    Attributes:
        named: How many versions were named.
        loaded: How many loads were begun.
        most: How many engines loaded at once, at most.
        fewest: How many engines could run a newest step, at least.
    """

    def __init__(self, versions: dict[str, dict[str, int]], shared: bool):
        self.versions = versions
        self.shared = shared
        self.wanted: dict[str, int] = {}
        self.named_at: dict[str, float] = {}
        self.loads: dict[str, _Load] = {}
        self.named = 0
        self.loaded = 0
        self.most = 0
        self.fewest = len(versions)

    def name(self, model: str, now: float) -> None:
        self.named_at[model] = now
        self.wanted[model] = self.wanted.get(model, 1) + 1
        self.named += 1

    def step(self, now: float) -> None:
        for name, load in list(self.loads.items()):
            if now >= load.ends_at:
                self.versions[name][load.model] = load.version
                del self.loads[name]
        assigned = {model: list(self.versions) for model in self.wanted}
        if self.shared:
            assigned = weight_orders.assign_engines(self.wanted, self.versions)
        by_model = {
            model: [
                EngineView(n, self.versions[n][model], 0, SLOTS) for n in names
            ]
            for model, names in assigned.items()
        }
        at_once = weight_orders.max_concurrent_loads(len(self.versions))
        for model in weight_orders.loading_order(self.wanted, by_model):
            need = DesiredVersion(
                model, self.wanted[model], self.named_at[model]
            )
            loading = {name: load.model for name, load in self.loads.items()}
            for name in weight_orders.engines_to_load(
                need, by_model[model], loading, at_once - len(loading), now
            ):
                self.loads[name] = _Load(model, need.version, now + LOAD_S)
                self.loaded += 1
            able = sum(
                row[model] >= need.version - 1
                and not (name in self.loads and self.loads[name].model == model)
                for name, row in self.versions.items()
            )
            self.fewest = min(self.fewest, able)
        self.most = max(self.most, len(self.loads))


def replay(versions: dict[str, dict[str, int]], shared: bool) -> Replay:
    rows = {name: dict(row) for name, row in versions.items()}
    played = Replay(rows, shared)
    draw = random.Random(7)
    name_at = {f"m{n}": NAME_PERIOD_S * draw.random() for n in range(MODELS)}
    for tick in range(int(PLAYED_S / TICK_S)):
        now = tick * TICK_S
        for model, at in name_at.items():
            if now >= at:
                played.name(model, now)
                name_at[model] = at + NAME_PERIOD_S
        played.step(now)
    return played


@when("a version of each is named each 4 s for 60 s and loads take 0.9 s")
def replay_both(context: Any) -> None:
    context.chosen = replay(context.versions, True)
    context.all = replay(context.versions, False)


@then(
    "each newest step always has {engines:d} engines at least, and more than "
    "if each had all"
)
def check_able(context: Any, engines: int) -> None:
    found = (context.chosen.fewest, context.all.fewest)
    assert found[0] >= engines and found[0] > found[1], found


@then("fewer loads are made than if each had all, {most:d} a version at most")
def check_loads(context: Any, most: int) -> None:
    chosen = context.chosen.loaded
    assert chosen < context.all.loaded
    assert chosen <= most * context.chosen.named, chosen


@then("at most {most:d} engines load at once")
def check_most(context: Any, most: int) -> None:
    assert context.chosen.most <= most, context.chosen.most
