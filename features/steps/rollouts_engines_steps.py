"""Steps that run one rollout against scripted engines and scorers."""

import math
import threading
from collections.abc import Iterator, Sequence
from contextlib import nullcontext
from typing import Any

from behave import given, then, when

from hibiscuspin.clock import SystemClock
from hibiscuspin.decisions.scoring import RetryLimits
from hibiscuspin.decisions.staleness import version_spans
from hibiscuspin.edges import (
    GenerateRequest,
    ScoringError,
    TargetError,
    TokenChunk,
    WaitLimits,
    WeightState,
)
from hibiscuspin.edges.scorer import startable_calls
from hibiscuspin.metrics import Metrics
from hibiscuspin.tasks.attempts import AttemptLog
from hibiscuspin.tasks.dispatcher import MAX_SCORING_FAILURES
from hibiscuspin.tasks.rollout import Rollout
from hibiscuspin.tasks.scoring import Scoring, ScoringRequest

TOKENS = 4


class ScriptedTargets:
    """Stands in for `Targets` and for their only engine.

    Each stream is a sequence of words: the version of the next token, `gap`
    for a skipped token, or `cut` for the end of the connection.
    """

    def __init__(
        self, tagged: bool, versions: list[int], streams: list[str]
    ) -> None:
        self._tagged = tagged
        self._versions = versions
        self._streams = streams

    def choose_rollout_engine(self, *_: object) -> str:
        """Returns the only engine."""
        return "e"

    def engine(self, name: str) -> "ScriptedTargets":
        """Returns itself as the engine."""
        return self

    def target(self, name: str) -> dict[str, bool]:
        """Returns whether the engine tags tokens with versions."""
        return {"tags_versions": self._tagged}

    def track_rollout(self, name: str, move: object) -> Any:
        """Counts nothing."""
        return nullcontext()

    def record_success(self, name: str) -> None:
        """Does nothing."""

    def record_failure(self, name: str, *, silent: bool) -> None:
        """Does nothing."""

    def record_response_length(self, model: str, tokens: int) -> None:
        """Does nothing."""

    def cancel(self, request_id: str, deadline: float) -> None:
        """Does nothing."""

    def fetch_weight_state(self, deadline: float) -> WeightState:
        """Returns the next scripted version."""
        return WeightState(self._versions.pop(0), ())

    def generate(
        self, request: GenerateRequest, wait: WaitLimits
    ) -> Iterator[Sequence[TokenChunk]]:
        """Streams the next scripted words, or all tokens without versions."""
        position = len(request.prefix)
        words = self._streams.pop(0).split() if self._streams else []
        if not self._tagged:
            words = ["-"] * (TOKENS - position)
        for word in words:
            if word == "cut":
                raise TargetError("stream ended early", sent=True)
            if word == "gap":
                position += 1
                continue
            version = int(word) if self._tagged else None
            yield [TokenChunk(position, f"t{position} ", version)]
            position += 1


@given('an engine without version tags that serves versions "{versions}"')
def untagged_engine(context: Any, versions: str) -> None:
    numbers = [int(word) for word in versions.split()]
    context.targets = ScriptedTargets(False, numbers, [])


@given('an engine that tags versions and streams "{streams}"')
def tagged_engine(context: Any, streams: str) -> None:
    context.targets = ScriptedTargets(True, [], streams.split(" / "))


@when("a rollout of 4 tokens runs on it")
def run_rollout(context: Any) -> None:
    run_rollout_above(context, 0)


@when(
    "a rollout of 4 tokens runs on it while version {least:d} is the "
    "oldest allowed"
)
def run_rollout_above(context: Any, least: int) -> None:
    request = GenerateRequest("r", "m", "", "p", TOKENS, 0, 0)
    context.rollout = Rollout(
        context.targets,
        AttemptLog(),
        SystemClock(),
        "team",
        request,
        lambda: least,
        threading.Event(),
    )
    context.generated = context.rollout.run()


@then('the sample\'s spans are "{spans}" after {segments:d} segments')
def check_spans(context: Any, spans: str, segments: int) -> None:
    generated = context.generated
    assert generated.tokens == [f"t{i} " for i in range(TOKENS)], generated
    spans_found = [
        f"{s['version']}:{s['first']}-{s['end']}"
        for s in version_spans(generated.versions)
    ]
    assert spans_found == spans.split(), spans_found
    assert context.rollout.segments == segments, context.rollout.segments


class FlakyScorer:
    """A scorer whose first `failures` attempts fail."""

    def __init__(self, failures: int) -> None:
        self.request_id = "r"
        self.service = "a"
        self.targets: Sequence[str] = ()
        self.failures = failures
        self.attempts = 0

    def score(self, deadline: float) -> float:
        """Returns 0.5, or fails."""
        self.attempts += 1
        if self.attempts <= self.failures:
            raise ScoringError("scorer failed")
        return 0.5


@given("a scorer that fails {failures:d} times")
def flaky_scorer(context: Any, failures: int) -> None:
    context.scorer = FlakyScorer(failures)


@then("a sample is scored {reward:g} after {tries:d} tries")
def check_score(context: Any, reward: float, tries: int) -> None:
    scored = threading.Event()
    rewards: list[float | None] = []

    def record_reward(value: float | None) -> None:
        rewards.append(value)
        scored.set()

    scoring = Scoring(SystemClock(), startable_calls, Metrics())
    stop = threading.Event()
    thread = threading.Thread(target=scoring.run, args=(stop,))
    thread.start()
    limits = RetryLimits(max_failures=MAX_SCORING_FAILURES)
    request = ScoringRequest[float](
        "r",
        context.scorer,
        limits,
        math.inf,
        math.inf,
        lambda: 1,
        lambda: False,
        record_reward,
    )
    assert scoring.offer(request)
    assert scored.wait(10)
    stop.set()
    scoring.interrupt()
    thread.join()
    assert rewards == [reward], rewards
    assert context.scorer.attempts == tries, context.scorer.attempts
