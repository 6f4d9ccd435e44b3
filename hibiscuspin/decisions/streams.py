"""Keeps a token stream complete across stalls, disconnects and moves.

The state counts the tokens that were forwarded to the caller. Only the next
token in sequence is forwarded; duplicates are skipped, and a gap is a
failure. After a stall, the engine is queried for the request by its id over a
new connection, and `after_status_query` decides how to continue.
"""

import enum
from typing import NamedTuple

__all__ = [
    "GenerationStatus",
    "StallAction",
    "StreamState",
    "TokenAction",
    "accept_token",
    "after_status_query",
    "after_move",
    "pause_s",
    "stall_timeout_s",
]

MIN_STALL_S = 0.3
MAX_STALL_S = 1.0
STALL_TOKENS = 25
DEADLINE_SHARE = 0.25
MAX_EMPTY_RESUMES = 2
PAUSE_PER_STREAM_S = 0.0005
MIN_PAUSE_S = 0.004
MAX_PAUSE_S = 0.05


class TokenAction(enum.Enum):
    """What to do with a received token."""

    FORWARD = enum.auto()
    SKIP = enum.auto()
    GAP = enum.auto()


class StallAction(enum.Enum):
    """How to continue a stalled generation."""

    RESUME = enum.auto()
    MOVE = enum.auto()


class StreamState(NamedTuple):
    """The state of one token stream.

    Attributes:
        received: Number of tokens that were forwarded.
        empty_resumes: Number of resumes on the current engine since the
            last token.
    """

    received: int = 0
    empty_resumes: int = 0


class GenerationStatus(NamedTuple):
    """The status of a request as its engine reports it.

    Attributes:
        queued: Whether it still waits for a slot.
        cancelled: Whether it was cancelled.
        tokens: Number of its tokens, including those of the resumed prefix.
    """

    queued: bool
    cancelled: bool
    tokens: int


def accept_token(
    state: StreamState, position: int
) -> tuple[StreamState, TokenAction]:
    """Returns the new state and the action for a token at `position`."""
    if position < state.received:
        return state, TokenAction.SKIP
    if position > state.received:
        return state, TokenAction.GAP
    return StreamState(state.received + 1), TokenAction.FORWARD


def after_status_query(
    state: StreamState, status: GenerationStatus | None
) -> tuple[StreamState, StallAction]:
    """Decides how to continue after a stall.

    Args:
        state: The state of the stream.
        status: The status that the engine reported, or None if it did not
            respond or does not know the request.
    """
    if status is None or status.cancelled:
        return after_move(state), StallAction.MOVE
    if status.queued:
        return state, StallAction.RESUME
    if state.empty_resumes + 1 >= MAX_EMPTY_RESUMES:
        return after_move(state), StallAction.MOVE
    resumed = state._replace(empty_resumes=state.empty_resumes + 1)
    return resumed, StallAction.RESUME


def after_move(state: StreamState) -> StreamState:
    """Returns the state after a move to another engine."""
    return state._replace(empty_resumes=0)


def stall_timeout_s(token_s: float, remaining_s: float) -> float:
    """Returns how long a stream may be silent before it counts as stalled.

    The bound is well below the remaining time.
    """
    bound = min(MAX_STALL_S, max(MIN_STALL_S, STALL_TOKENS * token_s))
    return max(0.05, min(bound, DEADLINE_SHARE * remaining_s))


def pause_s(open_streams: int) -> float:
    """Returns how long to collect tokens before the next read.

    Each read and write has a fixed cost, so a busy instance forwards more
    tokens at once. An idle instance does not wait.
    """
    pause = PAUSE_PER_STREAM_S * open_streams
    return min(MAX_PAUSE_S, pause) if pause >= MIN_PAUSE_S else 0.0
