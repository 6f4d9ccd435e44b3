"""When to hedge a repeatable call on a second replica."""

__all__ = ["hedge_at", "objective_hedge_at"]

MIN_HEDGE_DELAY_S = 0.1
HEDGE_DELAY_FACTOR = 4.0
# Most responses arrive within twice the expected time, and a second attempt
# needs about half of the objective.
EXPECTED_TIME_FACTOR = 2.0
OBJECTIVE_SHARE = 0.45


def hedge_at(
    started_at: float, expected_s: float, deadline: float
) -> float | None:
    """Returns when a second attempt may start.

    Args:
        started_at: When the first attempt started.
        expected_s: Expected time until a response.
        deadline: The deadline of the call.

    Returns:
        The start time, or None if the second attempt would not be expected
        to end before the deadline.
    """
    at = started_at + max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * expected_s)
    return at if at + expected_s < deadline else None


def objective_hedge_at(
    started_at: float, expected_s: float, objective_s: float
) -> float:
    """Returns when a second attempt may start to still meet the objective.

    Args:
        started_at: When the first attempt started.
        expected_s: Expected time until a response.
        objective_s: The time within which a response is on time.
    """
    delay_s = max(
        EXPECTED_TIME_FACTOR * expected_s, OBJECTIVE_SHARE * objective_s
    )
    return started_at + delay_s
