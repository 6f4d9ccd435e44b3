"""Live generation over one or more engines, complete and in order."""

import secrets
import time
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import streams
from hibiscuspin.decisions.streams import (
    GenerationStatus,
    StallAction,
    StreamState,
    TokenAction,
)
from hibiscuspin.edges import (
    GenerateRequest,
    TargetError,
    TokenChunk,
    WaitLimits,
)
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.admission import Admission
from hibiscuspin.tasks.attempts import Attempt, AttemptCause, AttemptLog
from hibiscuspin.tasks.cancels import CancelQueue
from hibiscuspin.tasks.meters import NO_OP_METER, Meter, Meters
from hibiscuspin.tasks.retries import SharedRetryBudget
from hibiscuspin.tasks.spend import Purpose
from hibiscuspin.tasks.targets import Targets

__all__ = ["Batch", "Generation", "LiveCall", "GenerationDependencies"]

MAX_ATTEMPTS = 4
STATE_QUERY_TIMEOUT_S = 0.5
TOKENS_PER_MEASUREMENT = 16

_log = get_logger("live")


class Batch(NamedTuple):
    """Tokens that arrived together, and the engine that generated them."""

    chunks: Sequence[TokenChunk]
    target: str


class LiveCall(NamedTuple):
    """A request to generate, with its deadline and its caller's team.

    Attributes:
        request: The request.
        deadline: When to give up, in monotonic time.
        team: The caller's team.
        disconnected: Returns whether the caller has disconnected.
    """

    request: GenerateRequest
    deadline: float
    team: str
    disconnected: Callable[[], bool]


class GenerationDependencies(NamedTuple):
    """Collaborators that all generations of an instance share."""

    targets: Targets
    clock: Clock
    attempts: AttemptLog
    retries: SharedRetryBudget
    cancels: CancelQueue
    admission: Admission
    meters: Meters


class Generation:
    """One live generation; it uses one engine at a time."""

    def __init__(
        self, dependencies: GenerationDependencies, call: LiveCall
    ) -> None:
        self._dependencies = dependencies
        self._call = call
        self._tokens: list[str] = list(call.request.prefix)
        self._state = StreamState(len(self._tokens))
        self._nonce = secrets.token_hex(4)
        self._failed_targets: list[str] = []
        self._may_have_run = False
        self._meter: Meter = NO_OP_METER
        self._last_measured_at = 0.0
        self._measured_tokens = 0

    def batches(self) -> Iterator[Batch]:
        """Yields the tokens as they arrive.

        Raises:
            HibiscusError: No engine could finish the generation, it was not
                admitted, its caller disconnected, its deadline passed, or its
                budget is used up.
        """
        with self._dependencies.admission.track_request(self._call.team):
            self._dependencies.retries.count_first_attempt()
            yield from self._run()

    def _run(self) -> Iterator[Batch]:
        cause: AttemptCause = "first"
        while True:
            target = self._choose_target()
            try:
                yield from self._run_attempt(target, cause)
            except TargetError as error:
                self._handle_failure(target, error)
                cause = "resume" if self._state.received else "retry"
                continue
            model = self._call.request.model
            self._dependencies.targets.record_response_length(
                model, len(self._tokens)
            )
            return

    def _choose_target(self) -> str:
        request = self._call.request
        choice = self._dependencies.targets.choose_engine(
            request.model,
            set(self._failed_targets),
            request.prompt,
            request.max_tokens - len(self._tokens),
        )
        if choice is None:
            raise HibiscusError(
                ErrorKind.NO_TARGET,
                f"No engine is available for model {request.model!r}.",
                self._execution_status(),
            )
        if not self._failed_targets:
            remaining_s = (
                self._call.deadline - self._dependencies.clock.monotonic()
            )
            self._dependencies.admission.check(
                self._call.team, choice, remaining_s
            )
        return choice.name

    def _run_attempt(self, target: str, cause: AttemptCause) -> Iterator[Batch]:
        request = self._call.request
        attempt = request._replace(
            request_id=f"{request.request_id}-{self._nonce}-"
            f"{len(self._failed_targets)}",
            prefix=tuple(self._tokens),
        )
        dependencies = self._dependencies
        tokens_before = len(self._tokens)
        purpose = Purpose(self._call.team, "", cause)
        self._meter = dependencies.meters.start(
            purpose, attempt, target, self._execution_status()
        )
        started_at_s = dependencies.clock.wall()
        started_at = dependencies.clock.monotonic()
        error: ErrorKind | None = ErrorKind.CANCELLED
        try:
            with dependencies.targets.track_request(target):
                yield from self._stream(target, attempt)
            error = None
            dependencies.targets.record_success(target)
        except TargetError:
            error = ErrorKind.TARGET_FAILED
            raise
        except HibiscusError as raised:
            error = raised.kind
            raise
        finally:
            self._meter.end(len(self._tokens))
            if error not in (None, ErrorKind.TARGET_FAILED):
                dependencies.cancels.enqueue(target, attempt.request_id)
            dependencies.attempts.record(
                Attempt(
                    request_id=request.request_id,
                    team=self._call.team,
                    path="live",
                    cause=cause,
                    target=target,
                    started_at_s=started_at_s,
                    seconds=dependencies.clock.monotonic() - started_at,
                    tokens=len(self._tokens) - tokens_before,
                    error=error,
                )
            )

    def _stream(self, target: str, attempt: GenerateRequest) -> Iterator[Batch]:
        """Yields the tokens of one engine, resuming the stream if it breaks."""
        engine = self._dependencies.targets.engine(target)
        self._last_measured_at = 0.0
        opened_at = self._dependencies.clock.monotonic()
        resumed = False
        while True:
            try:
                wait = self._wait_limits(target)
                if resumed:
                    offset = self._state.received
                    stream = engine.resume(attempt.request_id, offset, wait)
                else:
                    stream = engine.generate(attempt, wait)
                for chunks in stream:
                    accepted = self._accept(chunks)
                    self._record_token_times(target, opened_at, len(accepted))
                    if accepted:
                        yield Batch(accepted, target)
                    self._raise_if_aborted()
                    self._pause()
                return
            except TargetError as error:
                if error.refused or not error.sent:
                    raise
                self._raise_if_aborted()
                if not self._can_resume(target, attempt.request_id):
                    self._dependencies.cancels.enqueue(
                        target, attempt.request_id
                    )
                    raise
                resumed = True

    def _pause(self) -> None:
        """Batches more tokens per read while many streams are open."""
        pause_s = streams.pause_s(self._dependencies.admission.in_flight_count)
        if pause_s > 0:
            time.sleep(pause_s)

    def _can_resume(self, target: str, request_id: str) -> bool:
        """Returns whether to resume, by a status query on a new connection."""
        now = self._dependencies.clock.monotonic()
        deadline = min(self._call.deadline, now + STATE_QUERY_TIMEOUT_S)
        engine_state = None
        try:
            engine = self._dependencies.targets.engine(target)
            state = engine.fetch_request_state(request_id, deadline)
            if state is not None:
                engine_state = GenerationStatus(
                    state.state == "queued",
                    state.state == "cancelled",
                    state.tokens,
                )
        except TargetError:
            _log.warning(
                "Engine did not report the state of a request.",
                extra={"target": target},
            )
        self._state, action = streams.after_status_query(
            self._state, engine_state
        )
        return action is StallAction.RESUME

    def _accept(self, chunks: Sequence[TokenChunk]) -> list[TokenChunk]:
        accepted: list[TokenChunk] = []
        for chunk in chunks:
            self._state, action = streams.accept_token(
                self._state, chunk.position
            )
            if action is TokenAction.GAP:
                raise TargetError(
                    f"token {chunk.position} received, "
                    f"{self._state.received} expected",
                    sent=True,
                )
            if action is TokenAction.FORWARD:
                accepted.append(chunk)
                self._tokens.append(chunk.token)
        return accepted

    def _record_token_times(
        self, target: str, opened_at: float, tokens: int
    ) -> None:
        """Records the time to the first token and between tokens."""
        now = self._dependencies.clock.monotonic()
        if not self._last_measured_at:
            self._dependencies.targets.record_first_token(
                target, now - opened_at
            )
            self._last_measured_at = now
            self._measured_tokens = 0
            return
        self._measured_tokens += tokens
        if self._measured_tokens >= TOKENS_PER_MEASUREMENT:
            token_s = (now - self._last_measured_at) / self._measured_tokens
            self._dependencies.targets.record_token_interval(target, token_s)
            self._last_measured_at = now
            self._measured_tokens = 0

    def _wait_limits(self, target: str) -> WaitLimits:
        token_s = self._dependencies.targets.token_interval_s(target)
        remaining_s = self._call.deadline - self._dependencies.clock.monotonic()
        return WaitLimits(
            self._call.deadline,
            streams.stall_timeout_s(token_s, remaining_s),
            self._raise_if_aborted,
        )

    def _raise_if_aborted(self) -> None:
        """Checks the caller's connection, the deadline and the budget.

        Raises:
            HibiscusError: The caller disconnected, the deadline passed or the
                budget is used up.
        """
        if self._call.disconnected():
            raise HibiscusError(ErrorKind.CANCELLED, "The caller disconnected.")
        if self._dependencies.clock.monotonic() >= self._call.deadline:
            raise HibiscusError(
                ErrorKind.DEADLINE_EXCEEDED, "The deadline passed."
            )
        self._meter.ensure_reserved(len(self._tokens))

    def _handle_failure(self, target: str, error: TargetError) -> None:
        """Records a failed attempt and decides whether another may start.

        Raises:
            HibiscusError: No further attempt may start.
        """
        _log.warning(
            "Attempt of a live generation failed.", extra={"target": target}
        )
        self._failed_targets.append(target)
        if not error.refused:
            self._dependencies.targets.record_failure(
                target, silent=error.silent
            )
        self._may_have_run |= error.sent and not error.refused
        self._raise_if_aborted()
        if len(self._failed_targets) >= MAX_ATTEMPTS:
            raise self._final_error(error) from error
        if error.sent and not self._dependencies.retries.try_spend():
            raise self._final_error(error) from error

    def _final_error(self, error: TargetError) -> HibiscusError:
        refused = error.refused and not self._may_have_run
        kind = ErrorKind.TARGET_REFUSED if refused else ErrorKind.TARGET_FAILED
        return HibiscusError(
            kind,
            "No engine finished the generation; "
            f"failed attempts: {len(self._failed_targets)}.",
            self._execution_status(),
        )

    def _execution_status(self) -> ExecutionStatus:
        return (
            ExecutionStatus.UNKNOWN
            if self._may_have_run
            else ExecutionStatus.NO
        )
