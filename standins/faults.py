"""Fault injection for all stand-ins, controlled over HTTP."""

import threading
import time
from collections.abc import Iterable
from typing import Any, NotRequired, TypedDict

from hibiscuspin.clock import monotonic
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response

__all__ = ["Faults", "FaultSet"]


class FaultSet(TypedDict):
    """The injected faults of one stand-in; an empty set means healthy.

    Attributes:
        delay_s: Delay before each request is handled.
        status: Status of every response; requests are not executed.
        lose_answers: Number of subsequent requests that are executed but whose
            responses are withheld as under `silent`.
        silent: Accepts requests without executing or answering them.
            They fail with 500 when the faults change, or after `MAX_HOLD_S`.
        only: Path prefix that the faults apply to; all paths if absent.
        extra: Faults that are specific to one stand-in.
    """

    delay_s: NotRequired[float]
    status: NotRequired[int]
    lose_answers: NotRequired[int]
    silent: NotRequired[bool]
    only: NotRequired[str]
    extra: NotRequired[dict[str, float]]


MAX_HOLD_S = 30.0
POLL_PERIOD_S = 0.02


class Faults:
    """The active faults; wraps a WSGI application to apply them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._faults: FaultSet = {}
        self._change_count = 0

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes that read and set the faults."""
        return (
            Route("GET", "/faults", self._show),
            Route("PUT", "/faults", self._set),
        )

    @property
    def change_count(self) -> int:
        """The number of times that the faults were set."""
        with self._lock:
            return self._change_count

    def extra(self, name: str, default: float = 0.0) -> float:
        """Returns the value of a fault under `extra`."""
        with self._lock:
            return self._faults.get("extra", {}).get(name, default)

    def wrap(self, app: Any) -> Any:
        """Returns a WSGI application that applies the active faults."""

        def app_with_faults(
            environ: dict[str, Any], start_response: Any
        ) -> Iterable[bytes]:
            path = environ["PATH_INFO"]
            if path == "/faults":
                return app(environ, start_response)  # type: ignore[no-any-return]
            with self._lock:
                faults = dict(self._faults)
                change_count = self._change_count
            if not path.startswith(str(faults.get("only", ""))):
                return app(environ, start_response)  # type: ignore[no-any-return]
            if faults.get("silent"):
                return self._hold_response(
                    change_count, start_response, MAX_HOLD_S
                )
            if "delay_s" in faults:
                time.sleep(float(str(faults["delay_s"])))
            if "status" in faults:
                start_response(
                    f"{faults['status']} Fault", [("Content-Length", "0")]
                )
                return [b""]
            if self._consume_lost_response(path):
                list(app(environ, lambda *_: None))
                return self._hold_response(
                    change_count, start_response, MAX_HOLD_S
                )
            return app(environ, start_response)  # type: ignore[no-any-return]

        return app_with_faults

    def _consume_lost_response(self, path: str) -> bool:
        with self._lock:
            remaining = self._faults.get("lose_answers", 0)
            if remaining <= 0:
                return False
            self._faults["lose_answers"] = remaining - 1
            return True

    def _hold_response(
        self, change_count: int, start_response: Any, max_hold_s: float
    ) -> Iterable[bytes]:
        deadline = monotonic() + max_hold_s
        while monotonic() < deadline:
            with self._lock:
                if change_count != self._change_count:
                    break
            time.sleep(POLL_PERIOD_S)
        start_response("500 Fault", [("Content-Length", "0")])
        return [b""]

    def _show(self, request: Request) -> Response:
        with self._lock:
            return json_response(self._faults)

    def _set(self, request: Request) -> Response:
        faults = request.json(FaultSet)
        with self._lock:
            self._faults = faults
            self._change_count += 1
        return json_response(faults)
