"""Publish-subscribe and calls between instances, on a dedicated event loop.

An instance publishes its newest snapshot on a topic. Neighbours forward it to
their own neighbours until all instances have it, and compare digests to
repair losses. Unary calls go to one instance directly.
"""

import asyncio
import hmac
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from hibiscuspin.decisions.snapshots import (
    Key,
    Revision,
    Snapshot,
    SnapshotTable,
    is_data_centre_topic,
)
from hibiscuspin.logs import get_logger
from hibiscuspin.peers import hibiscuspin_grpc, hibiscuspin_pb2
from hibiscuspin.peers.calls import PeerError, PeerErrorKind, PeerGrpcClient
from hibiscuspin.peers.link import Link, Traffic, from_message
from hibiscuspin.peers.links import SECRET_METADATA, Links
from hibiscuspin.settings import Address

__all__ = ["PeerError", "PeerErrorKind", "PeerHub", "PeerRecord"]

REPAIR_INTERVAL_S = 5.0
CALL_THREADS = 4

Update = hibiscuspin_pb2.Update
SnapshotHandler = Callable[[str, bytes], None]
CallHandler = Callable[[bytes], bytes]

_log = get_logger("peers")


class PeerRecord(NamedTuple):
    """A live instance, either this one or a peer."""

    name: str
    data_centre: str
    peer_address: str
    state: str = "alive"


class PeerHub(hibiscuspin_grpc.PeersBase):  # type: ignore[misc]
    """Publishes to all instances and calls single ones; a supervised task."""

    name = "peers"

    def __init__(
        self, instance: str, data_centre: str, address: Address, secret: str
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._address = address
        self._secret = secret
        self._incarnation = time.time_ns() // 1_000_000
        self._number = 0
        self._lock = threading.RLock()
        self._table = SnapshotTable()
        self._records = [PeerRecord(instance, data_centre, str(address))]
        self._handlers_by_topic: dict[str, list[SnapshotHandler]] = {}
        self._call_handler_by_method: dict[str, CallHandler] = {}
        self._handler_executor = ThreadPoolExecutor(1, "peer-handler")
        self._call_executor = ThreadPoolExecutor(CALL_THREADS, "peer-call")
        self._loop: asyncio.AbstractEventLoop | None = None
        self._links = Links(
            secret, self._hello_message, self._on_update, self._on_hello
        )
        self._client = PeerGrpcClient(secret)

    @property
    def running(self) -> bool:
        """Whether the hub serves peers."""
        return self._loop is not None

    def publish(self, topic: str, body: bytes) -> None:
        """Makes `body` this instance's newest snapshot on a topic."""
        self.publish_as(topic, self._instance, self.next_revision(), body)

    def next_revision(self) -> Revision:
        """Returns a revision greater than all that this instance has used."""
        with self._lock:
            self._number += 1
            return Revision(self._incarnation, self._number)

    def publish_as(
        self, topic: str, origin: str, revision: Revision, body: bytes
    ) -> None:
        """Publishes a snapshot of an origin that numbers its own revisions."""
        snapshot = Snapshot(Key(topic, origin), revision, body)
        with self._lock:
            accepted = self._table.add_if_newer(snapshot)
        loop = self._loop
        if accepted and loop is not None:
            loop.call_soon_threadsafe(self._forward, snapshot, None)

    def subscribe(self, topic: str, handler: SnapshotHandler) -> None:
        """Calls `handler(origin, body)` with snapshots of other instances.

        Handlers run one after another in one thread and must not block.
        """
        self._handlers_by_topic.setdefault(topic, []).append(handler)

    def call(
        self, instance: str, method: str, body: bytes, deadline: float
    ) -> bytes:
        """Calls a method that another instance serves.

        Args:
            instance: The instance's name.
            method: The name under which the other instance serves it.
            body: The argument, in the encoding of the method.
            deadline: In seconds on the monotonic clock.

        Raises:
            PeerError: The call returned no result; `kind` is the reason.
        """
        addresses = {r.name: r.peer_address for r in self.instances()}
        loop = self._loop
        if instance not in addresses or loop is None:
            raise PeerError(PeerErrorKind.UNKNOWN_INSTANCE, instance)
        work = self._client.call(addresses[instance], method, body, deadline)
        return asyncio.run_coroutine_threadsafe(work, loop).result()

    def serve(self, method: str, handler: CallHandler) -> None:
        """Serves a method: calls run `handler(body)` in a thread pool."""
        self._call_handler_by_method[method] = handler

    def instances(self) -> list[PeerRecord]:
        """Returns the live instances, this one included."""
        return list(self._records)

    def set_instances(self, records: list[PeerRecord]) -> None:
        """Replaces the list of live instances."""
        self._records = records

    def forget(self, origin: str) -> None:
        """Drops the snapshots of an instance that has left permanently."""
        with self._lock:
            self._table.forget_origin(origin)

    def connect(self, addresses_by_name: Mapping[str, str]) -> None:
        """Maintains outgoing streams to exactly these instances."""
        loop = self._loop
        if loop is not None:
            addresses = dict(addresses_by_name)
            loop.call_soon_threadsafe(self._links.reconcile, addresses)

    def heard_at_by_name(self) -> dict[str, float]:
        """Returns when each peer last sent a message, in monotonic time."""
        return self._links.heard_at_by_name()

    def neighbours(self) -> set[str]:
        """Returns the instances that this one shares a stream with."""
        return self._links.neighbours()

    def traffic(self) -> Traffic:
        """Returns the traffic of all streams since the start."""
        return self._links.traffic()

    def refusing_peers(self) -> set[str]:
        """Returns the peers that refused; see `Links.refusing_peers`."""
        return set(self._links.refusing_peers)

    def run(self, stop: threading.Event) -> None:
        """Serves peers until `stop` is set."""
        asyncio.run(self._serve(stop))

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        """Serves a stream that a peer opened; overrides generated code."""
        self._authenticate(stream)
        await self._links.accept(stream)

    async def Call(self, stream: Any) -> None:  # noqa: N802
        """Serves one unary call; overrides generated code."""
        self._authenticate(stream)
        request = await stream.recv_message()
        handler = self._call_handler_by_method.get(request.method)
        if handler is None:
            raise GRPCError(Status.UNIMPLEMENTED, request.method)
        loop = asyncio.get_running_loop()
        try:
            body = await loop.run_in_executor(
                self._call_executor, handler, request.body
            )
            reply = hibiscuspin_pb2.CallReply(body=body)
        except Exception as error:
            _log.exception(
                "Handler of a call from a peer raised an exception.",
                extra={"method": request.method},
            )
            reply = hibiscuspin_pb2.CallReply(error=type(error).__name__)
        await stream.send_message(reply)

    def _authenticate(self, stream: Any) -> None:
        secret = str((stream.metadata or {}).get(SECRET_METADATA, ""))
        if not hmac.compare_digest(secret.encode(), self._secret.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, "wrong secret")

    async def _serve(self, stop: threading.Event) -> None:
        server = Server([self])
        await server.start(self._address.host, self._address.port)
        self._loop = asyncio.get_running_loop()
        repair_task = asyncio.ensure_future(self._repair_periodically())
        try:
            await asyncio.to_thread(stop.wait)
        finally:
            self._loop = None
            repair_task.cancel()
            await self._links.close()
            self._client.close()
            server.close()
            await server.wait_closed()

    async def _repair_periodically(self) -> None:
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S)
            link = self._links.next_link()
            if link is not None:
                self._send_digest(link)

    def _hello_message(self) -> Any:
        hello = hibiscuspin_pb2.Hello(
            instance=self._instance, data_centre=self._data_centre
        )
        return Update(hello=hello)

    def _on_hello(self, link: Link) -> None:
        self._send_digest(link)

    def _send_digest(self, link: Link) -> None:
        with self._lock:
            hashes = self._table.bucket_hashes(self._is_local(link))
        link.send(Update(digest=hibiscuspin_pb2.Digest(hashes=hashes)))

    def _on_update(self, link: Link, update: Any) -> None:
        kind = update.WhichOneof("body")
        if kind == "batch":
            for message in update.batch.snapshots:
                self._receive(from_message(message), link)
        elif kind == "digest":
            with self._lock:
                buckets = self._table.differing_buckets(update.digest.hashes)
            if buckets:
                self._send_revisions(link, buckets, reply=True)
        elif kind == "revisions":
            self._send_newer(link, update.revisions)

    def _receive(self, snapshot: Snapshot, link: Link) -> None:
        link.drop_known(snapshot)
        own = snapshot.key.origin == self._instance
        if own and snapshot.revision.incarnation > self._incarnation:
            # The wall clock went back across a restart: peers still have
            # snapshots of an earlier run with a higher incarnation.
            self._incarnation = snapshot.revision.incarnation + 1
            self._republish_own()
            return
        with self._lock:
            accepted = self._table.add_if_newer(snapshot)
        if accepted:
            self._forward(snapshot, link)
            self._handler_executor.submit(self._run_handlers, snapshot)

    def _republish_own(self) -> None:
        with self._lock:
            own_snapshots = [
                s for s in self._table.all() if s.key.origin == self._instance
            ]
        for snapshot in own_snapshots:
            self.publish(snapshot.key.topic, snapshot.body)

    def _run_handlers(self, snapshot: Snapshot) -> None:
        topic, origin = snapshot.key
        if origin == self._instance:
            return
        for handler in self._handlers_by_topic.get(topic, ()):
            try:
                handler(origin, snapshot.body)
            except Exception:
                _log.exception(
                    "Handler of a snapshot raised an exception.",
                    extra={"topic": topic},
                )

    def _forward(self, snapshot: Snapshot, source: Link | None) -> None:
        local = is_data_centre_topic(snapshot.key.topic)
        for link in self._links.identified():
            if link is not source and (not local or self._is_local(link)):
                link.enqueue(snapshot)

    def _send_revisions(
        self, link: Link, buckets: list[int], *, reply: bool
    ) -> None:
        with self._lock:
            revision_by_key = self._table.revisions(buckets)
        revisions = [
            hibiscuspin_pb2.Revision(**key._asdict(), **revision._asdict())
            for key, revision in revision_by_key.items()
        ]
        message = hibiscuspin_pb2.Revisions(
            buckets=buckets, revisions=revisions, reply=reply
        )
        link.send(Update(revisions=message))

    def _send_newer(self, link: Link, message: Any) -> None:
        peer_revision_by_key = {
            Key(r.topic, r.origin): Revision(r.incarnation, r.number)
            for r in message.revisions
        }
        buckets = list(message.buckets)
        with self._lock:
            missing = self._table.newer_than(buckets, peer_revision_by_key)
        for snapshot in missing:
            if not is_data_centre_topic(snapshot.key.topic) or self._is_local(
                link
            ):
                link.enqueue(snapshot)
        if message.reply:
            self._send_revisions(link, buckets, reply=False)

    def _is_local(self, link: Link) -> bool:
        return link.data_centre == self._data_centre
