"""Exactly-once delivery of a step's samples with a cursor.

A pull carries the cursor of the last batch that the trainer received, and so
acknowledges this batch. A pull with the previous cursor requests the same
batch again: it contains the same slots, and samples that were lost are
regenerated. The state is committed to the store before a response is sent.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = [
    "CursorState",
    "PullResult",
    "PullVerdict",
    "bitmap_positions",
    "decide_pull",
]

MAX_BATCH_SAMPLES = 256
MAX_BATCH_BYTES = 4 * 1024 * 1024


class CursorState(NamedTuple):
    """The stored delivery state of one step.

    Attributes:
        cursor: The number of the last delivered batch.
        acknowledged: Bitmap of the slot positions in earlier batches.
        pending: Slot positions in the last delivered batch.
        done: Whether the trainer acknowledged the last batch of the step.
    """

    cursor: int = 0
    acknowledged: int = 0
    pending: tuple[int, ...] = ()
    done: bool = False

    def delivered(self) -> int:
        """Returns the bitmap of all positions delivered so far."""
        bitmap = self.acknowledged
        for position in self.pending:
            bitmap |= 1 << position
        return bitmap


class PullVerdict(enum.Enum):
    """How to respond to a pull."""

    COMMIT = "commit"
    REPEAT = "repeat"
    WAIT = "wait"
    COMPLETE = "complete"
    BAD_CURSOR = "bad_cursor"


class PullResult(NamedTuple):
    """A verdict, and the state to commit if it is COMMIT or COMPLETE."""

    verdict: PullVerdict
    state: CursorState


def decide_pull(
    state: CursorState,
    after: int,
    sizes_by_position: Mapping[int, int],
    total: int | None,
    *,
    flush: bool,
) -> PullResult:
    """Decides how to respond to a pull.

    Args:
        state: The committed state.
        after: The cursor that the trainer sent.
        sizes_by_position: Size in bytes of each sample that can be delivered
            now.
        total: Number of slots in the step; None while slots may be added.
        flush: Whether to deliver a batch even if it could still grow.
    """
    if after == state.cursor and state.done:
        return PullResult(PullVerdict.COMPLETE, state)
    if after == state.cursor - 1 and not state.done:
        available = all(p in sizes_by_position for p in state.pending)
        verdict = PullVerdict.REPEAT if available else PullVerdict.WAIT
        return PullResult(verdict, state)
    if after != state.cursor:
        return PullResult(PullVerdict.BAD_CURSOR, state)
    delivered = state.delivered()
    if delivered.bit_count() == total:
        done = CursorState(state.cursor, 0, (), done=True)
        return PullResult(PullVerdict.COMPLETE, done)
    batch = _next_batch(delivered, sizes_by_position)
    remaining = None if total is None else total - delivered.bit_count()
    can_grow = len(batch) < MAX_BATCH_SAMPLES and len(batch) != remaining
    if not batch or (can_grow and not flush):
        return PullResult(PullVerdict.WAIT, state)
    return PullResult(
        PullVerdict.COMMIT, CursorState(state.cursor + 1, delivered, batch)
    )


def bitmap_positions(bitmap: int) -> Iterable[int]:
    """Yields the positions of the set bits in ascending order."""
    while bitmap:
        lowest = bitmap & -bitmap
        yield lowest.bit_length() - 1
        bitmap ^= lowest


def _next_batch(
    delivered: int, sizes_by_position: Mapping[int, int]
) -> tuple[int, ...]:
    batch: list[int] = []
    size = 0
    for position in sorted(sizes_by_position):
        if delivered >> position & 1:
            continue
        size += sizes_by_position[position]
        if batch and size > MAX_BATCH_BYTES:
            break
        batch.append(position)
        if len(batch) == MAX_BATCH_SAMPLES:
            break
    return tuple(batch)
