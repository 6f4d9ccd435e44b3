"""The holder of a batch job is killed three times, soon after it took over."""

import base64
import json
import time
from collections import Counter

from review.third.fleet import HOST, Fleet, has_trouble, run_script

ZONES = {"savo-a": "savo", "savo-b": "savo"}
SERVICE = "vastaaja-llm"
MODEL = "daka510000"
JOB = "lot0"
MAX_ATTEMPTS = 3
ROUTE = {
    "name": "r-rollout",
    "host": HOST,
    "prefix": "/rollouts/",
    "type": "sampling",
    "timeout_ms": 10000,
    "slo_ms": 500,
    "priority": 1,
    "service": SERVICE,
    "max_attempts": MAX_ATTEMPTS,
    "queue_ttl_s": 40,
    "due_ms": 7500,
    "resumable": True,
}
ENGINES = 3
INSTANCES = 7
KILLS = 3
DOWN_S = 3.5
FAILING = [f"{JOB}-fails-{number}" for number in range(3)]
SOUND = [f"{JOB}-sound-{number}" for number in range(5)]
READ_S = 25.0


def submit(fleet: Fleet, name: str) -> None:
    """Submits a step; three of its eight items fail at each run."""
    items = [
        {
            "id": item,
            "path": "/rollouts/x",
            "headers": {
                "X-Model": MODEL,
                "X-Token-Count": "30,300",
                "X-Answer-Status": "500" if item in FAILING else "200",
                "X-Work-Ms": "50" if item in FAILING else "900",
            },
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 330,
            "group": "g0",
        }
        for item in FAILING + SOUND
    ]
    body = {
        "step": 0,
        "model": MODEL,
        "min_version": 1,
        "group_count": 1,
        "items": items,
    }
    data = json.dumps(body).encode()
    fleet.call(name, "POST", "/rollouts/x", JOB, data, X_Deadline_Ms="12000")


def failures(fleet: Fleet) -> Counter[str]:
    """Returns how often each item was answered with 500."""
    return Counter(
        row["ended"] for row in fleet.runs() if row.get("status") == 500
    )


def await_failures(fleet: Fleet, count: int) -> bool:
    """Waits until all failing items have so many answers of 500."""
    until = time.monotonic() + 8
    while time.monotonic() < until:
        if min(failures(fleet)[item] for item in FAILING) >= count:
            return True
        time.sleep(0.02)
    return False


def main(fleet: Fleet) -> int:
    """Returns the exit code."""
    services = [{"name": SERVICE, "max_conns": 170, "engine": {"stride": 1}}]
    fleet.configure([ROUTE], services)
    for number in range(ENGINES):
        fleet.start_engine(
            f"i-{number}", SERVICE, "savo-a", model=MODEL, slots=16
        )
    fleet.wait_registered(ENGINES)
    names = [f"edge-{number}" for number in range(INSTANCES)]
    for number, name in enumerate(names):
        zone = list(ZONES)[number % len(ZONES)]
        fleet.start_instance(name, zone, ZONES)
    fleet.wait_ready()
    time.sleep(4)
    submit(fleet, names[0])
    restart_at: dict[str, float] = {}
    for kill in range(KILLS if has_trouble() else 0):
        if not await_failures(fleet, (kill + 1) * MAX_ATTEMPTS):
            break
        time.sleep(0.1)
        holder = fleet.holder(JOB)
        fleet.note(f"{holder}, which wrote to the store last, is killed")
        fleet.kill(holder)
        restart_at[holder] = time.monotonic() + DOWN_S
        for name, at in list(restart_at.items()):
            if time.monotonic() >= at:
                fleet.start_instance(name, "savo-a", ZONES)
                del restart_at[name]
    time.sleep(READ_S if has_trouble() else 10.0)
    counts = failures(fleet)
    most = 3 * MAX_ATTEMPTS
    fleet.note(f"answers of 500: {dict(counts)}")
    broken = [
        f"BUDGET: {item} reached an engine again after {most} answers of 500; "
        f"there were {count}"
        for item, count in counts.items()
        if count > most
    ]
    return fleet.finish(broken)


if __name__ == "__main__":
    run_script(__file__, main)
