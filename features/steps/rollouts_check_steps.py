"""Steps on the check of delivered samples in the bench."""

import copy
from typing import Any

from behave import given, then, when

from bench.rollout_check import check
from standins.trainer import ReceivedSample, TrainingPlan

PLAN = TrainingPlan(1, 1, 0, 2, 2, 8, 0.0)
TOKENS = 3


def _sample(slot: str) -> dict[str, Any]:
    span = {"version": 3, "first": 0, "end": TOKENS}
    return {"slot": slot, "tokens": TOKENS, "versions": [span]}


@given("4 samples that one engine generated at version 3")
def generated(context: Any) -> None:
    slots = [f"t.1.p{p}.{i}" for p in range(2) for i in range(2)]
    context.samples = [_sample(slot) for slot in slots]
    context.records = [
        {
            "request_id": f"{slot}.9-0.1",
            "offset": 0,
            "tokens": ["a"] * TOKENS,
            "versions": [3] * TOKENS,
        }
        for slot in slots
    ]


@when("the trainer at version {version:d} received them with {fault}")
def received(context: Any, version: int, fault: str) -> None:
    samples = context.samples
    if fault == "one missing":
        samples.pop()
    elif fault == "one twice":
        samples.append(copy.deepcopy(samples[0]))
    elif fault == "another version":
        samples[0]["versions"][0]["version"] = 4
    elif fault == "a token more":
        samples[0]["tokens"] += 1
        samples[0]["versions"][0]["end"] += 1
    context.received = [ReceivedSample(sample, version) for sample in samples]


@then(
    "the check counts {lost:d} lost, {doubled:d} doubled, {over:d} over a "
    "bound of 2 and {wrong:d} with a wrong version"
)
def check_counts(
    context: Any, lost: int, doubled: int, over: int, wrong: int
) -> None:
    records = {"e": context.records}
    found = check("t", PLAN, 2, context.received, records)
    counts = (found.lost, found.doubled, found.over_bound, found.wrong_version)
    assert counts == (lost, doubled, over, wrong), found
