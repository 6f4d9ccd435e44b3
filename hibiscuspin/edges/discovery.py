"""Targets that register themselves, and calls that are passed on to them."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from hibiscuspin.edges import Wait
from hibiscuspin.settings import Address

__all__ = [
    "Event",
    "EventStream",
    "OrderOutcome",
    "PassedAnswer",
    "PassedCall",
    "TargetCalls",
    "TargetRecord",
    "TargetState",
    "WeightOrder",
]


class TargetRecord(NamedTuple):
    """One target as it describes itself.

    Attributes:
        name: Its name; the same name may start again as a new incarnation.
        born_ms: When this incarnation started, in ms of its own clock.
        service: The service that it belongs to.
        address: Where it listens.
        data_centre: Where it stands.
        slots: How many requests it runs at once.
        draining: Whether it is leaving.
        version_by_model: The weights that it serves.
    """

    name: str
    born_ms: int
    service: str
    address: Address
    data_centre: str
    slots: int
    draining: bool
    version_by_model: Mapping[str, int]


class PassedCall(NamedTuple):
    """A request of a caller, passed on as it came.

    Attributes:
        request_id: The caller's id of this attempt.
        method: The method.
        target: Path and query, byte for byte.
        headers: All headers but those of one connection, by name.
        body: The whole body.
        urgency: From 0 for first to 9; None for the target's usual.
    """

    request_id: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    urgency: int | None = None


class PassedAnswer(NamedTuple):
    """A target's whole answer, passed back as it came."""

    status: int
    headers: Sequence[tuple[str, str]]
    body: bytes


class Event(NamedTuple):
    """One whole event of a stream.

    Attributes:
        raw: Its bytes, with the empty line that ends it.
        number: Its id, or None.
        data: Its data.
        version: The weights that made it.
    """

    raw: bytes
    number: int | None
    data: str
    version: int


class EventStream(Protocol):
    """A running generation at one target."""

    headers: Sequence[tuple[str, str]]

    def read(self, wait: Wait) -> list[Event]:
        """Returns the events that have come; none at the end.

        Raises:
            TargetError: The stream broke off or went silent.
        """

    def close(self) -> None:
        """Ends the generation unless it has ended."""


class TargetState(NamedTuple):
    """What a target says of itself when it is asked.

    Attributes:
        version_by_model: The weights that it serves.
        loading: Whether it carries out an order.
        orders: Orders that it has accepted since it started.
        busy: Requests that run or wait.
    """

    version_by_model: Mapping[str, int]
    loading: bool
    orders: int
    busy: int


class WeightOrder(NamedTuple):
    """An order to serve other weights.

    Attributes:
        model: The model.
        version: The version to serve.
        finish_first: Whether open generations end under the old weights.
        holder: The instance that gives the order.
        fencing: The number of the holder's term.
        orders: What the target's count of orders must be.
    """

    model: str
    version: int
    finish_first: bool
    holder: str
    fencing: int
    orders: int


class OrderOutcome(NamedTuple):
    """What became of an order.

    Attributes:
        accepted: Whether the target carries it out.
        holds: Whether the target served those weights already.
        detail: The target's words for logs.
    """

    accepted: bool
    holds: bool
    detail: str


class TargetCalls(Protocol):
    """All calls to one incarnation of a target.

    Every call raises `TargetError` where the target refused, failed or went
    silent; its fields tell whether the request may have run.
    """

    def pass_on(
        self,
        call: PassedCall,
        deadline: float,
        check: Callable[[], None],
        *,
        fresh: bool = False,
    ) -> PassedAnswer:
        """Runs one request.

        Args:
            call: The request.
            deadline: When its answer is of no more use.
            check: Called while waiting; may raise to give the request up.
            fresh: Whether to use a new connection.
        """

    def open(self, call: PassedCall, after: int, wait: Wait) -> EventStream:
        """Starts a generation.

        Args:
            call: The request.
            after: The last event that is there already, 0 for none.
            wait: How long to wait for the answer's start.
        """

    def state(self, deadline: float) -> TargetState:
        """Asks for the target's state."""

    def order(self, order: WeightOrder, deadline: float) -> OrderOutcome:
        """Gives an order."""

    def close(self) -> None:
        """Closes idle connections."""
