"""Instances are stopped in turn while an item fails at each of its runs.

Each step of the trainers has one item that the engines answer with 500. Three
of four instances get a SIGTERM, one second after another. The item must not
reach an engine again after three times `max_attempts` such answers.
"""

import collections
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
# Three trainers with two open steps each.
JOBS = [f"step{number}" for number in range(6)]
GROUPS = 2
ITEMS_PER_GROUP = 4
# An event takes the engines of this script 10 ms.
EVENTS = 400
# The engine of the stand-ins answers such paths with 500.
FAILING_PATH = "/jobs/x/fails"
MAX_ATTEMPTS = 3
MOST_RUNS = 3 * MAX_ATTEMPTS
ENGINES = ("e-0", "e-1", "e-2")
ZONE_BY_INSTANCE = {
    "edge-a-1": "zone-a",
    "edge-a-2": "zone-a",
    "edge-b-1": "zone-b",
    "edge-b-2": "zone-b",
}
# Trainers of this zone have their steps there whatever instance they call.
FIRST = "edge-a-2"
FIRST_STOP_AT_S = 0.6
GAP_S = 1.0
CHECK_AT_S = 12.0


def prepare(deployment: Deployment) -> None:
    """Starts everything."""
    deployment.start_store()
    deployment.configure([job_route(max_attempts=MAX_ATTEMPTS)])
    for name in ENGINES:
        deployment.start_target(name, "llm", "m1")
    for name, zone in ZONE_BY_INSTANCE.items():
        deployment.start_instance(name, zone, bootstrap=True)
    for name in ZONE_BY_INSTANCE:
        deployment.wait(lambda name=name: deployment.is_ready(name), name)
    key = "hibiscuspin/live/coordinator"
    deployment.wait(lambda: deployment.read_key(key), "coordinator")
    # All targets have registered and listen by then.
    time.sleep(2.0)


def play(deployment: Deployment, record: Record) -> int:
    """Plays the stops and checks the rule."""
    prepare(deployment)
    started = time.monotonic()
    for job in JOBS:
        rows = [
            item(job, group, number, EVENTS)
            for group in range(GROUPS)
            for number in range(ITEMS_PER_GROUP)
        ]
        rows[0]["path"] = FAILING_PATH
        if deployment.submit(FIRST, job, rows, GROUPS) != 202:
            raise RuntimeError(f"{job} was not accepted")
    if TROUBLE:
        stop_in_turn(deployment, record, started)
    time.sleep(max(0.0, started + CHECK_AT_S - time.monotonic()))
    runs = read_runs(deployment, started)
    broken = False
    for job in JOBS:
        name = f"{job}-0-0"
        text = ", ".join(f"{at_s:.2f} {engine}" for at_s, engine in runs[name])
        record.add(f"{name} ran {len(runs[name])} times: {text}")
        broken |= len(runs[name]) > MOST_RUNS
    for name in ZONE_BY_INSTANCE:
        for row in deployment.log_lines(name):
            if row["message"].startswith("ROLLOUT: Job handed over"):
                record.add(
                    f"{name} {row['asctime']}: {row['job']} to {row['to']}"
                )
    record.add("BUDGET is broken" if broken else "the rule held")
    return 1 if broken else 0


def stop_in_turn(
    deployment: Deployment, record: Record, started: float
) -> None:
    """Stops three instances, first the one that holds the steps."""
    head = deployment.read_key(f"hibiscuspin/jobs/{JOBS[0]}")
    holder = next(n for n in ZONE_BY_INSTANCE if n.encode() in (head or b""))
    order = [holder, *(n for n in ZONE_BY_INSTANCE if n != holder)]
    record.add(f"{holder} holds the steps")
    for number, name in enumerate(order[:3]):
        at_s = FIRST_STOP_AT_S + number * GAP_S
        time.sleep(max(0.0, started + at_s - time.monotonic()))
        deployment.signal(name, signal.SIGTERM)
        threading.Thread(
            target=start_again, args=(deployment, record, name), daemon=True
        ).start()


def start_again(deployment: Deployment, record: Record, name: str) -> None:
    """Starts an instance again once its process has ended."""
    code = deployment.wait_ended(name)
    record.add(f"{name} ended with {code}")
    zone = ZONE_BY_INSTANCE[name]
    deployment.start_instance(name, zone, bootstrap=False)


def read_runs(
    deployment: Deployment, started: float
) -> dict[str, list[tuple[float, str]]]:
    """Returns by item when its runs began, and at which engine."""
    runs: dict[str, list[tuple[float, str]]] = collections.defaultdict(list)
    # The stand-ins use `CLOCK_BOOTTIME`.
    offset_s = time.monotonic() - time.clock_gettime(time.CLOCK_BOOTTIME)
    for engine in ENGINES:
        rows: list[dict[str, Any]] = deployment.runs(engine)
        for row in rows:
            if "id" in row:
                at_s = row["at"] + offset_s - started
                runs[row["id"]].append((at_s, engine))
    return {name: sorted(rows) for name, rows in runs.items()}


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
