"""A batch job of a trainer, as its client sends and reads it."""

import base64
import json
import time
from collections.abc import Mapping, Sequence
from typing import Any

from review.common.fleet import MODEL, Answer, Case, Fleet

__all__ = ["JOB_ROUTE", "Trainer"]

ACCEPTED_STATUS = 202
OK_STATUS = 200
SUBMIT_TIMEOUT_S = 6.0
READ_TIMEOUT_S = 2.5
PREFIX = "/pufi791/"

JOB_ROUTE: dict[str, Any] = {
    "name": "r-jobs",
    "host": "ficu95.example",
    "prefix": PREFIX,
    "type": "sampling",
    "timeout_ms": 10000,
    "slo_ms": 500,
    "priority": 1,
    "service": "huvo11a",
    "max_attempts": 3,
    "queue_ttl_s": 40,
    "due_ms": 7500,
    "single_version": False,
    "resumable": True,
}


class Trainer:
    """Submits one batch job, reads its results and ends it."""

    def __init__(self, fleet: Fleet, case: Case, job: str, client: str) -> None:
        self._fleet = fleet
        self._client = client
        self._case = case
        self.job = job
        self._body: dict[str, Any] = {}
        self.items: list[str] = []
        self.results: list[dict[str, Any]] = []

    def submit(self, groups: int, size: int, events: int) -> int:
        """Submits a job of new groups at a machine; returns the status."""
        names = [f"{self.job}{group:02x}" for group in range(groups)]
        self.build({name: [events] * size for name in names}, groups)
        return self.send(self._fleet.machine_of(self._client))

    def build(
        self,
        events_by_group: Mapping[str, Sequence[int]],
        required_groups: int,
        step: int = 0,
    ) -> None:
        """Builds the job.

        Args:
            events_by_group: The events of each item of each group. The items
                of a group have the same ids in each job that it is in.
            required_groups: The number of groups that the trainer waits for.
            step: The trainer's step.
        """
        items = [
            {
                "id": f"{group}{number:02x}",
                "path": f"{PREFIX}3/91c4",
                "headers": {
                    "X-Model": MODEL,
                    "X-Token-Count": f"540,{count}",
                    "X-Prompt-Prefix": f"{group}:300",
                },
                "body": base64.b64encode(b"prompt").decode(),
                "tokens": 540 + count,
                "group": group,
            }
            for group, counts in events_by_group.items()
            for number, count in enumerate(counts)
        ]
        self.items = [str(item["id"]) for item in items]
        self._body = {
            "step": step,
            "model": MODEL,
            "min_version": 1,
            "group_count": required_groups,
            "items": items,
        }

    def send(self, machine: str) -> int:
        """Sends the job to a machine; returns the status."""
        answer = self._fleet.request(
            machine,
            "POST",
            f"{PREFIX}{self.job[:6]}",
            self.job,
            {"Content-Type": "application/json"},
            json.dumps(self._body).encode(),
            SUBMIT_TIMEOUT_S,
        )
        self._case.write(
            f"job {self.job} of {len(self.items)} items sent to {machine}: "
            f"{answer.status or 'no answer'}"
        )
        return answer.status

    def read(self, machine: str = "") -> Answer:
        """Reads the next results."""
        machine = machine or self._fleet.machine_of(self._client)
        path = f"/hibiscuspin/lots/{self.job}?after={len(self.results)}"
        answer = self._fleet.request(
            machine, "GET", path, f"{self.job}-r", None, b"", READ_TIMEOUT_S
        )
        if answer.status == OK_STATUS:
            self.results += answer.json()["results"]
        self._case.write(
            f"job {self.job} read at {machine}: "
            f"{answer.status or 'no answer'}, {len(self.results)} results"
        )
        return answer

    def read_until(self, until: float, period_s: float = 0.5) -> None:
        """Reads about twice a second until a time, or until all is read."""
        while time.monotonic() < until and not self.is_complete():
            self.read()
            time.sleep(max(0.0, min(period_s, until - time.monotonic())))

    def complete_groups(self) -> list[str]:
        """Returns the groups of which all items were read."""
        read = {result["id"] for result in self.results}
        groups = {item["group"] for item in self._body["items"]}
        left = {
            item["group"]
            for item in self._body["items"]
            if item["id"] not in read
        }
        return sorted(groups - left)

    def is_complete(self) -> bool:
        """Returns whether all results were read."""
        return len(self.results) == len(self.items)

    def end(self, machine: str = "") -> Answer:
        """Ends the job."""
        machine = machine or self._fleet.machine_of(self._client)
        answer = self._fleet.request(
            machine,
            "DELETE",
            f"/hibiscuspin/lots/{self.job}",
            f"{self.job}-e",
            None,
            b"",
            READ_TIMEOUT_S,
        )
        self._case.write(
            f"job {self.job} ended at {machine}: {answer.status or 'no answer'}"
        )
        return answer
