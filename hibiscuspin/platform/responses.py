"""Sends responses, and serves the applications that need no routes."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any

from hibiscuspin.edges import TargetError
from hibiscuspin.edges.wsgi import Response
from hibiscuspin.logs import get_logger

__all__ = ["StartResponse", "ready_app", "send_response", "text_app"]

StartResponse = Callable[..., Any]

_log = get_logger("callers")


def send_response(
    response: Response, start_response: StartResponse
) -> Iterable[bytes]:
    """Sends a response as a WSGI application does; returns its body."""
    headers = list(response.headers)
    if response.content_type:
        headers.append(("Content-Type", response.content_type))
    body = response.body
    if isinstance(body, bytes):
        headers.append(("Content-Length", str(len(body))))
        start_response(f"{response.status} Status", headers)
        return [body]
    start_response(f"{response.status} Status", headers)
    return _log_interruption(body)


def _log_interruption(parts: Iterable[bytes]) -> Iterator[bytes]:
    """Yields the parts of a stream and logs its interruption.

    The re-raised error closes the connection before the stream's end.
    """
    try:
        yield from parts
    except TargetError as error:
        _log.info(
            "Stream to the caller interrupted: the target failed.",
            extra={"reason": str(error)},
        )
        raise


def ready_app(ready: Callable[[], bool]) -> Any:
    """Returns an application that serves readiness checks."""

    def app(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Sequence[bytes]:
        status = "200 OK" if ready() else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    return app


def text_app(content_type: str, text: Callable[[], bytes]) -> Any:
    """Returns an application that serves a text on every path."""

    def app(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Sequence[bytes]:
        body = text()
        length = ("Content-Length", str(len(body)))
        start_response("200 OK", [("Content-Type", content_type), length])
        return [body]

    return app
