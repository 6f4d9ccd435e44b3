"""Which events of a target's response continue a stream.

Load pattern: a target breaks off a stream that has begun, and the next one goes
on with other events, or with something that is no event. Only events that
follow the last one may reach the caller.
"""

from collections.abc import Sequence

__all__ = ["count_continuing"]


def count_continuing(
    numbers: Sequence[int | None], last: int, is_resumed: bool
) -> int:
    """Returns how many events, from the first on, may be forwarded.

    Args:
        numbers: The ids of the events, in order; None for an event without one.
        last: The id of the last event that the caller has; 0 for none.
        is_resumed: Whether a new response has to go on right after that event.
    """
    for index, number in enumerate(numbers):
        if number is None or number <= last:
            return index
        if is_resumed and number != last + 1:
            return index
        last, is_resumed = number, False
    return len(numbers)
