"""Calls to the platform that one instance at a time may make."""

import enum
from collections.abc import Mapping
from typing import NamedTuple, Protocol

__all__ = [
    "DutyCallError",
    "DutyCalls",
    "DutyHolder",
    "EngineCountOrder",
    "EngineCountOutcome",
]


class DutyCallError(Exception):
    """A call was not accepted, or got no response.

    Attributes:
        applied: False if it certainly had no effect; None if that is unknown.
        is_final: Whether the same call would be rejected again.
    """

    def __init__(
        self, reason: str, *, applied: bool | None, is_final: bool = False
    ) -> None:
        super().__init__(reason)
        self.applied = applied
        self.is_final = is_final


class DutyHolder(NamedTuple):
    """The instance that makes a call, and the fencing number of its term."""

    name: str
    fencing: int


class EngineCountOrder(NamedTuple):
    """How many engines of a service a data centre is to have.

    Attributes:
        service: The service.
        data_centre: The data centre.
        engines: The number of engines of this kind.
        interruptible: Whether the platform may take these engines away at
            short notice.
    """

    service: str
    data_centre: str
    engines: int
    interruptible: bool = False


class EngineCountOutcome(enum.Enum):
    """The response to an order of engines."""

    ACCEPTED = "accepted"
    UNAVAILABLE = "unavailable"


class DutyCalls(Protocol):
    """The calls; all deadlines are in seconds on the monotonic clock.

    Every method raises `DutyCallError` if the call is not accepted, in
    particular if the platform gets too many calls.
    """

    def report_usage(
        self,
        holder: DutyHolder,
        window: int,
        count_by_organisation: Mapping[str, int],
        deadline: float,
    ) -> None:
        """Reports the requests of each organisation that began in a window."""

    def set_engine_count(
        self, holder: DutyHolder, order: EngineCountOrder, deadline: float
    ) -> EngineCountOutcome:
        """Orders a number of engines."""
