"""Faults that any stand-in can show, switched on over HTTP."""

import threading
import time
from collections.abc import Iterable
from typing import Any, NotRequired, TypedDict

from hibiscuspin.clock import monotonic
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response

__all__ = ["Faults", "FaultSet"]


class FaultSet(TypedDict):
    """The faults of one stand-in; an empty set is a healthy one.

    Attributes:
        delay_s: Added before each answer.
        status: Answered in place of every answer, before any effect.
        lose_answers: How many of the next answers are lost after taking
            effect.
        silent: Accepts requests and never answers; switched off, all that
            waited fail.
        only: Paths that the faults apply to, by prefix; all if absent.
        extra: Faults that only one stand-in knows.
    """

    delay_s: NotRequired[float]
    status: NotRequired[int]
    lose_answers: NotRequired[int]
    silent: NotRequired[bool]
    only: NotRequired[str]
    extra: NotRequired[dict[str, float]]


LOST_ANSWER_HOLD_S = 30.0
POLL_S = 0.02


class Faults:
    """Holds the faults in force and wraps an application with them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._faults: FaultSet = {}
        self._generation = 0

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes that read and set the faults."""
        return (
            Route("GET", "/faults", self._show),
            Route("PUT", "/faults", self._set),
        )

    @property
    def generation(self) -> int:
        """How often faults were set."""
        with self._lock:
            return self._generation

    def extra(self, name: str, default: float = 0.0) -> float:
        """Returns the value of a stand-in's own fault."""
        with self._lock:
            return self._faults.get("extra", {}).get(name, default)

    def wrap(self, app: Any) -> Any:
        """Returns a WSGI application that shows the faults in force."""

        def faulty(environ: dict[str, Any], start: Any) -> Iterable[bytes]:
            path = environ["PATH_INFO"]
            if path == "/faults":
                return app(environ, start)  # type: ignore[no-any-return]
            with self._lock:
                faults = dict(self._faults)
                generation = self._generation
            if not path.startswith(str(faults.get("only", ""))):
                return app(environ, start)  # type: ignore[no-any-return]
            if faults.get("silent"):
                return self._hold(generation, start, LOST_ANSWER_HOLD_S)
            if "delay_s" in faults:
                time.sleep(float(str(faults["delay_s"])))
            if "status" in faults:
                start(f"{faults['status']} Fault", [("Content-Length", "0")])
                return [b""]
            if self._take_lost_answer(path):
                list(app(environ, lambda *_: None))
                return self._hold(generation, start, LOST_ANSWER_HOLD_S)
            return app(environ, start)  # type: ignore[no-any-return]

        return faulty

    def _take_lost_answer(self, path: str) -> bool:
        with self._lock:
            left = self._faults.get("lose_answers", 0)
            if left <= 0:
                return False
            self._faults["lose_answers"] = left - 1
            return True

    def _hold(
        self, generation: int, start: Any, longest_s: float
    ) -> Iterable[bytes]:
        end = monotonic() + longest_s
        while monotonic() < end:
            with self._lock:
                if generation != self._generation:
                    break
            time.sleep(POLL_S)
        start("500 Fault", [("Content-Length", "0")])
        return [b""]

    def _show(self, request: Request) -> Response:
        with self._lock:
            return json_response(self._faults)

    def _set(self, request: Request) -> Response:
        faults = request.json(FaultSet)
        with self._lock:
            self._faults = faults
            self._generation += 1
        return json_response(faults)
