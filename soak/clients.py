"""Callers and a trainer that record what they were told."""

import random
import threading
import time
from typing import Any, NamedTuple

import msgspec

from hibiscuspin.edges import TargetError
from standins.platform_fleet import PlatformFleet

__all__ = ["Callers", "Reply", "Trainer"]

CALLERS = 4
PAUSE_S = 0.03
JOB_EVENTS = 60
JOB_GROUPS = 2
JOB_SIZE = 4
JOB_LIMIT_S = 10.0


class Reply(NamedTuple):
    """What a caller got; status 0 means a broken connection."""

    request_id: str
    status: int
    own: bool


class Callers:
    """Send calls over kept connections until they are stopped."""

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        self._fleet = fleet
        self._seed = seed
        self._stop = threading.Event()
        self.replies: list[Reply] = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Starts all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends all callers."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        draw = random.Random(f"{self._seed} {number}")
        count = 0
        while not self._stop.is_set():
            name = draw.choice(sorted(self._fleet.instance_by_name))
            count += 1
            request_id = f"c{number}-{count}"
            self.replies.append(self._call(name, request_id))
            time.sleep(PAUSE_S)

    def _call(self, name: str, request_id: str) -> Reply:
        try:
            answer = self._fleet.call(name, "POST", "/calls/x", request_id)
        except TargetError:
            return Reply(request_id, 0, True)
        own = True
        if answer.status == 200:
            own = (
                msgspec.json.decode(answer.body)["id"] == request_id
                and answer.headers["X-Request-Id"] == request_id
                and "X-Server-Stamp" in answer.headers
            )
        return Reply(request_id, answer.status, own)


class Trainer:
    """Sends jobs, one after the other, and reads them at any instance."""

    def __init__(self, fleet: PlatformFleet, seed: int) -> None:
        self._fleet = fleet
        self._draw = random.Random(f"{seed} trainer")
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.accepted: list[str] = []
        self.refused: list[str] = []
        self.rows_by_job: dict[str, list[Any]] = {}
        self.broken: list[str] = []

    def start(self) -> None:
        """Starts to send jobs."""
        self._thread.start()

    def stop(self) -> None:
        """Sends no more jobs."""
        self._stop.set()
        self._thread.join()

    def _name(self) -> str:
        return self._draw.choice(sorted(self._fleet.instance_by_name))

    def _run(self) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            job = f"j{number}"
            if self._submit(job):
                self._read(job)

    def _submit(self, job: str) -> bool:
        statuses = []
        for _ in range(2):
            try:
                status = self._fleet.submit(
                    self._name(), job, JOB_GROUPS, JOB_SIZE, JOB_EVENTS
                )
            except TargetError:
                status = 0
            statuses.append(status)
            if status == 202:
                self.accepted.append(job)
                return True
            time.sleep(0.5)
        if all(status in (429, 503) for status in statuses):
            self.refused.append(job)
        return False

    def _read(self, job: str) -> None:
        rows = self.rows_by_job.setdefault(job, [])
        end = time.monotonic() + JOB_LIMIT_S
        total = JOB_GROUPS * JOB_SIZE
        while time.monotonic() < end and len(rows) < total:
            after = self._draw.randint(0, len(rows))
            self.read_once(self._name(), job, after)

    def read_once(self, name: str, job: str, after: int) -> int:
        """Reads from a position on, and compares with what was read before.

        Returns:
            The status, 0 for a broken connection.
        """
        rows = self.rows_by_job.setdefault(job, [])
        try:
            page = self._fleet.results(name, job, after, 300)
        except TargetError:
            time.sleep(0.1)
            return 0
        status = int(page.get("status", 200))
        if status in (404, 410):
            self.broken.append(f"{name} says {status} of {job}")
        for place, row in enumerate(page["results"], start=after):
            if place < len(rows) and rows[place] != row:
                self.broken.append(f"{job}: position {place} has changed")
            elif place == len(rows):
                rows.append(row)
        return status
