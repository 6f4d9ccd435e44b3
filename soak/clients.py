"""Callers and a trainer that record the responses they get."""

import random
import threading
import time
from typing import Any, NamedTuple

import msgspec

from hibiscuspin.edges import TargetError
from standins.platform_fleet import PlatformFleet

__all__ = ["Callers", "Reply", "Trainer"]

CALLER_COUNT = 4
CALL_PAUSE_S = 0.03
EVENTS_PER_SAMPLE = 60
GROUPS_PER_JOB = 2
SAMPLES_PER_GROUP = 4
# The reward call of this item of each job always fails.
UNSCORABLE_ITEM = "0-0"
JOB_READ_TIMEOUT_S = 10.0


class Reply(NamedTuple):
    """The response to one call.

    Attributes:
        request_id: Id of the request.
        status: HTTP status; 0 means a broken connection.
        is_own: False if a 200 response carries the id of another request or
            lacks `X-Server-Stamp`.
    """

    request_id: str
    status: int
    is_own: bool


class Callers:
    """Threads that send calls over persistent connections until stopped."""

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        self._fleet = fleet
        self._seed = seed
        self._stop = threading.Event()
        self.replies: list[Reply] = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(CALLER_COUNT)
        ]

    def start(self) -> None:
        """Starts all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops all callers and waits for their threads."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        rng = random.Random(f"{self._seed} {number}")
        count = 0
        while not self._stop.is_set():
            name = rng.choice(sorted(self._fleet.instance_by_name))
            count += 1
            request_id = f"c{number}-{count}"
            self.replies.append(self._call(name, request_id))
            time.sleep(CALL_PAUSE_S)

    def _call(self, name: str, request_id: str) -> Reply:
        try:
            response = self._fleet.call(name, "POST", "/calls/x", request_id)
        except TargetError:
            return Reply(request_id, 0, True)
        is_own = True
        if response.status == 200:
            is_own = (
                msgspec.json.decode(response.body)["id"] == request_id
                and response.headers["X-Request-Id"] == request_id
                and "X-Server-Stamp" in response.headers
            )
        return Reply(request_id, response.status, is_own)


class Trainer:
    """Submits one job after another and reads the results at any instance."""

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(f"{seed} trainer")
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.accepted_jobs: list[str] = []
        self.refused_jobs: list[str] = []
        self.rows_by_job: dict[str, list[Any]] = {}
        self.violations: list[str] = []

    def start(self) -> None:
        """Starts the thread that submits and reads jobs."""
        self._thread.start()

    def stop(self) -> None:
        """Submits no more jobs and waits for the thread."""
        self._stop.set()
        self._thread.join()

    def _random_instance(self) -> str:
        return self._random.choice(sorted(self._fleet.instance_by_name))

    def _run(self) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            job = f"j{number}"
            if self._submit(job):
                self._read_job(job)

    def _submit(self, job: str) -> bool:
        statuses = []
        for _ in range(2):
            try:
                status = self._fleet.submit_job(
                    self._random_instance(),
                    job,
                    GROUPS_PER_JOB,
                    SAMPLES_PER_GROUP,
                    EVENTS_PER_SAMPLE,
                    unscorable=[f"{job}-{UNSCORABLE_ITEM}"],
                )
            except TargetError:
                status = 0
            statuses.append(status)
            if status == 202:
                self.accepted_jobs.append(job)
                return True
            time.sleep(0.5)
        if all(status in (429, 503) for status in statuses):
            self.refused_jobs.append(job)
        return False

    def _read_job(self, job: str) -> None:
        rows = self.rows_by_job.setdefault(job, [])
        deadline = time.monotonic() + JOB_READ_TIMEOUT_S
        total = GROUPS_PER_JOB * SAMPLES_PER_GROUP
        while time.monotonic() < deadline and len(rows) < total:
            after = self._random.randint(0, len(rows))
            self.read_page(self._random_instance(), job, after)

    def read_page(self, name: str, job: str, after: int) -> int:
        """Reads results from a position on; compares them with earlier reads.

        Returns:
            The status of the response, or 0 for a broken connection.
        """
        rows = self.rows_by_job.setdefault(job, [])
        try:
            page = self._fleet.read_results(name, job, after, 300)
        except TargetError:
            time.sleep(0.1)
            return 0
        status = int(page.get("status", 200))
        if status in (404, 410):
            self.violations.append(
                f"{name} responds {status} for accepted {job}"
            )
        for index, row in enumerate(page["results"], start=after):
            if index < len(rows) and rows[index] != row:
                self.violations.append(
                    f"{job}: result at position {index} has changed"
                )
            elif index == len(rows):
                rows.append(row)
        return status
