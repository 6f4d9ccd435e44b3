"""In-process steps for routers and routing subsets."""

import random
from collections import Counter
from typing import Any

from behave import given, then, when

from hibiscuspin.decisions.routing import (
    Candidate,
    RoutingRequest,
    router_by_name,
)
from hibiscuspin.decisions.routing.subset import TargetLocation, target_subset


def parse_candidate(name: str, text: str) -> Candidate:
    pairs = (pair.split("=") for pair in text.split(","))
    fields: dict[str, Any] = {key: float(value) for key, value in pairs}
    return Candidate(name)._replace(**fields)


def make_locations(engines: int, centres: int) -> list[TargetLocation]:
    return [
        TargetLocation(f"dc{centre}-{i}", centre == 0, centre < 2)
        for centre in range(centres)
        for i in range(engines)
    ]


@given("routing candidates a with {a} and b with {b}")
def set_candidates(context: Any, a: str, b: str) -> None:
    context.candidates = [parse_candidate("a", a), parse_candidate("b", b)]


@when("expected_finish places a request of {tokens:d} tokens")
def route_one(context: Any, tokens: int) -> None:
    router = router_by_name("expected_finish")
    rng = random.Random(1)
    request = RoutingRequest(0, tokens)
    context.chosen_name = router.choose(request, context.candidates, rng).name


@then("the router takes {name}")
def check_chosen(context: Any, name: str) -> None:
    assert context.chosen_name == name, context.chosen_name


@when("{router} places 600 requests on 3 equal routing candidates")
def route_many(context: Any, router: str) -> None:
    count_by_name: Counter[str] = Counter()
    rng = random.Random(1)
    for turn in range(600):
        candidates = [Candidate(n, in_flight=count_by_name[n]) for n in "abc"]
        request = RoutingRequest(turn, 50)
        candidate = router_by_name(router).choose(request, candidates, rng)
        count_by_name[candidate.name] += 1
    context.count_by_name = count_by_name


@then("each candidate got between {least:d} and {most:d}")
def check_shares(context: Any, least: int, most: int) -> None:
    assert all(least <= context.count_by_name[n] <= most for n in "abc"), (
        context.count_by_name
    )


@given("{instances:d} instances choose routing subsets")
def choose_subsets(context: Any, instances: int) -> None:
    row = context.active_outline
    engines, centres = (
        (int(row["engines"]), int(row["centres"])) if row else (306, 1)
    )
    context.locations = make_locations(engines, centres)
    context.subsets_by_instance = {
        f"i{n}": target_subset(f"i{n}", context.locations)
        for n in range(instances)
    }


@then("each knows at most 28 targets, 4 of them elsewhere")
def check_subset_size(context: Any) -> None:
    for names in context.subsets_by_instance.values():
        elsewhere = [name for name in names if not name.startswith("dc0-")]
        assert len(names) <= 28 and len(elsewhere) <= 4, names
        near = {
            location.name
            for location in context.locations
            if location.name.startswith("dc1-")
        }
        far = [name for name in elsewhere if name not in near]
        assert not far or near <= set(elsewhere), names


@then("every local engine is known to between {least:d} and {most:d} instances")
def check_spread(context: Any, least: int, most: int) -> None:
    instance_count_by_engine = Counter(
        name
        for names in context.subsets_by_instance.values()
        for name in names
        if name.startswith("dc0-")
    )
    local = [location.name for location in context.locations if location.local]
    counts = [instance_count_by_engine[name] for name in local]
    assert least <= min(counts) and max(counts) <= most, counts


@when("one of 306 engines leaves")
def remove_engine(context: Any) -> None:
    context.locations = [
        location for location in context.locations if location.name != "dc0-7"
    ]


@then("each instance replaced at most one target")
def check_replacements(context: Any) -> None:
    for name, before in context.subsets_by_instance.items():
        after = target_subset(name, context.locations)
        assert len(before - after) <= 1, (before, after)
