"""Steps that simulate days of a trainer with different policies."""

import math
from typing import Any

from behave import given, then, when

from features import step_model
from features.step_model import PRODUCT, DayResult, Policy, StepModel

DAY_S = 56.0


def plain_policy(name: str) -> Policy:
    round_robin = step_model.round_robin()
    if name == "first come":
        return PRODUCT._replace(order=step_model.first_come_first_served)
    if name == "engines in turn":
        return PRODUCT._replace(place=round_robin)
    if name == "load at once":
        return PRODUCT._replace(loads=step_model.load_at_once)
    assert name == "all plain", name
    return Policy(
        step_model.first_come_first_served, round_robin, step_model.load_at_once
    )


@given(
    "a trainer of {groups:d} groups before {engines:d} engines of {slots:d} "
    "places"
)
def set_model(context: Any, groups: int, engines: int, slots: int) -> None:
    context.sizes = {"groups": groups, "engines": engines, "slots": slots}


@given("an engine that is slow never")
def set_even(context: Any) -> None:
    context.slow = (math.inf, math.inf)


@given("an engine that is slow from {start:g} to {end:g}")
def set_slow(context: Any, start: float, end: float) -> None:
    context.slow = (start, end)


@when("{days:d} days are played with the product's decisions and with {name}")
def play(context: Any, days: int, name: str) -> None:
    def simulate_days(plain: bool) -> list[DayResult]:
        return [
            StepModel(
                plain_policy(name) if plain else PRODUCT,
                seed,
                slow=context.slow,
                **context.sizes,
            ).simulate(DAY_S)
            for seed in range(days)
        ]

    context.product, context.plain = simulate_days(False), simulate_days(True)


@then("with the product's the trainer is at least {less:g} s less behind")
def check_behind(context: Any, less: float) -> None:
    product = sum(day.behind_s for day in context.product)
    plain = sum(day.behind_s for day in context.plain)
    days = len(context.product)
    assert product / days <= plain / days - less, (product, plain)


@then("as many groups or more are in time")
def check_in_time(context: Any) -> None:
    product = sum(day.in_time_share for day in context.product)
    plain = sum(day.in_time_share for day in context.plain)
    assert product >= plain, (product, plain)
