"""Generation of one sample, on several engines in turn if it has to move.

The tokens of one request to an engine are a segment. They are kept only if it
is certain which weight version generated each of them.
"""

import threading
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.stragglers import Running
from hibiscuspin.edges import (
    Chunk,
    Engine,
    GenerateRequest,
    TargetError,
    Wait,
)
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.attempts import Attempt, AttemptLog, Cause
from hibiscuspin.tasks.meters import FREE, FREE_METER, Meter, Meters
from hibiscuspin.tasks.spend import Purpose
from hibiscuspin.tasks.targets import Targets

__all__ = ["Generated", "Rollout"]

STALL_S = 6.0
CALL_TIMEOUT_S = 1.0
RETRY_FIRST_S = 0.05
RETRY_MOST_S = 1.0
SEGMENT_TIMEOUT_S = 20.0


_log = get_logger("rollouts")


class Generated(NamedTuple):
    """A complete generation.

    Attributes:
        tokens: The tokens.
        versions: The weight version of each token.
        engine: The engine that ran the last segment.
    """

    tokens: list[str]
    versions: list[int]
    engine: str


class _MovedError(Exception):
    """The generation is to stop, or to continue on another engine."""


class _StaleError(Exception):
    """The engine serves a weight version that is too old."""


class Rollout:
    """The generation of one sample.

    `run` is called in a worker thread; other threads read the attributes once
    it has returned.

    Attributes:
        moves: How often the generation was moved on request.
        segments: How many requests were sent to engines.
        spent_by_cause: Generated tokens by the cause of their segment.
        wasted: Generated tokens that were discarded.
        token_s: Mean seconds between tokens of the last segment that ended.
    """

    def __init__(
        self,
        targets: Targets,
        attempts: AttemptLog,
        clock: Clock,
        team: str,
        request: GenerateRequest,
        least_version: Callable[[], int],
        stop: threading.Event,
        meters: Meters = FREE,
        trainer: str = "",
    ) -> None:
        self._targets = targets
        self._attempts = attempts
        self._clock = clock
        self._team = team
        self._request = request
        self._least_version = least_version
        self._stop = stop
        self._meters = meters
        self._trainer = trainer
        self._meter: Meter = FREE_METER
        self._move = threading.Event()
        self._tokens: list[str] = []
        self._versions: list[int] = []
        self._excluded: set[str] = set()
        self._first_token_at: float | None = None
        self._segment_tokens = 0
        self.moves = 0
        self.segments = 0
        self.spent_by_cause: Counter[str] = Counter()
        self.wasted = 0
        self.token_s: float | None = None

    def run(self) -> Generated | None:
        """Returns the generation, or None if it was stopped."""
        backoff_s = RETRY_FIRST_S
        cause: Cause = "first"
        while not self._stop.is_set():
            target = self._target()
            if target is None:
                self._stop.wait(backoff_s)
                backoff_s = min(RETRY_MOST_S, backoff_s * 2)
                continue
            following = self._try(target, cause)
            if following is None:
                self._targets.record_length(
                    self._request.model, len(self._tokens)
                )
                return Generated(self._tokens, self._versions, target)
            cause = following
            if cause != "resume":
                self._stop.wait(backoff_s)
                backoff_s = min(RETRY_MOST_S, backoff_s * 2)
        return None

    def running(self, key: int) -> Running | None:
        """Returns the progress of the present segment.

        Args:
            key: The key that identifies the generation to the caller.

        Returns:
            None before the segment's first token.
        """
        first_token_at = self._first_token_at
        if first_token_at is None:
            return None
        return Running(key, first_token_at, self._segment_tokens, self.moves)

    def move(self) -> None:
        """Requests that the generation continue on another engine."""
        self._move.set()

    def _target(self) -> str | None:
        model, prompt = self._request.model, self._request.prompt
        target = self._targets.choose_rollout_engine(
            model, self._excluded, prompt
        )
        if target is None and self._excluded:
            self._excluded.clear()
            target = self._targets.choose_rollout_engine(model, (), prompt)
        return target

    def _try(self, target: str, cause: Cause) -> Cause | None:
        """Runs one segment; returns the next one's cause, None if complete."""
        self._drop_stale()
        self._move.clear()
        chunks: list[Chunk] = []
        started_at_s = self._clock.wall()
        error: ErrorKind | None = ErrorKind.CANCELLED
        following: Cause | None = None
        try:
            with self._targets.open_rollout(target, self._move):
                self._paid_segment(target, cause, chunks)
            self._targets.record_success(target)
            error = None
        except TargetError as raised:
            _log.warning(
                "Segment of a rollout failed on an engine.",
                extra={"target": target},
            )
            error = ErrorKind.TARGET_FAILED
            following = "retry"
            if not raised.refused:
                self._targets.record_failure(target, silent=raised.silent)
        except HibiscusError as refused:
            error = refused.kind
            following = "retry"
        except _MovedError:
            self.moves += 1
            following = "resume"
        except _StaleError:
            following = "stale"
        finally:
            self._first_token_at = None
            self.spent_by_cause[cause] += len(chunks)
            self._attempts.record(
                Attempt(
                    request_id=self._request.request_id,
                    team=self._team,
                    path="rollout",
                    cause=cause,
                    target=target,
                    started_at_s=started_at_s,
                    seconds=self._clock.wall() - started_at_s,
                    tokens=len(chunks),
                    error=error,
                )
            )
        if following is not None:
            self._excluded.add(target)
        return following

    def _paid_segment(
        self, target: str, cause: Cause, chunks: list[Chunk]
    ) -> None:
        purpose = Purpose(self._team, self._trainer, cause)
        first = len(self._tokens)
        request = self._request._replace(prefix=tuple(self._tokens))
        self._meter = self._meters.start(purpose, request, target)
        try:
            self._segment(target, chunks)
        finally:
            self._meter.end(first + len(chunks))

    def _segment(self, target: str, chunks: list[Chunk]) -> None:
        engine = self._targets.engine(target)
        declared = self._targets.target(target)
        if declared.get("tags_versions", False):
            try:
                self._stream(engine, chunks)
            finally:
                self._keep([(c.token, c.version) for c in chunks])
            return
        before = engine.weights(self._soon()).current
        if before < self._least_version():
            raise _StaleError
        try:
            self._stream(engine, chunks)
        finally:
            self._keep_untagged(engine, before, chunks)

    def _keep_untagged(
        self, engine: Engine, before: int, chunks: list[Chunk]
    ) -> None:
        """Keeps the tokens if the engine served one version throughout.

        Raises:
            TargetError: The version changed or could not be read; the
                segment's tokens are discarded.
        """
        try:
            after = engine.weights(self._soon()).current
        except TargetError:
            self.wasted += len(chunks)
            raise
        if after != before:
            self.wasted += len(chunks)
            raise TargetError(
                f"weights changed from version {before} to {after} during "
                "an untagged stream",
                sent=True,
            )
        self._keep([(chunk.token, before) for chunk in chunks])

    def _stream(self, engine: Engine, chunks: list[Chunk]) -> None:
        self.segments += 1
        request = self._request._replace(
            request_id=f"{self._request.request_id}.{self.segments}",
            prefix=tuple(self._tokens),
        )
        deadline = self._clock.monotonic() + SEGMENT_TIMEOUT_S
        self._segment_tokens = 0
        wait = Wait(deadline, STALL_S, self._check_moved)
        try:
            for batch in engine.generate(request, wait):
                for chunk in batch:
                    self._take(chunk, chunks)
                self._check_moved()
                self._meter.cover(len(self._tokens) + len(chunks))
        except (TargetError, _MovedError, _StaleError, HibiscusError):
            self._cancel(engine, request.request_id)
            raise
        self._note_end()

    def _take(self, chunk: Chunk, chunks: list[Chunk]) -> None:
        if chunk.position != len(self._tokens) + len(chunks):
            raise TargetError(
                f"token {chunk.position} received, "
                f"{len(self._tokens) + len(chunks)} expected",
                sent=True,
            )
        version = chunk.version
        if version is not None and version < self._least_version():
            self.wasted += 1
            raise _StaleError
        chunks.append(chunk)
        self._note_token()

    def _check_moved(self) -> None:
        if self._stop.is_set() or self._move.is_set():
            raise _MovedError

    def _note_token(self) -> None:
        self._segment_tokens += 1
        if self._first_token_at is None:
            self._first_token_at = self._clock.monotonic()

    def _note_end(self) -> None:
        if self._first_token_at is None or self._segment_tokens < 2:
            return
        took_s = self._clock.monotonic() - self._first_token_at
        self.token_s = took_s / (self._segment_tokens - 1)

    def _keep(self, produced: list[tuple[str, int | None]]) -> None:
        for token, version in produced:
            if version is None:
                raise TargetError(
                    f"token {len(self._tokens)} has no version", sent=True
                )
            self._tokens.append(token)
            self._versions.append(version)

    def _drop_stale(self) -> None:
        if self._versions and min(self._versions) < self._least_version():
            self.wasted += len(self._tokens)
            self._tokens = []
            self._versions = []

    def _cancel(self, engine: Engine, request_id: str) -> None:
        try:
            engine.cancel(request_id, self._soon())
        except TargetError:
            _log.warning("Request of a rollout not cancelled on its engine.")

    def _soon(self) -> float:
        return self._clock.monotonic() + CALL_TIMEOUT_S
