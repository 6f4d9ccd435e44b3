"""Scoring of finished samples, with retries and a separate thread pool."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from hibiscuspin.clock import Clock
from hibiscuspin.edges import Scorer, TargetError
from hibiscuspin.edges.scorer import HttpScorer
from hibiscuspin.logs import get_logger

__all__ = ["MAX_BACKLOG", "Scoring"]

THREADS = 8
MAX_ATTEMPTS = 8
MAX_BACKLOG = 512
SCORE_TIMEOUT_S = 5.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

_log = get_logger("rollouts")


class Scoring:
    """Scores samples between generation and hand-over; thread-safe.

    Attributes:
        backlog: Samples that wait for their score or are being scored.
    """

    def __init__(
        self,
        clock: Clock,
        new_scorer: Callable[[str], Scorer] = HttpScorer.from_address,
    ) -> None:
        self._clock = clock
        self._new_scorer = new_scorer
        self._executor = ThreadPoolExecutor(
            THREADS, thread_name_prefix="scoring"
        )
        self._lock = threading.Lock()
        self._scorers_by_address: dict[str, Scorer] = {}
        self._stop = threading.Event()
        self.backlog = 0

    def score(
        self,
        address: str,
        request_id: str,
        prompt: str,
        text: str,
        on_scored: Callable[[float | None], None],
    ) -> None:
        """Queues a sample for scoring.

        Args:
            address: The scorer's address.
            request_id: The id of the sample's slot.
            prompt: The prompt.
            text: The generated text.
            on_scored: Called with the reward, or None if all attempts failed or
                scoring was stopped meanwhile; not called for samples that
                were still queued then.
        """
        with self._lock:
            self.backlog += 1
            if address not in self._scorers_by_address:
                self._scorers_by_address[address] = self._new_scorer(address)
            scorer = self._scorers_by_address[address]

        def run() -> None:
            reward = self._score_with_retries(scorer, request_id, prompt, text)
            with self._lock:
                self.backlog -= 1
            on_scored(reward)

        self._executor.submit(run)

    def stop(self) -> None:
        """Stops retries and waits for the calls in flight."""
        self._stop.set()
        self._executor.shutdown(cancel_futures=True)

    def _score_with_retries(
        self, scorer: Scorer, request_id: str, prompt: str, text: str
    ) -> float | None:
        backoff_s = INITIAL_BACKOFF_S
        for _ in range(MAX_ATTEMPTS):
            deadline = self._clock.monotonic() + SCORE_TIMEOUT_S
            try:
                return scorer.score(request_id, prompt, text, deadline)
            except TargetError:
                if self._stop.wait(backoff_s):
                    break
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        _log.warning(
            "Sample not scored: all attempts failed or scoring stopped."
        )
        return None
