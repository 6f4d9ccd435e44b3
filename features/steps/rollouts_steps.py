"""Steps on the decision functions of rollouts."""

from typing import Any

from behave import given, then, when

from hibiscuspin.decisions.delivery import CursorState, decide_pull
from hibiscuspin.decisions.dispatch import (
    ORDER_POLICIES,
    SHARE_POLICIES,
    SlotView,
)
from hibiscuspin.decisions.lookahead import LOOKAHEAD_POLICIES, LookaheadInputs
from hibiscuspin.decisions.staleness import VersionRate, oldest_allowed_version
from hibiscuspin.decisions.stragglers import (
    REDISPATCH_POLICIES,
    RunningGeneration,
    TokenIntervals,
    TokenUsage,
)


def _parse_numbers(text: str) -> tuple[int, ...]:
    return tuple(int(part) for part in text.split())


@given(
    'a step of {total} slots with cursor {cursor:d}, acknowledged "{acked}" '
    'and pending "{pending}"'
)
@given(
    'a step of {total} slots with cursor {cursor:d}, acknowledged "" '
    'and pending "{pending}"'
)
@given(
    'a step of {total} slots with cursor {cursor:d}, acknowledged "" '
    'and pending ""'
)
def step_of_slots(
    context: Any, total: str, cursor: int, acked: str = "", pending: str = ""
) -> None:
    bitmap = sum(1 << position for position in _parse_numbers(acked))
    context.total = None if total == "open" else int(total)
    context.cursor = CursorState(cursor, bitmap, _parse_numbers(pending))


@when(
    'the trainer pulls after {after:d} while "{ready}" are ready '
    "and flush is {flush}"
)
@when(
    'the trainer pulls after {after:d} while "" are ready and flush is {flush}'
)
def pull_after(context: Any, after: int, flush: str, ready: str = "") -> None:
    sizes = dict.fromkeys(_parse_numbers(ready), 10)
    context.pulled = decide_pull(
        context.cursor, after, sizes, context.total, flush=flush == "yes"
    )


@then('the pull verdict is {verdict} with batch "{batch}"')
@then('the pull verdict is {verdict} with batch ""')
def check_pull(context: Any, verdict: str, batch: str = "") -> None:
    result = context.pulled
    assert result.verdict.value == verdict, result
    assert result.state.pending == _parse_numbers(batch), result


@then(
    "with version {current:d}, bound {bound:d}, {ahead:d} steps ahead and "
    "{rate:g} versions a step the least version is {least:d}"
)
def check_least(
    context: Any, current: int, bound: int, ahead: int, rate: float, least: int
) -> None:
    found = oldest_allowed_version(
        current, bound, ahead, VersionRate(0, 0, rate)
    )
    assert found == least, found


@then(
    'look-ahead "{variant}" with bound {bound:d}, {rate:g} versions a step '
    "and weights {staleness:g}/{idle:g} allows {slots:d} slots of a "
    "100-slot step"
)
def check_lookahead(
    context: Any,
    variant: str,
    bound: int,
    rate: float,
    staleness: float,
    idle: float,
    slots: int,
) -> None:
    inputs = LookaheadInputs(100, bound, rate, staleness, idle)
    found = LOOKAHEAD_POLICIES[variant]().slots_ahead(inputs)
    assert found == slots, found


@then(
    'redispatch "{variant}" of {tokens:d} tokens in {elapsed:g} s after '
    "{moves:d} moves, usual {usual:g} s a token, {spent:d} spent and "
    "{wasted:d} wasted, {verdict}"
)
def check_redispatch(
    context: Any,
    variant: str,
    tokens: int,
    elapsed: float,
    moves: int,
    usual: float,
    spent: int,
    wasted: int,
    verdict: str,
) -> None:
    intervals = TokenIntervals((usual,) * 20)
    running = [
        RunningGeneration(1, 100.0, tokens, moves),
        RunningGeneration(2, 100.0, 1000, 0),
    ]
    chosen = REDISPATCH_POLICIES[variant]().choose(
        running, intervals, TokenUsage(spent, wasted), 100.0 + elapsed
    )
    assert chosen == ([1] if verdict == "moves" else []), chosen


@then(
    'order "{variant}" sends slots of lengths "{lengths}" in groups of 2 '
    'as "{sent}"'
)
def check_order(context: Any, variant: str, lengths: str, sent: str) -> None:
    policy = ORDER_POLICIES[variant]()
    slots = [
        SlotView(position, position // 2 * 2, length)
        for position, length in enumerate(_parse_numbers(lengths))
    ]
    found = tuple(slot.position for slot in sorted(slots, key=policy.key))
    assert found == _parse_numbers(sent), found


@then(
    "of {starts:d} starts for trainers with shares {first:d} and {second:d} "
    "they get {one:d} and {two:d}"
)
def check_shares(
    context: Any, starts: int, first: int, second: int, one: int, two: int
) -> None:
    policy = SHARE_POLICIES["weighted"]()
    running = {"a": 0, "b": 0}
    for _ in range(starts):
        running[policy.choose(running, {"a": first, "b": second})] += 1
    assert running == {"a": one, "b": two}, running
