"""Steps on the table of what the worth of a play was lost by."""

import json
import math
from collections import defaultdict
from typing import Any

from behave import given, then

from bench.causes import (
    causes_of,
    lost_groups_by_cause,
    worth_by_cause,
)
from bench.steps import read_log, steps_of

JOB = "j"
DUE_S, TIMEOUT_S, LATE_SHARE = 7.5, 12.0, 0.375
CLASSES = (
    {"name": "call", "worth": 0.2},
    {"name": "step", "worth": 4.0, "lot": {}},
)


def add_line(context: Any, at: float, text: str, **fields: Any) -> None:
    row = json.dumps({"message": f"ROLLOUT: {text}", **fields})
    context.log_lines.append((at, f"{at:9.4f} edge-1 {row}"))


def read_steps(context: Any) -> Any:
    lines = [line for _, line in sorted(context.log_lines)]
    return steps_of(read_log(["no log line", *lines]))


@given(
    "a log of a job of {groups:d} groups, of which the trainer waits for {n:d}"
)
def start_log(context: Any, groups: int, n: int) -> None:
    context.log_lines = []
    add_line(
        context, 0.0, "Job accepted.", job=JOB, model="m", required_groups=n
    )


def add_run(
    context: Any, item: str, group: str, start: float, end: float, why: str
) -> None:
    add_line(
        context,
        end,
        "Run of a sample ended.",
        job=JOB,
        request_id=item,
        group=group,
        end=why,
        took_s=end - start,
        first_event_s=0.0,
    )


@given("item {item} of group {group} ran from {a:g} to {b:g} and was moved")
def add_moved(context: Any, item: str, group: str, a: float, b: float) -> None:
    add_run(context, item, group, a, b, "MOVED")


@given(
    "item {item} of group {group} ran from {a:g} to {b:g} and was scored at "
    "{c:g}"
)
def add_scored(
    context: Any, item: str, group: str, a: float, b: float, c: float
) -> None:
    add_run(context, item, group, a, b, "WHOLE")
    text = "Attempt to score a sample ended."
    add_line(context, c, text, request_id=item, outcome="scored")


@given("{count:d} groups were published at {at:g}")
def add_publication(context: Any, count: int, at: float) -> None:
    add_line(context, at, "Results published.", job=JOB, complete_groups=count)


@given("the job was taken over at {at:g}")
def add_takeover(context: Any, at: float) -> None:
    add_line(context, at, "Job taken over.", job=JOB)


@given("a report with a worth of {worth:g}, of which {prices:g} are prices")
def set_report(context: Any, worth: float, prices: float) -> None:
    lost = 1 - worth - prices
    context.report = {
        "G": worth,
        "parts": [["whole day", 0.6, 1 - lost / 0.6], ["kind", 0.4, 1.0]],
        "prices": [["machines", 10, prices], ["none", 0, 0]],
        "classes": [
            {"name": "call", "n": 10, "worth": 0.9},
            {"name": "step", "n": 2, "worth": 0.6},
        ],
    }


@then(
    'the step lost {a:g} s of "{first}" and {b:g} s of "{second}" until {end:g}'
)
def check_causes(
    context: Any, a: float, first: str, b: float, second: str, end: float
) -> None:
    (step,) = read_steps(context)
    seconds: dict[str, float] = defaultdict(float)
    for row in causes_of(step, end):
        seconds[row.cause] += row.end - row.start
    # The wait before the first run is the same in all these jobs.
    if seconds["slot"]:
        seconds["slot"] -= 1.0
    assert math.isclose(seconds[first], a, abs_tol=1e-3), dict(seconds)
    assert math.isclose(seconds[second], b, abs_tol=1e-3), dict(seconds)


@then("the table of causes sums up to {missing:g}")
def check_sum(context: Any, missing: float) -> None:
    lost = lost_groups_by_cause(
        read_steps(context), DUE_S, TIMEOUT_S, LATE_SHARE
    )
    context.worth = worth_by_cause(context.report, CLASSES, lost)
    assert math.isclose(sum(context.worth.values()), missing), context.worth


@then('its largest cause is "{cause}"')
def check_largest(context: Any, cause: str) -> None:
    found = max(context.worth, key=lambda name: context.worth[name])
    assert found == cause, context.worth
