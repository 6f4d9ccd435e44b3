"""Unary calls between instances over HTTP, with bodies in MessagePack.

A unary call over grpclib takes twice the processor time of one over
http.client and waitress (docs/decisions/0401-platform.md), and instances
that use this module have no streams between them.
"""

import threading
from collections.abc import Callable
from typing import Any

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.edges.wsgi import (
    Request,
    Response,
    Route,
    WsgiApp,
    error_response,
)
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.settings import parse_address

__all__ = ["PeerHttpClient", "PeerUnreachableError", "peer_app"]

PeerCallHandler = Callable[[bytes], bytes]

# Fits the largest job that the operators' limits allow, with overhead.
MAX_BODY_BYTES = 48 * 1024 * 1024
# Registrations of idle instances outlast these by seconds. An instance that
# did not respond is passed over for this long where another one will do.
SUSPECT_S = 3.0


class PeerUnreachableError(Exception):
    """Another instance returned no complete response."""


class PeerHttpClient:
    """Calls other instances by address; thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._client_by_address: dict[str, HttpClient] = {}
        self._suspect_until_by_address: dict[str, float] = {}

    def call(
        self,
        address: str,
        method: str,
        body: bytes,
        timeout_s: float,
        *,
        stall_s: float | None = None,
        check: Callable[[], None] | None = None,
    ) -> bytes:
        """Calls a method of another instance.

        Args:
            address: The instance's address for such calls.
            method: The method.
            body: The encoded argument.
            timeout_s: How long the whole call may take.
            stall_s: The longest time without a byte; None for no limit but
                `timeout_s`.
            check: Called while waiting; may raise an exception to end the call.

        Raises:
            PeerUnreachableError: No complete response arrived in time.
            HibiscusError: The other instance responded with an error.
        """
        if timeout_s <= 0:
            raise PeerUnreachableError(f"{address}: no time is left to call it")
        deadline = self._clock.monotonic() + timeout_s
        try:
            response = self._get_client(address).request(
                "POST",
                f"/{method}",
                deadline,
                body=body,
                stall_s=stall_s,
                check=check,
            )
        except TargetError as error:
            now = self._clock.monotonic()
            # With a limit on silence, bytes came until the deadline.
            if stall_s is None or now < deadline:
                self._suspect_until_by_address[address] = now + SUSPECT_S
            raise PeerUnreachableError(f"{address}: {error}") from error
        self._suspect_until_by_address.pop(address, None)
        if response.status == 200:
            return response.body
        raise _decode_error(response.body, response.status)

    def is_suspect(self, address: str) -> bool:
        """Returns whether the instance has not responded to a recent call."""
        until = self._suspect_until_by_address.get(address, 0.0)
        return self._clock.monotonic() < until

    def _get_client(self, address: str) -> HttpClient:
        with self._lock:
            client = self._client_by_address.get(address)
            if client is None:
                client = HttpClient(parse_address(address), self._clock)
                self._client_by_address[address] = client
            return client


def peer_app(handler_by_method: dict[str, PeerCallHandler]) -> WsgiApp:
    """Returns the WSGI application that serves calls of other instances."""
    routes = [
        Route("POST", f"/{method}", _route_handler(handler), query=None)
        for method, handler in handler_by_method.items()
    ]
    return WsgiApp(
        routes, max_body_bytes=MAX_BODY_BYTES, logger=get_logger("peers")
    )


def _route_handler(handler: PeerCallHandler) -> Callable[[Request], Response]:
    def serve(request: Request) -> Response:
        try:
            body = handler(request.body)
        except HibiscusError as error:
            return error_response(error)
        return Response(200, "application/msgpack", body)

    return serve


def _decode_error(body: bytes, status: int) -> HibiscusError:
    try:
        detail: Any = msgspec.json.decode(body)["error"]
        kind = ErrorKind(detail["code"])
        return HibiscusError(kind, detail["message"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        message = f"A peer responded with status {status}."
        return HibiscusError(ErrorKind.INTERNAL, message)
