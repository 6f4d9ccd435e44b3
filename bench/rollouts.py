"""Measures rollouts on real daemons and stand-ins, against the baselines.

`policies` runs both users' examples with weights that change after every
step; `stragglers` gives 5 % of requests a tenth of the pace; `faults` runs
one large step while holders die and pause, engines crash and the store is
out; `capacity` runs one step of three sizes. Each prints a table and exits
with 1 where a bound is missed.
"""

import argparse
import base64
import json
import os
import pathlib
import random
import signal
import statistics
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, NamedTuple, cast

from bench.fleet import Fleet
from bench.rollout_check import Verdict, check, staleness
from hibiscuspin.config import Config
from hibiscuspin.config.schema import Trainer as TrainerConfig
from standins.trainer import Trainer, TrainingPlan

SEED = 7
TOKEN_S = 0.005
STEP_TIME_RATIO = 0.6
WASTE_BOUND = 0.05
FAULT_PERIOD_S = 4.0
PAUSE_S = 13.0
OUTAGE_S = 5.0

BASELINE = {"lookahead": "none", "dispatch_order": "fifo", "redispatch": "none"}
ALL_AHEAD = {**BASELINE, "lookahead": "all"}
POLICY = {
    "lookahead": "weighted",
    "dispatch_order": "longest_first",
    "redispatch": "move_slow",
}
VARIANTS = {"baseline": BASELINE, "all ahead": ALL_AHEAD, "policy": POLICY}


class User(NamedTuple):
    """One user's example, and two of its data centres for daemons."""

    folder: str
    trainer: str
    token: str
    data_centres: tuple[str, str]


USERS = (
    User("examples/canjea", "appraiser", "appraisal-token", ("cba-a", "cba-b")),
    User(
        "examples/kuopio",
        "tenant-answers",
        "answers-token",
        ("savo-a", "savo-b"),
    ),
)


class Run(NamedTuple):
    """One variant's outcome."""

    idle_share: float
    staleness_mean: float
    staleness_most: int
    step_p95_s: float
    seconds: float
    verdict: Verdict


def _start(
    fleet: Fleet,
    user: User,
    variant: dict[str, str],
    token_s: float = TOKEN_S,
) -> TrainerConfig:
    fleet.platform()
    fleet.standin("weights", "weights")
    fleet.wait_ready(["weights"])
    config: Config = fleet.targets(user.folder, token_s)
    declared = config["trainers_by_name"][user.trainer]
    cast(dict[str, Any], declared).update(variant)
    for data_centre in user.data_centres:
        fleet.daemon(f"{data_centre}-1", data_centre)
    fleet.wait_started()
    fleet.publish_instances()
    fleet.wait_configured(fleet.apply(config))
    return declared


def _trainer(fleet: Fleet, user: User, plan: TrainingPlan) -> Trainer:
    addresses = [i.addresses_by_flag["trainer"] for i in fleet.instances]
    source = str(fleet.addresses_by_name["weights"])
    if plan.source:
        plan = plan._replace(source=source)
    return Trainer(user.trainer, user.token, addresses, plan, SEED)


def _outcome(
    fleet: Fleet, user: User, trainer: Trainer, plan: TrainingPlan, bound: int
) -> Run:
    engines = [n for n in fleet.standins_by_name if _is_engine(fleet, n)]
    records = {name: fleet.get(name, "/records") for name in engines}
    received = [r for record in trainer.records for r in record.received]
    idle_s = [record.idle_s for record in trainer.records]
    train_s = sum(record.train_s for record in trainer.records)
    ages = [staleness(one) for one in received]
    return Run(
        sum(idle_s) / (sum(idle_s) + train_s),
        statistics.fmean(ages),
        max(ages),
        _percentile(idle_s, 0.95),
        sum(idle_s) + train_s,
        check(user.trainer, plan, bound, received, records),
    )


def _is_engine(fleet: Fleet, name: str) -> bool:
    return name.startswith(("tasador-", "vastaaja-"))


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run(
    user: User,
    variant: dict[str, str],
    plan: TrainingPlan,
    prepare: Callable[[Fleet], None] = lambda _: None,
    disturb: Callable[[Fleet, User, Trainer], threading.Thread] | None = None,
    token_s: float = TOKEN_S,
) -> Run:
    """Runs one variant on a fleet of its own."""
    with Fleet.running() as fleet:
        declared = _start(fleet, user, variant, token_s)
        prepare(fleet)
        trainer = _trainer(fleet, user, plan)
        thread = disturb(fleet, user, trainer) if disturb else None
        trainer.run()
        if thread is not None:
            thread.join()
        for problem in trainer.problems:
            print(problem)
        bound = declared["staleness_bound_versions"]
        return _outcome(fleet, user, trainer, plan, bound)


def policies(steps: int) -> bool:
    """Compares idle time and staleness for both users."""
    row = "{:<16} {:<10} {:>9} {:>9} {:>8} {:>9} {:>7}"
    print(
        row.format(
            "user", "variant", "idle", "age mean", "age max", "p95 s", "wasted"
        )
    )
    clean = True
    plan = TrainingPlan(1, steps, 2, 16, 4, 48, 0.6, source="weights")
    for user in USERS:
        for name, variant in VARIANTS.items():
            seen = run(user, variant, plan)
            clean = clean and seen.verdict.clean
            print(
                row.format(
                    user.folder.removeprefix("examples/"),
                    name,
                    f"{seen.idle_share:.3f}",
                    f"{seen.staleness_mean:.2f}",
                    seen.staleness_most,
                    f"{seen.step_p95_s:.2f}",
                    f"{seen.verdict.wasted_share:.3f}",
                ),
                flush=True,
            )
            _print_verdict(seen.verdict)
    return clean


def stragglers(steps: int) -> bool:
    """Compares the step's time with 5 % of requests at a tenth of the pace."""

    def prepare(fleet: Fleet) -> None:
        extra = {"straggler_share": 0.05, "straggler_pace": 10}
        for name in fleet.standins_by_name:
            if _is_engine(fleet, name):
                fleet.faults(name, extra=extra)

    plan = TrainingPlan(1, steps, 0, 16, 4, 48, 0.0)
    p95_s = {}
    clean = True
    waste = 0.0
    for name, variant in (
        ("baseline", BASELINE),
        ("policy", {**POLICY, "lookahead": "none"}),
    ):
        seen = run(USERS[0], variant, plan, prepare)
        p95_s[name] = seen.step_p95_s
        waste = seen.verdict.wasted_share
        clean = clean and seen.verdict.clean
        print(
            f"{name:<10} p95 {seen.step_p95_s:.2f} s, "
            f"mean {seen.seconds / steps:.2f} s, wasted {waste:.4f}",
            flush=True,
        )
        _print_verdict(seen.verdict)
    ratio = p95_s["policy"] / p95_s["baseline"]
    print(f"ratio of p95 {ratio:.2f}, at most {STEP_TIME_RATIO}")
    return clean and ratio <= STEP_TIME_RATIO and waste <= WASTE_BOUND


def faults(samples: int, token_s: float) -> bool:
    """Runs a large step under all faults and checks every sample."""
    plan = TrainingPlan(1, 1, 0, samples // 16, 16, 64, 0.0, "weights", 0.3)
    seen = run(USERS[0], POLICY, plan, disturb=_disturb, token_s=token_s)
    print(f"{samples} samples in {seen.seconds:.1f} s")
    _print_verdict(seen.verdict)
    return seen.verdict.clean


def capacity(samples: int) -> bool:
    """Prints time, memory and store calls of steps of three sizes."""
    row = "{:>8} {:>8} {:>10} {:>8} {:>8} {:>10}"
    print(row.format("samples", "s", "MB", "writes", "reads", "cpu s"))
    clean = True
    for size in (samples // 4, samples // 2, samples):
        plan = TrainingPlan(1, 1, 0, size // 16, 16, 64, 0.0)
        with Fleet.running() as fleet:
            _start(fleet, USERS[0], POLICY)
            before = fleet.get("store", "/calls")
            trainer = _trainer(fleet, USERS[0], plan)
            trainer.run()
            after = fleet.get("store", "/calls")
            usages = [_usage(i.process.pid) for i in fleet.instances]
            seen = _outcome(fleet, USERS[0], trainer, plan, 2)
        clean = clean and seen.verdict.clean
        print(
            row.format(
                size,
                f"{seen.seconds:.1f}",
                f"{max(u.resident_mb for u in usages):.1f}",
                after.get("write", 0) - before.get("write", 0),
                after.get("read", 0) - before.get("read", 0),
                f"{sum(u.cpu_s for u in usages):.1f}",
            ),
            flush=True,
        )
        _print_verdict(seen.verdict)
    return clean


class _Usage(NamedTuple):
    resident_mb: float
    cpu_s: float


def _usage(pid: int) -> _Usage:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    peak = next(x for x in status.splitlines() if x.startswith("VmHWM"))
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    ticks = int(fields[13]) + int(fields[14])
    return _Usage(int(peak.split()[1]) / 1024, ticks / os.sysconf("SC_CLK_TCK"))


def _disturb(fleet: Fleet, user: User, trainer: Trainer) -> threading.Thread:
    """Starts the faults; they end with their list or with the step."""
    engines = [n for n in fleet.standins_by_name if _is_engine(fleet, n)]
    draw = random.Random(SEED)
    actions: list[Callable[[], None]] = [
        trainer.publish,
        lambda: _crash(fleet, draw.choice(engines)),
        lambda: _kill_holder(fleet, user),
        trainer.publish,
        lambda: _crash(fleet, draw.choice(engines)),
        lambda: _store_out(fleet),
        trainer.publish,
        lambda: _pause_holder(fleet, user),
        lambda: _crash(fleet, draw.choice(engines)),
        trainer.publish,
        lambda: _kill_holder(fleet, user),
        trainer.publish,
        lambda: _lose_answers(fleet),
    ]

    def work() -> None:
        for action in actions:
            time.sleep(FAULT_PERIOD_S)
            if trainer.records:
                print("the step ended before this fault")
                return
            action()

    thread = threading.Thread(target=work)
    thread.start()
    return thread


def _crash(fleet: Fleet, engine: str) -> None:
    print(f"crash of {engine}", flush=True)
    fleet.post(engine, "/crash", {})


def _kill_holder(fleet: Fleet, user: User) -> None:
    holder = _holder(fleet, user)
    if holder is not None:
        print(f"kill of holder {holder}", flush=True)
        instance = next(i for i in fleet.instances if i.name == holder)
        instance.process.kill()
        fleet.daemon(holder, instance.data_centre)


def _pause_holder(fleet: Fleet, user: User) -> None:
    holder = _holder(fleet, user)
    if holder is not None:
        print(f"pause of holder {holder}", flush=True)
        instance = next(i for i in fleet.instances if i.name == holder)
        instance.process.send(signal.SIGSTOP)
        time.sleep(PAUSE_S)
        instance.process.send(signal.SIGCONT)


def _store_out(fleet: Fleet) -> None:
    print("store out", flush=True)
    fleet.faults("store", status=500)
    time.sleep(OUTAGE_S)
    fleet.faults("store")


def _lose_answers(fleet: Fleet) -> None:
    print("store loses answers", flush=True)
    fleet.faults("store", lose_answers=5, only="/v1/txn")
    time.sleep(OUTAGE_S)
    fleet.faults("store")


def _holder(fleet: Fleet, user: User) -> str | None:
    key = f"/v1/kv/hibiscuspin/duties/trainer/{user.trainer}"
    try:
        entry = fleet.get("store", key)[0]
    except ValueError:
        return None
    if "Session" not in entry:
        return None
    return str(json.loads(base64.b64decode(entry["Value"]))["instance"])


def _print_verdict(verdict: Verdict) -> None:
    print(
        f"  of {verdict.expected}: {verdict.lost} lost, "
        f"{verdict.doubled} doubled, {verdict.over_bound} over the bound, "
        f"{verdict.wrong_version} with a wrong version; "
        f"{verdict.wasted_tokens} of {verdict.tokens} tokens wasted",
        flush=True,
    )


def main() -> int:
    """Runs one measurement; returns 1 if a bound was missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "measurement",
        choices=("policies", "stragglers", "faults", "capacity"),
    )
    parser.add_argument("--steps", type=int, default=16)
    parser.add_argument("--samples", type=int, default=4096)
    parser.add_argument("--token-s", type=float, default=TOKEN_S)
    args = parser.parse_args()
    if args.measurement == "policies":
        return 0 if policies(args.steps) else 1
    if args.measurement == "stragglers":
        return 0 if stragglers(args.steps) else 1
    if args.measurement == "capacity":
        return 0 if capacity(args.samples) else 1
    return 0 if faults(args.samples, args.token_s) else 1


if __name__ == "__main__":
    sys.exit(main())
