"""Which software began each stream that its caller may take up again."""

import threading
from collections.abc import Collection
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.software import Software
from hibiscuspin.logs import get_logger

__all__ = ["StreamOrigins"]

MAX_RECORDS = 50_000
# Bounds the value in the store to some 60 kB.
MAX_STORED_RECORDS = 1_000
# A caller takes its stream up again before its deadline.
DEADLINE_MARGIN_S = 5.0

_log = get_logger("live")


class _Origin(NamedTuple):
    """What began a stream, and when nobody asks for it any more."""

    software: Software
    expires_at: float


class _OriginMessage(NamedTuple):
    """A record with a remaining time, as instances have no common clock."""

    request_id: str
    software: Software
    remaining_s: float


class StreamOrigins:
    """The origin of each stream by the id of its first request; thread-safe.

    An origin never changes: the request whose response brought the first
    event reaches one instance only.

    Attributes:
        changed: Set when other instances are to be told of a stream.
        unsaved: Set when a stream of this instance is to be stored.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._origin_by_request: dict[str, _Origin] = {}
        self._unreported: list[str] = []
        self._unacknowledged: set[str] = set()
        self._acknowledged = threading.Condition(self._lock)
        # Those that this instance recorded, also before its latest start.
        self._own: set[str] = set()
        self.changed = threading.Event()
        self.unsaved = threading.Event()

    def software_of(self, request_id: str) -> Software | None:
        """Returns what began a stream; None if this instance doesn't know."""
        origin = self._origin_by_request.get(request_id)
        return origin.software if origin is not None else None

    def record(
        self, request_id: str, software: Software, deadline: float
    ) -> None:
        """Records what brought a stream's first event.

        Args:
            request_id: The request whose response the event belongs to.
            software: What generated the event.
            deadline: When the caller stops waiting, in monotonic time.
        """
        with self._lock:
            self._origin_by_request[request_id] = _Origin(
                software, deadline + DEADLINE_MARGIN_S
            )
            self._unreported.append(request_id)
            self._unacknowledged.add(request_id)
            self._own.add(request_id)
        self.changed.set()
        self.unsaved.set()

    def wait_acknowledged(self, request_id: str, timeout_s: float) -> bool:
        """Waits until another instance knows a stream's origin.

        Returns:
            Whether one does.
        """
        with self._acknowledged:
            return self._acknowledged.wait_for(
                lambda: request_id not in self._unacknowledged, timeout_s
            )

    def on_acknowledged(self, body: bytes) -> None:
        """Wakes the streams whose origin another instance knows now."""
        messages = msgspec.msgpack.decode(body, type=list[_OriginMessage])
        with self._acknowledged:
            self._unacknowledged.difference_update(
                message.request_id for message in messages
            )
            self._acknowledged.notify_all()

    def take_unreported(self) -> bytes | None:
        """Returns the origins that others are to be told; None for none."""
        with self._lock:
            request_ids, self._unreported = self._unreported, []
            return self._encode(request_ids) if request_ids else None

    def encode_all(self) -> bytes:
        """Returns all origins, encoded."""
        with self._lock:
            return self._encode(self._origin_by_request)

    def encode_own(self) -> bytes:
        """Returns the origins that this instance recorded, encoded.

        These are the newest of too many.
        """
        with self._lock:
            own = [i for i in self._own if i in self._origin_by_request]
            own.sort(key=lambda i: self._origin_by_request[i].expires_at)
            return self._encode(own[-MAX_STORED_RECORDS:])

    def restore(self, body: bytes, age_s: float) -> int:
        """Adds what this instance recorded before its latest start.

        Args:
            body: What `encode_own` returned.
            age_s: How long ago that was.

        Returns:
            How many of the origins have not expired.

        Raises:
            msgspec.DecodeError: The body is malformed.
        """
        now = self._clock.monotonic()
        messages = [
            message
            for message in msgspec.msgpack.decode(
                body, type=list[_OriginMessage]
            )
            if message.remaining_s > age_s
        ]
        with self._lock:
            for message in messages:
                known = _Origin(
                    message.software, now + message.remaining_s - age_s
                )
                self._origin_by_request.setdefault(message.request_id, known)
                self._own.add(message.request_id)
        return len(messages)

    def encode_one(self, request_id: str) -> bytes:
        """Returns the origin of one stream, encoded; an empty list for none."""
        with self._lock:
            return self._encode([request_id])

    def _encode(self, request_ids: Collection[str]) -> bytes:
        now = self._clock.monotonic()
        return msgspec.msgpack.encode(
            [
                _OriginMessage(
                    request_id, origin.software, origin.expires_at - now
                )
                for request_id in request_ids
                if (origin := self._origin_by_request.get(request_id))
            ]
        )

    def merge(self, body: bytes, origin: str) -> None:
        """Adds what another instance knows.

        Raises:
            msgspec.DecodeError: The body is malformed.
        """
        now = self._clock.monotonic()
        messages = msgspec.msgpack.decode(body, type=list[_OriginMessage])
        with self._lock:
            for message in messages:
                known = _Origin(message.software, now + message.remaining_s)
                self._origin_by_request.setdefault(message.request_id, known)
        _log.debug(
            "Learned of streams of another instance.",
            extra={"peer": origin, "count": len(messages)},
        )

    def drop_expired(self) -> None:
        """Drops expired origins, and the oldest of too many."""
        now = self._clock.monotonic()
        with self._lock:
            kept = sorted(
                (
                    (request_id, origin)
                    for request_id, origin in self._origin_by_request.items()
                    if origin.expires_at > now
                ),
                key=lambda row: row[1].expires_at,
            )
            self._origin_by_request = dict(kept[-MAX_RECORDS:])
            self._unacknowledged.intersection_update(self._origin_by_request)
            self._own.intersection_update(self._origin_by_request)
