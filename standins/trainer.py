"""A trainer: submits steps ahead, pulls samples, trains and publishes.

It takes no batch for granted: a pull can be repeated, a refused call is
asked again at the next instance, and every sample is recorded with the
trainer's version when it asked for it.
"""

import json
import random
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.settings import Address

__all__ = ["Plan", "Received", "StepRecord", "Trainer"]

CALL_TIMEOUT_S = 25.0
WAIT_MS = 2000
RETRY_S = 0.2
STEP_TIMEOUT_S = 240.0


class Plan(NamedTuple):
    """What a trainer does.

    Attributes:
        first: Number of the first step.
        steps: How many steps it trains on.
        ahead: How many steps it submits before it pulls.
        prompts: Prompts in a step.
        samples: Samples of each prompt.
        max_tokens: Most tokens of a sample.
        train_s: How long it trains on a step.
        source: The weight store's address; none is published if empty.
        repeat_share: Share of pulls that are asked twice.
    """

    first: int
    steps: int
    ahead: int
    prompts: int
    samples: int
    max_tokens: int
    train_s: float
    source: str = ""
    repeat_share: float = 0.0


class Received(NamedTuple):
    """A sample, and the trainer's version when it asked for it."""

    sample: dict[str, Any]
    version: int


class StepRecord(NamedTuple):
    """How long the trainer waited for a step and trained on it."""

    number: int
    idle_s: float
    train_s: float
    received: list[Received]


class Trainer:
    """One trainer; `run` works in the caller's thread."""

    def __init__(
        self,
        name: str,
        token: str,
        addresses: Sequence[Address],
        plan: Plan,
        seed: int,
    ) -> None:
        self._path = f"/v1/trainers/{name}"
        self._token = token
        self._clients = [HttpClient(address) for address in addresses]
        self._plan = plan
        self._draw = random.Random(seed)
        self._submitted = plan.first
        self.version = 1
        self.records: list[StepRecord] = []
        self.problems: list[str] = []
        self.refused = 0

    def run(self) -> None:
        """Trains on all steps."""
        plan = self._plan
        last = plan.first + plan.steps
        for number in range(plan.first, last):
            while self._submitted < min(last, number + 1 + plan.ahead):
                self._submit(self._submitted)
                self._submitted += 1
            started = monotonic()
            received = self._pull_step(number)
            idle_s = monotonic() - started
            time.sleep(plan.train_s)
            self.records.append(
                StepRecord(number, idle_s, plan.train_s, received)
            )
            if plan.source:
                self.publish()

    def _submit(self, number: int) -> None:
        plan = self._plan
        prompts = [
            {
                "id": f"p{index}",
                "prompt": f"step {number} prompt {index}",
                "samples": plan.samples,
                "max_tokens": plan.max_tokens,
            }
            for index in range(plan.prompts)
        ]
        body = {"prompts": prompts, "final": True}
        self._call("POST", f"/steps/{number}/prompts", body)

    def _pull_step(self, number: int) -> list[Received]:
        after = 0
        batches: dict[int, list[Received]] = {}
        while True:
            version = self.version
            answer = self._pull(number, after)
            if answer["complete"]:
                return [one for batch in batches.values() for one in batch]
            if answer["cursor"] == after:
                continue
            batch = [Received(s, version) for s in answer["samples"]]
            if self._draw.random() < self._plan.repeat_share:
                batch = self._repeat(number, after, batch)
            after = answer["cursor"]
            batches[after] = batch

    def _repeat(
        self, number: int, after: int, batch: list[Received]
    ) -> list[Received]:
        """Asks for a batch again, as after a lost answer."""
        while True:
            version = self.version
            answer = self._pull(number, after)
            if answer["cursor"] != after:
                break
        again = [Received(s, version) for s in answer["samples"]]
        if _slots(again) != _slots(batch):
            self.problems.append(f"step {number}: a repeat gave other slots")
        return again

    def _pull(self, number: int, after: int) -> Any:
        query = f"after={after}&wait_ms={WAIT_MS}"
        return self._call("GET", f"/steps/{number}/samples?{query}")

    def publish(self) -> None:
        """Publishes the next version; it counts once the service has it."""
        body = {"version": self.version + 1, "source": self._plan.source}
        self._call("POST", "/version", body)
        self.version += 1

    def _call(self, method: str, path: str, body: object = None) -> Any:
        """Asks one instance after another until one does it."""
        end = monotonic() + STEP_TIMEOUT_S
        seen = ""
        while monotonic() < end:
            client = self._clients[0]
            try:
                answer = client.request(
                    method,
                    self._path + path,
                    monotonic() + CALL_TIMEOUT_S,
                    body=json.dumps(body).encode() if body else None,
                    headers={
                        "Authorization": f"Bearer {self._token}",
                        "Content-Type": "application/json",
                    },
                )
                if answer.status < 300:
                    return json.loads(answer.body)
                seen = answer.body.decode()
                if answer.status < 500 and answer.status != 429:
                    raise RuntimeError(f"{path}: {seen}")
            except TargetError as error:
                seen = str(error)
            self.refused += 1
            self._clients.append(self._clients.pop(0))
            time.sleep(RETRY_S)
        raise TimeoutError(f"{path}: {seen}")


def _slots(batch: Sequence[Received]) -> list[str]:
    return sorted(received.sample["slot"] for received in batch)
