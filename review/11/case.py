"""The store is silent while a step is submitted at two machines."""

import base64
import json
import signal
import time

from review.third.fleet import (
    HOST,
    Answer,
    Fleet,
    has_trouble,
    run_script,
)

ZONES = {"savo-a": "savo"}
SERVICE = "vastaaja-llm"
MODELS = [f"daka{number:06d}" for number in range(24)]
ROUTE = {
    "name": "r-rollout",
    "host": HOST,
    "prefix": "/rollouts/",
    "type": "sampling",
    "timeout_ms": 10000,
    "slo_ms": 500,
    "priority": 1,
    "service": SERVICE,
    "max_attempts": 3,
    "queue_ttl_s": 40,
    "due_ms": 7500,
    "resumable": True,
}
MEMORY_MB = 150
ENGINES = 3
SLOTS = 16
# Items of the steps that came before, and of the step in question.
LARGE, SMALL = 4096, 64
MOST_STEPS = 120
SILENT_S = 5.2
PROMISES = (408, 421, 429, 503)
SETTLE_S = 10.0


def submit(
    fleet: Fleet, name: str, job: str, model: str, count: int, version: int = 1
) -> Answer:
    """Submits a step of so many items."""
    items = [
        {
            "id": f"{job}-{number}",
            "path": "/rollouts/x",
            "headers": {"X-Model": model, "X-Token-Count": "30,3"},
            "body": base64.b64encode(bytes(300)).decode(),
            "tokens": 33,
            "group": f"g{number // 8}",
        }
        for number in range(count)
    ]
    body = {
        "step": 0,
        "model": model,
        "min_version": version,
        "group_count": count // 8,
        "items": items,
    }
    data = json.dumps(body).encode()
    return fleet.call(
        name, "POST", "/rollouts/x", job, data, X_Deadline_Ms="12000"
    )


def end(fleet: Fleet, name: str, job: str) -> None:
    """Ends a step, as its trainer does."""
    fleet.call(name, "DELETE", f"/hibiscuspin/lots/{job}", f"end-{job}")


def find_models(fleet: Fleet, names: list[str]) -> dict[str, str]:
    """Returns a model for each machine that holds the steps of it."""
    model_by_holder: dict[str, str] = {}
    for model in MODELS:
        submit(fleet, names[0], f"first-{model}", model, 8)
        model_by_holder.setdefault(fleet.holder(f"first-{model}"), model)
        end(fleet, names[0], f"first-{model}")
        if len(model_by_holder) == len(names):
            break
    return model_by_holder


def fill(fleet: Fleet, name: str, model: str) -> None:
    """Sends steps to a machine until it refuses the next; ends them all."""
    jobs = []
    for count in (LARGE, SMALL):
        for number in range(MOST_STEPS):
            job = f"{name}-{count}-{number}"
            # No engine has this version yet, so that none of it runs.
            if submit(fleet, name, job, model, count, 9).status != 202:
                break
            jobs.append(job)
    for job in jobs:
        end(fleet, name, job)


def main(fleet: Fleet) -> int:
    """Returns the exit code."""
    services = [{"name": SERVICE, "max_conns": 170, "engine": {"stride": 1}}]
    fleet.configure([ROUTE], services)
    for number in range(ENGINES):
        fleet.start_engine(
            f"i-{number}",
            SERVICE,
            "savo-a",
            model=",".join(MODELS),
            slots=SLOTS,
        )
    fleet.wait_registered(ENGINES)
    names = [f"edge-savo-a-{number}" for number in range(3)]
    for name in names:
        fleet.start_instance(name, "savo-a", ZONES, memory_mb=MEMORY_MB)
    fleet.wait_ready()
    time.sleep(3)
    model_by_holder = find_models(fleet, names)
    *full, holder = list(model_by_holder)
    for name in full:
        fill(fleet, name, model_by_holder[name])
    time.sleep(1)
    model = model_by_holder[holder]
    if has_trouble():
        fleet.signal("store", signal.SIGSTOP)
        fleet.note("the store is silent")
    silent_until = time.monotonic() + SILENT_S
    answers = []
    for name in full:
        if answers:
            time.sleep(float(answers[-1].headers.get("Retry-After", 0)))
        answers.append(submit(fleet, name, "step", model, SMALL))
        if answers[-1].status not in PROMISES:
            break
    if has_trouble():
        time.sleep(max(0.0, silent_until - time.monotonic()))
        fleet.signal("store", signal.SIGCONT)
        fleet.note("the store answers again")
    time.sleep(SETTLE_S)
    runs = [r for r in fleet.runs() if r.get("run", "").startswith("step-")]
    statuses = [answer.status for answer in answers]
    fleet.note(f"the step was answered {statuses}; {len(runs)} items ran")
    broken = []
    if runs and all(status in PROMISES for status in statuses):
        broken.append(
            f"REFUSED: {len(runs)} items ran of a step that was answered "
            f"{statuses}"
        )
    return fleet.finish(broken)


if __name__ == "__main__":
    run_script(__file__, main)
