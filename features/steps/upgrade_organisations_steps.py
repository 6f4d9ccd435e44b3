"""Steps on jobs of organisations beside instances of earlier builds."""

import itertools
from typing import Any

import msgspec
from behave import given, then, when

from bench.fleet import wait_for
from features.steps.platform_fleet_steps import fleet, log_lines
from features.steps.upgrade_steps import (
    EVENTS,
    GROUP_SIZE,
    GROUPS,
    WORKING_TREE,
    run_builds,
    start,
)
from hibiscuspin.errors import ErrorKind
from standins.platform_fleet import JOBS_PREFIX

IN_FORCE_S = 4.0
# The time within which an instance sees that another one has registered.
VIEW_TIMEOUT_S = 3.0
# A job with so many outlasts the start of an instance beside load.
LONG_JOB_EVENTS = 2 * EVENTS

_numbers = itertools.count()


@given("edge-0 runs the working tree and edge-1 runs the working tree")
def run_working_tree(context: Any) -> None:
    run_builds(context, {"edge-0": WORKING_TREE, "edge-1": WORKING_TREE})


@given('the key "{key}" of "{organisation}" is in force at {name}')
def set_key(context: Any, key: str, organisation: str, name: str) -> None:
    platform = fleet(context)
    platform.tenants = [
        {"name": organisation, "api_keys": [key]},
        {"name": "y", "api_keys": ["k2"]},
    ]
    platform.configure()
    platform.key = "unknown"
    context.add_cleanup(reset_keys, context)
    wait_for(
        lambda: platform.call(name, "POST", "/calls/x", "k").status == 401,
        IN_FORCE_S,
        f"the keys at {name}",
    )
    platform.key = key


def reset_keys(context: Any) -> None:
    """Makes the next scenario start without organisations."""
    platform = fleet(context)
    platform.key, platform.tenants = "", None
    platform.configure()


@when('the key is "{key}" of "{organisation}"')
def use_key(context: Any, key: str, organisation: str) -> None:
    fleet(context).key = key


def submit(context: Any, name: str, job: str) -> int:
    return fleet(context).submit_job(
        name, job, GROUPS, GROUP_SIZE, LONG_JOB_EVENTS
    )


@then('a job of "{key}" is refused by {name} as not run, with a time to retry')
def check_refused(context: Any, key: str, name: str) -> None:
    platform = fleet(context)
    assert platform.key == key

    def is_refused() -> bool:
        return submit(context, name, f"refused-{next(_numbers)}") == 503

    wait_for(is_refused, VIEW_TIMEOUT_S, "the first refusal")
    item = {"id": "i", "path": f"{JOBS_PREFIX}x"}
    body = msgspec.json.encode({"items": [item], "model": "m1"})
    job = f"refused-{next(_numbers)}"
    response = platform.call(name, "POST", f"{JOBS_PREFIX}x", job, body)
    assert response.status == 503, response
    error = msgspec.json.decode(response.body)["error"]
    assert error["code"] == ErrorKind.UPGRADE_IN_PROGRESS, error
    assert error["ran"] == "no", error
    assert float(response.headers["Retry-After"]) > 0, response.headers
    assert platform.read_key(f"hibiscuspin/jobs/{job}") is None


@then('a job of "{key}" is accepted by {name} within {limit:g} s')
def check_accepted(context: Any, key: str, name: str, limit: float) -> None:
    assert fleet(context).key == key
    wait_for(
        lambda: submit(context, name, "accepted") == 202, limit, "acceptance"
    )


@when('a job "{job}" of "{key}" begins at {name}')
def begin(context: Any, job: str, key: str, name: str) -> None:
    context.job_id, context.job_events = job, LONG_JOB_EVENTS
    context.job_size = GROUPS * GROUP_SIZE
    context.rows_before = []
    wait_for(
        lambda: submit(context, name, job) == 202, VIEW_TIMEOUT_S, "acceptance"
    )


@when("{name} is replaced by an instance of commit {commit}")
def replace(context: Any, name: str, commit: str) -> None:
    fleet(context).instance_by_name[name].process.kill()
    start(context, name, commit)
    fleet(context).wait_ready()


@then('the job "{job}" is accepted again by {name}')
def check_again(context: Any, job: str, name: str) -> None:
    assert submit(context, name, job) == 202


@then("{name} has offered the job to no instance")
def check_not_offered(context: Any, name: str) -> None:
    rows = [
        row["message"]
        for row in log_lines(context, name)
        if row.get("job") == context.job_id
    ]
    assert any("Job not handed over" in text for text in rows), rows
    assert not any("Job handed over" in text for text in rows), rows
    requests = [
        row
        for row in log_lines(context, name)
        if "Request to adopt a job failed" in row["message"]
    ]
    assert not requests, requests


@then("the job is not found at {name}")
def check_hidden(context: Any, name: str) -> None:
    page = fleet(context).read_results(name, context.job_id)
    assert page["status"] == 404, page
