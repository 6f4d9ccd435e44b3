"""Steps on the decisions of admission, in-process."""

import threading
from typing import Any

from behave import given, then, when

from hibiscuspin.decisions import admission
from hibiscuspin.decisions.admission import AdmissionRequest
from hibiscuspin.tasks.target_state import TargetState


def pairs(text: str) -> dict[str, int]:
    items = (item.split("=") for item in text.split())
    return {name: int(value) for name, value in items}


@given(
    "a live request that waits {wait:g} s, works {usual:g} to {longer:g} s "
    "and has {left:g} s"
)
def set_ask(
    context: Any, wait: float, usual: float, longer: float, left: float
) -> None:
    context.ask = AdmissionRequest(wait, usual, longer, left)


@given("its team uses {used:g} of the open requests and may use {fair:g}")
def set_shares(context: Any, used: float, fair: float) -> None:
    context.ask = context.ask._replace(used_share=used, fair_share=fair)


@then('admission answers "{answer}"')
def check_answer(context: Any, answer: str) -> None:
    found = admission.refusal_reason(context.ask) or "admitted"
    assert str(found) == answer, found


@given('open live requests of teams "{opened}" with shares "{shares}"')
def set_teams(context: Any, opened: str, shares: str) -> None:
    context.fair = admission.fair_share("a", pairs(shares), pairs(opened))


@then("the fair share of team a is {fair:g}")
def check_fair(context: Any, fair: float) -> None:
    assert context.fair == fair, context.fair


@given(
    "an engine with 8 slots, {busy:d} requests and {rollouts:d} own rollouts"
)
def set_engine(context: Any, busy: int, rollouts: int) -> None:
    context.room = admission.leaves_reserve_free(busy, 8)
    context.moved = admission.rollouts_to_preempt(busy, 8, rollouts)


@then("one more rollout may start: {room}")
def check_room(context: Any, room: str) -> None:
    assert context.room == (room == "yes"), context.room


@then("{moved:d} rollouts make room for live requests")
def check_moved(context: Any, moved: int) -> None:
    assert context.moved == moved, context.moved


@given("a target state with rollouts r1, r2 and r3")
def set_state(context: Any) -> None:
    context.state = TargetState()
    context.moves = [threading.Event() for _ in range(3)]
    context.state.rollouts.extend(context.moves)


@when("it is told to pre-empt 1 and then 1 more")
def preempt(context: Any) -> None:
    context.state.preempt(1)
    context.first = [event.is_set() for event in context.moves]
    context.state.preempt(1)


@then("rollouts r3 and r2 were told to move, and r1 was not")
def check_preempted(context: Any) -> None:
    assert context.first == [False, False, True], context.first
    assert [event.is_set() for event in context.moves] == [False, True, True]
