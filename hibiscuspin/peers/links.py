"""The streams of one instance: those it opened and those it accepted."""

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
RECONNECT_S = 1.0
SILENT_S = 8.0

_log = get_logger("peers")


class Links:
    """Opens, accepts and replaces streams; used on the event loop only.

    Attributes:
        refused: Names of peers whose address refuses connections.
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
        self._turn = 0
        self._ended = Traffic()
        self._last_heard_by_name: dict[str, float] = {}
        self.refused: set[str] = set()

    def all(self) -> list[Link]:
        """Returns the links whose peer has said its name."""
        return [link for link in self._links if link.instance]

    def traffic(self) -> Traffic:
        """Returns what went over all links, ended ones included."""
        total = self._ended
        for link in list(self._links):
            total = total.plus(link.traffic)
        return total

    def next(self) -> Link | None:
        """Returns the links by turns."""
        links = self.all()
        self._turn += 1
        return links[self._turn % len(links)] if links else None

    def heard_at_by_name(self) -> dict[str, float]:
        """Returns when each peer that had a link was last heard."""
        heard = dict(self._last_heard_by_name)
        for link in list(self._links):
            if link.instance:
                last = heard.get(link.instance, 0.0)
                heard[link.instance] = max(last, link.heard_at)
        return heard

    def neighbours(self) -> set[str]:
        """Returns the peers that have a link now."""
        return {link.instance for link in list(self._links) if link.instance}

    def reconcile(self, addresses_by_name: dict[str, str]) -> None:
        """Keeps a stream to each of these addresses, and opens no other."""
        for name, address in list(self._addresses_by_name.items()):
            if addresses_by_name.get(name) != address:
                self._tasks_by_name.pop(name).cancel()
                self.refused.discard(name)
        for name, address in addresses_by_name.items():
            if name not in self._tasks_by_name:
                self._tasks_by_name[name] = asyncio.ensure_future(
                    self._keep(name, address)
                )
        self._addresses_by_name = addresses_by_name

    async def accept(self, stream: Any) -> None:
        """Talks on a stream that a peer opened."""
        try:
            await self._talk(stream)
        except TimeoutError as error:
            raise GRPCError(Status.UNAVAILABLE, str(error)) from error

    async def close(self) -> None:
        """Ends the streams that this instance opened."""
        tasks = list(self._tasks_by_name.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep(self, name: str, address: str) -> None:
        while True:
            try:
                await self._open(address)
                self.refused.discard(name)
            except ConnectionRefusedError:
                self.refused.add(name)
            except (OSError, GRPCError, StreamTerminatedError):
                _log.debug("Stream lost.", extra={"peer": name})
            except Exception:
                _log.exception("Stream failed.", extra={"peer": name})
            await asyncio.sleep(RECONNECT_S)

    async def _open(self, address: str) -> None:
        host, port = parse_address(address)
        channel = Channel(host, port)
        try:
            stub = hibiscuspin_grpc.PeersStub(channel)
            metadata = {SECRET_METADATA: self._secret}
            async with stub.Exchange.open(
                timeout=None, metadata=metadata
            ) as stream:
                await self._talk(stream)
        finally:
            channel.close()

    async def _talk(self, stream: Any) -> None:
        link = Link(stream, self._on_update, self._on_hello)
        self._links.append(link)
        talk = asyncio.ensure_future(link.run(self._hello()))
        try:
            while not talk.done():
                await asyncio.wait([talk], timeout=SILENT_S)
                if monotonic() - link.heard_at > SILENT_S:
                    raise TimeoutError("the stream went silent")
            talk.result()
        finally:
            self._links.remove(link)
            self._ended = self._ended.plus(link.traffic)
            self._last_heard_by_name[link.instance] = link.heard_at
            talk.cancel()
            await asyncio.gather(talk, return_exceptions=True)
