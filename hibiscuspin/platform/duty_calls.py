"""The calls to the platform's control address as `DutyCalls`.

A call that was cut off by a partition must not arrive after the lease of its
holder, when another instance may already act. So whether the holder may still
call is asked once more when the connection stands, and bytes that the platform
has not acknowledged by the call's timeout are dropped by the kernel, even while
this process is suspended.
"""

from collections.abc import Callable, Mapping

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.duty_calls import (
    DutyCallError,
    DutyHolder,
    EngineCountOrder,
    EngineCountOutcome,
)
from hibiscuspin.edges.http import HttpClient, HttpResponse
from hibiscuspin.metrics import Metrics
from hibiscuspin.platform.words import (
    FENCING_HEADER,
    HOLDER_HEADER,
    JSON_CONTENT_TYPE,
)
from hibiscuspin.settings import Address

__all__ = ["PlatformDutyCalls"]

# Less than the takeover wait, so that a call of one holder has ended before
# another one's first call.
CALL_TIMEOUT_S = 1.5
USAGE_PATH = "/usage"
ENGINE_COUNT_PATH = "/scale"
OK_STATUSES = range(200, 300)
REQUEST_TIMEOUT_STATUS = 408
UNAVAILABLE_STATUS = 409
TOO_MANY_CALLS_STATUS = 429
CLIENT_ERROR_STATUSES = range(400, 500)
MAX_SHOWN_BODY_BYTES = 200


class _TermOverError(Exception):
    """The holder's term ended while the connection was established."""


class PlatformDutyCalls:
    """Calls over connections that are kept open; thread-safe."""

    def __init__(
        self,
        address: Address,
        clock: Clock,
        metrics: Metrics,
        may_call: Callable[[DutyHolder], bool],
    ) -> None:
        """Creates the client; it connects with the first call.

        Args:
            address: The platform's control address.
            clock: The time source.
            metrics: Counts the calls by outcome.
            may_call: Returns whether the holder's term has not ended; called
                immediately before the bytes of a call are sent.
        """
        self._clock = clock
        self._metrics = metrics
        self._may_call = may_call
        self._http = HttpClient(address, clock, unacknowledged_s=CALL_TIMEOUT_S)

    def report_usage(
        self,
        holder: DutyHolder,
        window: int,
        count_by_organisation: Mapping[str, int],
        deadline: float,
    ) -> None:
        """Reports the requests of each organisation that began in a window."""
        body = {"window_id": window, "counts": dict(count_by_organisation)}
        response = self._post("usage", USAGE_PATH, holder, body, deadline)
        self._raise_for_status("usage", response)

    def set_engine_count(
        self, holder: DutyHolder, order: EngineCountOrder, deadline: float
    ) -> EngineCountOutcome:
        """Orders a number of engines."""
        body: dict[str, object] = {
            "service": order.service,
            "zone": order.data_centre,
            "group_count": order.engines,
        }
        if order.interruptible:
            body["spot"] = True
        response = self._post(
            "engines", ENGINE_COUNT_PATH, holder, body, deadline
        )
        if response.status == UNAVAILABLE_STATUS:
            self._count("engines", "unavailable")
            return EngineCountOutcome.UNAVAILABLE
        self._raise_for_status("engines", response)
        return EngineCountOutcome.ACCEPTED

    def _post(
        self,
        call: str,
        path: str,
        holder: DutyHolder,
        body: Mapping[str, object],
        deadline: float,
    ) -> HttpResponse:
        def check_term() -> None:
            if not self._may_call(holder):
                raise _TermOverError

        headers = {
            "Content-Type": JSON_CONTENT_TYPE,
            HOLDER_HEADER: holder.name,
            FENCING_HEADER: str(holder.fencing),
        }
        latest = self._clock.monotonic() + CALL_TIMEOUT_S
        try:
            return self._http.request(
                "POST",
                path,
                min(deadline, latest),
                body=msgspec.json.encode(body),
                headers=headers,
                before_send=check_term,
            )
        except _TermOverError:
            self._count(call, "term_over")
            raise DutyCallError(
                "the term ended before the call was sent", applied=False
            ) from None
        except TargetError as error:
            self._count(call, "no_response" if error.sent else "not_sent")
            raise DutyCallError(
                str(error), applied=None if error.sent else False
            ) from error

    def _raise_for_status(self, call: str, response: HttpResponse) -> None:
        status = response.status
        if status in OK_STATUSES:
            self._count(call, "accepted")
            return
        shown = response.body[:MAX_SHOWN_BODY_BYTES].decode(errors="replace")
        reason = f"response status {status}: {shown}"
        if status == TOO_MANY_CALLS_STATUS:
            self._count(call, "too_many")
            raise DutyCallError(reason, applied=False)
        if status in CLIENT_ERROR_STATUSES and status != REQUEST_TIMEOUT_STATUS:
            self._count(call, "rejected")
            raise DutyCallError(reason, applied=False, is_final=True)
        self._count(call, "failed")
        raise DutyCallError(reason, applied=None)

    def _count(self, call: str, outcome: str) -> None:
        self._metrics.duty_calls.labels(call, outcome).inc()
