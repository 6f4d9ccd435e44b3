"""Unary gRPC calls to peers over cached channels."""

import asyncio
import enum

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from hibiscuspin.clock import monotonic
from hibiscuspin.peers import hibiscuspin_grpc, hibiscuspin_pb2
from hibiscuspin.peers.links import SECRET_METADATA
from hibiscuspin.settings import parse_address

__all__ = ["PeerError", "PeerErrorKind", "PeerGrpcClient"]

MAX_CHANNELS = 16


class PeerErrorKind(enum.StrEnum):
    """Why a call to a peer returned no result."""

    UNKNOWN_INSTANCE = "unknown_instance"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    UNKNOWN_METHOD = "unknown_method"
    FAILED = "failed"


class PeerError(Exception):
    """A call to a peer returned no result.

    Attributes:
        kind: The reason. Only `unknown_*` and `unreachable` guarantee that
            the call did not run.
    """

    def __init__(self, kind: PeerErrorKind, detail: str) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind


class PeerGrpcClient:
    """Calls peers by address; must be used on the event loop only."""

    def __init__(self, secret: str) -> None:
        self._secret = secret
        self._channels_by_address: dict[str, Channel] = {}

    async def call(
        self, address: str, method: str, body: bytes, deadline: float
    ) -> bytes:
        """Calls a method of the peer at an address.

        Args:
            address: The peer's address, as `HOST:PORT`.
            method: The name of the method.
            body: The encoded argument.
            deadline: In seconds on the monotonic clock.

        Raises:
            PeerError: The call returned no result.
        """
        timeout = deadline - monotonic()
        if timeout <= 0:
            raise PeerError(PeerErrorKind.TIMEOUT, method)
        channel = self._get_channel(address)
        try:
            async with asyncio.timeout(timeout):
                await channel.__connect__()
        except (OSError, TimeoutError) as error:
            self._close_channel(address)
            raise PeerError(PeerErrorKind.UNREACHABLE, method) from error
        return await self._send(channel, address, method, body, deadline)

    def close(self) -> None:
        """Closes all channels."""
        for address in list(self._channels_by_address):
            self._close_channel(address)

    async def _send(
        self,
        channel: Channel,
        address: str,
        method: str,
        body: bytes,
        deadline: float,
    ) -> bytes:
        stub = hibiscuspin_grpc.PeersStub(channel)
        request = hibiscuspin_pb2.CallRequest(method=method, body=body)
        try:
            reply = await stub.Call(
                request,
                timeout=max(0.001, deadline - monotonic()),
                metadata={SECRET_METADATA: self._secret},
            )
        except TimeoutError as error:
            self._close_channel(address)
            raise PeerError(PeerErrorKind.TIMEOUT, method) from error
        except (OSError, StreamTerminatedError) as error:
            self._close_channel(address)
            raise PeerError(PeerErrorKind.FAILED, method) from error
        except GRPCError as error:
            raise PeerError(_error_kind(error), method) from error
        if reply.error:
            raise PeerError(PeerErrorKind.FAILED, reply.error)
        return bytes(reply.body)

    def _get_channel(self, address: str) -> Channel:
        channel = self._channels_by_address.pop(address, None)
        if channel is None:
            if len(self._channels_by_address) >= MAX_CHANNELS:
                self._close_channel(next(iter(self._channels_by_address)))
            channel = Channel(*parse_address(address))
        self._channels_by_address[address] = channel
        return channel

    def _close_channel(self, address: str) -> None:
        channel = self._channels_by_address.pop(address, None)
        if channel is not None:
            channel.close()


def _error_kind(error: GRPCError) -> PeerErrorKind:
    if error.status is Status.UNIMPLEMENTED:
        return PeerErrorKind.UNKNOWN_METHOD
    if error.status is Status.DEADLINE_EXCEEDED:
        return PeerErrorKind.TIMEOUT
    return PeerErrorKind.FAILED
