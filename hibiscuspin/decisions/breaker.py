"""A circuit breaker for calls to a failing dependency.

After `FAILURES_TO_OPEN` consecutive failures the breaker opens, and calls are
refused without being sent. The open time doubles up to a limit. When it ends,
one probe is sent; the breaker closes if the probe succeeds.
"""

from typing import NamedTuple

__all__ = ["Breaker", "admit", "record_result"]

FAILURES_TO_OPEN = 5
INITIAL_OPEN_S = 0.5
MAX_OPEN_S = 4.0
PROBE_TIMEOUT_S = 5.0


class Breaker(NamedTuple):
    """The state of the breaker of one dependency.

    Attributes:
        failures: Number of failures since the last success.
        open_until: Monotonic time until which calls are refused.
        openings: How often the breaker opened since the last success.
    """

    failures: int = 0
    open_until: float = 0.0
    openings: int = 0


def admit(state: Breaker, now: float) -> tuple[Breaker, bool]:
    """Returns the new state, and whether a call may be sent."""
    if state.failures < FAILURES_TO_OPEN:
        return state, True
    if now < state.open_until:
        return state, False
    # This call is the probe. Others are refused until it ends or times out.
    return state._replace(open_until=now + PROBE_TIMEOUT_S), True


def record_result(
    state: Breaker, ok: bool, now: float, jitter: float
) -> Breaker:
    """Returns the new state after the result of a call.

    Args:
        state: The state before.
        ok: Whether the call succeeded.
        now: The monotonic time.
        jitter: A random number from 0 to 1 that spreads the probes of the
            instances over time.
    """
    if ok:
        return Breaker()
    failures = state.failures + 1
    if failures < FAILURES_TO_OPEN:
        return state._replace(failures=failures)
    open_s = min(MAX_OPEN_S, INITIAL_OPEN_S * 2.0**state.openings)
    return Breaker(
        failures, now + open_s * (0.5 + jitter), min(state.openings + 1, 10)
    )
