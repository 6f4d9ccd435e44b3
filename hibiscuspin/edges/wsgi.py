"""A small WSGI framework for interfaces declared as route tables.

An interface is a sequence of `Route`s. This module parses requests, matches
routes, and sends the responses of handlers and of `HibiscusError`s.
"""

import contextlib
import logging
import re
import secrets
import urllib.parse
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple, TypeVar

import msgspec

from hibiscuspin.config.checks import unknown_fields
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.memory import MemoryBudget, json_bytes

__all__ = [
    "Request",
    "Response",
    "Route",
    "WsgiApp",
    "error_response",
    "json_response",
]

T = TypeVar("T")

MAX_BODY_BYTES = 4 * 1024 * 1024
# Bodies up to this size are decoded without a reservation.
UNRESERVED_BYTES = 16 * 1024
# The values as decoded, and as converted to the type of the body.
DECODED_COPIES = 2
REQUEST_ID_HEADER = "X-Request-Id"
_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,128}")
_REASON_BY_STATUS = {499: "Client Closed Request"}

StartResponse = Callable[..., Any]


class Request(NamedTuple):
    """A parsed HTTP request.

    Attributes:
        method: The HTTP method.
        path: The path, without the query.
        query: The last value of each query parameter.
        headers: Header values, by lower-case name.
        body: The complete body.
        request_id: The caller's request id, or a new one.
        disconnected: Returns whether the caller has disconnected.
        allows_unknown_fields: Whether `json` accepts fields that the body's
            type does not declare.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    disconnected: Callable[[], bool]
    allows_unknown_fields: bool = False

    def json(self, body_type: type[T]) -> T:
        """Decodes the JSON body as a type.

        Raises:
            HibiscusError: The body is not valid JSON or not of this type.
        """
        try:
            raw = msgspec.json.decode(self.body)
            if not self.allows_unknown_fields:
                _reject_unknown_fields(body_type, raw)
            return msgspec.convert(raw, body_type)
        except msgspec.ValidationError as error:
            raise HibiscusError(ErrorKind.BAD_FIELD, str(error)) from None
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            raise HibiscusError(
                ErrorKind.BAD_JSON, "The body is not valid JSON."
            ) from None


class Response(NamedTuple):
    """A response; the body is complete, or an iterable of its parts."""

    status: int
    content_type: str
    body: bytes | Iterable[bytes]
    headers: Sequence[tuple[str, str]] = ()


class Route(NamedTuple):
    """One route of an interface.

    Attributes:
        method: An HTTP method, or `ANY`.
        pattern: The path; `{name}` matches one segment, and `{path}` the rest
            of the path.
        handler: Called with the request and the path's named segments.
        query: The allowed query parameters; None for any.
        summary: One sentence for the OpenAPI document.
        body_type: The type of the request's JSON body; None without one.
        response_type: The type of the response's JSON body; None without one.
        success_status: The status of a successful response.
    """

    method: str
    pattern: str
    handler: Callable[..., Response]
    query: Sequence[str] | None = ()
    summary: str = ""
    body_type: Any = None
    response_type: Any = None
    success_status: int = 200


def json_response(
    value: object, status: int = 200, headers: Sequence[tuple[str, str]] = ()
) -> Response:
    """Returns a response with a JSON body."""
    body = msgspec.json.encode(value)
    return Response(status, "application/json", body, headers)


class _CompiledRoute(NamedTuple):
    method: str
    regex: re.Pattern[str]
    handler: Callable[..., Response]
    query: Sequence[str] | None


class WsgiApp:
    """A WSGI application that serves a route table."""

    def __init__(
        self,
        routes: Sequence[Route],
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
        allows_unknown_fields: bool = False,
        logger: logging.LoggerAdapter[logging.Logger] | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._memory = memory
        self._routes = [
            _CompiledRoute(
                route.method,
                _compile_pattern(route.pattern),
                route.handler,
                route.query,
            )
            for route in routes
        ]
        self._max_body_bytes = max_body_bytes
        self._allows_unknown_fields = allows_unknown_fields
        self._logger = logger

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request."""
        request_id = _request_id(environ)
        try:
            request = self._parse_request(environ, request_id)
            with self._reserved(request.body):
                response = self._dispatch(request)
        except HibiscusError as error:
            response = error_response(error)
        except Exception:
            if self._logger:
                self._logger.exception(
                    "Request handler failed.", extra={"request_id": request_id}
                )
            response = error_response(
                HibiscusError(ErrorKind.INTERNAL, "An internal error occurred.")
            )
        return _start_response(response, request_id, start_response)

    def _reserved(self, body: bytes) -> contextlib.AbstractContextManager[None]:
        """Reserves the memory that decoding a large body takes.

        Raises:
            HibiscusError: `OVERLOADED` on entry if there is none.
        """
        if self._memory is None or len(body) <= UNRESERVED_BYTES:
            return contextlib.nullcontext()
        return self._memory.reserve(DECODED_COPIES * json_bytes(body))

    def _parse_request(
        self, environ: dict[str, Any], request_id: str
    ) -> Request:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > self._max_body_bytes:
            raise HibiscusError(
                ErrorKind.BODY_TOO_LARGE,
                f"The body is larger than {self._max_body_bytes} bytes.",
            )
        query = urllib.parse.parse_qsl(
            environ.get("QUERY_STRING", ""), keep_blank_values=True
        )
        headers = {
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        headers["content-type"] = environ.get("CONTENT_TYPE", "")
        return Request(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query=dict(query),
            headers=headers,
            body=environ["wsgi.input"].read(length),
            request_id=request_id,
            disconnected=environ.get("waitress.client_disconnected")
            or (lambda: False),
            allows_unknown_fields=self._allows_unknown_fields,
        )

    def _dispatch(self, request: Request) -> Response:
        path_known = False
        for route in self._routes:
            match = route.regex.fullmatch(request.path)
            if match is None:
                continue
            path_known = True
            if route.method in (request.method, "ANY"):
                self._check_query(route, request)
                return route.handler(request, **match.groupdict())
        if path_known:
            raise HibiscusError(
                ErrorKind.METHOD_NOT_ALLOWED,
                f"The path does not support method {request.method}.",
            )
        raise HibiscusError(ErrorKind.NOT_FOUND, "The path does not exist.")

    def _check_query(self, route: _CompiledRoute, request: Request) -> None:
        if route.query is None or self._allows_unknown_fields:
            return
        for name in request.query:
            if name not in route.query:
                raise HibiscusError(
                    ErrorKind.BAD_FIELD, f"Query parameter {name!r} is unknown."
                )


def _reject_unknown_fields(body_type: Any, raw: object) -> None:
    for path, expected in unknown_fields(body_type, raw):
        raise HibiscusError(
            ErrorKind.BAD_FIELD,
            f"Unknown field, expected {expected} - at `{path}`",
        )


def _compile_pattern(pattern: str) -> re.Pattern[str]:
    escaped = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)
    return re.compile(escaped.replace("<path>[^/]+", "<path>.*"))


def _request_id(environ: dict[str, Any]) -> str:
    request_id = environ.get("HTTP_X_REQUEST_ID", "")
    return (
        request_id
        if _REQUEST_ID.fullmatch(request_id)
        else secrets.token_hex(8)
    )


def error_response(error: HibiscusError) -> Response:
    """Returns the response for an error."""
    answer = error.response
    headers = []
    if error.retry_after_s is not None:
        headers.append(("Retry-After", f"{error.retry_after_s:.3g}"))
    return json_response(error.body(), answer.status, headers)


def _start_response(
    response: Response, request_id: str, start_response: StartResponse
) -> Iterable[bytes]:
    headers = [
        ("Content-Type", response.content_type),
        (REQUEST_ID_HEADER, request_id),
        *response.headers,
    ]
    body = response.body
    if isinstance(body, bytes):
        headers.append(("Content-Length", str(len(body))))
        body = [body]
    reason = _REASON_BY_STATUS.get(response.status, "Status")
    start_response(f"{response.status} {reason}", headers)
    return body
