"""Formats requests that waitress itself rejects like all other errors.

waitress rejects malformed and oversized requests before they reach a route.
A request that is not received completely by its deadline is rejected too, so
that slow senders can't occupy connections.
"""

from typing import Any

from waitress.channel import HTTPChannel
from waitress.task import ErrorTask
from waitress.utilities import Error

from hibiscuspin.clock import monotonic
from hibiscuspin.edges.wsgi import error_response
from hibiscuspin.errors import ErrorKind, HibiscusError

__all__ = ["Channel"]

RECEIVE_TIMEOUT_S = 30.0

ERROR_KIND_BY_STATUS = {
    408: ErrorKind.REQUEST_TIMEOUT,
    413: ErrorKind.BODY_TOO_LARGE,
    431: ErrorKind.HEADERS_TOO_LARGE,
    500: ErrorKind.INTERNAL,
}


class _ReceiveTimeoutError(Error):
    code = 408
    reason = "Request Timeout"


class _JsonErrorTask(ErrorTask):
    """Responds to a rejected request with a JSON error."""

    def execute(self) -> None:
        """Writes the response."""
        task: Any = self
        refusal = task.request.error
        kind = ERROR_KIND_BY_STATUS.get(
            refusal.code, ErrorKind.MALFORMED_REQUEST
        )
        error = HibiscusError(kind, f"{refusal.reason}.")
        response = error_response(error)
        self.status = f"{response.status} {refusal.reason}"
        task.response_headers.append(("Content-Type", response.content_type))
        self.set_close_on_finish()
        body = bytes(response.body)  # type: ignore[arg-type]
        self.content_length = len(body)
        self.write(body)


class Channel(HTTPChannel):
    """A connection from a caller, with a deadline for receiving a request."""

    error_task_class = _JsonErrorTask
    receive_timeout_s = RECEIVE_TIMEOUT_S
    receive_deadline = 0.0

    def received(self, data: bytes) -> Any:
        """Processes received bytes; rejects the request after its deadline."""
        now = monotonic()
        if self.request is None:
            server: Any = self.server
            timeout_s = getattr(
                server, "receive_timeout_s", self.receive_timeout_s
            )
            self.receive_deadline = now + timeout_s
        elif now >= self.receive_deadline:
            self._reject_late_request()
            return False
        return super().received(data)

    def _reject_late_request(self) -> None:
        request: Any = self.request
        channel: Any = self
        if not request.headers_finished:
            request.parse_header(b"GET / HTTP/1.0\r\n")
        request.error = _ReceiveTimeoutError("")
        request.completed = True
        with channel.requests_lock:
            channel.requests.append(request)
            channel.request = None
            if len(channel.requests) == 1:
                channel.server.add_task(self)
