"""Watches whether this instance reaches any target."""

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import reach as decisions
from hibiscuspin.decisions.reach import Reach
from hibiscuspin.edges import TargetError
from hibiscuspin.logs import get_logger
from hibiscuspin.metrics import Metrics

__all__ = ["ProbedTarget", "ReachProbes", "TargetReach"]

PROBE_TIMEOUT_S = 0.3
PROBE_PERIOD_S = 0.25
PROBES_PER_ROUND = 3

_log = get_logger("targets")


class ProbedTarget(Protocol):
    """A target whose address can be tried."""

    @property
    def name(self) -> str:
        """The target's name."""

    def is_listening(self, deadline: float) -> bool:
        """Returns whether its address accepts a connection.

        Raises:
            TargetError: It neither accepted nor refused one.
        """


class TargetReach:
    """What answers and failures say of the links to targets; thread-safe.

    Attributes:
        in_doubt: Set while a target has not answered and none has since.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._reach = Reach()
        self._known = 0
        self.in_doubt = threading.Event()

    @property
    def is_doubtful(self) -> bool:
        """Whether requests should go through another instance."""
        return decisions.is_doubtful(self._reach)

    @property
    def is_isolated(self) -> bool:
        """Whether other instances should take jobs and duties over."""
        return decisions.is_isolated(self._reach, self._clock.monotonic())

    def needs_peer(self, last_sent_at: float | None, is_relayed: bool) -> bool:
        """Returns whether an attempt goes through another instance.

        Args:
            last_sent_at: When the last attempt of the request was sent; None
                before the first one.
            is_relayed: Whether the request came from another instance.
        """
        return decisions.needs_peer(self._reach, last_sent_at, is_relayed)

    def set_known(self, count: int) -> None:
        """Sets how many targets are known."""
        self._known = count

    def unanswered(self) -> frozenset[str]:
        """Returns the targets that did not answer since any one did."""
        return self._reach.unanswered

    def record_answer(self, *, new_connection: bool = False) -> None:
        """Records that a target answered, be it with a refusal.

        Args:
            new_connection: Whether it has accepted a new connection.
        """
        with self._lock:
            before = self._reach
            now = self._clock.monotonic()
            after = self._reach = decisions.after_answer(
                before, now, new_connection=new_connection
            )
            if after.doubtful_since is None:
                self.in_doubt.clear()
        if before.doubtful_since is not None and after.doubtful_since is None:
            self._metrics.targets_reached.set(1)
            _log.info(
                "Targets are reached again.",
                extra={
                    "for_s": round(now - before.doubtful_since, 3),
                    "unanswered": sorted(before.unanswered),
                },
            )

    def record_unanswered(self, target: str, sent_at: float) -> None:
        """Records that a target did not answer.

        Args:
            target: The target.
            sent_at: When it was tried, in monotonic time. An answer of any
                target since then says that this one is at fault.
        """
        with self._lock:
            before = self._reach
            if before.answered_at >= sent_at:
                return
            now = self._clock.monotonic()
            self._reach = decisions.after_unanswered(
                before, target, self._known, now
            )
            after = self._reach
            self.in_doubt.set()
        if before.doubtful_since is None and after.doubtful_since is not None:
            self._metrics.targets_reached.set(0)
            _log.warning(
                "No target is reached; the links of this instance are at "
                "fault.",
                extra={
                    "unanswered": sorted(after.unanswered),
                    "known": self._known,
                    "answer_age_s": round(now - after.answered_at, 3),
                },
            )


class ReachProbes:
    """Tries targets while the reach is in doubt; a supervised task."""

    name = "target reach"

    def __init__(
        self,
        reach: TargetReach,
        candidates: Callable[[], Sequence[ProbedTarget]],
        clock: Clock,
    ) -> None:
        """Creates the task.

        Args:
            reach: Where answers are recorded.
            candidates: Returns the targets that accept work.
            clock: The time source.
        """
        self._reach = reach
        self._candidates = candidates
        self._clock = clock
        self._round = 0
        self._executor = ThreadPoolExecutor(
            PROBES_PER_ROUND, thread_name_prefix="reach"
        )

    def run(self, stop: threading.Event) -> None:
        """Probes while the reach is in doubt, until `stop` is set."""
        while not stop.is_set():
            if not self._reach.in_doubt.wait(PROBE_PERIOD_S):
                continue
            list(self._executor.map(self._probe, self._next_targets()))
            stop.wait(PROBE_PERIOD_S)
        self._executor.shutdown()

    def _next_targets(self) -> Sequence[ProbedTarget]:
        """Returns other targets in each round, untried ones first."""
        self._round += 1
        unanswered = self._reach.unanswered()
        targets = sorted(self._candidates(), key=lambda target: target.name)
        if not targets:
            return ()
        first = self._round * PROBES_PER_ROUND % len(targets)
        targets = targets[first:] + targets[:first]
        targets.sort(key=lambda target: target.name in unanswered)
        return targets[:PROBES_PER_ROUND]

    def _probe(self, target: ProbedTarget) -> None:
        sent_at = self._clock.monotonic()
        try:
            is_listening = target.is_listening(sent_at + PROBE_TIMEOUT_S)
        except TargetError as error:
            is_listening = False
            _log.debug(
                "Target not reached by a probe.",
                extra={"target": target.name, "reason": str(error)},
            )
        if is_listening:
            self._reach.record_answer(new_connection=True)
        else:
            self._reach.record_unanswered(target.name, sent_at)
