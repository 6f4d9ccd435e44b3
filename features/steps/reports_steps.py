"""Steps that compare reports with the records of the stand-ins."""

import json
import time
from typing import Any

from behave import given, then, when

from bench.fleet import request, wait_for
from hibiscuspin.clock import monotonic

TOKEN_INTERVAL_S = 0.005
STEP_PATH = "/v1/trainers/appraiser/steps/501"


@given(
    "{live:d} completions, {calls:d} service calls and a step of "
    "{samples:d} samples through the fleet"
)
def run_workload(context: Any, live: int, calls: int, samples: int) -> None:
    if hasattr(context.fleet, "workload_started"):
        return
    context.fleet.workload_started = True
    wait_for(
        lambda: _sees_all_instances(context),
        20,
        "the view of all instances as ready",
    )
    context.fleet.waited_s = 0.0
    for number in range(live):
        instance = context.fleet.instances[number % 2]
        body = {
            "model": "tasador-lm",
            "prompt": f"console {number}",
            "max_tokens": 16,
            "stream": number % 3 == 0,
        }
        response = request(
            instance.caller,
            "POST",
            "/v1/completions",
            body,
            token="counters-token",
        )
        assert response.status == 200, response.body
    for _ in range(calls):
        assert call_service(context, "cotizador").status == 200
    run_step(context, samples)


def _sees_all_instances(context: Any) -> bool:
    fleet = context.fleet
    responses = [fleet.admin(i, "GET", "status") for i in fleet.instances]
    return all(
        [status["state"] for status in response["instances"]]
        == ["ready"] * len(fleet.instances)
        for response in responses
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


def run_step(context: Any, samples: int) -> None:
    """Runs one step of a trainer until all its samples are pulled."""
    client = context.fleet.instances[0].trainer
    token = "appraisal-token"
    prompt = {"id": "a", "prompt": "a", "samples": samples, "max_tokens": 16}
    body = {"prompts": [prompt], "final": True}
    deadline = monotonic() + 30
    while monotonic() < deadline:
        path = f"{STEP_PATH}/prompts"
        if request(client, "POST", path, body, token=token).status == 202:
            break
        time.sleep(0.2)
    after, complete = 0, False
    while not complete and monotonic() < deadline:
        started = monotonic()
        path = f"{STEP_PATH}/samples?after={after}&wait_ms=1000"
        response = request(client, "GET", path, token=token)
        context.fleet.waited_s += monotonic() - started
        assert response.status == 200, response.body
        batch = json.loads(response.body)
        after, complete = batch["cursor"], batch["complete"]
    assert complete


@when('the "{name}" report is read')
def read_report(context: Any, name: str) -> None:
    instance = context.fleet.instances[1]
    response = context.fleet.admin(instance, "GET", f"reports/{name}")
    context.report = response
    context.rows = response["rows_by_section"]


def engine_records(context: Any) -> list[Any]:
    """Returns the requests that all engines recorded."""
    return [
        record
        for name in context.fleet.standins_by_name
        if name.startswith("tasador-")
        for record in context.fleet.get(name, "/records")
    ]


@then("its tokens equal the tokens in the engines' records")
def check_tokens(context: Any) -> None:
    expected = sum(len(r["tokens"]) for r in engine_records(context))
    actual = sum(row["tokens"] for row in context.rows["purposes"])
    assert actual == expected > 0, (actual, expected)


@then(
    'its tokens are attributed to teams "{live}" and "{rollouts}" and '
    'trainer "{trainer}"'
)
def check_purposes(
    context: Any, live: str, rollouts: str, trainer: str
) -> None:
    actual = {(r["team"], r["trainer"]) for r in context.rows["purposes"]}
    assert actual == {(live, ""), (rollouts, trainer)}, actual


@then("its engine seconds cover the time that the engines took for its tokens")
def check_seconds(context: Any) -> None:
    engine_s = sum(row["engine_seconds"] for row in context.rows["purposes"])
    tokens = sum(row["tokens"] for row in context.rows["purposes"])
    least_s = tokens * TOKEN_INTERVAL_S
    assert least_s <= engine_s, (least_s, engine_s)


@then("it names no site beyond its budget")
def check_no_site_over_budget(context: Any) -> None:
    assert context.report["broken"] == [], context.report["broken"]


def level_row(context: Any, name: str) -> Any:
    """Returns the report's row for a service level."""
    return next(r for r in context.rows["levels"] if r["level"] == name)


@then('level "{one}" counts {n:d} requests and "{two}" {m:d}')
def check_levels(context: Any, one: str, n: int, two: str, m: int) -> None:
    actual = (
        level_row(context, one)["requests"],
        level_row(context, two)["requests"],
    )
    assert actual == (n, m), actual
    assert level_row(context, one)["p99_s"] > 0


@then('level "{name}" counts {n:d} requests')
def check_level(context: Any, name: str, n: int) -> None:
    assert level_row(context, name)["requests"] == n, level_row(context, name)


@then('trainer "{name}" has {n:d} samples of which none is over the bound')
def check_samples(context: Any, name: str, n: int) -> None:
    row = next(r for r in context.rows["trainers"] if r["trainer"] == name)
    assert row["samples"] == n, row
    assert row["greatest"] <= row["bound"], row
    assert context.report["broken"] == []


@then('trainer "{name}" waited no longer than its own clock tells')
def check_waited_time(context: Any, name: str) -> None:
    row = next(r for r in context.rows["trainers"] if r["trainer"] == name)
    assert 0 < row["waited_s"] <= context.fleet.waited_s, row
    assert row["share"] <= 1, row


@given('all replicas of service "{service}" fail')
def stop_replicas(context: Any, service: str) -> None:
    for name in context.fleet.standins_by_name:
        if name.startswith(f"{service}-"):
            context.fleet.standins_by_name[name].stop()


@when('a caller calls service "{service}" {times:d} times')
def call_failing_service(context: Any, service: str, times: int) -> None:
    for _ in range(times):
        assert call_service(context, service).status >= 500


@then('level "{name}" has its budget used up by team "{team}"')
def check_budget_used_up(context: Any, name: str, team: str) -> None:
    assert level_row(context, name)["budget_left"] < 0, level_row(context, name)
    assert any(name in text for text in context.report["broken"])
    causes = [c for c in context.rows["causes"] if c["level"] == name]
    assert sum(c["requests"] for c in causes) == level_row(context, name)["bad"]
    assert {c["team"] for c in causes} == {team}, causes
    assert all(c["error"] for c in causes)


@given("a budget of {tokens:d} tokens for each site")
def set_token_budget(context: Any, tokens: int) -> None:
    fleet = context.fleet
    shown = fleet.admin(fleet.instances[0], "GET", "config")
    for site in shown["config"]["sites_by_name"].values():
        site["spend"]["tokens"] = tokens
    fleet.wait_configured(fleet.apply(shown["config"], shown["revision"]))
    context.engine_record_count = len(engine_records(context))


@then("no engine has run another request")
def check_no_new_requests(context: Any) -> None:
    assert len(engine_records(context)) == context.engine_record_count
