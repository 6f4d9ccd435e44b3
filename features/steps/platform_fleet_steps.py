"""Steps on instance processes that run against the platform's stand-ins."""

import signal
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any

import msgspec
import yaml
from behave import given, then, when

from bench.fleet import wait_for
from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient
from standins.platform_fleet import MODEL, PlatformFleet

READ_TIMEOUT_S = 20.0
CALLS_AT_ONCE = 12
# What the users' rules allow a target to get.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
MAX_CRASHING_CALLS = 8


def fleet(context: Any) -> PlatformFleet:
    platform: PlatformFleet = context.platform
    return platform


@when('a client sends "{method} {target}" to {name}')
def send(context: Any, method: str, target: str, name: str) -> None:
    context.response = fleet(context).call(name, method, target, "req-1")


@when('a client with id "{request_id}" sends "{method} {target}" to {name}')
def send_as(
    context: Any, method: str, target: str, name: str, request_id: str
) -> None:
    context.response = fleet(context).call(name, method, target, request_id)
    context.sent_to = name


@then("the client gets 200 with the target's signature and its own id")
def check_reply(context: Any) -> None:
    response = context.response
    assert response.status == 200 and response.headers["X-Server-Stamp"], (
        response
    )
    assert response.headers["X-Request-Id"] == "req-1"
    assert msgspec.json.decode(response.body)["id"] == "req-1"


@then("the client gets {status:d} without a signature")
def check_refusal(context: Any, status: int) -> None:
    assert context.response.status == status, context.response
    assert "X-Server-Stamp" not in context.response.headers


@when('a route "{name}" is added')
def add_route(context: Any, name: str) -> None:
    fleet(context).configure(**{name: "app"})


@then('all instances serve "{path}" within {limit:g} s')
def check_served(context: Any, path: str, limit: float) -> None:
    platform = fleet(context)
    for name in platform.instance_by_name:
        wait_for(
            lambda name=name: (  # type: ignore[misc]
                platform.call(name, "POST", path, "s").status == 200
            ),
            limit,
            f"{path} at {name}",
        )


@when("entries of other writers are put beside the targets")
def put_odd_entries(context: Any) -> None:
    entries: tuple[Any, ...] = ({}, [], "x", {"service": 3}, None)
    for number, entry in enumerate(entries):
        fleet(context).put_key(f"servers/odd-{number}", entry)


@when(
    'job "{job}" of {groups:d} groups of {size:d} samples with {events:d} '
    "events is sent to {name}"
)
def submit(
    context: Any, job: str, groups: int, size: int, events: int, name: str
) -> None:
    context.job_id, context.job_events = job, events
    context.job_size = groups * size
    status = fleet(context).submit_job(name, job, groups, size, events)
    assert status == 202, status


def check_complete(context: Any, rows: list[dict[str, Any]]) -> None:
    assert len(rows) == context.job_size, len(rows)
    assert len({row["id"] for row in rows}) == context.job_size
    for row in rows:
        lines = [f"{row['id']}-{n + 1}" for n in range(context.job_events)]
        assert row["state"] == "completed", row
        assert row["text"] == "\n".join(lines), row


@then("all its results are read whole at every instance")
def check_results(context: Any) -> None:
    platform = fleet(context)
    pages = [
        platform.read_all_results(name, context.job_id, READ_TIMEOUT_S)
        for name in platform.instance_by_name
    ]
    check_complete(context, pages[0])
    assert all(page == pages[0] for page in pages)


@then("all its results are read whole at {name} within {limit:g} s")
def check_results_at(context: Any, name: str, limit: float) -> None:
    rows = fleet(context).read_all_results(name, context.job_id, limit)
    check_complete(context, rows)


@then("the body of an item is given by {name} until the job ends")
def check_body(context: Any, name: str) -> None:
    platform = fleet(context)
    job = context.job_id
    path = f"/hibiscuspin/items/{job}?id={job}-0-0"
    response = platform.call(name, "GET", path, "b")
    assert (response.status, response.body) == (200, b"prompt"), response
    end = f"/hibiscuspin/lots/{job}"
    for _ in range(2):
        assert platform.call(name, "DELETE", end, "e").status == 200
    assert platform.call(name, "GET", path, "b").status == 404
    rows = platform.read_all_results(name, job, READ_TIMEOUT_S)
    check_complete(context, rows)


@when("version {version:d} of the model is named")
def name_version(context: Any, version: int) -> None:
    value = {"model": MODEL, "version": version}
    fleet(context).put_key(f"op/version/{MODEL}", value)


def received_orders(context: Any) -> list[dict[str, Any]]:
    return [
        row["order"]
        for number in range(3)
        for row in fleet(context).target_records(f"e-{number}")
        if "order" in row
    ]


@then("all engines serve version {version:d} within {limit:g} s")
def check_version(context: Any, version: int, limit: float) -> None:
    wait_for(lambda: len(received_orders(context)) == 3, limit, "orders to all")
    assert all(
        order["version"] == version for order in received_orders(context)
    )


@then("each engine got orders of one holder with one fencing number")
def check_orders(context: Any) -> None:
    issuers = {
        (o["holder"], o["fence_token"]) for o in received_orders(context)
    }
    assert len(issuers) == 1, issuers


@when("{name} is killed after {seconds:g} s")
def kill(context: Any, name: str, seconds: float) -> None:
    time.sleep(seconds)
    fleet(context).instance_by_name[name].process.kill()


@then("{name} is started again")
def start_again(context: Any, name: str) -> None:
    fleet(context).start_instance(name)
    fleet(context).wait_ready()


@when("all instances are killed and started again")
def kill_all(context: Any) -> None:
    platform = fleet(context)
    for instance in platform.instance_by_name.values():
        instance.process.kill()
    for name in list(platform.instance_by_name):
        platform.start_instance(name)
    platform.wait_ready()


@when("clients call {name} while it is stopped")
def call_while_stopped(context: Any, name: str) -> None:
    platform = fleet(context)
    instance = platform.instance_by_name[name]
    counts: Counter[str] = Counter()

    def run() -> None:
        while True:
            try:
                response = platform.call(name, "POST", "/calls/x", "c")
                counts["ok" if response.status == 200 else "refused"] += 1
            except TargetError as error:
                if not error.sent:
                    return
                counts["cut"] += 1
            time.sleep(0.02)

    threads = [threading.Thread(target=run) for _ in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    started = monotonic()
    instance.process.send(signal.SIGTERM)
    for thread in threads:
        thread.join()
    context.exit_code = instance.process.stop()
    context.stop_s = monotonic() - started
    context.call_counts = counts


@then("no call was cut and the process ended within {limit:g} s")
def check_stop(context: Any, limit: float) -> None:
    counts = context.call_counts
    assert counts["ok"] > 50 and not counts["cut"], counts
    assert not counts["refused"], counts
    assert context.exit_code == 0 and context.stop_s < limit


@when("the key-value service forgets its history")
def compact(context: Any) -> None:
    client = HttpClient(fleet(context).store)
    client.request("POST", "/compact", monotonic() + 5.0)


@when("the key-value service turns all callers away")
def take_store_out(context: Any) -> None:
    fleet(context).set_faults("store", status=503)


@when("the key-value service is back")
def heal_store(context: Any) -> None:
    fleet(context).set_faults("store")


@then("a job is refused with 503 by {name}")
def check_job_refused(context: Any, name: str) -> None:
    status = fleet(context).submit_job(name, "refused-1", 1, 1, 5)
    assert status == 503, status


@then('a job "{job}" is accepted by {name} within {limit:g} s')
def check_accepted(context: Any, job: str, name: str, limit: float) -> None:
    wait_for(
        lambda: fleet(context).submit_job(name, job, 1, 2, 5) == 202,
        limit,
        "the job's acceptance",
    )


@when("target {name} reports that it is leaving")
def drain(context: Any, name: str) -> None:
    fleet(context).drain_target(name)


@then("it gets no call from {seconds:g} s later on")
def check_drained(context: Any, seconds: float) -> None:
    platform = fleet(context)
    time.sleep(seconds)
    before = len(platform.target_records("p-0"))
    for number in range(20):
        name = f"edge-{number % 2}"
        assert platform.call(name, "POST", "/calls/x", "d").status == 200
    assert len(platform.target_records("p-0")) == before


@given("a further target {name}")
def start_target(context: Any, name: str) -> None:
    platform = fleet(context)
    platform.start_target(name, "app", "")
    for edge in platform.instance_by_name:
        check = partial(has_logged, context, edge, "Target discovered.", name)
        wait_for(check, READ_TIMEOUT_S, f"discovery of {name} by {edge}")


@when("the responses of target {name} say that it is draining")
def say_draining(context: Any, name: str) -> None:
    fleet(context).set_faults(name, extra={"draining": 1})


@when("each instance gets a response of target {name}")
def call_until_answered(context: Any, name: str) -> None:
    for edge in fleet(context).instance_by_name:
        check = partial(hears_draining, context, edge, name)
        wait_for(check, 5.0, f"response of {name} at {edge}")


def hears_draining(context: Any, edge: str, name: str) -> bool:
    # Calls that come together are spread over all targets.
    with ThreadPoolExecutor(CALLS_AT_ONCE) as executor:
        for _ in range(CALLS_AT_ONCE):
            executor.submit(fleet(context).call, edge, "POST", "/calls/x", "l")
    text = "Target says that it is draining."
    return has_logged(context, edge, text, name)


def has_logged(context: Any, edge: str, text: str, target: str) -> bool:
    return any(
        text in line["message"] and line.get("target") == target
        for line in log_lines(context, edge)
    )


@then("target {name} gets no more calls")
def check_no_calls(context: Any, name: str) -> None:
    platform = fleet(context)
    before = len(platform.target_records(name))
    for number in range(20):
        edge = f"edge-{number % 2}"
        platform.call(edge, "POST", "/calls/x", "l")
    assert len(platform.target_records(name)) == before
    platform.set_faults(name)


@when("the settings file of {name} changes")
def change_settings(context: Any, name: str) -> None:
    path = fleet(context).instance_by_name[name].boot_path
    raw = yaml.safe_load(path.read_text())
    raw["bounds"]["grace_s"] = 9
    path.write_text(yaml.safe_dump(raw))
    context.sent_to = name


def log_lines(context: Any, name: str) -> list[dict[str, Any]]:
    path = fleet(context).instance_by_name[name].process.log_path
    rows = []
    for line in path.read_text().splitlines():
        if line.startswith("{"):
            rows.append(msgspec.json.decode(line))
    return rows


@then("its log shows the reload within {limit:g} s")
def check_reload(context: Any, limit: float) -> None:
    def reloaded() -> bool:
        return any(
            row["message"] == "DAEMON: Settings reloaded."
            and row["changed"] == ["grace_s"]
            for row in log_lines(context, context.sent_to)
        )

    wait_for(reloaded, limit, "the reload in the log")


@then('the log of {name} has a line on "{request_id}" with its target')
def check_log(context: Any, name: str, request_id: str) -> None:
    def logged() -> bool:
        return any(
            row.get("request_id") == request_id and row.get("targets")
            for row in log_lines(context, name)
        )

    wait_for(logged, 5.0, "the line in the log")


@then("the metrics of {name} count the call")
def check_metrics(context: Any, name: str) -> None:
    client = HttpClient(fleet(context).metrics_address(name))
    response = client.request("GET", "/metrics", monotonic() + 5.0)
    text = response.body.decode()
    assert 'hibiscuspin_requests_total{code="200",path="call"}' in text, text
    assert 'hibiscuspin_latency_seconds_count{path="call"}' in text, text


@then("the metrics of {name} count its calls to the store by cause")
def check_store_calls(context: Any, name: str) -> None:
    client = HttpClient(fleet(context).metrics_address(name))
    response = client.request("GET", "/metrics", monotonic() + 5.0)
    for cause in ("grant lease", "renew lease", "commit live", "scan live"):
        text = f'hibiscuspin_store_calls_total{{cause="{cause}",outcome="200"}}'
        assert text.encode() in response.body, cause


@when("targets {first} and {second} name a limit of {rate:g} requests a second")
def name_limits(context: Any, first: str, second: str, rate: float) -> None:
    context.limited, context.rate_per_s = (first, second), rate
    for name in context.limited:
        fleet(context).set_faults(name, extra={"limit": rate})


@when("clients call all instances for {seconds:g} s")
def call_all(context: Any, seconds: float) -> None:
    platform = fleet(context)
    context.called_at = monotonic()
    ends_at = context.called_at + seconds

    def run(name: str) -> None:
        while monotonic() < ends_at:
            response = platform.call(name, "POST", "/calls/x", "l")
            assert response.status in (200, 503), response
            time.sleep(0.02)

    names = [*platform.instance_by_name] * CALLS_AT_ONCE
    with ThreadPoolExecutor(len(names)) as executor:
        list(executor.map(run, names))


@then(
    "from {seconds:g} s on each gets no more than its limit allows, and half "
    "of it"
)
def check_limited(context: Any, seconds: float) -> None:
    platform = fleet(context)
    from_at = context.called_at + seconds
    for name in context.limited:
        records = platform.target_records(name)
        times = [row["at"] for row in records if row.get("at", 0) >= from_at]
        window = [at for at in times if at < from_at + WINDOW_S]
        allowed = ALLOWED_FACTOR * context.rate_per_s * WINDOW_S + ALLOWED_EXTRA
        assert len(window) <= allowed, (name, len(window))
        assert len(window) >= context.rate_per_s * WINDOW_S / 2, len(window)
        platform.set_faults(name)


@when(
    'clients send "{method} {path}" to {edge} until it is refused, and '
    "{first} and {second} are started again each time"
)
def crash_targets(
    context: Any, method: str, path: str, edge: str, first: str, second: str
) -> None:
    platform = fleet(context)
    context.crash_count = 0
    for number in range(MAX_CRASHING_CALLS):
        response = platform.call(edge, method, path, f"crash-{number}")
        # The process ends a moment after its connections.
        time.sleep(0.3)
        for name in (first, second):
            if not platform.is_target_running(name):
                context.crash_count += 1
                platform.start_target(name, "app", "")
        if response.status == 400:
            return
        check_served(context, "/calls/", READ_TIMEOUT_S)
    raise AssertionError(f"not refused after {MAX_CRASHING_CALLS} calls")


@then('at most {most:d} targets crashed and all instances refuse "{request}"')
def check_crashes(context: Any, most: int, request: str) -> None:
    assert 3 <= context.crash_count <= most, context.crash_count
    check_refused(context, request)


@then('all instances refuse "{request}"')
def check_refused(context: Any, request: str) -> None:
    platform = fleet(context)
    method, path = request.split()
    for name in platform.instance_by_name:
        response = platform.call(name, method, path, "crash-again")
        error = msgspec.json.decode(response.body)["error"]
        assert response.status == 400, (name, response)
        assert error["code"] == "target_crasher", error
        assert error["ran"] == "yes", error
