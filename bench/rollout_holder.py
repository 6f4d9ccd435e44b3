"""Measures what one step costs its holder, without engines and sockets.

Runs the real steps against a store in memory: submission, one finished
sample for each slot, pulls of whole batches. Prints processor time, peak
memory, store writes and the largest value for one size of step.
"""

import argparse
import resource
import sys
import time

import msgspec

from hibiscuspin.clock import SystemClock
from hibiscuspin.config import Config
from hibiscuspin.edges import StoreEntry
from hibiscuspin.tasks.duties import HeldDuty
from hibiscuspin.tasks.samples import FinishedSample, Prompt, SampleBody
from hibiscuspin.tasks.step_store import StepStore
from hibiscuspin.tasks.steps import Steps
from hibiscuspin.tasks.versions import Versions

TRAINER = "appraiser"
SAMPLES_PER_PROMPT = 16
PROMPT_CHARS = 500
TEXT_CHARS = 800
PROMPTS_PER_CALL = 1024
ROW = "{:>8} {:>8} {:>8} {:>8} {:>8} {:>12}"


class MemoryStore:
    """Keys with revisions; counts writes and the largest value."""

    def __init__(self) -> None:
        self.writes = 0
        self.largest_bytes = 0
        self._entries_by_key: dict[str, StoreEntry] = {}

    def get(self, key: str, deadline: float) -> StoreEntry | None:
        """Reads one key."""
        return self._entries_by_key.get(key)

    def list_prefix(self, prefix: str, deadline: float) -> list[StoreEntry]:
        """Reads all keys under a prefix."""
        found = self._entries_by_key.items()
        return [entry for key, entry in found if key.startswith(prefix)]

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        """Writes a key if its revision is as given."""
        self.writes += 1
        self.largest_bytes = max(self.largest_bytes, len(value))
        held = self._entries_by_key.get(key)
        if (held.revision if held else 0) != revision:
            return None
        self._entries_by_key[key] = StoreEntry(key, value, self.writes)
        return self.writes

    def delete(self, key: str, revision: int, deadline: float) -> bool:
        """Deletes a key."""
        self.writes += 1
        return self._entries_by_key.pop(key, None) is not None


def run(samples: int) -> None:
    """Takes one step from its submission to its last pull."""
    store = MemoryStore()
    clock = SystemClock()
    steps = Steps(
        StepStore(store, clock),  # type: ignore[arg-type]
        Versions(store, clock),  # type: ignore[arg-type]
        lambda _: True,
        clock,
    )
    holding = HeldDuty(f"trainer/{TRAINER}", 1)
    config = _config()
    before = _resident_mb()
    started = time.process_time()
    prompts = samples // SAMPLES_PER_PROMPT
    for first in range(0, prompts, PROMPTS_PER_CALL):
        end = min(prompts, first + PROMPTS_PER_CALL)
        body = [_prompt(index) for index in range(first, end)]
        final = end == prompts
        steps.submit(
            config, holding, TRAINER, 1, {"prompts": body, "final": final}
        )
    received = _pull_all(steps, config, holding)
    used = time.process_time() - started
    assert received == samples, received
    print(
        ROW.format(
            samples,
            f"{used:.2f}",
            f"{before:.1f}",
            f"{_resident_mb():.1f}",
            store.writes,
            store.largest_bytes,
        )
    )


def _pull_all(steps: Steps, config: Config, holding: HeldDuty) -> int:
    state = steps.trainers_by_name[TRAINER]
    received = after = 0
    while True:
        with steps.lock:
            while (found := state.next_slot()) is not None:
                step, slot = found
                steps.add_sample(
                    state, step, slot.position, _held(slot.position)
                )
        answer = steps.pull(config, holding, TRAINER, 1, after, 0.0)
        if answer["complete"]:
            return received
        received += len(answer["samples"])
        after = answer["cursor"]


def _held(position: int) -> FinishedSample:
    body: SampleBody = {
        "slot": f"{TRAINER}.1.p{position // SAMPLES_PER_PROMPT}.{position}",
        "position": position,
        "prompt_id": f"p{position // SAMPLES_PER_PROMPT}",
        "index": position % SAMPLES_PER_PROMPT,
        "group": f"p{position // SAMPLES_PER_PROMPT}",
        "text": f"{position:0{TEXT_CHARS}}",
        "tokens": TEXT_CHARS // 4,
        "versions": [{"version": 1, "first": 0, "end": TEXT_CHARS // 4}],
        "reward": None,
        "engine": "tasador-cba-a-1",
        "started_at_s": 0.5,
        "finished_at_s": 1.5,
    }
    return FinishedSample(msgspec.json.encode(body), 1, TEXT_CHARS // 4)


def _prompt(index: int) -> Prompt:
    return {
        "id": f"p{index}",
        "prompt": f"{index:0{PROMPT_CHARS}}",
        "samples": SAMPLES_PER_PROMPT,
        "max_tokens": 512,
    }


def _config() -> Config:
    trainer = {
        "team": "appraisal",
        "model": "tasador-lm",
        "staleness_bound_versions": 2,
        "staleness_weight": 0.7,
        "idle_weight": 0.3,
        "share": 1,
    }
    return {"trainers_by_name": {TRAINER: trainer}}  # type: ignore[typeddict-item]


def _resident_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def main() -> int:
    """Runs one size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--samples", type=int, default=4096)
    args = parser.parse_args()
    print(
        ROW.format(
            "samples", "cpu s", "MB at", "MB peak", "writes", "largest B"
        )
    )
    run(args.samples)
    return 0


if __name__ == "__main__":
    sys.exit(main())
