"""Measures the cost of an idle fleet of real daemons at several sizes.

For each size it starts stand-ins and daemons, lets them settle, and prints
one JSON line: the cost per daemon, the delay until a configuration change is
in force, the number of false suspicions, and the delay until a killed peer
is detected. For two or more sizes it also prints a least-squares line for
each figure.
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
MIN_DATA_CENTRES = 3
CONFIG_FOLDER = "examples/canjea"
START_BATCH_SIZE = 10
SETTLE_S = 12.0
IDLE_PERIOD_S = 20.0
CONFIG_CHANGES = 5
CHANGE_TIMEOUT_S = 30.0
DETECTION_TIMEOUT_S = 40.0
BURN_S = 15.0
MIN_FREE_BYTES = 12 << 30
BURNER_CODE = "while True: pass"


class Usage(NamedTuple):
    """The cumulative CPU time and peer traffic of a daemon, and its memory."""

    cpu_s: float
    rss_bytes: int
    messages: int
    bytes: int


def measure_fleet(size: int, burners: int) -> dict[str, Any]:
    """Starts a fleet and measures it.

    Args:
        size: Number of daemons.
        burners: Number of processes that busy-loop in the loaded phase.

    Returns:
        The figures by name.
    """
    with Fleet.running() as fleet:
        revision = _start_fleet(fleet, size)
        figures: dict[str, Any] = {"size": size}
        figures.update(_measure_idle_cost(fleet))
        figures.update(_measure_changes(fleet, revision))
        figures["false_suspicions_idle"] = _count_false_suspicions(fleet, set())
        figures.update(_measure_under_load(fleet, burners))
        figures.update(_measure_kill_detection(fleet))
        return figures


def _start_fleet(fleet: Fleet, size: int) -> int:
    fleet.platform()
    config = fleet.targets(CONFIG_FOLDER)
    data_centres = max(MIN_DATA_CENTRES, round(size / DATA_CENTRE_SIZE))
    for number in range(size):
        data_centre = f"dc-{number % data_centres}"
        fleet.daemon(
            f"{data_centre}-{number}", data_centre, "--live-threads", "8"
        )
        if number % START_BATCH_SIZE == START_BATCH_SIZE - 1:
            fleet.wait_started()
            if psutil.virtual_memory().available < MIN_FREE_BYTES:
                raise MemoryError(
                    f"less than {MIN_FREE_BYTES} bytes of memory available "
                    f"after the start of {number + 1} daemons"
                )
    fleet.wait_started()
    fleet.publish_instances()
    revision = fleet.apply(config)
    _wait_revision(fleet, revision)
    time.sleep(SETTLE_S)
    return revision


def _measure_idle_cost(fleet: Fleet) -> dict[str, Any]:
    before = [_read_usage(fleet, instance) for instance in fleet.instances]
    calls_before = fleet.get("store", "/calls")
    start = monotonic()
    time.sleep(IDLE_PERIOD_S)
    elapsed = monotonic() - start
    calls_after = fleet.get("store", "/calls")
    after = [_read_usage(fleet, instance) for instance in fleet.instances]
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
        count = calls_after.get(kind, 0) - calls_before.get(kind, 0)
        figures[f"store_{kind}s_per_s"] = count / elapsed
    return figures


def _read_usage(fleet: Fleet, instance: Instance) -> Usage:
    process = psutil.Process(instance.process.pid)
    times = process.cpu_times()
    traffic = fleet.admin(instance, "GET", "peers")["traffic"]
    return Usage(
        times.user + times.system,
        process.memory_info().rss,
        traffic["messages_sent"] + traffic["messages_received"],
        traffic["bytes_sent"] + traffic["bytes_received"],
    )


def _measure_changes(fleet: Fleet, revision: int) -> dict[str, Any]:
    medians, maxima = [], []
    for _ in range(CONFIG_CHANGES):
        first = fleet.instances[0]
        config = fleet.admin(first, "GET", "config")["config"]
        start = time.time()
        revision = fleet.apply(config, revision)
        times = _wait_revision(fleet, revision)
        delays = [max(0.0, logged_at - start) for logged_at in times]
        medians.append(statistics.median(delays))
        maxima.append(max(delays))
    return {
        "change_median_s": statistics.median(medians),
        "change_greatest_s": max(maxima),
    }


def _wait_revision(fleet: Fleet, revision: int) -> list[float]:
    """Waits until a revision is in force on all running instances.

    Returns:
        The wall-clock times of the instances' log lines.
    """
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
                logged_at = _first_match_time(instance.process, matches)
                if logged_at is not None:
                    times_by_name[instance.name] = logged_at
        return len(times_by_name) == len(instances)

    wait_for(all_found, timeout_s, "a matching line in every instance's log")
    return list(times_by_name.values())


def _first_match_time(
    process: Process, matches: Callable[[dict[str, Any]], bool]
) -> float | None:
    for line in _log_lines(process.log_path):
        if matches(line):
            logged_at = datetime.strptime(
                line["asctime"], "%Y-%m-%d %H:%M:%S,%f"
            )
            return logged_at.timestamp()
    return None


def _log_lines(path: pathlib.Path) -> list[dict[str, Any]]:
    lines = []
    for text in path.read_text().splitlines():
        if text.startswith("{"):
            try:
                lines.append(json.loads(text))
            except json.JSONDecodeError:
                continue
    return lines


def _count_false_suspicions(fleet: Fleet, gone: set[str]) -> int:
    """Counts log lines that report a running instance as failed.

    Args:
        fleet: The fleet.
        gone: Names of instances that did stop; lines on them don't count.
    """
    return sum(
        str(line["message"]).endswith("Instance state changed.")
        and line["state"] in ("dead", "paused", "cut")
        and line["peer"] not in gone
        for instance in fleet.instances
        for line in _log_lines(instance.process.log_path)
    )


def _measure_under_load(fleet: Fleet, burners: int) -> dict[str, Any]:
    before = _count_false_suspicions(fleet, set())
    processes = [
        psutil.Popen([sys.executable, "-c", BURNER_CODE])
        for _ in range(burners)
    ]
    time.sleep(BURN_S)
    for process in processes:
        process.kill()
        process.wait()
    time.sleep(1.0)
    return {
        "burners": burners,
        "false_suspicions_loaded": _count_false_suspicions(fleet, set())
        - before,
    }


def _measure_kill_detection(fleet: Fleet) -> dict[str, Any]:
    victim = fleet.instances[-1]
    others = fleet.instances[:-1]
    start = time.time()
    victim.process.send(signal.SIGKILL)

    def matches(line: dict[str, Any]) -> bool:
        state_changed = str(line["message"]).endswith("Instance state changed.")
        return (
            state_changed
            and line["peer"] == victim.name
            and line["state"] == "dead"
        )

    try:
        times = _times_in_logs(others, matches, DETECTION_TIMEOUT_S)
    except TimeoutError:
        return {"notice_median_s": None, "notice_greatest_s": None}
    delays = [logged_at - start for logged_at in times]
    return {
        "notice_median_s": statistics.median(delays),
        "notice_greatest_s": max(delays),
    }


def fit_line(rows: Sequence[dict[str, Any]], name: str) -> tuple[float, float]:
    """Returns intercept and slope of a least-squares line through a figure."""
    points = [(r["size"], r[name]) for r in rows if r.get(name) is not None]
    fit = statistics.linear_regression(*zip(*points, strict=True))
    return fit.intercept, fit.slope


def main() -> None:
    """Measures the sizes given; prints one JSON line for each, and the fits."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", type=int, nargs="+")
    parser.add_argument("--burners", type=int, default=10)
    args = parser.parse_args()
    rows = []
    for size in args.sizes:
        row = measure_fleet(size, args.burners)
        rows.append(row)
        print(json.dumps(row), flush=True)
    if len(rows) > 1:
        for name in rows[0]:
            if name not in ("size", "burners") and rows[0][name] is not None:
                intercept, by_size = fit_line(rows, name)
                print(f"{name}: {intercept:.4g} + {by_size:.4g} n")


if __name__ == "__main__":
    main()
