"""An open-loop load of live requests, with a fixed seed.

Requests leave at drawn times whatever the answers do; a latency counts from
the drawn time, so that a late start is not hidden.
"""

import http.client
import json
import queue
import random
import threading
import time
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from bench.fleet import Instance
from hibiscuspin.clock import monotonic
from standins.tokens import expected_tokens

__all__ = ["Load", "Result", "run"]

MODEL = "tasador-lm"
TOKEN = "counters-token"
WORKERS = 400
PROMPTS = 40
US_PER_S = 1_000_000
HIGHEST_US = 600 * US_PER_S


class Load(NamedTuple):
    """One load.

    Attributes:
        name: Part of each request's id.
        rate: Requests a second.
        seconds: How long requests leave.
        warm_s: Requests of this first part are not counted.
        timeout_s: Each request's deadline.
        max_tokens: The longest answer.
        seed: Seed of times and prompts.
    """

    name: str
    rate: float
    seconds: float
    warm_s: float
    timeout_s: float
    max_tokens: int
    seed: int


class Result(NamedTuple):
    """What a load saw.

    Attributes:
        sent: Requests that were counted.
        good: Whole answers within the deadline.
        wrong: Answers that were not the request's own or not whole.
        outcomes: How often each outcome came.
        latencies: In microseconds; a failure counts as the deadline.
        refusal_s: The longest time that a refusal took.
    """

    sent: int
    good: int
    wrong: int
    outcomes: Counter[str]
    latencies: HdrHistogram
    refusal_s: float

    def percentile_s(self, percentile: float) -> float:
        """Returns a percentile of the latencies."""
        value: int = self.latencies.get_value_at_percentile(percentile)
        return value / US_PER_S


class _Job(NamedTuple):
    number: int
    due: float
    prompt: str
    seed: int
    counted: bool


class _Outcome(NamedTuple):
    code: str
    seconds: float


def run(instances: Sequence[Instance], load: Load) -> Result:
    """Sends a load, spread over the instances in turn."""
    jobs: queue.Queue[_Job | None] = queue.Queue()
    outcomes: list[_Outcome] = []
    threads = [
        threading.Thread(
            target=_work,
            args=(instances[n % len(instances)], load, jobs, outcomes),
            daemon=True,
        )
        for n in range(WORKERS)
    ]
    for thread in threads:
        thread.start()
    for job in _drawn(load, monotonic() + 0.2):
        time.sleep(max(0.0, job.due - monotonic()))
        jobs.put(job)
    for _ in threads:
        jobs.put(None)
    for thread in threads:
        thread.join(load.timeout_s + 10)
    return _result(load, list(outcomes))


def _drawn(load: Load, start: float) -> list[_Job]:
    draw = random.Random(load.seed)
    jobs: list[_Job] = []
    at_s = 0.0
    while at_s < load.seconds:
        at_s += draw.expovariate(load.rate)
        prompt = f"console {draw.randrange(PROMPTS):03d} " + "x" * 64
        seed = draw.randrange(1 << 30)
        counted = at_s >= load.warm_s
        jobs.append(_Job(len(jobs), start + at_s, prompt, seed, counted))
    return jobs


def _work(
    instance: Instance,
    load: Load,
    jobs: "queue.Queue[_Job | None]",
    outcomes: list[_Outcome],
) -> None:
    address = instance.addresses_by_flag["caller"]
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=load.timeout_s + 5
    )
    while (job := jobs.get()) is not None:
        try:
            code = _ask(connection, load, job)
        except (OSError, http.client.HTTPException):
            connection.close()
            code = "no_answer"
        if job.counted:
            outcomes.append(_Outcome(code, monotonic() - job.due))
    connection.close()


def _ask(connection: http.client.HTTPConnection, load: Load, job: _Job) -> str:
    body = {
        "model": MODEL,
        "prompt": job.prompt,
        "seed": job.seed,
        "max_tokens": load.max_tokens,
    }
    headers = {
        "Authorization": f"Bearer {TOKEN}",
        "Content-Type": "application/json",
        "X-Request-Id": f"{load.name}.{job.number}",
        "X-Deadline-Ms": str(int(load.timeout_s * 1000)),
    }
    connection.request("POST", "/v1/completions", json.dumps(body), headers)
    answer = json.loads(connection.getresponse().read())
    if "error" in answer:
        return str(answer["error"]["code"])
    expected = expected_tokens(job.prompt, job.seed, load.max_tokens)
    whole = answer["choices"][0]["text"] == "".join(expected)
    return "ok" if whole else "wrong"


def _result(load: Load, outcomes: list[_Outcome]) -> Result:
    latencies = HdrHistogram(1, HIGHEST_US, 3)
    good = 0
    refusal_s = 0.0
    for code, seconds in outcomes:
        in_time = code == "ok" and seconds <= load.timeout_s
        good += in_time
        if code in ("overloaded", "deadline_unreachable"):
            refusal_s = max(refusal_s, seconds)
        shown_s = seconds if code == "ok" else max(seconds, load.timeout_s)
        latencies.record_value(int(shown_s * US_PER_S))
    codes = Counter(outcome.code for outcome in outcomes)
    return Result(
        len(outcomes), good, codes["wrong"], codes, latencies, refusal_s
    )
