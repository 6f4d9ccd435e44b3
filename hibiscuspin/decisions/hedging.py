"""When to send a repeatable call to a second replica."""

__all__ = ["hedge_at", "objective_hedge_at"]

MIN_DELAY_S = 0.1
DELAY_FACTOR = 4.0
# Most answers come within twice the usual time, and a second attempt needs
# about half of the objective.
TYPICAL_FACTOR = 2.0
OBJECTIVE_SHARE = 0.45


def hedge_at(started: float, typical_s: float, deadline: float) -> float | None:
    """Returns when a second attempt may start.

    Args:
        started: When the first attempt started.
        typical_s: Usual time of an answer.
        deadline: When the call must have ended.

    Returns:
        A time that leaves the second attempt its usual time, or None.
    """
    at = started + max(MIN_DELAY_S, DELAY_FACTOR * typical_s)
    return at if at + typical_s < deadline else None


def objective_hedge_at(
    started: float, typical_s: float, objective_s: float
) -> float:
    """Returns when a second attempt may start that can still be on time.

    Args:
        started: When the first attempt started.
        typical_s: Usual time of an answer.
        objective_s: The time within which an answer is on time.
    """
    delay_s = max(TYPICAL_FACTOR * typical_s, OBJECTIVE_SHARE * objective_s)
    return started + delay_s
