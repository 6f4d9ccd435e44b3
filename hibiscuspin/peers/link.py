"""One stream between two instances, the same at both ends.

A link sends what is pending in batches and a heartbeat when nothing is. Of
several snapshots of one key that wait, only the newest is sent.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, NamedTuple

from hibiscuspin.clock import monotonic
from hibiscuspin.decisions.snapshots import Key, Revision, Snapshot
from hibiscuspin.peers import hibiscuspin_pb2

__all__ = ["Link", "Traffic", "from_message", "to_message"]

HEARTBEAT_S = 1.0
BATCH_S = 0.1
BATCH_LENGTH = 256
FRAME_BYTES = 14

Update = hibiscuspin_pb2.Update


class Traffic(NamedTuple):
    """What went over streams; bytes count messages and their frames."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0

    def plus_sent(self, update: Any) -> "Traffic":
        """Returns the counts after one message was sent."""
        return self._replace(
            messages_sent=self.messages_sent + 1,
            bytes_sent=self.bytes_sent + update.ByteSize() + FRAME_BYTES,
        )

    def plus_received(self, update: Any) -> "Traffic":
        """Returns the counts after one message was received."""
        size = update.ByteSize() + FRAME_BYTES
        return self._replace(
            messages_received=self.messages_received + 1,
            bytes_received=self.bytes_received + size,
        )

    def plus(self, other: "Traffic") -> "Traffic":
        """Returns the sum of two counts."""
        return Traffic(*map(sum, zip(self, other, strict=True)))


class Link:
    """The sending and hearing half of one stream.

    Attributes:
        instance: The peer's name, empty until its `Hello` came.
        data_centre: The peer's data centre.
        traffic: What went over this link.
        heard_at: When the last message came, on the monotonic clock.
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
        self._control: list[Any] = []

    def enqueue(self, snapshot: Snapshot) -> None:
        """Queues a snapshot in place of an older one of its key."""
        self._pending_by_key[snapshot.key] = snapshot
        self._wake.set()

    def drop_known(self, snapshot: Snapshot) -> None:
        """Drops a pending snapshot that the peer has shown to know."""
        pending = self._pending_by_key.get(snapshot.key)
        if pending is not None and pending.revision <= snapshot.revision:
            del self._pending_by_key[snapshot.key]

    def send(self, update: Any) -> None:
        """Queues a message that is no snapshot."""
        self._control.append(update)
        self._wake.set()

    async def run(self, hello: Any) -> None:
        """Talks until the stream ends."""
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
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), HEARTBEAT_S)
                await asyncio.sleep(BATCH_S)
            self._wake.clear()
            for update in self._take():
                await self._stream.send_message(update)
                self.traffic = self.traffic.plus_sent(update)

    def _take(self) -> list[Any]:
        updates, self._control = self._control, []
        pending = list(self._pending_by_key.values())
        self._pending_by_key.clear()
        for start in range(0, len(pending), BATCH_LENGTH):
            part = pending[start : start + BATCH_LENGTH]
            batch = hibiscuspin_pb2.Batch(snapshots=map(to_message, part))
            updates.append(Update(batch=batch))
        return updates or [Update()]


def to_message(snapshot: Snapshot) -> Any:
    """Returns the wire form of a snapshot."""
    return hibiscuspin_pb2.Snapshot(
        **snapshot.key._asdict(),
        **snapshot.revision._asdict(),
        body=snapshot.body,
    )


def from_message(message: Any) -> Snapshot:
    """Returns the snapshot of a wire form."""
    return Snapshot(
        Key(message.topic, message.origin),
        Revision(message.incarnation, message.number),
        message.body,
    )
