"""Checks the samples that trainers received against the engines' records."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from standins.trainer import ReceivedSample, TrainingPlan

__all__ = ["CheckResult", "check"]

EngineRecord = Mapping[str, Any]


class CheckResult(NamedTuple):
    """Counts of samples by fault, and of tokens.

    Attributes:
        expected: Number of samples in the plan.
        lost: Number of expected samples that were not received.
        doubled: Number of times that a sample was received again.
        over_bound: Number of samples older than the staleness bound.
        wrong_version: Number of samples whose tokens were not all generated
            by an engine at the stated version.
        tokens: Number of tokens that engines generated.
        wasted_tokens: Number of generated tokens in no received sample.
    """

    expected: int
    lost: int
    doubled: int
    over_bound: int
    wrong_version: int
    tokens: int
    wasted_tokens: int

    @property
    def clean(self) -> bool:
        """Whether no sample is lost, doubled, too old or wrongly versioned."""
        return not (
            self.lost or self.doubled or self.over_bound or self.wrong_version
        )

    @property
    def wasted_share(self) -> float:
        """The share of generated tokens that are in no received sample."""
        return self.wasted_tokens / max(1, self.tokens)


def check(
    trainer: str,
    plan: TrainingPlan,
    bound: int,
    received: Sequence[ReceivedSample],
    records_by_engine: Mapping[str, Iterable[EngineRecord]],
) -> CheckResult:
    """Compares one trainer's samples with the engines' records.

    Args:
        trainer: The trainer's name.
        plan: The steps that the trainer submitted.
        bound: The trainer's staleness bound in versions.
        received: All samples that the trainer received.
        records_by_engine: The generations that each engine recorded.
    """
    records_by_slot = _group_by_slot(trainer, plan, records_by_engine)
    expected = {
        f"{trainer}.{number}.p{prompt}.{index}"
        for number in range(plan.first_step, plan.first_step + plan.steps)
        for prompt in range(plan.prompts_per_step)
        for index in range(plan.samples_per_prompt)
    }
    counts = Counter(one.sample["slot"] for one in received)
    tokens = sum(
        len(record["tokens"])
        for records in records_by_slot.values()
        for record in records
    )
    used = sum(one.sample["tokens"] for one in received)
    return CheckResult(
        expected=len(expected),
        lost=len(expected - counts.keys()),
        doubled=sum(counts.values()) - len(counts),
        over_bound=sum(staleness(one) > bound for one in received),
        wrong_version=sum(
            not _has_correct_versions(one.sample, records_by_slot)
            for one in received
        ),
        tokens=tokens,
        wasted_tokens=tokens - used,
    )


def staleness(received: ReceivedSample) -> int:
    """Returns how many versions old a sample was when it was requested.

    Its oldest span counts.
    """
    spans = received.sample["versions"]
    oldest: int = min(span["version"] for span in spans)
    return received.trainer_version - oldest


def _group_by_slot(
    trainer: str,
    plan: TrainingPlan,
    records_by_engine: Mapping[str, Iterable[EngineRecord]],
) -> dict[str, list[EngineRecord]]:
    by_slot: dict[str, list[EngineRecord]] = defaultdict(list)
    steps = range(plan.first_step, plan.first_step + plan.steps)
    for records in records_by_engine.values():
        for record in records:
            parts = record["request_id"].split(".")
            if parts[0] == trainer and int(parts[1]) in steps:
                by_slot[".".join(parts[:4])].append(record)
    return by_slot


def _has_correct_versions(
    sample: EngineRecord, records_by_slot: Mapping[str, list[EngineRecord]]
) -> bool:
    """Returns whether engines generated each token at its stated version.

    The spans must also cover all tokens without gaps.
    """
    records = records_by_slot.get(sample["slot"], [])
    covered = 0
    for span in sample["versions"]:
        if span["first"] != covered:
            return False
        covered = span["end"]
        for position in range(span["first"], span["end"]):
            if not any(
                _generated_token(record, position, span["version"])
                for record in records
            ):
                return False
    return covered == int(sample["tokens"])


def _generated_token(record: EngineRecord, position: int, version: int) -> bool:
    index = position - record["offset"]
    versions: list[int] = record["versions"]
    known = 0 <= index < len(versions)
    return known and bool(versions[index] == version)
