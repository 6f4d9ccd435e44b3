"""Measures a weight roll-out over real daemons and stand-in engines.

    python -m bench.weights --engines 12,24,48,96
    python -m bench.weights --engines 12,24,48,96 --instances 3

Prints for each number of engines: the seconds from the record of the switch
order until the last engine serves the version, the seconds of the complete
roll-out, and the number of copies read from the weight store. By default
each instance owns about `ENGINES_PER_INSTANCE` engines.
"""

import argparse
import json
import sys
import time
from typing import Any, NamedTuple

from bench.fleet import Fleet, request, wait_for
from hibiscuspin.config import Config

ENGINES_PER_INSTANCE = 6
ENGINE_THREADS = 16
REGIONS = 3
WEIGHT_BYTES = 4 << 20
RATE_BYTES_PER_S = 64 << 20
MAX_SWITCH_S = 5.0
TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.01
TRAINER_TOKEN = "appraisal-token"
MODEL = "tasador-lm"
ROW = "{:>8} {:>10} {:>10} {:>10} {:>8}"


class SizeResult(NamedTuple):
    """The figures of one fleet size, as printed."""

    engines: int
    instances: int
    switch_s: float
    rollout_s: float
    copies: int


def measure_rollout(engines: int, instances: int) -> SizeResult:
    """Starts a fleet and rolls one version out to its engines.

    Args:
        engines: Number of stand-in engines.
        instances: Number of daemons; 0 for one per `ENGINES_PER_INSTANCE`
            engines, and at least one per region.
    """
    instances = instances or max(REGIONS, engines // ENGINES_PER_INSTANCE)
    with Fleet.running() as fleet:
        fleet.platform()
        flags: tuple[str, ...] = ("--size-bytes", str(WEIGHT_BYTES))
        flags += ("--rate-bytes-s", str(RATE_BYTES_PER_S))
        fleet.standin("weights", "weights", *flags)
        config = fleet.start_targets(
            _config(fleet, engines), threads=ENGINE_THREADS
        )
        for number in range(instances):
            data_centre = f"dc-{number % REGIONS}"
            fleet.daemon(f"{data_centre}-{number}", data_centre)
        fleet.wait_started()
        fleet.publish_instances()
        fleet.wait_configured(fleet.apply(config), TIMEOUT_S)
        time.sleep(3.0)
        return _roll_out(fleet, engines)


def _roll_out(fleet: Fleet, engines: int) -> SizeResult:
    client = fleet.instances[0].trainer
    path = "/v1/trainers/appraiser/version"
    source = str(fleet.addresses_by_name["weights"])
    start = time.time()
    body = {"version": 2, "source": source}
    response = request(client, "POST", path, body, token=TRAINER_TOKEN)
    if response.status != 202:
        raise RuntimeError(response.body.decode())
    switch_started_at_s = 0.0
    while not switch_started_at_s:
        status = json.loads(
            request(client, "GET", path, token=TRAINER_TOKEN).body
        )
        if status["phase"] == "switch":
            switch_started_at_s = time.time()
        elif time.time() - start > TIMEOUT_S:
            raise TimeoutError(
                f"staging did not end within {TIMEOUT_S} s: {status}"
            )
        time.sleep(POLL_INTERVAL_S)
    names = [n for n in fleet.standins_by_name if n.startswith("engine-")]
    wait_for(
        lambda: all(_served_version(fleet, name) == 2 for name in names),
        TIMEOUT_S,
        "the switch of all engines to version 2",
    )
    last = max(_copy_records(fleet, name)["switched_at_s"] for name in names)
    copies = sum(fleet.get("weights", "/records").values()) / WEIGHT_BYTES
    return SizeResult(
        engines,
        len(fleet.instances),
        max(0.0, last - switch_started_at_s) + POLL_INTERVAL_S,
        last - start,
        round(copies),
    )


def _served_version(fleet: Fleet, name: str) -> int:
    return int(fleet.get(name, "/v1/weights")["current"])


def _copy_records(fleet: Fleet, name: str) -> Any:
    return fleet.get(name, "/records/copies")


def _config(fleet: Fleet, engines: int) -> Config:
    config = fleet.load("examples/canjea")
    config["sites_by_name"] = {
        f"region-{number}": {
            "region": f"region-{number}",
            "data_centres": [f"dc-{number}"],
            "spend": {
                "period_s": 3600,
                "engine_seconds": 100_000,
                "tokens": 1_000_000_000,
                "cross_region_bytes": 1_000_000_000,
            },
        }
        for number in range(REGIONS)
    }
    config["targets_by_name"] = {
        f"engine-{number}": {
            "kind": "engine",
            "data_centre": f"dc-{number % REGIONS}",
            "address": "127.0.0.1:1",
            "model": MODEL,
            "slots": 4,
            "tags_versions": True,
            "checks_fencing": number % 2 == 0,
        }
        for number in range(engines)
    }
    return config


def main() -> int:
    """Measures all sizes; returns 1 if one missed a bound.

    The switch must take less than `MAX_SWITCH_S`, and as many copies must be
    read from the weight store as there are regions.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", default="12,24,48,96")
    parser.add_argument("--instances", type=int, default=0)
    args = parser.parse_args()
    sizes = [int(text) for text in args.engines.split(",")]
    print(ROW.format("engines", "instances", "switch_s", "rollout_s", "copies"))
    results = [measure_rollout(size, args.instances) for size in sizes]
    for result in results:
        print(
            ROW.format(
                result.engines,
                result.instances,
                f"{result.switch_s:.2f}",
                f"{result.rollout_s:.2f}",
                result.copies,
            )
        )
    within_bounds = all(
        r.switch_s < MAX_SWITCH_S and r.copies == REGIONS for r in results
    )
    return 0 if within_bounds else 1


if __name__ == "__main__":
    sys.exit(main())
