"""An open-loop load of live requests, with a fixed seed.

Send times are drawn in advance and do not depend on the responses. Latency
is measured from the scheduled send time, so a request that is sent late
counts the delay.
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

__all__ = ["Load", "LoadResult", "run_load"]

MODEL = "tasador-lm"
CALLER_TOKEN = "counters-token"
WORKER_THREADS = 400
DISTINCT_PROMPTS = 40
US_PER_S = 1_000_000
MAX_LATENCY_US = 600 * US_PER_S


class Load(NamedTuple):
    """Parameters of one load.

    Attributes:
        name: The prefix of each request's ID.
        rate_per_s: Mean number of requests sent per second.
        duration_s: How long requests are sent, with the warm-up.
        warmup_s: Length of the warm-up, whose requests are not counted.
        timeout_s: The time limit of each request.
        max_tokens: The maximum number of tokens of each response.
        seed: The seed for the send times and the prompts.
    """

    name: str
    rate_per_s: float
    duration_s: float
    warmup_s: float
    timeout_s: float
    max_tokens: int
    seed: int


class LoadResult(NamedTuple):
    """The measured results of one load.

    Attributes:
        counted: Number of requests sent after the warm-up.
        in_time: Number of correct, complete responses within the time limit.
        wrong: Number of responses with a text other than the expected one.
        counts_by_code: Number of requests by outcome: "ok", "wrong",
            "no_answer" or an error code.
        latencies: Latencies in microseconds; a failed request counts with
            at least its time limit.
        max_refusal_s: The longest latency of a request that was refused as
            `overloaded` or `deadline_unreachable`.
    """

    counted: int
    in_time: int
    wrong: int
    counts_by_code: Counter[str]
    latencies: HdrHistogram
    max_refusal_s: float

    def percentile_s(self, percentile: float) -> float:
        """Returns a percentile of the latencies in seconds."""
        value: int = self.latencies.get_value_at_percentile(percentile)
        return value / US_PER_S


class _ScheduledRequest(NamedTuple):
    number: int
    due: float
    prompt: str
    seed: int
    counted: bool


class _Outcome(NamedTuple):
    code: str
    latency_s: float


def run_load(instances: Sequence[Instance], load: Load) -> LoadResult:
    """Sends a load from worker threads, each bound to one instance.

    The threads are assigned to the instances in turn.
    """
    requests: queue.Queue[_ScheduledRequest | None] = queue.Queue()
    outcomes: list[_Outcome] = []
    threads = [
        threading.Thread(
            target=_send_scheduled,
            args=(instances[n % len(instances)], load, requests, outcomes),
            daemon=True,
        )
        for n in range(WORKER_THREADS)
    ]
    for thread in threads:
        thread.start()
    for scheduled in _draw_schedule(load, monotonic() + 0.2):
        time.sleep(max(0.0, scheduled.due - monotonic()))
        requests.put(scheduled)
    for _ in threads:
        requests.put(None)
    for thread in threads:
        thread.join(load.timeout_s + 10)
    return _summarise(load, list(outcomes))


def _draw_schedule(load: Load, start: float) -> list[_ScheduledRequest]:
    draw = random.Random(load.seed)
    requests: list[_ScheduledRequest] = []
    offset_s = 0.0
    while offset_s < load.duration_s:
        offset_s += draw.expovariate(load.rate_per_s)
        prompt = f"console {draw.randrange(DISTINCT_PROMPTS):03d} " + "x" * 64
        seed = draw.randrange(1 << 30)
        counted = offset_s >= load.warmup_s
        requests.append(
            _ScheduledRequest(
                len(requests), start + offset_s, prompt, seed, counted
            )
        )
    return requests


def _send_scheduled(
    instance: Instance,
    load: Load,
    requests: "queue.Queue[_ScheduledRequest | None]",
    outcomes: list[_Outcome],
) -> None:
    address = instance.addresses_by_flag["caller"]
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=load.timeout_s + 5
    )
    while (scheduled := requests.get()) is not None:
        try:
            code = _send_request(connection, load, scheduled)
        except (OSError, http.client.HTTPException):
            connection.close()
            code = "no_answer"
        if scheduled.counted:
            outcomes.append(_Outcome(code, monotonic() - scheduled.due))
    connection.close()


def _send_request(
    connection: http.client.HTTPConnection,
    load: Load,
    scheduled: _ScheduledRequest,
) -> str:
    body = {
        "model": MODEL,
        "prompt": scheduled.prompt,
        "seed": scheduled.seed,
        "max_tokens": load.max_tokens,
    }
    headers = {
        "Authorization": f"Bearer {CALLER_TOKEN}",
        "Content-Type": "application/json",
        "X-Request-Id": f"{load.name}.{scheduled.number}",
        "X-Deadline-Ms": str(int(load.timeout_s * 1000)),
    }
    connection.request("POST", "/v1/completions", json.dumps(body), headers)
    response = json.loads(connection.getresponse().read())
    if "error" in response:
        return str(response["error"]["code"])
    expected = expected_tokens(
        scheduled.prompt, scheduled.seed, load.max_tokens
    )
    correct = response["choices"][0]["text"] == "".join(expected)
    return "ok" if correct else "wrong"


def _summarise(load: Load, outcomes: list[_Outcome]) -> LoadResult:
    latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
    good = 0
    refusal_s = 0.0
    for code, seconds in outcomes:
        in_time = code == "ok" and seconds <= load.timeout_s
        good += in_time
        if code in ("overloaded", "deadline_unreachable"):
            refusal_s = max(refusal_s, seconds)
        recorded_s = seconds if code == "ok" else max(seconds, load.timeout_s)
        latencies.record_value(int(recorded_s * US_PER_S))
    codes = Counter(outcome.code for outcome in outcomes)
    return LoadResult(
        len(outcomes), good, codes["wrong"], codes, latencies, refusal_s
    )
