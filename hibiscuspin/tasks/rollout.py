"""Generation of one sample, on several engines in turn if it has to move.

The tokens of one request to an engine are a segment. They are kept only if it
is certain which weight version generated each of them.
"""

import threading
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.stragglers import RunningGeneration
from hibiscuspin.edges import (
    Engine,
    GenerateRequest,
    TargetError,
    TokenChunk,
    WaitLimits,
)
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.attempts import Attempt, AttemptCause, AttemptLog
from hibiscuspin.tasks.meters import NO_OP_METER, NO_OP_METERS, Meter, Meters
from hibiscuspin.tasks.spend import Purpose
from hibiscuspin.tasks.targets import Targets

__all__ = ["CompleteGeneration", "Rollout"]

STALL_TIMEOUT_S = 6.0
CALL_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
SEGMENT_TIMEOUT_S = 20.0


_log = get_logger("rollouts")


class CompleteGeneration(NamedTuple):
    """A complete generation.

    Attributes:
        tokens: The tokens.
        versions: The weight version of each token.
        engine: The engine that ran the last segment.
    """

    tokens: list[str]
    versions: list[int]
    engine: str


class _SegmentInterruptedError(Exception):
    """The generation is to stop, or to continue on another engine."""


class _StaleVersionError(Exception):
    """The engine serves a weight version that is too old."""


class Rollout:
    """The generation of one sample.

    `run` works in a worker thread; other threads may call `progress` and
    `request_move` meanwhile.

    Attributes:
        moves: How often the generation was moved on request.
        segments: How many requests were sent to engines.
        tokens_by_cause: Generated tokens by the cause of their segment.
        wasted: Generated tokens that were discarded.
        token_s: Mean seconds between tokens of the last segment whose stream
            ended normally.
    """

    def __init__(
        self,
        targets: Targets,
        attempts: AttemptLog,
        clock: Clock,
        team: str,
        request: GenerateRequest,
        oldest_allowed_version: Callable[[], int],
        stop: threading.Event,
        meters: Meters = NO_OP_METERS,
        trainer: str = "",
    ) -> None:
        self._targets = targets
        self._attempts = attempts
        self._clock = clock
        self._team = team
        self._request = request
        self._oldest_allowed_version = oldest_allowed_version
        self._stop = stop
        self._meters = meters
        self._trainer = trainer
        self._meter: Meter = NO_OP_METER
        self._move_requested = threading.Event()
        self._tokens: list[str] = []
        self._versions: list[int] = []
        self._excluded_targets: set[str] = set()
        self._first_token_at: float | None = None
        self._segment_tokens = 0
        self.moves = 0
        self.segments = 0
        self.tokens_by_cause: Counter[str] = Counter()
        self.wasted = 0
        self.token_s: float | None = None

    def run(self) -> CompleteGeneration | None:
        """Returns the generation, or None if it was stopped."""
        backoff_s = INITIAL_BACKOFF_S
        cause: AttemptCause = "first"
        while not self._stop.is_set():
            target = self._choose_target()
            if target is None:
                self._stop.wait(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                continue
            next_cause = self._run_segment(target, cause)
            if next_cause is None:
                self._targets.record_response_length(
                    self._request.model, len(self._tokens)
                )
                return CompleteGeneration(self._tokens, self._versions, target)
            cause = next_cause
            if cause != "resume":
                self._stop.wait(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        return None

    def progress(self, key: int) -> RunningGeneration | None:
        """Returns the progress of the current segment.

        Args:
            key: The key that identifies the generation to the caller.

        Returns:
            None before the segment's first token.
        """
        first_token_at = self._first_token_at
        if first_token_at is None:
            return None
        return RunningGeneration(
            key, first_token_at, self._segment_tokens, self.moves
        )

    def request_move(self) -> None:
        """Requests that the generation continue on another engine."""
        self._move_requested.set()

    def _choose_target(self) -> str | None:
        model, prompt = self._request.model, self._request.prompt
        target = self._targets.choose_rollout_engine(
            model, self._excluded_targets, prompt
        )
        if target is None and self._excluded_targets:
            self._excluded_targets.clear()
            target = self._targets.choose_rollout_engine(model, (), prompt)
        return target

    def _run_segment(
        self, target: str, cause: AttemptCause
    ) -> AttemptCause | None:
        """Runs one segment; returns the next one's cause, None if complete."""
        self._discard_stale_tokens()
        self._move_requested.clear()
        chunks: list[TokenChunk] = []
        started_at_s = self._clock.wall()
        error: ErrorKind | None = ErrorKind.CANCELLED
        next_cause: AttemptCause | None = None
        try:
            with self._targets.track_rollout(target, self._move_requested):
                self._generate_metered(target, cause, chunks)
            self._targets.record_success(target)
            error = None
        except TargetError as raised:
            _log.warning(
                "Segment of a rollout failed on an engine.",
                extra={"target": target},
            )
            error = ErrorKind.TARGET_FAILED
            next_cause = "retry"
            if not raised.refused:
                self._targets.record_failure(target, silent=raised.silent)
        except HibiscusError as refused:
            error = refused.kind
            next_cause = "retry"
        except _SegmentInterruptedError:
            self.moves += 1
            next_cause = "resume"
        except _StaleVersionError:
            next_cause = "stale"
        finally:
            self._first_token_at = None
            self.tokens_by_cause[cause] += len(chunks)
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
        if next_cause is not None:
            self._excluded_targets.add(target)
        return next_cause

    def _generate_metered(
        self, target: str, cause: AttemptCause, chunks: list[TokenChunk]
    ) -> None:
        purpose = Purpose(self._team, self._trainer, cause)
        prefix_tokens = len(self._tokens)
        request = self._request._replace(prefix=tuple(self._tokens))
        self._meter = self._meters.start(purpose, request, target)
        try:
            self._generate_segment(target, chunks)
        finally:
            self._meter.end(prefix_tokens + len(chunks))

    def _generate_segment(self, target: str, chunks: list[TokenChunk]) -> None:
        engine = self._targets.engine(target)
        declared = self._targets.target(target)
        if declared.get("tags_versions", False):
            try:
                self._stream(engine, chunks)
            finally:
                self._append_tokens([(c.token, c.version) for c in chunks])
            return
        version_before = engine.fetch_weight_state(
            self._call_deadline()
        ).current
        if version_before < self._oldest_allowed_version():
            raise _StaleVersionError
        try:
            self._stream(engine, chunks)
        finally:
            self._append_untagged(engine, version_before, chunks)

    def _append_untagged(
        self, engine: Engine, version_before: int, chunks: list[TokenChunk]
    ) -> None:
        """Keeps the tokens if the engine served one version throughout.

        Raises:
            TargetError: The version changed or could not be read; the
                segment's tokens are discarded.
        """
        try:
            version_after = engine.fetch_weight_state(
                self._call_deadline()
            ).current
        except TargetError:
            self.wasted += len(chunks)
            raise
        if version_after != version_before:
            self.wasted += len(chunks)
            raise TargetError(
                f"weights changed from version {version_before} to "
                f"{version_after} during an untagged stream",
                sent=True,
            )
        self._append_tokens([(chunk.token, version_before) for chunk in chunks])

    def _stream(self, engine: Engine, chunks: list[TokenChunk]) -> None:
        self.segments += 1
        request = self._request._replace(
            request_id=f"{self._request.request_id}.{self.segments}",
            prefix=tuple(self._tokens),
        )
        deadline = self._clock.monotonic() + SEGMENT_TIMEOUT_S
        self._segment_tokens = 0
        wait = WaitLimits(deadline, STALL_TIMEOUT_S, self._raise_if_interrupted)
        try:
            for batch in engine.generate(request, wait):
                for chunk in batch:
                    self._accept_chunk(chunk, chunks)
                self._raise_if_interrupted()
                self._meter.ensure_reserved(len(self._tokens) + len(chunks))
        except (
            TargetError,
            _SegmentInterruptedError,
            _StaleVersionError,
            HibiscusError,
        ):
            self._cancel(engine, request.request_id)
            raise
        self._record_token_time()

    def _accept_chunk(
        self, chunk: TokenChunk, chunks: list[TokenChunk]
    ) -> None:
        if chunk.position != len(self._tokens) + len(chunks):
            raise TargetError(
                f"token {chunk.position} received, "
                f"{len(self._tokens) + len(chunks)} expected",
                sent=True,
            )
        version = chunk.version
        if version is not None and version < self._oldest_allowed_version():
            self.wasted += 1
            raise _StaleVersionError
        chunks.append(chunk)
        self._count_token()

    def _raise_if_interrupted(self) -> None:
        if self._stop.is_set() or self._move_requested.is_set():
            raise _SegmentInterruptedError

    def _count_token(self) -> None:
        self._segment_tokens += 1
        if self._first_token_at is None:
            self._first_token_at = self._clock.monotonic()

    def _record_token_time(self) -> None:
        if self._first_token_at is None or self._segment_tokens < 2:
            return
        elapsed_s = self._clock.monotonic() - self._first_token_at
        self.token_s = elapsed_s / (self._segment_tokens - 1)

    def _append_tokens(
        self, tagged_tokens: list[tuple[str, int | None]]
    ) -> None:
        for token, version in tagged_tokens:
            if version is None:
                raise TargetError(
                    f"token {len(self._tokens)} has no version", sent=True
                )
            self._tokens.append(token)
            self._versions.append(version)

    def _discard_stale_tokens(self) -> None:
        if (
            self._versions
            and min(self._versions) < self._oldest_allowed_version()
        ):
            self.wasted += len(self._tokens)
            self._tokens = []
            self._versions = []

    def _cancel(self, engine: Engine, request_id: str) -> None:
        try:
            engine.cancel(request_id, self._call_deadline())
        except TargetError:
            _log.warning("Request of a rollout not cancelled on its engine.")

    def _call_deadline(self) -> float:
        return self._clock.monotonic() + CALL_TIMEOUT_S
