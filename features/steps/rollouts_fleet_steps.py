"""Steps on two instance processes, one of which is killed during a step."""

import base64
import json
import time
from typing import Any

from behave import given, then, when

from bench.fleet import request
from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError

TOKEN = "appraisal-token"
STEP = "/v1/trainers/appraiser/steps/{number}"
TAKEOVER_TIMEOUT_S = 40.0
RETRY_S = 0.3


def _call(context: Any, method: str, path: str, body: object = None) -> Any:
    """Sends a request to the instances in turn until one succeeds."""
    deadline = monotonic() + TAKEOVER_TIMEOUT_S
    while monotonic() < deadline:
        for instance in context.fleet.instances:
            try:
                response = request(
                    instance.trainer, method, path, body, token=TOKEN
                )
            except TargetError:
                continue
            if response.status < 300:
                return json.loads(response.body)
        time.sleep(RETRY_S)
    raise TimeoutError(path)


def _pull(context: Any, after: int) -> Any:
    path = f"{context.step}/samples?after={after}&wait_ms=2000"
    while True:
        response = _call(context, "GET", path)
        if response["complete"] or response["cursor"] != after:
            return response


def _slots(response: Any) -> list[str]:
    return sorted(sample["slot"] for sample in response["samples"])


@given("a step of {count:d} samples that was only submitted")
def submit(context: Any, count: int) -> None:
    context.count = count
    context.step = STEP.format(number=int(time.time()))
    prompts = [
        {"id": f"p{i}", "prompt": f"p {i}", "samples": 4, "max_tokens": 40}
        for i in range(count // 4)
    ]
    body = {"prompts": prompts, "final": True}
    _call(context, "POST", f"{context.step}/prompts", body)
    context.slots, context.after = [], 0


@given("a step of {count:d} samples of which the trainer has pulled one batch")
def submit_and_pull(context: Any, count: int) -> None:
    submit(context, count)
    response = _pull(context, 0)
    context.slots, context.after = _slots(response), response["cursor"]


@when("the holder of the trainer's duty is killed")
def kill_holder(context: Any) -> None:
    key = "/v1/kv/hibiscuspin/duties/trainer/appraiser"
    entry = context.fleet.get("store", key)[0]
    name = json.loads(base64.b64decode(entry["Value"]))["instance"]
    holder = next(i for i in context.fleet.instances if i.name == name)
    holder.process.kill()


@then("a repeated pull at the other instance gives the same slots")
def repeat_pull(context: Any) -> None:
    response = _pull(context, context.after - 1)
    assert _slots(response) == context.slots, response["cursor"]


@then("the rest of the step comes whole, and each slot once")
def pull_rest(context: Any) -> None:
    while True:
        response = _pull(context, context.after)
        if response["complete"]:
            break
        context.slots += _slots(response)
        context.after = response["cursor"]
    assert len(context.slots) == context.count, len(context.slots)
    assert len(set(context.slots)) == context.count
