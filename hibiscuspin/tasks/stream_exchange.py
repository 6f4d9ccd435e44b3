"""Tells other instances which software began each stream.

Load pattern: an instance ends while its streams run, and within a second their
callers take them up again at the other instances. Each must know what began a
stream, or must not continue it.
"""

import threading
from concurrent.futures import ThreadPoolExecutor, as_completed

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.decisions.software import Software
from hibiscuspin.errors import HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.rpc import (
    PeerCallHandler,
    PeerHttpClient,
    PeerUnreachableError,
)
from hibiscuspin.tasks.instances import Instances
from hibiscuspin.tasks.peer_targets import peer_target_name
from hibiscuspin.tasks.report_exchange import RETRY_PERIOD_S, ReportExchange
from hibiscuspin.tasks.stream_origins import StreamOrigins

__all__ = ["StreamExchange"]

FIND_METHOD = "streams.find"
FIND_TIMEOUT_S = 0.3
MAX_PARALLEL_FINDS = 16
# How many instances are asked for a stream, this data centre's first.
MAX_ASKED = 64
# How many are told of it, in this data centre and elsewhere. Callers come back
# to the same data centre unless it is lost.
MAX_TOLD_NEAR = 6
MAX_TOLD_ELSEWHERE = 3
# Streams that begin within this time are told in one call.
BATCH_PERIOD_S = 0.005
IDLE_PERIOD_S = 5.0
DROP_PERIOD_S = 1.0
# How long a first event may wait until another instance knows of its stream.
ACKNOWLEDGEMENT_TIMEOUT_S = 0.05

_log = get_logger("live")


def _relayed_id(request_id: str, name: str) -> str:
    return f"{request_id} {name}"


class StreamExchange:
    """Tells others of streams, and asks them; a supervised task."""

    name = "stream origins"

    def __init__(
        self,
        origins: StreamOrigins,
        instances: Instances,
        peers: PeerHttpClient,
        clock: Clock,
    ) -> None:
        self._origins = origins
        self._instances = instances
        self._peers = peers
        self._clock = clock
        self._exchange = ReportExchange(
            "streams", origins, instances, peers, clock, self._recipients
        )
        self._executor = ThreadPoolExecutor(
            MAX_PARALLEL_FINDS, thread_name_prefix="find-stream"
        )

    def handlers(self) -> dict[str, PeerCallHandler]:
        """Returns the handlers of calls from other instances, by method."""
        return {**self._exchange.handlers(), FIND_METHOD: self._serve_find}

    def run(self, stop: threading.Event) -> None:
        """Tells others of streams until `stop` is set."""
        self._exchange.fetch(stop)
        drop_at = self._clock.monotonic()
        while not stop.is_set():
            self._origins.changed.wait(
                RETRY_PERIOD_S if self._exchange.has_pending else IDLE_PERIOD_S
            )
            self._origins.changed.clear()
            self._exchange.send()
            if self._clock.monotonic() >= drop_at:
                self._origins.drop_expired()
                drop_at = self._clock.monotonic() + DROP_PERIOD_S
            stop.wait(BATCH_PERIOD_S)
        self._exchange.shutdown()
        self._executor.shutdown()

    def interrupt(self) -> None:
        """Wakes `run` so that it notices the stop."""
        self._origins.changed.set()

    def record(
        self, request_id: str, software: Software, deadline: float
    ) -> None:
        """Records what began a stream; returns once another instance knows.

        If none answers in time, the event is delivered nonetheless. A caller
        that takes the stream up elsewhere is then refused.

        Args:
            request_id: The request whose response brings the first event.
            software: What generated it.
            deadline: When the caller stops waiting, in monotonic time.
        """
        self._origins.record(request_id, software, deadline)
        others = self._instances.others()
        if all(self._peers.is_suspect(member.address) for member in others):
            return
        if not self._origins.wait_acknowledged(
            request_id, ACKNOWLEDGEMENT_TIMEOUT_S
        ):
            _log.info(
                "Stream begins though no other instance has answered.",
                extra={"request_id": request_id, "others": len(others)},
            )

    def record_relayed(
        self, request_id: str, software: Software, deadline: float
    ) -> None:
        """Records what began a stream that goes on to another instance.

        Its response may be lost, and the stream then begins again elsewhere
        under the same request. Only the instance at which the caller is
        records the origin under the request itself.

        Args:
            request_id: The request, which another instance has sent.
            software: What generated the first event.
            deadline: When the caller stops waiting, in monotonic time.
        """
        name = peer_target_name(self._instances.member.name)
        self.record(_relayed_id(request_id, name), software, deadline)

    def find_relayed(self, request_id: str, name: str) -> Software | None:
        """Returns what began a stream through another instance.

        Args:
            request_id: The request.
            name: The name of that instance among the targets.
        """
        # Earlier builds record it under the request itself.
        return self.find(_relayed_id(request_id, name)) or self.find(request_id)

    def _recipients(self) -> list[LiveInstance]:
        own = self._instances.member.data_centre
        others = self._instances.others()
        near = [member for member in others if member.data_centre == own]
        elsewhere = [member for member in others if member.data_centre != own]
        return near[:MAX_TOLD_NEAR] + elsewhere[:MAX_TOLD_ELSEWHERE]

    def find(self, request_id: str) -> Software | None:
        """Returns what began a stream; asks others if this instance must.

        Args:
            request_id: The request whose response brought the first event.
        """
        software = self._origins.software_of(request_id)
        if software is not None or not request_id:
            return software
        members = self._instances.others()[:MAX_ASKED]
        futures = [
            self._executor.submit(self._ask, member, request_id)
            for member in members
        ]
        for future in as_completed(futures):
            if future.result():
                return self._origins.software_of(request_id)
        return None

    def _ask(self, member: LiveInstance, request_id: str) -> bool:
        """Asks an instance for a stream; returns whether it knows it."""
        body = request_id.encode()
        try:
            answer = self._peers.call(
                member.address, FIND_METHOD, body, FIND_TIMEOUT_S
            )
            self._origins.merge(answer, member.name)
        except (
            PeerUnreachableError,
            HibiscusError,
            msgspec.DecodeError,
        ) as error:
            _log.info(
                "Peer could not be asked for a stream.",
                extra={
                    "request_id": request_id,
                    "peer": member.name,
                    "reason": str(error),
                },
            )
            return False
        return self._origins.software_of(request_id) is not None

    def _serve_find(self, body: bytes) -> bytes:
        return self._origins.encode_one(body.decode(errors="replace"))
