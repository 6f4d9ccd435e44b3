"""Engines send a second copy of some answers, late, on kept connections.

Each step of the trainers has items whose first two runs are answered with 500;
`max_attempts` is 3 and the third run is served. Two of four engines send a few
of these answers a second time, at the point where the next response is
expected on the connection. No item may be errored.
"""

import os
import pathlib
import sys
import threading
import time
from collections import Counter
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
MODEL_BY_ENGINE = {"e-0": "m1", "e-1": "m1", "e-2": "m2", "e-3": "m2"}
GARBLING = ("e-1", "e-3")
SLOTS = 16
ZONE_BY_INSTANCE = {"edge-a-1": "zone-a", "edge-b-1": "zone-b"}
# Two trainers a model; each submits a step each 4 s.
MODELS = ("m1", "m2")
STEP_PERIOD_S = 1.0
GROUPS = 4
ITEMS_PER_GROUP = 8
EVENTS = 14
FAILING_PATH = "/jobs/x/fails-twice"
# Of the items of a step, those of its last group.
FAILING_ITEMS = 2
# `garble`, `extra late`: share of the answers, and how long each time.
COPIED_SHARE = 0.03
SPAN_S = 5.0
STEPS = 80
READ_UNTIL_S = 4.0


class Trainer(threading.Thread):
    """Submits one step and reads all its results."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        super().__init__(daemon=True)
        self._deployment = deployment
        self._job = f"step{number}"
        self._model = MODELS[number % len(MODELS)]
        instances = list(ZONE_BY_INSTANCE)
        self._instance = instances[number // len(MODELS) % len(instances)]
        self.state_by_item: dict[str, str] = {}

    def run(self) -> None:
        """Submits the step; reads until all its results are listed."""
        rows = [
            item(self._job, group, number, EVENTS, self._model)
            for group in range(GROUPS)
            for number in range(ITEMS_PER_GROUP)
        ]
        for row in rows[-FAILING_ITEMS:]:
            row["path"] = FAILING_PATH
        self._deployment.submit(
            self._instance, self._job, rows, GROUPS, self._model
        )
        deadline = time.monotonic() + READ_UNTIL_S
        while time.monotonic() < deadline:
            after = len(self.state_by_item)
            status, answer = self._deployment.results(
                self._instance, self._job, after
            )
            if status == 200:
                for row in answer["results"]:
                    self.state_by_item[row["id"]] = row["state"]
            if len(self.state_by_item) == len(rows):
                return


def prepare(deployment: Deployment) -> None:
    """Starts everything."""
    deployment.start_store()
    deployment.configure([job_route(max_attempts=3)])
    relays: list[str] = []
    for name, model in MODEL_BY_ENGINE.items():
        deployment.start_target(
            name, "llm", model, SLOTS, advertised=f"{name} relay"
        )
        row = (
            name,
            deployment.address(f"{name} relay"),
            deployment.address(name),
            "1" if name in GARBLING else "0",
        )
        relays += ["--relay", ",".join(row)]
    argv = ("-m", "review.second.garbler", "--address")
    deployment.spawn("garbler", *argv, deployment.address("garbler"), *relays)
    for name, zone in ZONE_BY_INSTANCE.items():
        deployment.start_instance(name, zone, bootstrap=True)
    for name in ZONE_BY_INSTANCE:
        deployment.wait(lambda name=name: deployment.is_ready(name), name)
    # All targets have registered and listen by then.
    time.sleep(2.0)


def garble(deployment: Deployment, stop: threading.Event) -> None:
    """Has the engines send copies for 5 s, and again after 5 s without."""
    share = 0.0
    while not stop.is_set():
        share = 0.0 if share else COPIED_SHARE
        deployment.request("garbler", "PUT", "/garble", {"share": share})
        stop.wait(SPAN_S)


def play(deployment: Deployment, record: Record) -> int:
    """Plays the steps and checks the rule."""
    prepare(deployment)
    stop = threading.Event()
    if TROUBLE:
        threading.Thread(
            target=garble, args=(deployment, stop), daemon=True
        ).start()
    trainers = []
    begun_at = time.monotonic()
    for number in range(STEPS):
        due_at = begun_at + number * STEP_PERIOD_S
        time.sleep(max(0.0, due_at - time.monotonic()))
        trainer = Trainer(deployment, number)
        trainer.start()
        trainers.append(trainer)
    for trainer in trainers:
        trainer.join()
    stop.set()
    state = deployment.request("garbler", "GET", "/garble")[1]
    return check(trainers, state, record, begun_at)


def check(
    trainers: list[Trainer],
    state: dict[str, Any],
    record: Record,
    begun_at: float,
) -> int:
    """Checks that no item is errored before three answers of 500."""
    record.add(f"answers in the spans: {state['answers']}")
    record.add(f"copies: {state['copies']}")
    states = {k: v for t in trainers for k, v in t.state_by_item.items()}
    if len(states) < STEPS * GROUPS * ITEMS_PER_GROUP / 2:
        raise RuntimeError(f"only {len(states)} results were listed")
    record.add(f"results: {dict(Counter(states.values()))}")
    rows_by_item: dict[str, list[dict[str, Any]]] = {}
    for row in state["rows"]:
        rows_by_item.setdefault(row["item"], []).append(row)
    early = 0
    for name, result in states.items():
        rows = rows_by_item.get(name, [])
        failures = sum(row["what"].endswith("answered 500") for row in rows)
        if FAILING_PATH not in str(rows) and result != "errored":
            continue
        record.add(f"{name} {result}, {failures} answers of 500:")
        for row in rows:
            at_s = row["at"] - begun_at
            record.add(f"    {at_s:.3f} {row['engine']} {row['what']}")
        early += result == "errored" and failures < 3
    record.add(f"{early} items errored before three answers of 500")
    record.add("MIXED is broken" if early else "the rule held")
    return 1 if early else 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
