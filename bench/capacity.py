"""Measures what an idle fleet of real daemons costs, at several sizes.

For each size it starts stand-ins and daemons, lets them settle, and prints
one JSON line with the cost for each daemon and the times of changes and of
a killed peer. Two sizes or more also give least-squares slopes.
"""

import argparse
import json
import pathlib
import signal
import statistics
import sys
import time
from collections.abc import Callable, Sequence
from datetime import datetime
from typing import Any, NamedTuple

import psutil

from bench.fleet import Fleet, Instance, Process, wait_for
from hibiscuspin.clock import monotonic

DATA_CENTRE_SIZE = 41
LEAST_DATA_CENTRES = 3
FOLDER = "examples/canjea"
START_BATCH = 10
SETTLE_S = 12.0
SAMPLE_S = 20.0
CHANGES = 5
CHANGE_TIMEOUT_S = 30.0
NOTICE_TIMEOUT_S = 40.0
LOAD_S = 15.0
LEAST_FREE_BYTES = 12 << 30
BURN = "while True: pass"


class Usage(NamedTuple):
    """What one daemon has used so far."""

    cpu_s: float
    rss_bytes: int
    messages: int
    bytes: int


def run(size: int, burners: int) -> dict[str, Any]:
    """Measures one fleet and returns its figures."""
    with Fleet.running() as fleet:
        revision = _start(fleet, size)
        figures: dict[str, Any] = {"size": size}
        figures.update(_idle_cost(fleet))
        figures.update(_changes(fleet, revision))
        figures["false_suspicions_idle"] = _suspicions(fleet, set())
        figures.update(_under_load(fleet, burners))
        figures.update(_kill(fleet))
        return figures


def _start(fleet: Fleet, size: int) -> int:
    fleet.platform()
    config = fleet.targets(FOLDER)
    centres = max(LEAST_DATA_CENTRES, round(size / DATA_CENTRE_SIZE))
    for number in range(size):
        centre = f"dc-{number % centres}"
        fleet.daemon(f"{centre}-{number}", centre, "--live-threads", "8")
        if number % START_BATCH == START_BATCH - 1:
            fleet.wait_started()
            if psutil.virtual_memory().available < LEAST_FREE_BYTES:
                raise MemoryError(f"too little memory at {number + 1}")
    fleet.wait_started()
    fleet.publish_instances()
    revision = fleet.apply(config)
    _wait_revision(fleet, revision)
    time.sleep(SETTLE_S)
    return revision


def _idle_cost(fleet: Fleet) -> dict[str, Any]:
    before = [_usage(fleet, instance) for instance in fleet.instances]
    calls = fleet.get("store", "/calls")
    start = monotonic()
    time.sleep(SAMPLE_S)
    elapsed = monotonic() - start
    calls_after = fleet.get("store", "/calls")
    after = [_usage(fleet, instance) for instance in fleet.instances]
    pairs = list(zip(before, after, strict=True))

    def rate(name: str) -> float:
        values = [getattr(b, name) - getattr(a, name) for a, b in pairs]
        return float(statistics.mean(values) / elapsed)

    figures: dict[str, Any] = {
        "cpu_percent": 100 * rate("cpu_s"),
        "rss_mb": statistics.mean(u.rss_bytes for u in after) / (1 << 20),
        "rss_mb_most": max(u.rss_bytes for u in after) / (1 << 20),
        "messages_per_s": rate("messages"),
        "kb_per_s": rate("bytes") / 1000,
    }
    for kind in ("read", "write", "watch"):
        count = calls_after.get(kind, 0) - calls.get(kind, 0)
        figures[f"store_{kind}s_per_s"] = count / elapsed
    return figures


def _usage(fleet: Fleet, instance: Instance) -> Usage:
    process = psutil.Process(instance.process.pid)
    times = process.cpu_times()
    traffic = fleet.admin(instance, "GET", "peers")["traffic"]
    return Usage(
        times.user + times.system,
        process.memory_info().rss,
        traffic["messages_sent"] + traffic["messages_received"],
        traffic["bytes_sent"] + traffic["bytes_received"],
    )


def _changes(fleet: Fleet, revision: int) -> dict[str, Any]:
    medians, greatest = [], []
    for _ in range(CHANGES):
        first = fleet.instances[0]
        config = fleet.admin(first, "GET", "config")["config"]
        start = time.time()
        revision = fleet.apply(config, revision)
        times = _wait_revision(fleet, revision)
        delays = [max(0.0, at - start) for at in times]
        medians.append(statistics.median(delays))
        greatest.append(max(delays))
    return {
        "change_median_s": statistics.median(medians),
        "change_greatest_s": max(greatest),
    }


def _wait_revision(fleet: Fleet, revision: int) -> list[float]:
    """Returns the wall-clock times at which a revision came into force."""
    live = [i for i in fleet.instances if i.process.running()]

    def matches(line: dict[str, Any]) -> bool:
        in_force = str(line["message"]).endswith("Configuration in force.")
        return in_force and line.get("revision", 0) >= revision

    return _times_in_logs(live, matches, CHANGE_TIMEOUT_S)


def _times_in_logs(
    instances: Sequence[Instance],
    matches: Callable[[dict[str, Any]], bool],
    timeout_s: float,
) -> list[float]:
    times_by_name: dict[str, float] = {}

    def all_found() -> bool:
        for instance in instances:
            if instance.name not in times_by_name:
                at = _first_time(instance.process, matches)
                if at is not None:
                    times_by_name[instance.name] = at
        return len(times_by_name) == len(instances)

    wait_for(all_found, timeout_s, "a line in all logs")
    return list(times_by_name.values())


def _first_time(
    process: Process, matches: Callable[[dict[str, Any]], bool]
) -> float | None:
    for line in _lines(process.log_path):
        if matches(line):
            at = datetime.strptime(line["asctime"], "%Y-%m-%d %H:%M:%S,%f")
            return at.timestamp()
    return None


def _lines(path: pathlib.Path) -> list[dict[str, Any]]:
    lines = []
    for text in path.read_text().splitlines():
        if text.startswith("{"):
            try:
                lines.append(json.loads(text))
            except json.JSONDecodeError:
                continue
    return lines


def _suspicions(fleet: Fleet, gone: set[str]) -> int:
    """Counts verdicts on instances that run."""
    return sum(
        str(line["message"]).endswith("Instance state changed.")
        and line["state"] in ("dead", "paused", "cut")
        and line["peer"] not in gone
        for instance in fleet.instances
        for line in _lines(instance.process.log_path)
    )


def _under_load(fleet: Fleet, burners: int) -> dict[str, Any]:
    before = _suspicions(fleet, set())
    processes = [
        psutil.Popen([sys.executable, "-c", BURN]) for _ in range(burners)
    ]
    time.sleep(LOAD_S)
    for process in processes:
        process.kill()
        process.wait()
    time.sleep(1.0)
    return {
        "burners": burners,
        "false_suspicions_loaded": _suspicions(fleet, set()) - before,
    }


def _kill(fleet: Fleet) -> dict[str, Any]:
    victim = fleet.instances[-1]
    others = fleet.instances[:-1]
    start = time.time()
    victim.process.send(signal.SIGKILL)

    def matches(line: dict[str, Any]) -> bool:
        told = str(line["message"]).endswith("Instance state changed.")
        return told and line["peer"] == victim.name and line["state"] == "dead"

    try:
        times = _times_in_logs(others, matches, NOTICE_TIMEOUT_S)
    except TimeoutError:
        return {"notice_median_s": None, "notice_greatest_s": None}
    delays = [at - start for at in times]
    return {
        "notice_median_s": statistics.median(delays),
        "notice_greatest_s": max(delays),
    }


def slope(rows: Sequence[dict[str, Any]], name: str) -> tuple[float, float]:
    """Returns the least-squares intercept and slope of a figure by size."""
    points = [(r["size"], r[name]) for r in rows if r.get(name) is not None]
    fit = statistics.linear_regression(*zip(*points, strict=True))
    return fit.intercept, fit.slope


def main() -> None:
    """Measures the sizes given and prints one line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", type=int, nargs="+")
    parser.add_argument("--burners", type=int, default=10)
    args = parser.parse_args()
    rows = []
    for size in args.sizes:
        row = run(size, args.burners)
        rows.append(row)
        print(json.dumps(row), flush=True)
    if len(rows) > 1:
        for name in rows[0]:
            if name not in ("size", "burners") and rows[0][name] is not None:
                intercept, by_size = slope(rows, name)
                print(f"{name}: {intercept:.4g} + {by_size:.4g} n")


if __name__ == "__main__":
    main()
