"""Checks what trainers received against the engines' own records."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from standins.trainer import ReceivedSample, TrainingPlan

__all__ = ["Verdict", "check"]

Record = Mapping[str, Any]


class Verdict(NamedTuple):
    """Counts of samples, by what is wrong with them, and of tokens."""

    expected: int
    lost: int
    doubled: int
    over_bound: int
    wrong_version: int
    tokens: int
    wasted_tokens: int

    @property
    def clean(self) -> bool:
        """Whether nothing is wrong."""
        return not (
            self.lost or self.doubled or self.over_bound or self.wrong_version
        )

    @property
    def wasted_share(self) -> float:
        """The share of generated tokens that no sample holds."""
        return self.wasted_tokens / max(1, self.tokens)


def check(
    trainer: str,
    plan: TrainingPlan,
    bound: int,
    received: Sequence[ReceivedSample],
    records_by_engine: Mapping[str, Iterable[Record]],
) -> Verdict:
    """Compares one trainer's samples with what the engines generated."""
    records_by_slot = _by_slot(trainer, plan, records_by_engine)
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
    return Verdict(
        expected=len(expected),
        lost=len(expected - counts.keys()),
        doubled=sum(counts.values()) - len(counts),
        over_bound=sum(staleness(one) > bound for one in received),
        wrong_version=sum(
            not _attributed(one.sample, records_by_slot) for one in received
        ),
        tokens=tokens,
        wasted_tokens=tokens - used,
    )


def staleness(received: ReceivedSample) -> int:
    """Returns how many versions old a sample was when it came."""
    spans = received.sample["versions"]
    oldest: int = min(span["version"] for span in spans)
    return received.trainer_version - oldest


def _by_slot(
    trainer: str,
    plan: TrainingPlan,
    records_by_engine: Mapping[str, Iterable[Record]],
) -> dict[str, list[Record]]:
    by_slot: dict[str, list[Record]] = defaultdict(list)
    steps = range(plan.first_step, plan.first_step + plan.steps)
    for records in records_by_engine.values():
        for record in records:
            parts = record["request_id"].split(".")
            if parts[0] == trainer and int(parts[1]) in steps:
                by_slot[".".join(parts[:4])].append(record)
    return by_slot


def _attributed(
    sample: Record, records_by_slot: Mapping[str, list[Record]]
) -> bool:
    """Tells whether an engine generated each token with its version."""
    records = records_by_slot.get(sample["slot"], [])
    covered = 0
    for span in sample["versions"]:
        if span["first"] != covered:
            return False
        covered = span["end"]
        for position in range(span["first"], span["end"]):
            if not any(
                _produced(record, position, span["version"])
                for record in records
            ):
                return False
    return covered == int(sample["tokens"])


def _produced(record: Record, position: int, version: int) -> bool:
    index = position - record["offset"]
    versions: list[int] = record["versions"]
    known = 0 <= index < len(versions)
    return known and bool(versions[index] == version)
