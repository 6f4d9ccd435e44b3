"""What instances tell one another, on one event loop in a thread of its own.

An instance publishes its newest snapshot on a topic; neighbours pass it on
to theirs until all instances have it, and compare digests to repair losses.
Unary calls reach one instance directly.
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
from hibiscuspin.peers.calls import Caller, PeerError, PeerErrorKind
from hibiscuspin.peers.link import Link, Traffic, from_message
from hibiscuspin.peers.links import SECRET_METADATA, Links
from hibiscuspin.settings import Address

__all__ = ["PeerError", "PeerErrorKind", "PeerHub", "PeerRecord"]

REPAIR_S = 5.0
CALL_THREADS = 4

Update = hibiscuspin_pb2.Update
SnapshotHandler = Callable[[str, bytes], None]
CallHandler = Callable[[bytes], bytes]

_log = get_logger("peers")


class PeerRecord(NamedTuple):
    """A live instance of the system, this one included."""

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
        self._calls_by_method: dict[str, CallHandler] = {}
        self._handler_executor = ThreadPoolExecutor(1, "peer-handler")
        self._call_executor = ThreadPoolExecutor(CALL_THREADS, "peer-call")
        self._loop: asyncio.AbstractEventLoop | None = None
        self._links = Links(secret, self._hello, self._on_update, self._greet)
        self._caller = Caller(secret)

    @property
    def running(self) -> bool:
        """Whether the hub serves peers."""
        return self._loop is not None

    def publish(self, topic: str, body: bytes) -> None:
        """Makes `body` this instance's newest snapshot on a topic."""
        self.publish_as(topic, self._instance, self.next_revision(), body)

    def next_revision(self) -> Revision:
        """Returns a revision above all that this instance has used."""
        with self._lock:
            self._number += 1
            return Revision(self._incarnation, self._number)

    def publish_as(
        self, topic: str, origin: str, revision: Revision, body: bytes
    ) -> None:
        """Publishes on behalf of an origin that has its own revisions."""
        snapshot = Snapshot(Key(topic, origin), revision, body)
        with self._lock:
            accepted = self._table.add_if_newer(snapshot)
        loop = self._loop
        if accepted and loop is not None:
            loop.call_soon_threadsafe(self._pass_on, snapshot, None)

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
            method: As given to `serve` there.
            body: The argument, in the method's own encoding.
            deadline: In seconds on the monotonic clock.

        Raises:
            PeerError: No result came; its `kind` tells why.
        """
        addresses = {r.name: r.peer_address for r in self.instances()}
        loop = self._loop
        if instance not in addresses or loop is None:
            raise PeerError(PeerErrorKind.UNKNOWN_INSTANCE, instance)
        work = self._caller.call(addresses[instance], method, body, deadline)
        return asyncio.run_coroutine_threadsafe(work, loop).result()

    def serve(self, method: str, handler: CallHandler) -> None:
        """Answers calls of a method by `handler(body)`, in a thread pool."""
        self._calls_by_method[method] = handler

    def instances(self) -> list[PeerRecord]:
        """Returns the live instances, this one included."""
        return list(self._records)

    def set_instances(self, records: list[PeerRecord]) -> None:
        """Takes the live instances from membership."""
        self._records = records

    def forget(self, origin: str) -> None:
        """Drops the snapshots of an instance that is gone for good."""
        with self._lock:
            self._table.forget_origin(origin)

    def connect(self, addresses_by_name: Mapping[str, str]) -> None:
        """Keeps a stream to each of these instances, and opens no other."""
        loop = self._loop
        if loop is not None:
            addresses = dict(addresses_by_name)
            loop.call_soon_threadsafe(self._links.reconcile, addresses)

    def heard_at_by_name(self) -> dict[str, float]:
        """Returns when each peer was last heard, in monotonic time."""
        return self._links.heard_at_by_name()

    def neighbours(self) -> set[str]:
        """Returns the instances that this one has a stream with."""
        return self._links.neighbours()

    def traffic(self) -> Traffic:
        """Returns what went over streams since the start."""
        return self._links.traffic()

    def refused(self) -> set[str]:
        """Returns neighbours whose address refuses connections."""
        return set(self._links.refused)

    def run(self, stop: threading.Event) -> None:
        """Serves peers until `stop` is set."""
        asyncio.run(self._serve(stop))

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        """Talks on a stream that a peer opened; overrides generated code."""
        self._authenticate(stream)
        await self._links.accept(stream)

    async def Call(self, stream: Any) -> None:  # noqa: N802
        """Answers one unary call; overrides generated code."""
        self._authenticate(stream)
        request = await stream.recv_message()
        handler = self._calls_by_method.get(request.method)
        if handler is None:
            raise GRPCError(Status.UNIMPLEMENTED, request.method)
        loop = asyncio.get_running_loop()
        try:
            body = await loop.run_in_executor(
                self._call_executor, handler, request.body
            )
            reply = hibiscuspin_pb2.CallReply(body=body)
        except Exception as error:
            _log.exception("Call failed.", extra={"method": request.method})
            reply = hibiscuspin_pb2.CallReply(error=type(error).__name__)
        await stream.send_message(reply)

    def _authenticate(self, stream: Any) -> None:
        given = str((stream.metadata or {}).get(SECRET_METADATA, ""))
        if not hmac.compare_digest(given.encode(), self._secret.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, "wrong secret")

    async def _serve(self, stop: threading.Event) -> None:
        server = Server([self])
        await server.start(self._address.host, self._address.port)
        self._loop = asyncio.get_running_loop()
        repair = asyncio.ensure_future(self._repair())
        try:
            await asyncio.to_thread(stop.wait)
        finally:
            self._loop = None
            repair.cancel()
            await self._links.close()
            self._caller.close()
            server.close()
            await server.wait_closed()

    async def _repair(self) -> None:
        while True:
            await asyncio.sleep(REPAIR_S)
            link = self._links.next()
            if link is not None:
                self._send_digest(link)

    def _hello(self) -> Any:
        hello = hibiscuspin_pb2.Hello(
            instance=self._instance, data_centre=self._data_centre
        )
        return Update(hello=hello)

    def _greet(self, link: Link) -> None:
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
            # The wall clock went back over a restart.
            self._incarnation = snapshot.revision.incarnation + 1
            self._renumber()
            return
        with self._lock:
            accepted = self._table.add_if_newer(snapshot)
        if accepted:
            self._pass_on(snapshot, link)
            self._handler_executor.submit(self._handle, snapshot)

    def _renumber(self) -> None:
        with self._lock:
            held = [
                s for s in self._table.all() if s.key.origin == self._instance
            ]
        for snapshot in held:
            self.publish(snapshot.key.topic, snapshot.body)

    def _handle(self, snapshot: Snapshot) -> None:
        topic, origin = snapshot.key
        if origin == self._instance:
            return
        for handler in self._handlers_by_topic.get(topic, ()):
            try:
                handler(origin, snapshot.body)
            except Exception:
                _log.exception("Handler failed.", extra={"topic": topic})

    def _pass_on(self, snapshot: Snapshot, source: Link | None) -> None:
        local = is_data_centre_topic(snapshot.key.topic)
        for link in self._links.all():
            if link is not source and (not local or self._is_local(link)):
                link.enqueue(snapshot)

    def _send_revisions(
        self, link: Link, buckets: list[int], *, reply: bool
    ) -> None:
        with self._lock:
            held = self._table.revisions(buckets)
        revisions = [
            hibiscuspin_pb2.Revision(**key._asdict(), **revision._asdict())
            for key, revision in held.items()
        ]
        message = hibiscuspin_pb2.Revisions(
            buckets=buckets, revisions=revisions, reply=reply
        )
        link.send(Update(revisions=message))

    def _send_newer(self, link: Link, message: Any) -> None:
        theirs = {
            Key(r.topic, r.origin): Revision(r.incarnation, r.number)
            for r in message.revisions
        }
        buckets = list(message.buckets)
        with self._lock:
            missing = self._table.newer_than(buckets, theirs)
        for snapshot in missing:
            if not is_data_centre_topic(snapshot.key.topic) or self._is_local(
                link
            ):
                link.enqueue(snapshot)
        if message.reply:
            self._send_revisions(link, buckets, reply=False)

    def _is_local(self, link: Link) -> bool:
        return link.data_centre == self._data_centre
