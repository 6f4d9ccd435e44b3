"""Targets that register themselves, and requests proxied to them."""

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from hibiscuspin.edges import WaitLimits
from hibiscuspin.settings import Address

__all__ = [
    "ServerSentEvent",
    "EventStream",
    "LimitListener",
    "OrderOutcome",
    "ProxiedResponse",
    "ProxiedRequest",
    "RelayTerms",
    "TargetClient",
    "TargetRecord",
    "TargetState",
    "WeightOrder",
]

# Called with the requests a second that a target's response allows all
# instances together, None for no limit, and with the monotonic time at which
# the request was sent.
LimitListener = Callable[[float | None, float], None]


class InvalidRecordError(Exception):
    """A target's registration does not have the documented form."""


class TargetRecord(NamedTuple):
    """A target's own registration.

    Attributes:
        name: The target's name; a restart creates a new incarnation of it.
        born_ms: When this incarnation started, in milliseconds of the
            target's own clock.
        service: The service to which the target belongs.
        address: The address on which the target listens.
        data_centre: The data centre in which the target runs.
        slots: How many requests the target runs at once.
        draining: Whether the target is leaving.
        version_by_model: The version of each model's weights that the target
            serves.
        software_version: The version of the target's own software; empty if
            its registration names none.
        interruptible: Whether the platform may take the target away at short
            notice.
        leaves_at: Monotonic time at which it is taken away; None if unknown.
    """

    name: str
    born_ms: int
    service: str
    address: Address
    data_centre: str
    slots: int
    draining: bool
    version_by_model: Mapping[str, int]
    software_version: str = ""
    interruptible: bool = False
    leaves_at: float | None = None


class RelayTerms(NamedTuple):
    """What another instance must know to send a request to targets.

    Attributes:
        max_attempts: How many targets it may send the request to.
        avoid: The targets that have had the request.
    """

    max_attempts: int
    avoid: tuple[str, ...] = ()


class ProxiedRequest(NamedTuple):
    """A caller's request, forwarded to a target unchanged.

    Attributes:
        request_id: The caller's id of the request.
        method: The HTTP method.
        target: The path and query, byte for byte.
        headers: All headers except the hop-by-hop ones, by name.
        body: The complete body.
        urgency: The scheduling urgency, from 0 for the most urgent to 9; None
            for the target's default.
        relay: The terms for an instance that sends it on; None if it goes to
            a target.
        organisation: The organisation that sent it; empty for none.
    """

    request_id: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    urgency: int | None = None
    relay: RelayTerms | None = None
    organisation: str = ""


class ProxiedResponse(NamedTuple):
    """A target's complete response, returned to the caller unchanged.

    Attributes:
        status: The HTTP status.
        headers: All headers except the hop-by-hop ones.
        body: The complete body.
        stamp: The target's signature of the response.
    """

    status: int
    headers: Sequence[tuple[str, str]]
    body: bytes
    stamp: str = ""


class ServerSentEvent(NamedTuple):
    """One complete server-sent event.

    Attributes:
        raw: The event's bytes, including the empty line that ends it.
        number: The event's id, or None.
        data: The event's data.
        version: The version of the weights that generated the event.
    """

    raw: bytes
    number: int | None
    data: str
    version: int


class EventStream(Protocol):
    """The event stream of a generation in progress at one target.

    Attributes:
        headers: The headers of the target's response.
        connected_at: When its connection was established, in monotonic time.
    """

    headers: Sequence[tuple[str, str]]
    connected_at: float

    def read(self, wait: WaitLimits) -> list[ServerSentEvent]:
        """Waits for events; returns an empty list at the end of the stream.

        Raises:
            TargetError: The stream was interrupted or stalled.
        """

    def close(self) -> None:
        """Cancels the generation unless it has finished."""


class TargetState(NamedTuple):
    """A target's state, as the target reports it when queried.

    Attributes:
        version_by_model: The version of each model's weights that the target
            serves.
        loading: Whether the target is executing an order.
        accepted_orders: How many orders the target has accepted since it
            started.
        busy_requests: How many requests are running or queued.
        born_ms: When this incarnation started, as in its registration; 0 if
            it does not say.
    """

    version_by_model: Mapping[str, int]
    loading: bool
    accepted_orders: int
    busy_requests: int
    born_ms: int = 0


class WeightOrder(NamedTuple):
    """An order to a target to serve another version of a model's weights.

    Attributes:
        model: The model.
        version: The version to serve.
        finish_first: Whether generations in flight finish with the old
            weights.
        holder: The instance that sends the order.
        fencing: The fencing number of the holder's term.
        expected_orders: The expected `TargetState.accepted_orders`; the
            target rejects the order if its count differs.
    """

    model: str
    version: int
    finish_first: bool
    holder: str
    fencing: int
    expected_orders: int


class OrderOutcome(NamedTuple):
    """A target's response to an order.

    Attributes:
        accepted: Whether the target executes the order.
        already_serving: Whether the target already served the ordered weights.
        detail: The target's status and message, for logs.
    """

    accepted: bool
    already_serving: bool
    detail: str


class TargetClient(Protocol):
    """A client of one incarnation of a target.

    Every method raises `TargetError` if the target refused, failed or stopped
    responding; the error's attributes state whether the target may have
    executed the request.
    """

    def send(
        self,
        request: ProxiedRequest,
        deadline: float,
        check: Callable[[], None],
        *,
        fresh: bool = False,
    ) -> ProxiedResponse:
        """Sends one request and returns the complete response.

        `check` is called while waiting, and may raise an exception to abandon
        the request. With `fresh`, the request uses a new connection.
        """

    def open_stream(
        self,
        request: ProxiedRequest,
        after: int,
        wait: WaitLimits,
        *,
        fresh: bool = False,
    ) -> EventStream:
        """Starts a generation, or resumes it after an event.

        `after` is the id of the last event already received, 0 for none;
        `wait` limits the wait for the response headers. With `fresh`, the
        request uses a new connection.
        """

    def fetch_state(self, deadline: float) -> TargetState:
        """Queries the target's state."""

    def send_order(self, order: WeightOrder, deadline: float) -> OrderOutcome:
        """Sends an order."""

    def is_listening(self, deadline: float) -> bool:
        """Returns whether the target's address accepts a connection."""

    def close(self) -> None:
        """Closes idle connections."""
