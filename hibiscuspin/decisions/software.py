"""Which target may continue what another one has begun.

Load pattern: targets of several software versions serve side by side in one
service, and each crash, drain or lost connection makes streams go on
elsewhere. What two versions generate does not fit together, and targets don't
check that.
"""

from typing import NamedTuple

__all__ = ["Software", "may_continue"]


class Software(NamedTuple):
    """What generates the events of a stream.

    Attributes:
        service: The service to which the target belongs.
        version: The version of the target's software; empty if unknown.
    """

    service: str
    version: str


def may_continue(begun_by: Software | None, software: Software | None) -> bool:
    """Returns whether targets with `software` may continue a stream.

    Args:
        begun_by: What generated its first event; None if unknown. Nothing may
            continue it then.
        software: The software of the targets; None if unknown.
    """
    return (
        begun_by is not None and bool(begun_by.version) and begun_by == software
    )
