"""Steps that hold reports against the stand-ins' own records."""

import json
import time
from typing import Any

from behave import given, then, when

from bench.fleet import request, wait_for
from hibiscuspin.clock import monotonic

TOKEN_S = 0.005
STEP = "/v1/trainers/appraiser/steps/501"


@given(
    "{live:d} completions, {calls:d} service calls and a step of "
    "{samples:d} samples through the fleet"
)
def work(context: Any, live: int, calls: int, samples: int) -> None:
    if hasattr(context.fleet, "worked"):
        return
    context.fleet.worked = True
    wait_for(lambda: _sees_all(context), 20, "sight of all instances")
    context.fleet.waited_s = 0.0
    for number in range(live):
        instance = context.fleet.instances[number % 2]
        body = {
            "model": "tasador-lm",
            "prompt": f"console {number}",
            "max_tokens": 16,
            "stream": number % 3 == 0,
        }
        answer = request(
            instance.caller,
            "POST",
            "/v1/completions",
            body,
            token="counters-token",
        )
        assert answer.status == 200, answer.body
    for _ in range(calls):
        assert call_service(context, "cotizador").status == 200
    step(context, samples)


def _sees_all(context: Any) -> bool:
    fleet = context.fleet
    answers = [fleet.admin(i, "GET", "status") for i in fleet.instances]
    return all(
        [status["state"] for status in answer["instances"]]
        == ["ready"] * len(fleet.instances)
        for answer in answers
    )


def call_service(context: Any, service: str) -> Any:
    """Calls a plain service through the first instance."""
    return request(
        context.fleet.instances[0].caller,
        "POST",
        f"/v1/services/{service}/quotes",
        {"console": "a"},
        token="counters-token",
    )


def step(context: Any, samples: int) -> None:
    """Runs one step of a trainer to its end."""
    client = context.fleet.instances[0].trainer
    token = "appraisal-token"
    prompt = {"id": "a", "prompt": "a", "samples": samples, "max_tokens": 16}
    body = {"prompts": [prompt], "final": True}
    deadline = monotonic() + 30
    while monotonic() < deadline:
        path = f"{STEP}/prompts"
        if request(client, "POST", path, body, token=token).status == 202:
            break
        time.sleep(0.2)
    after, complete = 0, False
    while not complete and monotonic() < deadline:
        started = monotonic()
        path = f"{STEP}/samples?after={after}&wait_ms=1000"
        answer = request(client, "GET", path, token=token)
        context.fleet.waited_s += monotonic() - started
        assert answer.status == 200, answer.body
        pulled = json.loads(answer.body)
        after, complete = pulled["cursor"], pulled["complete"]
    assert complete


@when('the "{name}" report is read')
def read_report(context: Any, name: str) -> None:
    instance = context.fleet.instances[1]
    answer = context.fleet.admin(instance, "GET", f"reports/{name}")
    context.report = answer
    context.rows = answer["rows_by_section"]


def engine_records(context: Any) -> list[Any]:
    """Returns what all engines know of their requests."""
    return [
        record
        for name in context.fleet.standins_by_name
        if name.startswith("tasador-")
        for record in context.fleet.get(name, "/records")
    ]


@then("its tokens equal the tokens in the engines' records")
def check_tokens(context: Any) -> None:
    truth = sum(len(r["tokens"]) for r in engine_records(context))
    seen = sum(row["tokens"] for row in context.rows["purposes"])
    assert seen == truth > 0, (seen, truth)


@then(
    'its tokens are attributed to teams "{live}" and "{rollouts}" and '
    'trainer "{trainer}"'
)
def check_purposes(
    context: Any, live: str, rollouts: str, trainer: str
) -> None:
    seen = {(r["team"], r["trainer"]) for r in context.rows["purposes"]}
    assert seen == {(live, ""), (rollouts, trainer)}, seen


@then("its engine seconds cover the time that the engines took for its tokens")
def check_seconds(context: Any) -> None:
    seen = sum(row["engine_seconds"] for row in context.rows["purposes"])
    tokens = sum(row["tokens"] for row in context.rows["purposes"])
    least = tokens * TOKEN_S
    assert least <= seen, (least, seen)


@then("it names no site beyond its budget")
def check_unbroken(context: Any) -> None:
    assert context.report["broken"] == [], context.report["broken"]


def level(context: Any, name: str) -> Any:
    """Returns the row of a service level."""
    return next(r for r in context.rows["levels"] if r["level"] == name)


@then('level "{one}" counts {n:d} requests and "{two}" {m:d}')
def check_levels(context: Any, one: str, n: int, two: str, m: int) -> None:
    seen = level(context, one)["requests"], level(context, two)["requests"]
    assert seen == (n, m), seen
    assert level(context, one)["p99_s"] > 0


@then('level "{name}" counts {n:d} requests')
def check_level(context: Any, name: str, n: int) -> None:
    assert level(context, name)["requests"] == n, level(context, name)


@then('trainer "{name}" has {n:d} samples of which none is over the bound')
def check_samples(context: Any, name: str, n: int) -> None:
    row = next(r for r in context.rows["trainers"] if r["trainer"] == name)
    assert row["samples"] == n, row
    assert row["greatest"] <= row["bound"], row
    assert context.report["broken"] == []


@then('trainer "{name}" waited no longer than its own clock tells')
def check_idle(context: Any, name: str) -> None:
    row = next(r for r in context.rows["trainers"] if r["trainer"] == name)
    assert 0 < row["waited_s"] <= context.fleet.waited_s, row
    assert row["share"] <= 1, row


@given('all replicas of service "{service}" fail')
def fail_service(context: Any, service: str) -> None:
    for name in context.fleet.standins_by_name:
        if name.startswith(f"{service}-"):
            context.fleet.standins_by_name[name].stop()


@when('a caller calls service "{service}" {times:d} times')
def call_times(context: Any, service: str, times: int) -> None:
    for _ in range(times):
        assert call_service(context, service).status >= 500


@then('level "{name}" has its budget used up by team "{team}"')
def check_burnt(context: Any, name: str, team: str) -> None:
    assert level(context, name)["budget_left"] < 0, level(context, name)
    assert any(name in text for text in context.report["broken"])
    causes = [c for c in context.rows["causes"] if c["level"] == name]
    assert sum(c["requests"] for c in causes) == level(context, name)["bad"]
    assert {c["team"] for c in causes} == {team}, causes
    assert all(c["error"] for c in causes)


@given("a budget of {tokens:d} tokens for each site")
def cut_budget(context: Any, tokens: int) -> None:
    fleet = context.fleet
    shown = fleet.admin(fleet.instances[0], "GET", "config")
    for site in shown["config"]["sites_by_name"].values():
        site["spend"]["tokens"] = tokens
    fleet.wait_configured(fleet.apply(shown["config"], shown["revision"]))
    context.engine_records = len(engine_records(context))


@then("no engine has run another request")
def check_not_run(context: Any) -> None:
    assert len(engine_records(context)) == context.engine_records
