"""Measures live requests under faults, overload and rollouts.

Run it with `python -m bench.live [CASE ...] [--seconds S] [--plot FILE]`.
Baseline and policy run against identical stand-ins in the same run. Each row
shows the case, the variant, requests per second, requests counted, responses
in time per second, median and 99th percentile of the latency in seconds,
attempts per request at the engines, wrong responses, failures by code, the
slowest refusal in seconds, and the CPU time of all instances per second. A
failure counts with a latency of at least its time limit.
"""

import argparse
import contextlib
import pathlib
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

import psutil

from bench import load as loads
from bench.fleet import Fleet, request
from bench.live_plot import Bar, draw
from bench.load import MODEL, Load, LoadResult
from hibiscuspin.config import Config
from hibiscuspin.edges import TargetError

TRAINER_TOKEN = "appraisal-token"
ENGINES = 6
SLOTS_PER_ENGINE = 8
TOKEN_S = 0.03
PREFILL_STEPS = 5
MAX_TOKENS = 64
MEAN_TOKENS = 28
MEAN_REQUEST_S = (MEAN_TOKENS + 1) * TOKEN_S
PEAK_RATE_PER_S = ENGINES * SLOTS_PER_ENGINE / MEAN_REQUEST_S
TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 3.0
WARMUP_S = 5.0
CRASH_PERIOD_S = 6.0
ENGINE_DOWNTIME_S = 2.0
SEED = 20240301


class Row(NamedTuple):
    """One measured load.

    Attributes:
        case: The case's name.
        variant: The router's name, or what distinguishes the row in its case.
        rate_per_s: Requests sent per second.
        attempts: Attempts at the engines per request.
        cpu_share: CPU seconds of all daemons per second.
        result: The results that the load's callers saw.
    """

    case: str
    variant: str
    rate_per_s: float
    attempts: float
    cpu_share: float
    result: LoadResult


class LiveBench:
    """A fleet of six engines and two instances in one data centre."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.engines: list[str] = []

    @classmethod
    @contextlib.contextmanager
    def running(cls, router: str) -> Iterator["LiveBench"]:
        """Yields a started fleet whose daemons use the named router."""
        with Fleet.running() as fleet:
            bench = cls(fleet)
            fleet.platform()
            config = fleet.targets("examples/canjea", TOKEN_S)
            bench.engines = bench._use_one_data_centre(config)
            for name in ("cba-a-1", "cba-a-2"):
                flags = ("--router", router, "--live-threads", "128")
                fleet.daemon(name, "cba-a", *flags)
            fleet.wait_started()
            fleet.publish_instances()
            fleet.wait_configured(fleet.apply(config))
            yield bench

    def start_engine(self, name: str) -> None:
        """Restarts an engine at its earlier address."""
        flags = ["--model", MODEL, "--slots", str(SLOTS_PER_ENGINE)]
        flags += ["--token-s", str(TOKEN_S)]
        self.fleet.standin("engine", name, *flags)

    def attempts_per_request(self, name: str) -> float:
        """Returns the mean number of attempts in the engines' records.

        Only requests of the load `name` that reached an engine count.
        """
        counts: Counter[str] = Counter()
        for engine in self.engines:
            for record in self._records(engine):
                request_id = str(record["request_id"]).rsplit("-", 2)[0]
                if request_id.startswith(f"{name}."):
                    counts[request_id] += 1
        return sum(counts.values()) / max(1, len(counts))

    def _records(self, engine: str) -> list[dict[str, object]]:
        """Returns an engine's records, or an empty list while it is down."""
        try:
            return list(self.fleet.get(engine, "/records"))
        except TargetError:
            return []

    def _use_one_data_centre(self, config: Config) -> list[str]:
        """Moves all targets to one data centre; returns the engines' names."""
        names = []
        for name, target in config["targets_by_name"].items():
            target["data_centre"] = "cba-a"
            if target["kind"] == "engine":
                names.append(name)
        return names


def measure(
    bench: LiveBench,
    case: str,
    variant: str,
    peak_share: float,
    duration_s: float,
    timeout_s: float = TIMEOUT_S,
) -> Row:
    """Runs one load at a share of the peak rate and prints its row."""
    rate = PEAK_RATE_PER_S * peak_share
    name = f"{case}-{variant}-{peak_share:.2f}".replace(".", "_")
    load = Load(
        name, rate, duration_s + WARMUP_S, WARMUP_S, timeout_s, MAX_TOKENS, SEED
    )
    before = _daemon_cpu_s(bench)
    result = loads.run_load(bench.fleet.instances, load)
    cpu_share = (_daemon_cpu_s(bench) - before) / (duration_s + WARMUP_S)
    attempts = bench.attempts_per_request(name)
    row = Row(case, variant, rate, attempts, cpu_share, result)
    print(format_row(row), flush=True)
    return row


def _daemon_cpu_s(bench: LiveBench) -> float:
    """Returns the cumulative CPU time of all daemons in seconds."""
    total = 0.0
    for instance in bench.fleet.instances:
        times = psutil.Process(instance.process.pid).cpu_times()
        total += times.user + times.system
    return total


def faults(duration_s: float) -> list[Row]:
    """Measures both routers with a slow, a crashing and a silent engine.

    The slow engine takes five times as long, so it counts as a fifth of an
    engine in the capacity that remains.
    """
    remaining_share = (ENGINES - 3 + 0.2) / ENGINES
    rows = []
    for router in ("round_robin", "expected_finish"):
        with LiveBench.running(router) as bench:
            slow, crashing, silent = bench.engines[:3]
            bench.fleet.faults(slow, extra={"slow": 5})
            bench.fleet.faults(silent, silent=True, only="/v1")
            with _repeated_crashes(bench, crashing):
                rows.append(
                    measure(
                        bench,
                        "faults",
                        router,
                        0.8 * remaining_share,
                        duration_s,
                    )
                )
            bench.fleet.faults(silent)
    return rows


def overload(duration_s: float) -> list[Row]:
    """Compares goodput at twice the peak rate with goodput near the peak."""
    with LiveBench.running("expected_finish") as bench:
        return [
            measure(
                bench, "overload", "policy", share, duration_s, SHORT_TIMEOUT_S
            )
            for share in (0.85, 1.0, 2.0)
        ]


def rollouts(duration_s: float) -> list[Row]:
    """Measures live requests without and with a backlog of rollouts."""
    with LiveBench.running("expected_finish") as bench:
        rows = [measure(bench, "rollouts", "without", 0.5, duration_s)]
        _submit_rollouts(bench)
        time.sleep(2.0)
        rows.append(measure(bench, "rollouts", "with", 0.5, duration_s))
        return rows


CASES = {"faults": faults, "overload": overload, "rollouts": rollouts}


@contextlib.contextmanager
def _repeated_crashes(bench: LiveBench, engine: str) -> Iterator[None]:
    """Kills and restarts an engine repeatedly until the block exits."""
    stop = threading.Event()

    def crash() -> None:
        while not stop.wait(CRASH_PERIOD_S - ENGINE_DOWNTIME_S):
            bench.fleet.standins_by_name[engine].kill()
            stop.wait(ENGINE_DOWNTIME_S)
            bench.start_engine(engine)

    thread = threading.Thread(target=crash)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()
        bench.fleet.wait_ready([engine])


def _submit_rollouts(bench: LiveBench) -> None:
    prompts = [
        {
            "id": f"p{n}",
            "prompt": f"appraise {n}",
            "samples": 8,
            "max_tokens": 400,
        }
        for n in range(250)
    ]
    request(
        bench.fleet.instances[0].trainer,
        "POST",
        "/v1/trainers/appraiser/steps/1/prompts",
        {"prompts": prompts, "final": True},
        token=TRAINER_TOKEN,
    )


def format_row(row: Row) -> str:
    """Formats a measured load as a row of the Markdown table."""
    result = row.result
    failures = {
        k: n for k, n in sorted(result.counts_by_code.items()) if k != "ok"
    }
    in_time_share = result.in_time / max(1, result.counted)
    return (
        f"| {row.case} | {row.variant} | {row.rate_per_s:.1f} "
        f"| {result.counted} "
        f"| {row.rate_per_s * in_time_share:.1f} "
        f"| {result.percentile_s(50):.2f} "
        f"| {result.percentile_s(99):.2f} | {row.attempts:.3f} "
        f"| {result.wrong} | {failures or ''} | {result.max_refusal_s:.3f} "
        f"| {row.cpu_share:.2f} |"
    )


def create_bar(row: Row) -> Bar:
    """Returns the bar of a measured load for the plot."""
    in_time_share = row.result.in_time / max(1, row.result.counted)
    label = f"{row.case}, {row.variant}, {row.rate_per_s:.0f}/s"
    p99_s = row.result.percentile_s(99)
    return Bar(label, p99_s, row.rate_per_s, row.rate_per_s * in_time_share)


def main(argv: Sequence[str] | None = None) -> None:
    """Runs the named cases, or all if none is named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("cases", nargs="*", default=list(CASES))
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--plot", type=pathlib.Path)
    args = parser.parse_args(argv)
    print(
        f"seed {SEED}, {PEAK_RATE_PER_S:.1f} requests/s are the engines' peak"
    )
    rows = [
        row for case in args.cases or CASES for row in CASES[case](args.seconds)
    ]
    if args.plot:
        draw([create_bar(row) for row in rows], args.plot)


if __name__ == "__main__":
    main()
