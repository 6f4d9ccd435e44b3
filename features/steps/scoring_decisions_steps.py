"""Steps for the decisions on scoring, and on saving texts without a score."""

import random
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from behave import given, then, when

from hibiscuspin.decisions import job_order, queueing, scoring


class ScoredSample(NamedTuple):
    """A sample of a replayed load, and when its text was complete."""

    number: int
    group: int
    complete_at: float


@given(
    "{groups:d} groups of {size:d} samples whose texts end in any order within "
    "{within:g} s"
)
def set_texts(context: Any, groups: int, size: int, within: float) -> None:
    rng = random.Random(7)
    context.texts = [
        ScoredSample(number, number % groups, rng.uniform(0.0, within))
        for number in range(groups * size)
    ]


def whole_groups(
    texts: list[ScoredSample],
    order: Callable[[list[scoring.UnscoredSample]], list[int]],
    slots: int,
    call_s: float,
    due: float,
) -> int:
    """Returns how many groups are scored by the due time."""
    unfinished = Counter(text.group for text in texts)
    by_number = {text.number: text for text in texts}
    waiting = dict(by_number)
    running: list[tuple[float, int]] = []
    now = 0.0
    while now <= due:
        for ends_at, number in [row for row in running if row[0] <= now]:
            running.remove((ends_at, number))
            unfinished[by_number[number].group] -= 1
        ready = [
            scoring.UnscoredSample(number, unfinished[text.group], due)
            for number, text in sorted(
                waiting.items(), key=lambda row: row[1].complete_at
            )
            if text.complete_at <= now
        ]
        for number in order(ready)[: slots - len(running)]:
            del waiting[number]
            running.append((now + call_s, number))
        now += 0.01
    return sum(not count for count in unfinished.values())


@when(
    "{slots:d} slots score a sample in {call:g} s each until the due time in "
    "{due:g} s"
)
def replay_scoring(context: Any, slots: int, call: float, due: float) -> None:
    def in_turn(ready: list[scoring.UnscoredSample]) -> list[int]:
        return [sample.number for sample in ready]

    context.whole_groups, context.whole_in_turn = (
        whole_groups(context.texts, order, slots, call, due)
        for order in (scoring.score_order, in_turn)
    )


@then("{more:d} groups more are whole in time than first come, first served")
def check_whole_groups(context: Any, more: int) -> None:
    gained = context.whole_groups - context.whole_in_turn
    assert gained >= more, (context.whole_groups, context.whole_in_turn)


@given('samples to score "{texts}"')
def set_unscored(context: Any, texts: str) -> None:
    context.unscored = []
    for text in texts.split():
        number, unfinished, due = text.split(":")
        context.unscored.append(
            scoring.UnscoredSample(int(number), int(unfinished), float(due))
        )


@then('they are scored in the order "{numbers}"')
def check_score_order(context: Any, numbers: str) -> None:
    order = scoring.score_order(context.unscored)
    assert order == [int(number) for number in numbers.split()], order


@given("a service with {slots:d} slots of which {free:d} are free")
def set_scoring_load(context: Any, slots: int, free: int) -> None:
    context.load = queueing.ServiceLoad(free, slots, 0, 0.05)


@then("with {running:d} scoring calls in flight {more:d} more may start")
def check_startable(context: Any, running: int, more: int) -> None:
    assert scoring.startable_calls(context.load, running) == more


@given(
    "a sample with {failures:d} failed attempts and {errors:d} server errors"
)
def set_scoring_attempts(context: Any, failures: int, errors: int) -> None:
    context.scoring_attempts = scoring.ScoringAttempts(failures, errors)


@when("at most {failures} failures and {errors} server errors are allowed")
def set_scoring_limits(context: Any, failures: str, errors: str) -> None:
    context.scoring_limits = scoring.RetryLimits(
        *(None if text == "no" else int(text) for text in (failures, errors))
    )


@then("a retry that is suggested after {seconds:g} s is {decision}")
def check_scoring_retry(context: Any, seconds: float, decision: str) -> None:
    found = scoring.after_failure(
        context.scoring_attempts, context.scoring_limits, seconds, 100.0
    )
    if decision == "given up":
        assert found.action is scoring.RetryAction.GIVE_UP, found
    else:
        assert found.action is scoring.RetryAction.RETRY, found
        shown = f"after {round(found.retry_at - 100.0, 3):g} s"
        assert shown == decision, found


@given("{events:d} new events and a text that has waited {waited:g} s")
def set_unsaved(context: Any, events: int, waited: float) -> None:
    context.unsaved = (events, 100.0 - waited)


@when("samples were saved {ago:g} s ago")
def decide_save(context: Any, ago: float) -> None:
    events, text_at = context.unsaved
    context.save_due = job_order.save_due(events, text_at, 100.0 - ago, 100.0)


@then("saving them is {due}")
def check_save(context: Any, due: str) -> None:
    assert context.save_due == (due == "due")


@when(
    "of {count:d} samples the last failure is not on record, {ago:g} s after a "
    "record"
)
def decide_record(context: Any, count: int, ago: float) -> None:
    context.record_due = job_order.failures_due(count, 100.0 - ago, 100.0)


@then("recording them is {due}")
def check_record(context: Any, due: str) -> None:
    assert context.record_due == (due == "due")
