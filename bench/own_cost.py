"""Measures the overhead of an instance per request and per token.

Run it with `python -m bench.own_cost`. One run sends requests with
`http.client` to a stand-in engine directly and through one daemon, and
compares the two.
"""

import argparse
import http.client
import json
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from typing import NamedTuple

import psutil
from hdrh.histogram import HdrHistogram

from bench.fleet import Fleet
from bench.load import CALLER_TOKEN, MODEL
from hibiscuspin.clock import monotonic
from hibiscuspin.settings import Address

SEED = 20240302
TOKEN_S = 0.002
ENGINE_SLOTS = 64
ENGINES = 4
LONG_TOKENS = 400
SHORT_REQUESTS = 200
LONG_REQUESTS = 20
DRIVER_PROCESSES = 3
CALLERS_PER_DRIVER = 8
THROUGHPUT_PERIOD_S = 6.0
US_PER_S = 1_000_000
TIMEOUT_S = 30.0
TARGET_REQUESTS_PER_S = 17
TARGET_TOKENS_PER_S = 5_900


class Cost(NamedTuple):
    """The cost of requests that one caller sends one after the other.

    Attributes:
        requests: Number of requests sent.
        tokens: Number of tokens received in all responses.
        median_s: Median latency in seconds.
        p99_s: 99th percentile of the latency in seconds.
        cpu_s: CPU seconds of the daemon per request.
    """

    requests: int
    tokens: int
    median_s: float
    p99_s: float
    cpu_s: float


class Throughput(NamedTuple):
    """Counts of requests, received tokens and failures of parallel callers."""

    requests: int
    tokens: int
    failed: int


class Destination(NamedTuple):
    """Where requests go; the path and the headers are always the same.

    Attributes:
        address: The address of an engine or of a daemon's caller interface.
        max_tokens: The maximum number of tokens per response.
        name: The prefix of request IDs; for daemons it starts with "daemon".
    """

    address: Address
    max_tokens: int
    name: str


def stream_request(
    connection: http.client.HTTPConnection,
    destination: Destination,
    number: int,
) -> int:
    """Streams one response.

    Returns:
        The number of tokens, or -1 if the response is incomplete.
    """
    body = {
        "request_id": f"{destination.name}-{number}",
        "model": MODEL,
        "prompt": "console",
        "seed": SEED + number,
        "max_tokens": destination.max_tokens,
        "stream": True,
    }
    if destination.name.startswith("daemon"):
        del body["request_id"]
    headers = {
        "Authorization": f"Bearer {CALLER_TOKEN}",
        "Content-Type": "application/json",
    }
    connection.request("POST", "/v1/completions", json.dumps(body), headers)
    data = connection.getresponse().read()
    if not data.endswith(b"[DONE]\n\n"):
        return -1
    return data.count(b'"token"') or data.count(b'"finish_reason":null')


def measure_sequential(destination: Destination, pid: int) -> Cost:
    """Sends requests one after the other; measures latency and CPU time."""
    connection = http.client.HTTPConnection(
        destination.address.host, destination.address.port
    )
    latencies = HdrHistogram(1, 60 * US_PER_S, 3)
    tokens = 0
    requests = SHORT_REQUESTS if destination.max_tokens == 1 else LONG_REQUESTS
    before = _cpu_s(pid)
    for number in range(requests):
        start = time.perf_counter()
        tokens += stream_request(connection, destination, number)
        latency_s = time.perf_counter() - start
        latencies.record_value(int(latency_s * US_PER_S))
    cpu_s = (_cpu_s(pid) - before) / requests
    connection.close()
    return Cost(
        requests,
        tokens,
        latencies.get_value_at_percentile(50) / US_PER_S,
        latencies.get_value_at_percentile(99) / US_PER_S,
        cpu_s,
    )


def measure_concurrent(destination: Destination) -> Throughput:
    """Sends requests from several processes for `THROUGHPUT_PERIOD_S`."""
    with ProcessPoolExecutor(DRIVER_PROCESSES) as pool:
        rates = list(
            pool.map(
                _run_driver,
                [destination] * DRIVER_PROCESSES,
                range(DRIVER_PROCESSES),
            )
        )
    return Throughput(
        sum(rate.requests for rate in rates),
        sum(rate.tokens for rate in rates),
        sum(rate.failed for rate in rates),
    )


def _run_driver(destination: Destination, driver: int) -> Throughput:
    def caller(number: int) -> Throughput:
        host, port = destination.address
        connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
        totals = [0, 0, 0]
        end = monotonic() + THROUGHPUT_PERIOD_S
        while monotonic() < end:
            key = (driver * CALLERS_PER_DRIVER + number) * 1_000_000 + totals[0]
            tokens = stream_request(connection, destination, key)
            totals[0] += 1
            totals[1] += max(0, tokens)
            totals[2] += tokens < 0
        connection.close()
        return Throughput(*totals)

    with ThreadPoolExecutor(CALLERS_PER_DRIVER) as pool:
        rates = list(pool.map(caller, range(CALLERS_PER_DRIVER)))
    return Throughput(*(sum(column) for column in zip(*rates, strict=True)))


def _cpu_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def _start_fleet(fleet: Fleet) -> tuple[Address, Address, int]:
    """Starts engines and one daemon.

    Returns:
        The address of an engine, the daemon's caller address and its PID.
    """
    fleet.platform()
    config = fleet.targets("examples/canjea", TOKEN_S)
    names = [n for n in config["targets_by_name"] if n.startswith("tasador-")]
    for name in names[:ENGINES]:
        flags = ["--model", MODEL, "--slots", str(ENGINE_SLOTS)]
        flags += ["--token-s", str(TOKEN_S), "--prefill-steps", "0"]
        fleet.standins_by_name[name].kill()
        fleet.standin("engine", name, *flags)
        config["targets_by_name"][name]["slots"] = ENGINE_SLOTS
        config["targets_by_name"][name]["data_centre"] = "cba-a"
    for name in names[ENGINES:]:
        del config["targets_by_name"][name]
    fleet.wait_ready(names[:ENGINES])
    instance = fleet.daemon("cba-a-1", "cba-a")
    fleet.wait_started()
    fleet.publish_instances()
    fleet.wait_configured(fleet.apply(config))
    direct = fleet.addresses_by_name[names[0]]
    return direct, instance.addresses_by_flag["caller"], instance.process.pid


def main(argv: Sequence[str] | None = None) -> None:
    """Runs all measurements and prints the tables."""
    argparse.ArgumentParser(description=__doc__).parse_args(argv)
    print(f"seed {SEED}")
    with Fleet.running() as fleet:
        direct, through_daemon, pid = _start_fleet(fleet)
        print("| way | tokens | median ms | p99 ms | daemon CPU ms |")
        costs: list[Cost] = []
        for name, address in (("direct", direct), ("daemon", through_daemon)):
            for tokens in (1, LONG_TOKENS):
                destination = Destination(address, tokens, f"{name}{tokens}")
                cost = measure_sequential(destination, pid)
                costs.append(cost)
                print(
                    f"| {name} | {cost.tokens / cost.requests:.1f} "
                    f"| {cost.median_s * 1000:.2f} | {cost.p99_s * 1000:.2f} "
                    f"| {cost.cpu_s * 1000:.3f} |",
                    flush=True,
                )
        short, long = costs[2:]
        further_tokens = (
            long.tokens / long.requests - short.tokens / short.requests
        )
        cpu_us_per_token = (
            (long.cpu_s - short.cpu_s) / further_tokens * US_PER_S
        )
        print(f"daemon CPU for each further token: {cpu_us_per_token:.1f} us")
        print("| load | requests/s | tokens/s | failed | of the target |")
        for name, tokens in (("short", 1), ("long", LONG_TOKENS)):
            rate = measure_concurrent(
                Destination(through_daemon, tokens, f"daemon-{name}")
            )
            if tokens == 1:
                target_ratio = (
                    rate.requests / THROUGHPUT_PERIOD_S / TARGET_REQUESTS_PER_S
                )
            else:
                target_ratio = (
                    rate.tokens / THROUGHPUT_PERIOD_S / TARGET_TOKENS_PER_S
                )
            print(
                f"| {name} | {rate.requests / THROUGHPUT_PERIOD_S:.0f} "
                f"| {rate.tokens / THROUGHPUT_PERIOD_S:.0f} | {rate.failed} "
                f"| {target_ratio:.1f}x |",
                flush=True,
            )


if __name__ == "__main__":
    main()
