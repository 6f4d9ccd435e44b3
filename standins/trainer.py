"""A trainer that submits steps ahead, pulls samples and publishes weights.

Some pulls are repeated, as after a lost response. A failed call is retried at
the next instance. Each sample is recorded with the trainer's version at the
time of the pull.
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

__all__ = ["TrainingPlan", "ReceivedSample", "StepRecord", "Trainer"]

CALL_TIMEOUT_S = 25.0
PULL_WAIT_MS = 2000
RETRY_DELAY_S = 0.2
RETRY_TIMEOUT_S = 240.0


class TrainingPlan(NamedTuple):
    """The steps of a trainer and their size.

    Attributes:
        first_step: Number of the first step.
        steps: Number of steps.
        steps_ahead: Number of steps submitted ahead of the one being pulled.
        prompts_per_step: Number of prompts in a step.
        samples_per_prompt: Number of samples of a prompt.
        max_tokens: Maximum tokens per sample.
        train_s: Simulated training time per step.
        source: Address of the weight store; if empty, no version is
            published.
        repeat_share: Share of the pulls that are repeated.
    """

    first_step: int
    steps: int
    steps_ahead: int
    prompts_per_step: int
    samples_per_prompt: int
    max_tokens: int
    train_s: float
    source: str = ""
    repeat_share: float = 0.0


class ReceivedSample(NamedTuple):
    """A sample, and the trainer's version at the time of the pull."""

    sample: dict[str, Any]
    trainer_version: int


class StepRecord(NamedTuple):
    """Idle and training time of one step, and its samples."""

    number: int
    idle_s: float
    train_s: float
    received: list[ReceivedSample]


class Trainer:
    """One trainer; `run` blocks until all steps are done."""

    def __init__(
        self,
        name: str,
        token: str,
        addresses: Sequence[Address],
        plan: TrainingPlan,
        seed: int,
    ) -> None:
        self._path = f"/v1/trainers/{name}"
        self._token = token
        self._clients = [HttpClient(address) for address in addresses]
        self._plan = plan
        self._random = random.Random(seed)
        self._next_to_submit = plan.first_step
        self.version = 1
        self.records: list[StepRecord] = []
        self.problems: list[str] = []
        self.failed_calls = 0

    def run(self) -> None:
        """Submits, pulls and trains on all steps."""
        plan = self._plan
        end_number = plan.first_step + plan.steps
        for number in range(plan.first_step, end_number):
            while self._next_to_submit < min(
                end_number, number + 1 + plan.steps_ahead
            ):
                self._submit(self._next_to_submit)
                self._next_to_submit += 1
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
                "samples": plan.samples_per_prompt,
                "max_tokens": plan.max_tokens,
            }
            for index in range(plan.prompts_per_step)
        ]
        body = {"prompts": prompts, "final": True}
        self._call("POST", f"/steps/{number}/prompts", body)

    def _pull_step(self, number: int) -> list[ReceivedSample]:
        after = 0
        batches: dict[int, list[ReceivedSample]] = {}
        while True:
            version = self.version
            response = self._pull(number, after)
            if response["complete"]:
                return [
                    received for batch in batches.values() for received in batch
                ]
            if response["cursor"] == after:
                continue
            batch = [ReceivedSample(s, version) for s in response["samples"]]
            if self._random.random() < self._plan.repeat_share:
                batch = self._pull_again(number, after, batch)
            after = response["cursor"]
            batches[after] = batch

    def _pull_again(
        self, number: int, after: int, batch: list[ReceivedSample]
    ) -> list[ReceivedSample]:
        """Pulls a batch again, as after a lost response."""
        while True:
            version = self.version
            response = self._pull(number, after)
            if response["cursor"] != after:
                break
        repeated = [ReceivedSample(s, version) for s in response["samples"]]
        if _sorted_slots(repeated) != _sorted_slots(batch):
            self.problems.append(
                f"step {number}: a repeated pull returned different slots"
            )
        return repeated

    def _pull(self, number: int, after: int) -> Any:
        query = f"after={after}&wait_ms={PULL_WAIT_MS}"
        return self._call("GET", f"/steps/{number}/samples?{query}")

    def publish(self) -> None:
        """Publishes the next version; `version` rises once it is accepted."""
        body = {"version": self.version + 1, "source": self._plan.source}
        self._call("POST", "/version", body)
        self.version += 1

    def _call(self, method: str, path: str, body: object = None) -> Any:
        """Tries one instance after another until one accepts the request.

        Raises:
            RuntimeError: An instance refused the request with a status below
                500 other than 429.
            TimeoutError: No instance accepted it within `RETRY_TIMEOUT_S`.
        """
        deadline = monotonic() + RETRY_TIMEOUT_S
        last_error = ""
        while monotonic() < deadline:
            client = self._clients[0]
            try:
                response = client.request(
                    method,
                    self._path + path,
                    monotonic() + CALL_TIMEOUT_S,
                    body=json.dumps(body).encode() if body else None,
                    headers={
                        "Authorization": f"Bearer {self._token}",
                        "Content-Type": "application/json",
                    },
                )
                if response.status < 300:
                    return json.loads(response.body)
                last_error = response.body.decode()
                if response.status < 500 and response.status != 429:
                    raise RuntimeError(f"{path}: {last_error}")
            except TargetError as error:
                last_error = str(error)
            self.failed_calls += 1
            self._clients.append(self._clients.pop(0))
            time.sleep(RETRY_DELAY_S)
        raise TimeoutError(f"{path}: {last_error}")


def _sorted_slots(batch: Sequence[ReceivedSample]) -> list[str]:
    return sorted(received.sample["slot"] for received in batch)
