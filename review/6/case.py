"""An instance is stopped after new weights have made it begin texts anew.

On a route with `single_version`, samples that had begun under version 1 begin
anew under version 2. The holder of the step then gets a SIGTERM. Each completed
result must have the whole text of its version.
"""

import contextlib
import os
import pathlib
import signal
import sys
import time
from typing import Any

from review.second.deployment import (
    MODEL,
    Deployment,
    Record,
    item,
    job_route,
    run_case,
)
from review.second.engine import whole_text

FOLDER = pathlib.Path(__file__).parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "step0"
GROUPS = 2
ITEMS_PER_GROUP = 4
# Of each text under version 1, and of the shortest under version 2.
EVENTS = 300
LATER_EVENTS = 100
ENGINES = ("e-0", "e-1", "e-2")
SLOTS = 16
ZONE_BY_INSTANCE = {
    "edge-a-1": "zone-a",
    "edge-b-1": "zone-b",
    "edge-b-2": "zone-b",
}
HOLDER = "edge-a-1"
READER = "edge-b-1"
NAME_VERSION_AT_S = 0.3
# From the end of the first text of version 2 to the stop.
STOP_AFTER_S = 0.3
WAIT_S = 10.0
DEADLINE_S = 25.0
POLL_S = 0.05


def play(deployment: Deployment, record: Record) -> int:
    """Plays the case and checks the rule."""
    prepare(deployment)
    rows = [
        item(JOB, group, number, EVENTS)
        for group in range(GROUPS)
        for number in range(ITEMS_PER_GROUP)
    ]
    path_by_item = {}
    for index, row in enumerate(rows):
        later = LATER_EVENTS + 30 * (index % ITEMS_PER_GROUP)
        row["path"] = f"/jobs/x/{EVENTS}-{later}"
        path_by_item[row["id"]] = row["path"]
    started = time.monotonic()
    if deployment.submit(HOLDER, JOB, rows, GROUPS) != 202:
        raise RuntimeError("the step was not accepted")
    time.sleep(NAME_VERSION_AT_S)
    version = {"model": MODEL, "version": 2}
    deployment.put_key(f"op/version/{MODEL}", version)
    record.add("the trainer names version 2")
    if TROUBLE:
        deployment.wait(
            lambda: ended_later(deployment), "text of version 2", WAIT_S
        )
        time.sleep(STOP_AFTER_S)
        deployment.signal(HOLDER, signal.SIGTERM)
    found = read(deployment, len(rows), started + DEADLINE_S)
    show_runs(deployment, record)
    return check(record, found, path_by_item)


def prepare(deployment: Deployment) -> None:
    """Starts everything."""
    deployment.start_store()
    deployment.configure([job_route(single_version=True)])
    for name in ENGINES:
        module = "review.second.engine"
        deployment.start_target(name, "llm", MODEL, SLOTS, module)
    for name, zone in ZONE_BY_INSTANCE.items():
        deployment.start_instance(name, zone, bootstrap=True)
    for name in ZONE_BY_INSTANCE:
        deployment.wait(lambda name=name: deployment.is_ready(name), name)
    key = "hibiscuspin/live/coordinator"
    deployment.wait(lambda: deployment.read_key(key), "coordinator")
    # All targets have registered and listen by then.
    time.sleep(2.0)


def ended_later(deployment: Deployment) -> bool:
    """Returns whether an engine has ended a text of version 2."""
    return any(
        "ended" in row and row["version"] == 2
        for engine in ENGINES
        for row in deployment.runs(engine)
    )


def read(
    deployment: Deployment, total: int, deadline: float
) -> list[dict[str, Any]]:
    """Reads the step's results as its trainer does."""
    rows: list[dict[str, Any]] = []
    while time.monotonic() < deadline and len(rows) < total:
        with contextlib.suppress(OSError):
            status, page = deployment.results(READER, JOB, len(rows))
            if status == 200:
                rows += page["results"]
        time.sleep(POLL_S)
    return rows


def show_runs(deployment: Deployment, record: Record) -> None:
    """Records what the engines have run."""
    rows = [
        (row["at"], engine, row)
        for engine in ENGINES
        for row in deployment.runs(engine)
    ]
    for _, engine, row in sorted(rows, key=lambda entry: entry[0]):
        record.add(f"{engine}: {row}")


def check(
    record: Record, found: list[dict[str, Any]], path_by_item: dict[str, str]
) -> int:
    """Returns 1 if a completed text isn't whole, else 0."""
    broken = 0
    for row in found:
        name, text = row["id"], row["text"]
        whole = [
            whole_text(name, path_by_item[name], version)
            for version in row["versions"]
        ]
        is_whole = row["state"] != "completed" or text in whole
        broken |= not is_whole
        events = text.split("\n")
        record.add(
            f"{name} {row['state']} versions {row['versions']}: "
            f"{len(events)} events from {events[0]} to {events[-1]}; "
            f"{'whole' if is_whole else 'not whole'}"
        )
    record.add("MIXED is broken" if broken else "the rule held")
    return int(broken)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
