"""Which samples move off an engine that the platform takes away.

Load pattern: all interruptible engines of a data centre leave within 2 to 3 s
of notice, full of samples that take seconds more. A sample that is cut off
loses no events, but it loses the time until the cut is noticed, and all of
them would look for slots at the same time as the engines vanish.
"""

__all__ = ["must_move"]

# With more time left, a sample that is to move may as well run on meanwhile.
MOVE_LEAD_S = 3.0
# The age that the list may have, and the time to read the last events.
END_MARGIN_S = 0.8


def must_move(
    leaves_at: float | None, remaining_events: float, event_s: float, now: float
) -> bool:
    """Returns whether a sample must move off its engine now.

    Args:
        leaves_at: Monotonic time at which the engine is gone; None if unknown.
        remaining_events: The expected number of events to the sample's end.
        event_s: The seconds per event there.
        now: The monotonic time.
    """
    if leaves_at is None:
        return False
    left_s = leaves_at - now
    return (
        left_s <= MOVE_LEAD_S
        and remaining_events * event_s > left_s - END_MARGIN_S
    )
