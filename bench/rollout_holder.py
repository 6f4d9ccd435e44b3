"""Measures the cost of one step for its holder, without engines or sockets.

Runs the production code of steps against an in-memory store: submission, one
finished sample for each slot, and pulls of complete batches. Prints the CPU
time, the resident memory before and at its peak, the number of store writes
and the largest stored value for one step size.
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
    """An in-memory store that counts writes and records the largest value."""

    def __init__(self) -> None:
        self.writes = 0
        self.largest_bytes = 0
        self._entries_by_key: dict[str, StoreEntry] = {}

    def get(self, key: str, deadline: float) -> StoreEntry | None:
        """Reads one key."""
        return self._entries_by_key.get(key)

    def list_prefix(self, prefix: str, deadline: float) -> list[StoreEntry]:
        """Reads all keys under a prefix."""
        entries = self._entries_by_key.items()
        return [entry for key, entry in entries if key.startswith(prefix)]

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        """Writes a key if it has the given revision; 0 means it is absent.

        Returns:
            The new revision, or None if the revision differs.
        """
        self.writes += 1
        self.largest_bytes = max(self.largest_bytes, len(value))
        existing = self._entries_by_key.get(key)
        if (existing.revision if existing else 0) != revision:
            return None
        self._entries_by_key[key] = StoreEntry(key, value, self.writes)
        return self.writes

    def delete(self, key: str, revision: int, deadline: float) -> bool:
        """Deletes a key, whatever its revision; returns whether it existed."""
        self.writes += 1
        return self._entries_by_key.pop(key, None) is not None


def run_step(samples: int) -> None:
    """Runs one step from submission to the last pull; prints its cost."""
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
    resident_mb_before = _resident_mb()
    start_cpu_s = time.process_time()
    prompts = samples // SAMPLES_PER_PROMPT
    for first in range(0, prompts, PROMPTS_PER_CALL):
        end = min(prompts, first + PROMPTS_PER_CALL)
        body = [_prompt(index) for index in range(first, end)]
        final = end == prompts
        steps.submit(
            config, holding, TRAINER, 1, {"prompts": body, "final": final}
        )
    received = _pull_all(steps, config, holding)
    cpu_s = time.process_time() - start_cpu_s
    assert received == samples, received
    print(
        ROW.format(
            samples,
            f"{cpu_s:.2f}",
            f"{resident_mb_before:.1f}",
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
            while (next_slot := state.next_slot()) is not None:
                step, slot = next_slot
                steps.add_sample(
                    state, step, slot.position, _finished_sample(slot.position)
                )
        response = steps.pull(config, holding, TRAINER, 1, after, 0.0)
        if response["complete"]:
            return received
        received += len(response["samples"])
        after = response["cursor"]


def _finished_sample(position: int) -> FinishedSample:
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
    """Measures one step size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--samples", type=int, default=4096)
    args = parser.parse_args()
    print(
        ROW.format(
            "samples", "cpu s", "MB at", "MB peak", "writes", "largest B"
        )
    )
    run_step(args.samples)
    return 0


if __name__ == "__main__":
    sys.exit(main())
