"""Tells the coordinator, and its likely successor, of counted requests.

Load pattern: the coordinator is lost, or the instance that counted, within
seconds after a request. The first other instance in the rank order for the
duty has all records too, and a new coordinator asks all others for theirs.
"""

import threading
from collections.abc import Hashable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import msgspec

from hibiscuspin import rendezvous
from hibiscuspin.clock import Clock
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.errors import HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.metrics import Metrics
from hibiscuspin.peers.rpc import (
    PeerCallHandler,
    PeerHttpClient,
    PeerUnreachableError,
)
from hibiscuspin.tasks.instances import Instances
from hibiscuspin.tasks.report_exchange import RETRY_PERIOD_S, ReportExchange
from hibiscuspin.tasks.usage.records import UsageRecords
from hibiscuspin.tasks.usage.true_clock import TrueClock

__all__ = ["UsageExchange"]

FETCH_METHOD = "usage.fetch"
TIME_METHOD = "usage.time"
CALL_TIMEOUT_S = 0.5
MAX_PARALLEL_CALLS = 16
# Requests within this time are told in one call; they must be known elsewhere
# within 0.25 s.
BATCH_PERIOD_S = 0.1
IDLE_PERIOD_S = 0.5
FOLLOW_PERIOD_S = 1.0
# With this instance's own, an odd number of votes on the time.
VOTE_COUNT = 4
# An instance that knows no other one by then uses its own clock.
VOTE_TIMEOUT_S = 2.0
VOTE_PERIOD_S = 0.1
# How often others are asked again while the wall clock differs from true time,
# as the time may have been wrong when this instance started.
NEW_VOTE_PERIOD_S = 30.0
# How long a stopping instance waits until others have its last records.
FLUSH_TIMEOUT_S = 1.0
FLUSH_POLL_S = 0.02

_log = get_logger("usage")


class _TimeMessage(NamedTuple):
    """The time of an instance; `is_settled` says whether it was agreed."""

    true_time: float
    is_settled: bool


class UsageExchange:
    """Exchanges records and votes on the time; a supervised task.

    Attributes:
        true_clock: The time by which windows are counted.
        records: The records of this instance and of others.
    """

    name = "usage records"

    def __init__(
        self,
        true_clock: TrueClock,
        window_s: float,
        instances: Instances,
        peers: PeerHttpClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.true_clock = true_clock
        self._instances = instances
        self._peers = peers
        self._clock = clock
        self.records = UsageRecords(
            true_clock, window_s, metrics, self._recipient_keys
        )
        self._exchange = ReportExchange(
            "usage", self.records, instances, peers, clock, self._recipients
        )
        self._executor = ThreadPoolExecutor(
            MAX_PARALLEL_CALLS, thread_name_prefix="usage"
        )
        self._vote_at = 0.0

    def handlers(self) -> dict[str, PeerCallHandler]:
        """Returns the handlers of calls from other instances, by method."""
        return {**self._exchange.handlers(), TIME_METHOD: self._serve_time}

    def run(self, stop: threading.Event) -> None:
        """Tells others of requests until `stop` is set."""
        self._settle_time(stop)
        follow_at = self._clock.monotonic()
        while not stop.is_set():
            self.records.changed.wait(
                min(RETRY_PERIOD_S, IDLE_PERIOD_S)
                if self._exchange.has_pending
                else IDLE_PERIOD_S
            )
            self.records.changed.clear()
            stop.wait(BATCH_PERIOD_S)
            self._exchange.send()
            if self._clock.monotonic() >= follow_at:
                follow_at = self._clock.monotonic() + FOLLOW_PERIOD_S
                self.records.drop_expired()
                self._follow_time()
        self._flush()

    def interrupt(self) -> None:
        """Wakes `run` so that it notices the stop."""
        self.records.changed.set()

    def collect(self) -> None:
        """Asks all other instances for what they know; for a new holder."""
        members = self._instances.others()
        bodies = self._call_all(members, FETCH_METHOD)
        for name, body in bodies.items():
            try:
                self.records.merge(body, name)
            except msgspec.DecodeError as error:
                _log.warning(
                    "Ignoring malformed usage records.",
                    extra={"peer": name, "reason": str(error)},
                )
        _log.info(
            "Usage records collected.",
            extra={"asked": len(members), "answers": len(bodies)},
        )

    def _recipients(self) -> list[LiveInstance]:
        """Returns the coordinator and the first other one in its rank order."""
        others = {member.name: member for member in self._instances.others()}
        coordinator = self._instances.coordinator()
        ranked = [
            name
            for name in rendezvous.rank("coordinator", list(others))
            if name != coordinator
        ]
        names = [*([coordinator] if coordinator in others else []), *ranked[:1]]
        return [others[name] for name in names]

    def _recipient_keys(self) -> Hashable:
        # An instance that restarts has a new term and lost its records.
        return tuple((m.name, m.term) for m in self._recipients())

    def _flush(self) -> None:
        """Sends the last records before the instance ends."""
        self._exchange.send()
        give_up_at = self._clock.monotonic() + FLUSH_TIMEOUT_S
        wait = threading.Event()
        while (
            self._exchange.has_pending and self._clock.monotonic() < give_up_at
        ):
            wait.wait(FLUSH_POLL_S)
        self._exchange.shutdown()
        self._executor.shutdown()

    def _settle_time(self, stop: threading.Event) -> None:
        give_up_at = self._clock.monotonic() + VOTE_TIMEOUT_S
        while self._clock.monotonic() < give_up_at:
            if self._vote():
                return
            if stop.wait(VOTE_PERIOD_S):
                return
        self.true_clock.settle([])

    def _vote(self) -> bool:
        """Sets the time by the votes of others; returns whether any voted."""
        self._vote_at = self._clock.monotonic() + NEW_VOTE_PERIOD_S
        members = self._instances.others()[:VOTE_COUNT]
        votes = [
            vote
            for vote in self._executor.map(self._ask_time, members)
            if vote is not None
        ]
        if not votes:
            return False
        # Those that started earlier have agreed on it already.
        settled = [offset_s for offset_s, is_settled in votes if is_settled]
        self.true_clock.settle(settled or [row[0] for row in votes])
        return True

    def _ask_time(self, member: LiveInstance) -> tuple[float, bool] | None:
        """Returns the offset that an instance proposes; None if none."""
        asked_at = self._clock.monotonic()
        body = self._call(member, TIME_METHOD)
        if body is None:
            return None
        middle = (asked_at + self._clock.monotonic()) / 2
        try:
            answer = msgspec.msgpack.decode(body, type=_TimeMessage)
        except msgspec.DecodeError:
            return None
        return answer.true_time - middle, answer.is_settled

    def _follow_time(self) -> None:
        self.true_clock.follow()
        if (
            self.true_clock.is_stepped
            and self._clock.monotonic() >= self._vote_at
        ):
            self._vote()

    def _serve_time(self, body: bytes) -> bytes:
        clock = self.true_clock
        return msgspec.msgpack.encode(
            _TimeMessage(clock.now(), clock.is_settled)
        )

    def _call_all(
        self, members: list[LiveInstance], method: str
    ) -> dict[str, bytes]:
        bodies = self._executor.map(lambda m: self._call(m, method), members)
        return {
            member.name: body
            for member, body in zip(members, bodies, strict=True)
            if body is not None
        }

    def _call(self, member: LiveInstance, method: str) -> bytes | None:
        try:
            return self._peers.call(member.address, method, b"", CALL_TIMEOUT_S)
        except (PeerUnreachableError, HibiscusError) as error:
            _log.info(
                "Peer not asked for usage.",
                extra={
                    "peer": member.name,
                    "method": method,
                    "reason": str(error),
                },
            )
            return None
