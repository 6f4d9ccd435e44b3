"""Measures what an instance itself costs for a request and for a token.

Run as `python -m bench.own_cost`. One run asks stand-in engines directly by
`http.client` and through one daemon, and compares both.
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
from bench.load import MODEL, TOKEN
from hibiscuspin.clock import monotonic
from hibiscuspin.settings import Address

SEED = 20240302
TOKEN_S = 0.002
ENGINE_SLOTS = 64
ENGINES = 4
LONG_TOKENS = 400
SHORT_REQUESTS = 200
LONG_REQUESTS = 20
DRIVERS = 3
CALLERS_EACH = 8
RATE_S = 6.0
US_PER_S = 1_000_000
TIMEOUT_S = 30.0
TARGET_REQUESTS = 17
TARGET_TOKENS = 5_900


class Cost(NamedTuple):
    """Requests in turn by one caller.

    Attributes:
        requests: Requests that were sent.
        tokens: Tokens that came in all.
        median_s: Median latency.
        p99_s: 99th percentile of the latency.
        cpu_s: Processor time of the daemon for each request.
    """

    requests: int
    tokens: int
    median_s: float
    p99_s: float
    cpu_s: float


class Rate(NamedTuple):
    """What many callers got at once."""

    requests: int
    tokens: int
    failed: int


class Way(NamedTuple):
    """Where requests go; the path and the headers are the same."""

    address: Address
    tokens: int
    name: str


def ask(connection: http.client.HTTPConnection, way: Way, number: int) -> int:
    """Streams one answer; returns its tokens, or -1 if it is not whole."""
    body = {
        "request_id": f"{way.name}-{number}",
        "model": MODEL,
        "prompt": "console",
        "seed": SEED + number,
        "max_tokens": way.tokens,
        "stream": True,
    }
    if way.name.startswith("daemon"):
        del body["request_id"]
    headers = {
        "Authorization": f"Bearer {TOKEN}",
        "Content-Type": "application/json",
    }
    connection.request("POST", "/v1/completions", json.dumps(body), headers)
    data = connection.getresponse().read()
    if not data.endswith(b"[DONE]\n\n"):
        return -1
    return data.count(b'"token"') or data.count(b'"finish_reason":null')


def in_turn(way: Way, pid: int) -> Cost:
    """Sends requests one after the other."""
    connection = http.client.HTTPConnection(way.address.host, way.address.port)
    latencies = HdrHistogram(1, 60 * US_PER_S, 3)
    tokens = 0
    requests = SHORT_REQUESTS if way.tokens == 1 else LONG_REQUESTS
    before = _cpu_s(pid)
    for number in range(requests):
        start = time.perf_counter()
        tokens += ask(connection, way, number)
        took_s = time.perf_counter() - start
        latencies.record_value(int(took_s * US_PER_S))
    cpu_s = (_cpu_s(pid) - before) / requests
    connection.close()
    return Cost(
        requests,
        tokens,
        latencies.get_value_at_percentile(50) / US_PER_S,
        latencies.get_value_at_percentile(99) / US_PER_S,
        cpu_s,
    )


def at_once(way: Way) -> Rate:
    """Drives one address from several processes for a while."""
    with ProcessPoolExecutor(DRIVERS) as pool:
        rates = list(pool.map(_drive, [way] * DRIVERS, range(DRIVERS)))
    return Rate(
        sum(rate.requests for rate in rates),
        sum(rate.tokens for rate in rates),
        sum(rate.failed for rate in rates),
    )


def _drive(way: Way, driver: int) -> Rate:
    def caller(number: int) -> Rate:
        host, port = way.address
        connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
        seen = [0, 0, 0]
        end = monotonic() + RATE_S
        while monotonic() < end:
            key = (driver * CALLERS_EACH + number) * 1_000_000 + seen[0]
            tokens = ask(connection, way, key)
            seen[0] += 1
            seen[1] += max(0, tokens)
            seen[2] += tokens < 0
        connection.close()
        return Rate(*seen)

    with ThreadPoolExecutor(CALLERS_EACH) as pool:
        rates = list(pool.map(caller, range(CALLERS_EACH)))
    return Rate(*(sum(column) for column in zip(*rates, strict=True)))


def _cpu_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def _fleet(fleet: Fleet) -> tuple[Address, Address, int]:
    """Starts engines and one daemon; returns both ways and the daemon."""
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
    """Runs all measurements and prints their tables."""
    argparse.ArgumentParser(description=__doc__).parse_args(argv)
    print(f"seed {SEED}")
    with Fleet.running() as fleet:
        direct, through, pid = _fleet(fleet)
        print("| way | tokens | median ms | p99 ms | daemon CPU ms |")
        costs: list[Cost] = []
        for name, address in (("direct", direct), ("daemon", through)):
            for tokens in (1, LONG_TOKENS):
                way = Way(address, tokens, f"{name}{tokens}")
                cost = in_turn(way, pid)
                costs.append(cost)
                print(
                    f"| {name} | {cost.tokens / cost.requests:.1f} "
                    f"| {cost.median_s * 1000:.2f} | {cost.p99_s * 1000:.2f} "
                    f"| {cost.cpu_s * 1000:.3f} |",
                    flush=True,
                )
        short, long = costs[2:]
        more = long.tokens / long.requests - short.tokens / short.requests
        each_us = (long.cpu_s - short.cpu_s) / more * US_PER_S
        print(f"daemon CPU for each further token: {each_us:.1f} us")
        print("| load | requests/s | tokens/s | failed | of the target |")
        for name, tokens in (("short", 1), ("long", LONG_TOKENS)):
            rate = at_once(Way(through, tokens, f"daemon-{name}"))
            if tokens == 1:
                times = rate.requests / RATE_S / TARGET_REQUESTS
            else:
                times = rate.tokens / RATE_S / TARGET_TOKENS
            print(
                f"| {name} | {rate.requests / RATE_S:.0f} "
                f"| {rate.tokens / RATE_S:.0f} | {rate.failed} "
                f"| {times:.1f}x |",
                flush=True,
            )


if __name__ == "__main__":
    main()
