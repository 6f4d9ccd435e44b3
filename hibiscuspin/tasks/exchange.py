"""Collects the metrics and attempts of all instances.

Each instance publishes a snapshot periodically, which its peers keep after it
has gone; a report requests a fresh one from each live peer.
"""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypedDict

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.hub import PeerError, PeerHub
from hibiscuspin.report.snapshot import MeasurementSnapshot
from hibiscuspin.tasks.attempts import Attempt, AttemptLog
from hibiscuspin.tasks.measures import Measures

__all__ = ["MetricsExchange", "InstanceStatus"]

SNAPSHOT_TOPIC = "metrics"
SNAPSHOT_METHOD = "snapshot"
ATTEMPTS_METHOD = "attempts"
STATUS_METHOD = "status"
PUBLISH_PERIOD_S = 60.0
CALL_TIMEOUT_S = 2.0
MAX_PARALLEL_CALLS = 16

_log = get_logger("daemon")


class InstanceStatus(TypedDict):
    """The status of one instance; revision 0 means no configuration."""

    instance: str
    data_centre: str
    state: str
    revision: int


class MetricsExchange:
    """Publishes this instance's metrics and collects those of others."""

    name = "exchange"

    def __init__(
        self,
        instance: str,
        hub: PeerHub,
        measures: Measures,
        attempts: AttemptLog,
        status: Callable[[], InstanceStatus],
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._hub = hub
        self._measures = measures
        self._attempts = attempts
        self._status = status
        self._clock = clock
        self._lock = threading.Lock()
        self._snapshots_by_instance: dict[str, MeasurementSnapshot] = {}
        hub.subscribe(SNAPSHOT_TOPIC, self._store_snapshot)
        hub.serve(SNAPSHOT_METHOD, lambda _: measures.snapshot().encode())
        hub.serve(STATUS_METHOD, lambda _: msgspec.json.encode(status()))
        hub.serve(ATTEMPTS_METHOD, self._own_attempts)

    def run(self, stop: threading.Event) -> None:
        """Publishes periodically until `stop` is set, then once more."""
        while not stop.wait(PUBLISH_PERIOD_S):
            self._publish()
        self._publish()

    def snapshots(self) -> list[MeasurementSnapshot]:
        """Returns the newest snapshot of each instance, this one first.

        For an instance that does not respond, that is the one it published
        last.
        """
        self.fetch_snapshots()
        with self._lock:
            others = list(self._snapshots_by_instance.values())
        return [self._measures.snapshot(), *others]

    def fetch_snapshots(self) -> list[MeasurementSnapshot]:
        """Fetches a new snapshot from each other instance that responds."""
        responses = self._call_peers(SNAPSHOT_METHOD, b"")
        for instance, body in responses.items():
            self._store_snapshot(instance, body)
        return [MeasurementSnapshot.decode(body) for body in responses.values()]

    def statuses(self) -> list[InstanceStatus]:
        """Returns the status of all live instances, sorted by name."""
        responses = self._call_peers(STATUS_METHOD, b"")
        responses[self._instance] = msgspec.json.encode(self._status())
        return [
            msgspec.json.decode(responses[record.name], type=InstanceStatus)
            if record.name in responses
            else {
                "instance": record.name,
                "data_centre": record.data_centre,
                "state": "unreachable",
                "revision": 0,
            }
            for record in sorted(self._hub.instances())
        ]

    def attempts(self, request_id: str) -> dict[str, list[Attempt]]:
        """Returns a request's attempts, by the instance that made them.

        Instances without attempts of this request are left out.
        """
        body = request_id.encode()
        responses = self._call_peers(ATTEMPTS_METHOD, body)
        responses[self._instance] = self._own_attempts(body)
        decoded = {
            instance: msgspec.json.decode(response, type=list[Attempt])
            for instance, response in responses.items()
        }
        return {
            name: attempts for name, attempts in decoded.items() if attempts
        }

    def _publish(self) -> None:
        self._hub.publish(SNAPSHOT_TOPIC, self._measures.snapshot().encode())

    def _store_snapshot(self, origin: str, body: bytes) -> None:
        snapshot = MeasurementSnapshot.decode(body)
        with self._lock:
            known = self._snapshots_by_instance.get(origin)
            if known is None or known.taken_at_s <= snapshot.taken_at_s:
                self._snapshots_by_instance[origin] = snapshot

    def _own_attempts(self, body: bytes) -> bytes:
        return msgspec.json.encode(self._attempts.by_request(body.decode()))

    def _call_peers(self, method: str, body: bytes) -> dict[str, bytes]:
        """Calls all live peers in parallel; omits those that fail."""
        peers = [
            record.name
            for record in self._hub.instances()
            if record.name != self._instance
        ]
        if not peers:
            return {}
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        responses: dict[str, bytes] = {}

        def call_peer(peer: str) -> None:
            try:
                responses[peer] = self._hub.call(peer, method, body, deadline)
            except PeerError:
                _log.warning(
                    "Peer did not respond to a query for metrics, status or "
                    "attempts.",
                    extra={"peer": peer},
                )

        with ThreadPoolExecutor(
            min(MAX_PARALLEL_CALLS, len(peers))
        ) as executor:
            list(executor.map(call_peer, peers))
        return responses
