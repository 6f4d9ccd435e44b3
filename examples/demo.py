"""Demonstrates the service end to end on loopback; run by `make demo`.

Instances of two data centres and all stand-ins run as processes. Prints a table
of the checks and exits with 1 if any check failed.
"""

import json
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from bench.fleet import Fleet, Instance, request
from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError
from standins.platform_fleet import PlatformFleet, reward_id
from standins.tokens import expected_tokens

CALLER_TOKEN = "counters-token"
TRAINER_TOKEN = "appraisal-token"
MODEL = "tasador-lm"
MAX_TOKENS = 40
LOAD_THREADS = 4
LOAD_S = 2.0
PLATFORM_CALLS = 20
PLATFORM_EVENTS = 120
UNSCORABLE_ITEM = "demo-job-0-0"
KILL_AFTER_S = 1.0
JOB_TIMEOUT_S = 15.0
ROW_FORMAT = "{:<44} {:<6} {}"


class CheckResult(NamedTuple):
    """One row of the table printed at the end."""

    check: str
    passed: bool
    observed: str


def check_completions(fleet: Fleet) -> CheckResult:
    """Compares a complete and a streamed completion with the expected text."""
    instance = fleet.instances[0]
    body = {"model": MODEL, "prompt": "console A", "max_tokens": MAX_TOKENS}
    expected = "".join(expected_tokens("console A", 0, MAX_TOKENS))
    complete_response = request(
        instance.caller, "POST", "/v1/completions", body, token=CALLER_TOKEN
    )
    text = json.loads(complete_response.body)["choices"][0]["text"]
    streamed_response = request(
        instance.caller,
        "POST",
        "/v1/completions",
        {**body, "stream": True},
        token=CALLER_TOKEN,
    )
    passed = (
        text == expected and _streamed_text(streamed_response.body) == expected
    )
    return CheckResult(
        "whole and streamed completions", passed, f"{len(text)} chars"
    )


def check_offer(fleet: Fleet) -> CheckResult:
    """Sends one credit offer through all instances; expects one execution."""
    for instance in fleet.instances:
        request(
            instance.caller,
            "POST",
            "/v1/services/credit-offers/offers",
            {"console": "A", "credit": 120},
            token=CALLER_TOKEN,
            headers={"Idempotency-Key": "offer-1"},
        )
    executed = sum(
        len(fleet.get(name, "/records"))
        for name in fleet.standins_by_name
        if name.startswith("offers-")
    )
    return CheckResult(
        "a credit offer sent twice, given once",
        executed == 1,
        f"{executed} run",
    )


def check_step(fleet: Fleet) -> CheckResult:
    """Submits a step at one instance and pulls all samples from another."""
    path = "/v1/trainers/appraiser/steps/1"
    prompts = [
        {
            "id": f"p{i}",
            "prompt": f"appraise {i}",
            "samples": 4,
            "max_tokens": 40,
        }
        for i in range(16)
    ]
    body = {"prompts": prompts, "final": True}
    first, second = fleet.instances[:2]
    request(first.trainer, "POST", f"{path}/prompts", body, token=TRAINER_TOKEN)
    slots: list[str] = []
    after = 0
    complete = False
    while not complete:
        query = f"{path}/samples?after={after}&wait_ms=2000"
        response = request(second.trainer, "GET", query, token=TRAINER_TOKEN)
        if response.status != 200:
            return CheckResult(
                "one trainer step whole", False, response.body.decode()
            )
        pulled = json.loads(response.body)
        slots += [sample["slot"] for sample in pulled["samples"]]
        after, complete = pulled["cursor"], pulled["complete"]
    passed = len(slots) == len(set(slots)) == 64
    return CheckResult(
        "one trainer step delivered whole", passed, f"{len(slots)} of 64"
    )


def check_configuration(fleet: Fleet) -> CheckResult:
    """Changes the configuration and waits until all instances apply it."""
    current = fleet.admin(fleet.instances[0], "GET", "config")
    config = current["config"]
    config["models_by_name"][MODEL]["max_tokens"] = 1024
    started_at = monotonic()
    revision = fleet.apply(config, current["revision"])
    fleet.wait_configured(revision, 7.0)
    took_s = monotonic() - started_at
    return CheckResult(
        "a change in force everywhere", took_s < 7, f"{took_s:.2f} s"
    )


def check_stop(fleet: Fleet) -> CheckResult:
    """Stops one instance under load; accepted requests must complete."""
    stopped_instance = fleet.instances[-1]
    outcomes: Counter[str] = Counter()

    def drive() -> None:
        deadline = monotonic() + LOAD_S
        while monotonic() < deadline:
            outcome = _send_completion(
                stopped_instance, f"load {sum(outcomes.values())}"
            )
            outcomes[outcome] += 1
            if outcome == "refused":  # a load balancer would stop too
                return

    threads = [threading.Thread(target=drive) for _ in range(LOAD_THREADS)]
    for thread in threads:
        thread.start()
    time.sleep(LOAD_S / 2)
    code = stopped_instance.process.stop()
    for thread in threads:
        thread.join()
    passed = code == 0 and not outcomes["cut"] and outcomes["ok"] > 0
    observed = f"{outcomes['ok']} served, {outcomes['cut']} cut, exit {code}"
    return CheckResult(
        "a planned stop under load cuts nothing", passed, observed
    )


def _send_completion(instance: Instance, prompt: str) -> str:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": MAX_TOKENS}
    try:
        response = request(
            instance.caller, "POST", "/v1/completions", body, token=CALLER_TOKEN
        )
    except TargetError as error:
        return "cut" if error.sent else "refused"
    if response.status == 503:
        return "refused"
    text = json.loads(response.body)["choices"][0]["text"]
    expected = "".join(expected_tokens(prompt, 0, MAX_TOKENS))
    return "ok" if text == expected else "cut"


def _streamed_text(body: bytes) -> str:
    text = ""
    for line in body.decode().splitlines():
        if line.startswith("data: {"):
            text += json.loads(line[6:])["choices"][0]["text"]
    return text


CHECKS: tuple[Callable[[Fleet], CheckResult], ...] = (
    check_completions,
    check_offer,
    check_step,
    check_configuration,
    check_stop,
)


def check_platform() -> list[CheckResult]:
    """Runs calls, and a job whose holder is killed, on the platform."""
    with (
        tempfile.TemporaryDirectory() as folder,
        PlatformFleet.running(folder) as fleet,
    ):
        statuses = [
            fleet.call("edge-0", "POST", "/calls/x", f"demo-{number}").status
            for number in range(PLATFORM_CALLS)
        ]
        served = statuses.count(200)
        calls = CheckResult(
            "calls on the platform",
            served == PLATFORM_CALLS,
            f"{served} of {PLATFORM_CALLS} answered",
        )
        fleet.submit_job(
            "edge-0", "demo-job", 3, 4, PLATFORM_EVENTS, [UNSCORABLE_ITEM]
        )
        time.sleep(KILL_AFTER_S)
        before = fleet.read_results("edge-1", "demo-job", 0, 0)["results"]
        fleet.instance_by_name["edge-0"].process.kill()
        rows = fleet.read_all_results("edge-1", "demo-job", JOB_TIMEOUT_S)
        is_complete = len(rows) == 12 and rows[: len(before)] == before
        observed = f"{len(rows)} of 12 results, {len(before)} before the kill"
        return [
            calls,
            CheckResult("a job whose holder is killed", is_complete, observed),
            check_scores(fleet, rows),
        ]


def check_scores(
    fleet: PlatformFleet, rows: list[dict[str, Any]]
) -> CheckResult:
    """Compares scores with the stamps that targets gave to reward calls."""
    stamps = {
        (record["id"], record["stamp"])
        for name in fleet.target_names()
        for record in fleet.target_records(name)
        if "stamp" in record
    }
    scored = sum((reward_id(r["id"]), r.get("score")) in stamps for r in rows)
    errored = [row["id"] for row in rows if row["state"] == "errored"]
    return CheckResult(
        "samples scored by their reward calls",
        scored == len(rows) - 1 and errored == [UNSCORABLE_ITEM],
        f"{scored} scored, {len(errored)} given up",
    )


def main() -> int:
    """Runs all checks and prints the table."""
    with Fleet.running() as fleet:
        fleet.platform()
        config = fleet.targets("examples/canjea")
        fleet.daemon("cba-a-1", "cba-a")
        fleet.daemon("cba-b-1", "cba-b")
        fleet.wait_started()
        fleet.publish_instances()
        fleet.wait_configured(fleet.apply(config))
        rows = [check(fleet) for check in CHECKS]
    rows += check_platform()
    print(ROW_FORMAT.format("check", "passed", "seen"))
    for row in rows:
        print(
            ROW_FORMAT.format(
                row.check, "yes" if row.passed else "NO", row.observed
            )
        )
    return 0 if all(row.passed for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
