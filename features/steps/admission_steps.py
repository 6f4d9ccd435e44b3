"""In-process steps for the decisions on admission."""

import threading
from typing import Any

from behave import given, then, when

from hibiscuspin.decisions import admission
from hibiscuspin.decisions.admission import AdmissionRequest
from hibiscuspin.tasks.target_state import TargetState


def parse_counts(text: str) -> dict[str, int]:
    """Parses space-separated `name=count` items."""
    items = (item.split("=") for item in text.split())
    return {name: int(value) for name, value in items}


@given(
    "a live request that waits {wait:g} s, works {usual:g} to {longer:g} s "
    "and has {left:g} s"
)
def set_request(
    context: Any, wait: float, usual: float, longer: float, left: float
) -> None:
    context.live_request = AdmissionRequest(wait, usual, longer, left)


@given("its team uses {used:g} of the open requests and may use {fair:g}")
def set_shares(context: Any, used: float, fair: float) -> None:
    context.live_request = context.live_request._replace(
        used_share=used, fair_share=fair
    )


@then('admission answers "{answer}"')
def check_admission(context: Any, answer: str) -> None:
    decision = admission.refusal_reason(context.live_request) or "admitted"
    assert str(decision) == answer, decision


@given('open live requests of teams "{opened}" with shares "{shares}"')
def compute_fair_share(context: Any, opened: str, shares: str) -> None:
    context.fair_share_of_a = admission.fair_share(
        "a", parse_counts(shares), parse_counts(opened)
    )


@then("the fair share of team a is {fair:g}")
def check_fair_share(context: Any, fair: float) -> None:
    assert context.fair_share_of_a == fair, context.fair_share_of_a


@given(
    "an engine with 8 slots, {busy:d} requests and {rollouts:d} own rollouts"
)
def evaluate_engine(context: Any, busy: int, rollouts: int) -> None:
    context.may_start = admission.leaves_reserve_free(busy, 8)
    context.preempted_count = admission.rollouts_to_preempt(busy, 8, rollouts)


@then("one more rollout may start: {room}")
def check_may_start(context: Any, room: str) -> None:
    assert context.may_start == (room == "yes"), context.may_start


@then("{moved:d} rollouts make room for live requests")
def check_preempted_count(context: Any, moved: int) -> None:
    assert context.preempted_count == moved, context.preempted_count


@given("a target state with rollouts r1, r2 and r3")
def make_target_state(context: Any) -> None:
    context.target_state = TargetState()
    context.preempt_events = [threading.Event() for _ in range(3)]
    context.target_state.rollouts.extend(context.preempt_events)


@when("it is told to pre-empt 1 and then 1 more")
def preempt_twice(context: Any) -> None:
    context.target_state.preempt(1)
    context.preempted_at_first = [
        event.is_set() for event in context.preempt_events
    ]
    context.target_state.preempt(1)


@then("rollouts r3 and r2 were told to move, and r1 was not")
def check_preempted(context: Any) -> None:
    assert context.preempted_at_first == [False, False, True], (
        context.preempted_at_first
    )
    assert [event.is_set() for event in context.preempt_events] == [
        False,
        True,
        True,
    ]
