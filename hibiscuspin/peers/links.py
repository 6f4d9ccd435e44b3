"""The streams of one instance, both outgoing and accepted."""

import asyncio
from collections.abc import Callable
from typing import Any

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from hibiscuspin.clock import monotonic
from hibiscuspin.logs import get_logger
from hibiscuspin.peers import hibiscuspin_grpc
from hibiscuspin.peers.link import Link, Traffic
from hibiscuspin.settings import parse_address

__all__ = ["SECRET_METADATA", "Links"]

SECRET_METADATA = "hibiscuspin-secret"
RECONNECT_DELAY_S = 1.0
SILENCE_TIMEOUT_S = 8.0

_log = get_logger("peers")


class Links:
    """Opens, accepts and reopens streams; must be used on the event loop only.

    Attributes:
        refusing_peers: Names of peers whose address refused a connection. A
            name is removed when the peer sends a `Hello`, when a later stream
            to it ends without an error, or when `reconcile` drops the peer or
            changes its address.
    """

    def __init__(
        self,
        secret: str,
        hello: Callable[[], Any],
        on_update: Callable[[Link, Any], None],
        on_hello: Callable[[Link], None],
    ) -> None:
        self._secret = secret
        self._hello = hello
        self._on_update = on_update
        self._on_hello = on_hello
        self._links: list[Link] = []
        self._addresses_by_name: dict[str, str] = {}
        self._tasks_by_name: dict[str, asyncio.Task[None]] = {}
        self._round_robin_index = 0
        self._closed_traffic = Traffic()
        self._last_heard_by_name: dict[str, float] = {}
        self.refusing_peers: set[str] = set()

    def identified(self) -> list[Link]:
        """Returns the links whose peer has sent its `Hello`."""
        return [link for link in self._links if link.instance]

    def traffic(self) -> Traffic:
        """Returns the traffic of all links, including closed ones."""
        total = self._closed_traffic
        for link in list(self._links):
            total = total.plus(link.traffic)
        return total

    def next_link(self) -> Link | None:
        """Returns the next identified link in round-robin order, if any."""
        links = self.identified()
        self._round_robin_index += 1
        return links[self._round_robin_index % len(links)] if links else None

    def heard_at_by_name(self) -> dict[str, float]:
        """Returns when each peer last sent a message, in monotonic time.

        Includes peers whose link has been closed.
        """
        heard = dict(self._last_heard_by_name)
        for link in list(self._links):
            if link.instance:
                last = heard.get(link.instance, 0.0)
                heard[link.instance] = max(last, link.heard_at)
        return heard

    def neighbours(self) -> set[str]:
        """Returns the peers that have a link at present."""
        return {link.instance for link in list(self._links) if link.instance}

    def reconcile(self, addresses_by_name: dict[str, str]) -> None:
        """Maintains outgoing streams to exactly these addresses."""
        for name, address in list(self._addresses_by_name.items()):
            if addresses_by_name.get(name) != address:
                self._tasks_by_name.pop(name).cancel()
                self.refusing_peers.discard(name)
        for name, address in addresses_by_name.items():
            if name not in self._tasks_by_name:
                self._tasks_by_name[name] = asyncio.ensure_future(
                    self._maintain_stream(name, address)
                )
        self._addresses_by_name = addresses_by_name

    async def accept(self, stream: Any) -> None:
        """Serves a stream that a peer opened, until it ends."""
        try:
            await self._run_link(stream)
        except TimeoutError as error:
            raise GRPCError(Status.UNAVAILABLE, str(error)) from error

    async def close(self) -> None:
        """Closes the streams that this instance opened."""
        tasks = list(self._tasks_by_name.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _maintain_stream(self, name: str, address: str) -> None:
        while True:
            try:
                await self._open_stream(address)
                self.refusing_peers.discard(name)
            except ConnectionRefusedError:
                self.refusing_peers.add(name)
            except (OSError, GRPCError, StreamTerminatedError):
                _log.debug(
                    "Stream to peer lost; reconnecting.", extra={"peer": name}
                )
            except Exception:
                _log.exception(
                    "Stream to peer failed unexpectedly; reconnecting.",
                    extra={"peer": name},
                )
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _open_stream(self, address: str) -> None:
        host, port = parse_address(address)
        channel = Channel(host, port)
        try:
            stub = hibiscuspin_grpc.PeersStub(channel)
            metadata = {SECRET_METADATA: self._secret}
            async with stub.Exchange.open(
                timeout=None, metadata=metadata
            ) as stream:
                await self._run_link(stream)
                # The peer has ended the stream. grpclib reads the status only
                # of a stream that this end has ended too.
                await stream.end()
        finally:
            channel.close()

    def _record_hello(self, link: Link) -> None:
        # A peer that has restarted would otherwise be judged dead, in place of
        # slow or paused, when it is silent later.
        self.refusing_peers.discard(link.instance)
        self._on_hello(link)

    async def _run_link(self, stream: Any) -> None:
        link = Link(stream, self._on_update, self._record_hello)
        self._links.append(link)
        link_task = asyncio.ensure_future(link.run(self._hello()))
        try:
            while not link_task.done():
                await asyncio.wait([link_task], timeout=SILENCE_TIMEOUT_S)
                if monotonic() - link.heard_at > SILENCE_TIMEOUT_S:
                    raise TimeoutError("the peer sent no message in time")
            link_task.result()
        finally:
            self._links.remove(link)
            self._closed_traffic = self._closed_traffic.plus(link.traffic)
            self._last_heard_by_name[link.instance] = link.heard_at
            link_task.cancel()
            await asyncio.gather(link_task, return_exceptions=True)
