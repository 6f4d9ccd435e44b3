"""Steps on instances of earlier builds beside those of the working tree."""

import contextlib
import signal
import threading
import time
from collections import Counter
from typing import Any

from behave import given, then, when

from bench.fleet import wait_for
from features.steps.platform_fleet_steps import check_complete, fleet, log_lines
from features.steps.software_versions_fleet_steps import (
    ProcessStream,
    add_engines,
)
from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError
from hibiscuspin.peers.rpc import SUSPECT_S

WORKING_TREE = ""
GROUPS, GROUP_SIZE, EVENTS = 3, 4, 150
READ_TIMEOUT_S = 12.0
# The duty passes on right after its holder has left.
DUTY_TIMEOUT_S = 3.0
# Before a job's holder is stopped: some of its results are published by then.
RUN_S = 1.0
# As the load balancer does: an instance is removed after so many failed checks.
CHECK_PERIOD_S = 1.0
MAX_FAILED_CHECKS = 2
# Parts of log lines on values of other instances that can't be decoded, among
# them the reasons that msgspec gives.
UNDECODED = (
    "Ignoring an invalid registration",
    "whose stored head is invalid",
    "Expected `",
    "Invalid enum value",
    "Object missing required field",
)
COORDINATOR_KEY = "hibiscuspin/live/coordinator"


def run_builds(context: Any, commit_by_name: dict[str, str]) -> None:
    """Replaces the instances that don't run the named builds."""
    platform = fleet(context)
    running = getattr(context.feature, "commit_by_name", {})
    killed_at = float("-inf")
    for name, commit in commit_by_name.items():
        process = platform.instance_by_name[name].process
        if running.get(name) != commit or not process.running():
            process.kill()
            killed_at = monotonic()
            start(context, name, commit)
    platform.wait_ready()
    platform.wait_registered()
    # Until then others may hand no job to an instance that was just killed.
    time.sleep(max(0.0, killed_at + SUSPECT_S - monotonic()))
    context.rows_before, context.jobs = [], []


def start(context: Any, name: str, commit: str) -> None:
    fleet(context).start_instance(name, commit)
    running = getattr(context.feature, "commit_by_name", {})
    context.feature.commit_by_name = {**running, name: commit}


@given("edge-0 runs the working tree and edge-1 runs commit {commit}")
def run_mixed(context: Any, commit: str) -> None:
    run_builds(context, {"edge-0": WORKING_TREE, "edge-1": commit})


@given("edge-0 runs commit {first} and edge-1 runs commit {second}")
def run_earlier(context: Any, first: str, second: str) -> None:
    run_builds(context, {"edge-0": first, "edge-1": second})


@given("engines of two software versions")
def start_engines(context: Any) -> None:
    if not hasattr(context.feature, "has_engines"):
        add_engines(context)
    context.feature.has_engines = True


@when("{name} starts again from commit {commit}")
def start_commit(context: Any, name: str, commit: str) -> None:
    start(context, name, commit)
    fleet(context).wait_ready()


@when("{name} starts again from the working tree")
def start_working_tree(context: Any, name: str) -> None:
    start_commit(context, name, WORKING_TREE)


@when('job "{job}" begins at {name}, and is read through {other}')
def begin_job(context: Any, job: str, name: str, other: str) -> None:
    platform = fleet(context)
    context.job_id, context.job_events = job, EVENTS
    context.job_size = GROUPS * GROUP_SIZE
    status = platform.submit_job(name, job, GROUPS, GROUP_SIZE, EVENTS)
    assert status == 202, status
    context.jobs.append(job)
    body_path = f"/hibiscuspin/items/{job}?id={job}-0-0"
    response = platform.call(other, "GET", body_path, "b")
    assert (response.status, response.body) == (200, b"prompt"), response
    time.sleep(RUN_S)
    page = platform.read_results(other, job, 0, 0)
    assert "total" in page, page
    context.rows_before = page["results"]
    assert len(context.rows_before) < context.job_size


@when("{name} is stopped while {other} serves calls")
def stop(context: Any, name: str, other: str) -> None:
    platform = fleet(context)
    process = platform.instance_by_name[name].process
    process.send(signal.SIGTERM)
    statuses: Counter[int] = Counter()
    while process.running():
        statuses[platform.call(other, "POST", "/calls/x", "u").status] += 1
        time.sleep(0.02)
    assert set(statuses) == {200}, statuses
    assert process.stop() == 0


@then(
    "{old} has handed the job over to {name}, which has the coordinator's duty"
)
def check_handed_over(context: Any, old: str, name: str) -> None:
    rows = log_lines(context, old)
    about_job = [row for row in rows if row.get("job") == context.job_id]
    # A job that was not handed over is found by the next coordinator, but
    # later and without the events since they were last saved.
    assert any(
        "Job handed over." in row["message"] and row["to"] == name
        for row in about_job
    ), about_job

    def has_duty() -> bool:
        return fleet(context).read_key(COORDINATOR_KEY) == name.encode()

    wait_for(has_duty, DUTY_TIMEOUT_S, f"the duty passing to {name}")


@then("every result is listed once at {name}, where it was read before")
def check_results(context: Any, name: str) -> None:
    rows = fleet(context).read_all_results(name, context.job_id, READ_TIMEOUT_S)
    check_complete(context, rows)
    before = context.rows_before
    assert rows[: len(before)] == before, (rows, before)


@then("both jobs are read, and ended, through either build")
def check_ended(context: Any) -> None:
    platform = fleet(context)
    first, second = context.jobs
    for job, ended_at in ((first, "edge-1"), (second, "edge-0")):
        context.job_id = job
        pages = [
            platform.read_all_results(name, job, READ_TIMEOUT_S)
            for name in platform.instance_by_name
        ]
        check_complete(context, pages[0])
        assert pages[0] == pages[1]
        path = f"/hibiscuspin/lots/{job}"
        assert platform.call(ended_at, "DELETE", path, "e").status == 200
        for name in platform.instance_by_name:
            body_path = f"/hibiscuspin/items/{job}?id={job}-0-0"
            assert platform.call(name, "GET", body_path, "b").status == 404
            rows = platform.read_all_results(name, job, READ_TIMEOUT_S)
            assert rows == pages[0]


@then("neither build failed to decode what the other one wrote")
def check_decoded(context: Any) -> None:
    platform = fleet(context)
    for name, instance in platform.instance_by_name.items():
        text = instance.process.log_path.read_text()
        for line in text.splitlines():
            assert not any(mark in line for mark in UNDECODED), (name, line)


class UpgradeLoad:
    """Callers behind a load balancer while instances are replaced.

    Attributes:
        outcomes: Calls by status, and by the error's code if there is one.
        streams: All streams that began.
    """

    def __init__(self, context: Any) -> None:
        self._platform = fleet(context)
        self._stopping = threading.Event()
        self._names = list(self._platform.instance_by_name)
        self._failed_checks: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.streams: list[ProcessStream] = []
        self._threads = [threading.Thread(target=self._balance)]
        for number in range(4):
            for run in (self._call, self._stream):
                thread = threading.Thread(target=run, args=(number,))
                self._threads.append(thread)

    def start(self) -> None:
        """Starts the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Waits until the callers have ended their requests."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _balance(self) -> None:
        """Checks readiness as the platform's load balancer does."""
        while not self._stopping.wait(CHECK_PERIOD_S):
            for name in self._names:
                instance = self._platform.instance_by_name[name]
                if self._platform.is_ready(instance):
                    self._failed_checks[name] = 0
                else:
                    self._failed_checks[name] += 1

    def _serving(self, number: int) -> str:
        names = [
            name
            for name in self._names
            if self._failed_checks[name] < MAX_FAILED_CHECKS
        ]
        return names[number % len(names)]

    def _call(self, number: int) -> None:
        while not self._stopping.is_set():
            number += 1
            try:
                response = self._platform.call(
                    self._serving(number), "POST", "/calls/x", f"u{number}"
                )
            except TargetError as error:
                self.outcomes[str(error)] += 1
            else:
                is_served = response.status == 200
                text = "" if is_served else f" {response.body!r}"
                self.outcomes[f"{response.status}{text}"] += 1
            time.sleep(0.02)

    def _stream(self, number: int) -> None:
        count = 0
        while not self._stopping.is_set():
            count += 1
            stream = ProcessStream(f"s{number}-{count}", 60)
            for attempt in range(3):
                with contextlib.suppress(TargetError):
                    stream.open(self._platform, self._serving(count + attempt))
                    stream.read(None)
                if len(stream.numbers) == stream.events:
                    break
            self.streams.append(stream)


@when("each is stopped and started from the working tree under load")
def replace_all(context: Any) -> None:
    platform = fleet(context)
    context.job_events, context.job_size = EVENTS, GROUPS * GROUP_SIZE
    load = context.load = UpgradeLoad(context)
    load.start()
    try:
        for name in list(platform.instance_by_name):
            job = f"upgrade-{name}"
            status = platform.submit_job(name, job, GROUPS, GROUP_SIZE, EVENTS)
            assert status == 202, status
            context.jobs.append(job)
            time.sleep(RUN_S)
            process = platform.instance_by_name[name].process
            assert process.stop() == 0
            start(context, name, WORKING_TREE)
            platform.wait_ready()
    finally:
        load.stop()


@then("no call failed, and the streams and jobs of the upgrade are whole")
def check_upgrade(context: Any) -> None:
    load: UpgradeLoad = context.load
    assert set(load.outcomes) == {"200"}, load.outcomes
    assert load.outcomes["200"] > 200, load.outcomes
    assert len(load.streams) > 10
    for stream in load.streams:
        expected = list(range(1, stream.events + 1))
        assert stream.numbers == expected, (
            stream.request_id,
            stream.numbers,
            stream.refusal,
        )
        assert len(stream.versions) == 1, stream.versions
    for job in context.jobs:
        context.job_id = job
        pages = [
            fleet(context).read_all_results(name, job, READ_TIMEOUT_S)
            for name in fleet(context).instance_by_name
        ]
        check_complete(context, pages[0])
        assert pages[0] == pages[1]
