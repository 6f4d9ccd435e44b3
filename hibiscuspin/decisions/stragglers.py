"""Policies for moving generations that run far slower than others.

A moved generation continues on another engine after the tokens it has. A move
therefore costs only the prefill and the tokens that the first engine
generates until the cancellation arrives. `REDISPATCH_POLICIES` contains the
policies by name.
"""

import statistics
from collections.abc import Sequence
from typing import NamedTuple, Protocol

__all__ = [
    "REDISPATCH_POLICIES",
    "TokenIntervals",
    "RedispatchPolicy",
    "RunningGeneration",
    "TokenUsage",
]

SLOW_FACTOR = 3.0
MIN_TOKENS = 2
MAX_MOVES = 3
MOVE_COST_TOKENS = 2
MAX_WASTE_SHARE = 0.05
INTERVAL_WINDOW = 128
MIN_INTERVALS = 8
MIN_TOKEN_S = 1e-6


class RunningGeneration(NamedTuple):
    """A generation in progress on one engine.

    Attributes:
        key: Identifies the generation to the caller of the policy.
        first_token_at: When this engine's first token arrived.
        tokens: Number of tokens from this engine.
        moves: How often it was moved before.
    """

    key: int
    first_token_at: float
    tokens: int
    moves: int


class TokenIntervals(NamedTuple):
    """The mean token intervals of the most recent generations, in seconds."""

    intervals_s: tuple[float, ...] = ()

    def observe(self, token_s: float) -> "TokenIntervals":
        """Returns the intervals with one finished generation added."""
        return TokenIntervals(
            (*self.intervals_s[1 - INTERVAL_WINDOW :], token_s)
        )


class TokenUsage(NamedTuple):
    """The number of generated tokens, and how many of them were wasted."""

    tokens: int = 0
    wasted: int = 0


class RedispatchPolicy(Protocol):
    """A policy for which generations to move."""

    def choose(
        self,
        running: Sequence[RunningGeneration],
        intervals: TokenIntervals,
        usage: TokenUsage,
        now: float,
    ) -> list[int]:
        """Returns the keys of generations to move."""


class NoRedispatch:
    """Moves no generation."""

    def choose(
        self,
        running: Sequence[RunningGeneration],
        intervals: TokenIntervals,
        usage: TokenUsage,
        now: float,
    ) -> list[int]:
        """Returns an empty list."""
        return []


class MoveSlow:
    """Moves generations that take `SLOW_FACTOR` times the median per token."""

    def choose(
        self,
        running: Sequence[RunningGeneration],
        intervals: TokenIntervals,
        usage: TokenUsage,
        now: float,
    ) -> list[int]:
        """Returns the slowest ones, as many as the waste bound allows."""
        if len(intervals.intervals_s) < MIN_INTERVALS:
            return []
        token_s = statistics.median(intervals.intervals_s)
        scored = [(_slowness(r, token_s, now), r) for r in running]
        slow = sorted(
            ((s, r.key) for s, r in scored if s > SLOW_FACTOR), reverse=True
        )
        allowed = MAX_WASTE_SHARE * usage.tokens - usage.wasted
        return [key for _, key in slow[: int(allowed // MOVE_COST_TOKENS)]]


def _slowness(running: RunningGeneration, token_s: float, now: float) -> float:
    """Returns a generation's time per token relative to `token_s`.

    Returns 0 for a generation that must not be moved again.
    """
    if running.moves >= MAX_MOVES:
        return 0.0
    elapsed_s = now - running.first_token_at
    tokens = max(running.tokens, MIN_TOKENS)
    return elapsed_s / (tokens * max(token_s, MIN_TOKEN_S))


REDISPATCH_POLICIES: dict[str, type[RedispatchPolicy]] = {
    "none": NoRedispatch,
    "move_slow": MoveSlow,
}
