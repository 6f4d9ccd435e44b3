"""One stream between two instances; both ends run the same code.

A link sends pending snapshots in batches, and a heartbeat if it has nothing
to send. Of several pending snapshots of one key, it sends only the newest.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, NamedTuple

from hibiscuspin.clock import monotonic
from hibiscuspin.decisions.snapshots import Key, Revision, Snapshot
from hibiscuspin.peers import hibiscuspin_pb2

__all__ = ["Link", "Traffic", "from_message", "to_message"]

HEARTBEAT_INTERVAL_S = 1.0
BATCH_DELAY_S = 0.1
MAX_BATCH_SNAPSHOTS = 256
FRAME_OVERHEAD_BYTES = 14

Update = hibiscuspin_pb2.Update


class Traffic(NamedTuple):
    """Messages and bytes on streams; bytes include the framing overhead."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0

    def plus_sent(self, update: Any) -> "Traffic":
        """Returns the counts with one more sent message."""
        return self._replace(
            messages_sent=self.messages_sent + 1,
            bytes_sent=self.bytes_sent
            + update.ByteSize()
            + FRAME_OVERHEAD_BYTES,
        )

    def plus_received(self, update: Any) -> "Traffic":
        """Returns the counts with one more received message."""
        size = update.ByteSize() + FRAME_OVERHEAD_BYTES
        return self._replace(
            messages_received=self.messages_received + 1,
            bytes_received=self.bytes_received + size,
        )

    def plus(self, other: "Traffic") -> "Traffic":
        """Returns the sum of two counts."""
        return Traffic(*map(sum, zip(self, other, strict=True)))


class Link:
    """This instance's end of a stream, which sends and receives messages.

    Attributes:
        instance: The peer's name, empty until its `Hello` arrives.
        data_centre: The peer's data centre.
        traffic: The traffic of this link.
        heard_at: When the last message arrived, on the monotonic clock.
    """

    def __init__(
        self,
        stream: Any,
        on_update: Callable[["Link", Any], None],
        on_hello: Callable[["Link"], None],
    ) -> None:
        self.instance = ""
        self.data_centre = ""
        self.heard_at = monotonic()
        self.traffic = Traffic()
        self._stream = stream
        self._on_update = on_update
        self._on_hello = on_hello
        self._wake = asyncio.Event()
        self._pending_by_key: dict[Key, Snapshot] = {}
        self._control_messages: list[Any] = []

    def enqueue(self, snapshot: Snapshot) -> None:
        """Queues a snapshot; it replaces a pending one of the same key."""
        self._pending_by_key[snapshot.key] = snapshot
        self._wake.set()

    def drop_known(self, snapshot: Snapshot) -> None:
        """Drops a pending snapshot if the peer has it or a newer one."""
        pending = self._pending_by_key.get(snapshot.key)
        if pending is not None and pending.revision <= snapshot.revision:
            del self._pending_by_key[snapshot.key]

    def send(self, update: Any) -> None:
        """Queues a message other than a snapshot."""
        self._control_messages.append(update)
        self._wake.set()

    async def run(self, hello: Any) -> None:
        """Sends and receives messages until the stream ends."""
        await self._stream.send_message(hello)
        writer = asyncio.ensure_future(self._write())
        try:
            await self._read()
        finally:
            writer.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await writer

    async def _read(self) -> None:
        async for update in self._stream:
            self.heard_at = monotonic()
            self.traffic = self.traffic.plus_received(update)
            kind = update.WhichOneof("body")
            if kind == "hello":
                self.instance = update.hello.instance
                self.data_centre = update.hello.data_centre
                self._on_hello(self)
            elif kind is not None and self.instance:
                self._on_update(self, update)

    async def _write(self) -> None:
        while True:
            # Not `wait_for`, which in Python 3.11 loses a cancellation that
            # arrives together with the event.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self._wake.wait()
                await asyncio.sleep(BATCH_DELAY_S)
            self._wake.clear()
            for update in self._take_queued():
                await self._stream.send_message(update)
                self.traffic = self.traffic.plus_sent(update)

    def _take_queued(self) -> list[Any]:
        updates, self._control_messages = self._control_messages, []
        pending = list(self._pending_by_key.values())
        self._pending_by_key.clear()
        for start in range(0, len(pending), MAX_BATCH_SNAPSHOTS):
            snapshots = pending[start : start + MAX_BATCH_SNAPSHOTS]
            batch = hibiscuspin_pb2.Batch(snapshots=map(to_message, snapshots))
            updates.append(Update(batch=batch))
        return updates or [Update()]


def to_message(snapshot: Snapshot) -> Any:
    """Converts a snapshot to its protobuf message."""
    return hibiscuspin_pb2.Snapshot(
        **snapshot.key._asdict(),
        **snapshot.revision._asdict(),
        body=snapshot.body,
    )


def from_message(message: Any) -> Snapshot:
    """Converts a protobuf message to a snapshot."""
    return Snapshot(
        Key(message.topic, message.origin),
        Revision(message.incarnation, message.number),
        message.body,
    )
