"""Request and response bodies of trainers, and the slots of a step."""

import bisect
from typing import NamedTuple, NotRequired, TypedDict

from hibiscuspin.decisions.staleness import Span

__all__ = [
    "FinishedSample",
    "Prompt",
    "PullAnswer",
    "SampleBody",
    "Slot",
    "SlotTable",
    "Span",
    "StepBody",
    "TrainerStatus",
]


class Prompt(TypedDict):
    """A prompt, and the number of samples to generate from it."""

    id: str
    prompt: str
    samples: int
    max_tokens: int
    group: NotRequired[str]
    adapter: NotRequired[str]


class StepBody(TypedDict):
    """The body of a submission; `final` closes the step."""

    prompts: list[Prompt]
    final: NotRequired[bool]


class SampleBody(TypedDict):
    """One sample as the trainer receives it."""

    slot: str
    position: int
    prompt_id: str
    index: int
    group: str
    text: str
    tokens: int
    versions: list[Span]
    reward: float | None
    engine: str
    started_at_s: float
    finished_at_s: float


class PullAnswer(TypedDict):
    """The response to a pull."""

    cursor: int
    complete: bool
    samples: list[SampleBody]


class TrainerStatus(TypedDict):
    """The state of one trainer at the holder of its duty.

    Attributes:
        version: The trainer's newest version.
        steps: The numbers of open steps.
        running: Generations in flight.
        held: Samples in memory.
        held_bytes: The size of these samples' bodies.
        tokens_by_cause: Generated tokens by the cause of their attempt.
        samples_dropped_stale: Samples dropped for their age and generated
            again.
        samples_unscored: Samples without a reward, as scoring failed.
    """

    version: int
    steps: list[int]
    running: int
    held: int
    held_bytes: int
    tokens_by_cause: dict[str, int]
    samples_dropped_stale: int
    samples_unscored: int


class Slot(NamedTuple):
    """The fixed identity of one sample within its step.

    Attributes:
        position: The index within the step.
        prompt: The prompt.
        number: The index among the samples of the prompt.
        group_first: The position of the prompt's first sample.
    """

    position: int
    prompt: Prompt
    number: int
    group_first: int

    def id(self, trainer: str, step: int) -> str:
        """Returns the slot's id, which is the same at every holder."""
        return f"{trainer}.{step}.{self.prompt['id']}.{self.number}"


class SlotTable:
    """The slots of a step by position, computed on access from its prompts."""

    def __init__(self) -> None:
        self._prompts: list[Prompt] = []
        self._first_positions: list[int] = []
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __getitem__(self, position: int) -> Slot:
        index = bisect.bisect_right(self._first_positions, position) - 1
        first_position = self._first_positions[index]
        return Slot(
            position,
            self._prompts[index],
            position - first_position,
            first_position,
        )

    def add(self, prompt: Prompt) -> range:
        """Adds a prompt's slots and returns their positions."""
        if prompt["samples"]:
            self._prompts.append(prompt)
            self._first_positions.append(self._length)
        first_position = self._length
        self._length += prompt["samples"]
        return range(first_position, self._length)

    def clear(self) -> None:
        """Removes all slots."""
        self._prompts.clear()
        self._first_positions.clear()
        self._length = 0


class FinishedSample(NamedTuple):
    """A finished sample in the memory of its holder.

    Attributes:
        body: The encoded `SampleBody`.
        oldest_version: The oldest weight version that generated a token of
            it.
        tokens: The number of its tokens.
    """

    body: bytes
    oldest_version: int
    tokens: int
