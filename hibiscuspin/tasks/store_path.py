"""Sends calls to the store, directly or relayed by another instance."""

import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import store_paths
from hibiscuspin.edges import StoreError, TargetError
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.metrics import Metrics
from hibiscuspin.peers.rpc import PeerHttpClient, PeerUnreachableError
from hibiscuspin.settings import Address

__all__ = ["RELAY_METHOD", "StoreCall", "StorePath", "StoreResponse"]

RELAY_METHOD = "store"
# Above the relay's `DIRECT_TIMEOUT_S`, so that the relay reports its own error.
RELAY_TIMEOUT_S = 1.0
# The store sends these statuses before it executes any part of a call.
REJECTION_STATUSES = frozenset({429, 503})

_log = get_logger("store")


class StoreCall(NamedTuple):
    """One call to the store.

    Attributes:
        method: The HTTP method.
        target: The path and query.
        body: The body.
        cause: What the call does, for the metrics.
    """

    method: str
    target: str
    body: bytes = b""
    cause: str = "relayed"


class StoreResponse(NamedTuple):
    """The store's response."""

    status: int
    body: bytes


class StorePath:
    """Sends calls to the store; thread-safe."""

    def __init__(
        self,
        address: Address,
        clock: Clock,
        peers: PeerHttpClient,
        relays: Callable[[], Sequence[str]],
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._relays = relays
        self._metrics = metrics
        self._lock = threading.Lock()
        self._path = store_paths.DirectPath()
        self._connect(address)

    def _connect(self, address: Address) -> None:
        self._address = address
        self._client = HttpClient(address, self._clock)
        self._long_poll_client = HttpClient(
            address, self._clock, keepalive=True
        )

    def change_address(self, address: Address) -> None:
        """Sends subsequent calls to another address."""
        if address != self._address:
            _log.info("Store address changed.", extra={"address": str(address)})
            old_clients = (self._client, self._long_poll_client)
            self._connect(address)
            for client in old_clients:
                client.close_idle()

    def abort_long_polls(self) -> None:
        """Aborts pending long polls; further ones fail."""
        self._long_poll_client.abort()

    @property
    def is_direct(self) -> bool:
        """Whether the last direct call, if any, succeeded."""
        return not self._path.failures

    def send(self, call: StoreCall, deadline: float) -> StoreResponse:
        """Sends a call by the paths that may reach the store, in turn.

        A call without a response is sent again by another path, so a write
        needs a condition that lets only one of these attempts take effect.

        Raises:
            StoreError: No path returned a response.
        """
        relays = self._relays()
        with self._lock:
            paths = store_paths.paths_to_try(
                self._path, len(relays), self._clock.monotonic()
            )
        applied: bool | None = False
        reason = "deadline passed"
        for path in paths:
            if self._clock.monotonic() >= deadline:
                break
            try:
                if path is None:
                    return self.send_direct(call, deadline)
                return self._send_relayed(relays[path], call, deadline)
            except StoreError as error:
                reason = str(error)
                if error.applied is None:
                    applied = None
        raise StoreError(reason, applied)

    def send_direct(self, call: StoreCall, deadline: float) -> StoreResponse:
        """Sends a call directly and records whether that succeeded.

        Raises:
            StoreError: There was no response, or the store rejected the call or
                failed.
        """
        now = self._clock.monotonic()
        stall_s = store_paths.direct_timeout_s(self._path)
        try:
            response = self._client.request(
                call.method,
                call.target,
                deadline,
                body=call.body or None,
                stall_s=stall_s,
            )
        except TargetError as error:
            if error.silent:
                self._client.close_idle()
            self._count(call, "failed")
            # A caller that has less time than a slow store needs says nothing
            # about the path.
            if not (error.silent and deadline < now + stall_s):
                self._record(False, now, str(error))
            applied = None if error.sent else False
            raise StoreError(str(error), applied) from error
        self._count(call, str(response.status))
        if response.status in REJECTION_STATUSES:
            self._record(False, now, f"status {response.status}")
            raise StoreError(
                f"store responded with status {response.status}", False
            )
        self._record(True, now, "")
        if response.status >= 500:
            raise StoreError(
                f"store responded with status {response.status}", None
            )
        return StoreResponse(response.status, response.body)

    def send_long_poll(self, call: StoreCall, deadline: float) -> StoreResponse:
        """Sends a long poll directly.

        Raises:
            StoreError: There was no response, the store rejected the call or
                failed, or direct calls are failing.
        """
        try:
            self._check_direct_path()
            response = self._long_poll_client.request(
                call.method,
                call.target,
                deadline,
                check=self._check_direct_path,
            )
        except TargetError as error:
            self._long_poll_client.close_idle()
            self._count(call, "failed")
            raise StoreError(str(error), False) from error
        self._count(call, str(response.status))
        if response.status in REJECTION_STATUSES or response.status >= 500:
            raise StoreError(
                f"store responded with status {response.status}", False
            )
        return StoreResponse(response.status, response.body)

    def serve_relay(self, body: bytes) -> bytes:
        """Relays a call of another instance to the store."""
        method, target, call_body = msgspec.msgpack.decode(
            body, type=tuple[str, str, bytes]
        )
        now = self._clock.monotonic()
        if now < self._path.avoid_until:
            raise HibiscusError(
                ErrorKind.STORE_UNAVAILABLE,
                "This instance can't reach the store either.",
            )
        call = StoreCall(method, target, call_body)
        try:
            response = self.send_direct(
                call, now + store_paths.DIRECT_TIMEOUT_S
            )
        except StoreError as error:
            kind = (
                ErrorKind.OUTCOME_UNKNOWN
                if error.applied is None
                else ErrorKind.STORE_UNAVAILABLE
            )
            raise HibiscusError(kind, str(error)) from error
        return msgspec.msgpack.encode(response)

    def _send_relayed(
        self, address: str, call: StoreCall, deadline: float
    ) -> StoreResponse:
        remaining_s = deadline - self._clock.monotonic()
        try:
            body = self._peers.call(
                address,
                RELAY_METHOD,
                msgspec.msgpack.encode((call.method, call.target, call.body)),
                remaining_s,
                stall_s=RELAY_TIMEOUT_S,
            )
        except PeerUnreachableError as error:
            raise StoreError(f"relay: {error}", None) from error
        except HibiscusError as error:
            unknown = error.kind is not ErrorKind.STORE_UNAVAILABLE
            applied = None if unknown else False
            raise StoreError(f"relay: {error}", applied) from error
        with self._lock:
            self._path = store_paths.after_relayed_call(self._path)
        return msgspec.msgpack.decode(body, type=StoreResponse)

    def _count(self, call: StoreCall, outcome: str) -> None:
        self._metrics.store_calls.labels(call.cause, outcome).inc()

    def _check_direct_path(self) -> None:
        if self._path.failures:
            raise TargetError(
                "direct calls to the store are failing", sent=True, silent=True
            )

    def _record(self, ok: bool, started: float, reason: str) -> None:
        now = self._clock.monotonic()
        with self._lock:
            failures_before = self._path.failures
            self._path = store_paths.after_direct_call(
                self._path, ok, now, now - started
            )
        if ok and failures_before:
            _log.info(
                "Store is reachable directly again.",
                extra={"failures": failures_before},
            )
        elif not ok and not failures_before:
            _log.warning(
                "Direct calls to the store are failing.",
                extra={"reason": reason},
            )
