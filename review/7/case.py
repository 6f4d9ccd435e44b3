"""A job's new holder does not learn that its takeover was stored.

The holder of a trainer's steps is killed while the store loses the answers of
a third of the writes. Each step that had begun must go on at the other
instance.
"""

import contextlib
import os
import pathlib
import signal
import sys
import threading
import time
from typing import Any

from review.second.deployment import (
    Deployment,
    Record,
    item,
    job_route,
    run_case,
)

FOLDER = pathlib.Path(__file__).parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = [f"step{number}" for number in range(6)]
ITEMS_PER_JOB = 2
# An event takes the engines of this script 10 ms.
EVENTS = 300
ENGINES = ("e-0", "e-1", "e-2")
ZONE_BY_INSTANCE = {"edge-a-1": "zone-a", "edge-b-1": "zone-b"}

# A third of the writes; the pages allow 0.35.
LOSS_PERIOD = 3
KILL_AT_S = 0.8
LOSS_FROM_S = 1.6
LOSS_UNTIL_S = 3.4
# When the killed process starts again.
RESTART_AT_S = 3.4
CONTACT_S = 3.0
IDLE_S = 5.0
# When the trainer gives its step up, as in the users' tables.
DEADLINE_S = 12.0
# After this, items may be given up.
QUEUE_TTL_S = 40.0
POLL_S = 0.1
READ_PERIOD_S = 0.3


class Trainer(threading.Thread):
    """Reads one step's results until all are there or time is up."""

    def __init__(self, deployment: Deployment, reader: str, job: str) -> None:
        super().__init__(daemon=True)
        self._deployment = deployment
        self._reader = reader
        self.job = job
        self.state_by_item: dict[str, str] = {}
        self.ended_at = time.monotonic() + QUEUE_TTL_S + 4.0
        self.listed_at: dict[str, float] = {}

    def run(self) -> None:
        """Reads about three times a second."""
        while time.monotonic() < self.ended_at:
            with contextlib.suppress(OSError):
                status, page = self._deployment.results(
                    self._reader, self.job, len(self.state_by_item)
                )
                if status == 200:
                    self._note(page)
            if len(self.state_by_item) == ITEMS_PER_JOB:
                return
            time.sleep(READ_PERIOD_S)

    def _note(self, page: dict[str, Any]) -> None:
        for row in page["results"]:
            self.state_by_item[row["id"]] = row["state"]
            self.listed_at[row["id"]] = time.monotonic()
            self._deployment.record.add(f"listed {row['id']} {row['state']}")


def prepare(deployment: Deployment) -> tuple[str, str]:
    """Starts everything; returns the holder of the steps and the other one."""
    deployment.start_store(gate=True)
    deployment.configure([job_route()])
    for name in ENGINES:
        deployment.start_target(name, "llm", "m1")
    for name, zone in ZONE_BY_INSTANCE.items():
        deployment.start_instance(name, zone, bootstrap=True, store="gate")
    for name in ZONE_BY_INSTANCE:
        deployment.wait(lambda name=name: deployment.is_ready(name), name)
    key = "hibiscuspin/live/coordinator"
    deployment.wait(lambda: deployment.read_key(key), "coordinator")
    # All targets have registered and listen by then.
    time.sleep(2.0)
    coordinator = (deployment.read_key(key) or b"").decode()
    holder = next(n for n in ZONE_BY_INSTANCE if n != coordinator)
    deployment.record.add(f"coordinator {coordinator}, holder {holder}")
    return holder, coordinator


def play(deployment: Deployment, record: Record) -> int:
    """Plays the disruption and checks the rule."""
    holder, other = prepare(deployment)
    started = time.monotonic()
    for job in JOBS:
        rows = [item(job, 0, n, EVENTS) for n in range(ITEMS_PER_JOB)]
        if deployment.submit(holder, job, rows, 1) != 202:
            raise RuntimeError(f"{job} was not accepted")
    trainers = [Trainer(deployment, other, job) for job in JOBS]
    for trainer in trainers:
        trainer.start()
    if TROUBLE:
        at(started, KILL_AT_S)
        deployment.signal(holder, signal.SIGKILL)
        deployment.wait_ended(holder)
        at(started, LOSS_FROM_S)
        deployment.request("gate", "PUT", "/gate", {"period": LOSS_PERIOD})
        record.add("the store loses the answers of a third of the writes")
        at(started, LOSS_UNTIL_S)
        deployment.request("gate", "PUT", "/gate", {"period": 0})
        record.add("the store answers all writes")
        at(started, RESTART_AT_S)
        zone = ZONE_BY_INSTANCE[holder]
        deployment.start_instance(holder, zone, bootstrap=False, store="gate")
        record.add(f"{holder} started again")
    at(started, DEADLINE_S)
    runs = read_runs(deployment, started)
    show_runs(record, runs)
    if TROUBLE:
        record.add(f"gate: {deployment.request('gate', 'GET', '/gate')[1]}")
    broken = find_broken(record, trainers, runs)
    while broken and time.monotonic() < started + QUEUE_TTL_S + 2.0:
        time.sleep(POLL_S)
    for name in broken:
        state = next(
            (
                t.state_by_item[name]
                for t in trainers
                if name in t.state_by_item
            ),
            "not listed",
        )
        record.add(f"{name} after {QUEUE_TTL_S + 2:.0f} s: {state}")
    for name in ZONE_BY_INSTANCE:
        for row in deployment.log_lines(name):
            if "take" in row["message"] or "Sweep" in row["message"]:
                record.add(f"log of {name}: {row}")
    record.add(f"LOST: {len(broken)} items" if broken else "the rule held")
    return 1 if broken else 0


def at(started: float, offset_s: float) -> None:
    """Waits until a time after the submission of the steps."""
    time.sleep(max(0.0, started + offset_s - time.monotonic()))


def read_runs(
    deployment: Deployment, started: float
) -> dict[str, list[tuple[float, str]]]:
    """Returns by item when runs began and when one ended, with the engine."""
    runs: dict[str, list[tuple[float, str]]] = {}
    for engine in ENGINES:
        for row in deployment.runs(engine):
            name = row.get("id") or row.get("ended")
            if name:
                what = "began" if "id" in row else "ended"
                # `CLOCK_BOOTTIME`, which does not differ from the monotonic
                # clock unless the machine was suspended.
                seconds = row["at"] - time.clock_gettime(time.CLOCK_BOOTTIME)
                offset_s = time.monotonic() + seconds - started
                runs.setdefault(name, []).append((offset_s, what))
    return {name: sorted(rows) for name, rows in runs.items()}


def show_runs(record: Record, runs: dict[str, list[tuple[float, str]]]) -> None:
    """Records what the engines have run."""
    for name, rows in sorted(runs.items()):
        text = ", ".join(f"{what} at {at_s:.2f}" for at_s, what in rows)
        record.add(f"engines: {name} {text}")


def find_broken(
    record: Record,
    trainers: list[Trainer],
    runs: dict[str, list[tuple[float, str]]],
) -> list[str]:
    """Returns the items of which the rule LOST says that they are lost.

    They have no result, no engine has finished them, and they have been at
    none since the kill, so also not in the last `IDLE_S`. All machines and the
    store were in steady state in that time.
    """
    disrupted_until = max(LOSS_UNTIL_S, RESTART_AT_S)
    if disrupted_until + CONTACT_S + IDLE_S > DEADLINE_S:
        raise ValueError("the step ends too early for this rule")
    broken = []
    for trainer in trainers:
        items = [name for name in runs if name.startswith(f"{trainer.job}-")]
        for name in items:
            if name in trainer.state_by_item:
                continue
            rows = runs[name]
            if any(what == "ended" for _, what in rows):
                continue
            last_s = rows[-1][0]
            record.add(f"{name}: no result, last run began at {last_s:.2f} s")
            if last_s < KILL_AT_S:
                broken.append(name)
    return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
