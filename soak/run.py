"""Runs the soak test: `python -m soak.run SEED...`, or `--fresh N`.

Each seed determines a plan of faults, which is injected into instances,
targets and a store that run as processes. Afterwards the guarantees of the
service are checked from the records of callers, trainer and targets.
`--fresh N` draws N new seeds.
"""

import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from hibiscuspin.edges import TargetError
from soak.clients import (
    EVENTS_PER_SAMPLE,
    GROUPS_PER_JOB,
    SAMPLES_PER_GROUP,
    UNSCORABLE_ITEM,
    Callers,
    Trainer,
)
from soak.plan import FAULT_PHASE_S, Fault, make_plan
from standins.platform_fleet import MODEL, PlatformFleet, reward_id

__all__ = ["main", "run_seed"]

INSTANCES = 3
ENGINES = 3
SETTLE_TIME_S = 6.0
READ_TIMEOUT_S = 12.0
MAX_RUNS_PER_CALL = 2
RESTART_DELAY_S = 0.5
STORE_DELAY_S = 0.25


class SoakRun:
    """The soak test of one seed."""

    def __init__(self, seed: int, fleet: PlatformFleet) -> None:
        self._fleet = fleet
        self._plan = make_plan(seed, INSTANCES, ENGINES)
        self._callers = Callers(fleet, seed)
        self._trainer = Trainer(fleet, seed)
        self._version = 1
        self._run_records: list[dict[str, Any]] = []
        self._timers: list[threading.Timer] = []
        self._lock = threading.Lock()
        self.violations: list[str] = []

    def run(self) -> None:
        """Injects the faults, waits until all are healed, and checks."""
        started = time.monotonic()
        self._callers.start()
        self._trainer.start()
        for fault in self._plan:
            time.sleep(max(0.0, started + fault.at_s - time.monotonic()))
            self._inject(fault)
        time.sleep(max(0.0, started + FAULT_PHASE_S - time.monotonic()))
        for timer in self._timers:
            timer.join()
        self._fleet.wait_ready()
        self._trainer.stop()
        time.sleep(SETTLE_TIME_S)
        self._callers.stop()
        self._check()

    def _heal_after(self, seconds: float, heal: Callable[[], object]) -> None:
        timer = threading.Timer(seconds, heal)
        timer.start()
        self._timers.append(timer)

    def _inject(self, fault: Fault) -> None:
        inject = getattr(self, f"_inject_{fault.kind}")
        inject(fault)

    def _inject_kill(self, fault: Fault) -> None:
        name = f"edge-{fault.target_index}"
        self._fleet.instance_by_name[name].process.kill()
        self._heal_after(
            RESTART_DELAY_S, lambda: self._fleet.start_instance(name)
        )

    def _inject_pause(self, fault: Fault) -> None:
        process = self._fleet.instance_by_name[
            f"edge-{fault.target_index}"
        ].process
        process.send(signal.SIGSTOP)
        self._heal_after(fault.duration_s, lambda: process.send(signal.SIGCONT))

    def _inject_term(self, fault: Fault) -> None:
        name = f"edge-{fault.target_index}"
        process = self._fleet.instance_by_name[name].process

        def restart() -> None:
            process.send(signal.SIGCONT)
            process.stop(timeout_s=9.0)
            self._fleet.start_instance(name)

        process.send(signal.SIGTERM)
        self._heal_after(0.1, restart)

    def _inject_store_out(self, fault: Fault) -> None:
        self._fleet.set_faults("store", status=503)
        self._heal_after(
            fault.duration_s, lambda: self._fleet.set_faults("store")
        )

    def _inject_store_slow(self, fault: Fault) -> None:
        self._fleet.set_faults("store", delay_s=STORE_DELAY_S)
        self._heal_after(
            fault.duration_s, lambda: self._fleet.set_faults("store")
        )

    def _inject_lose_answers(self, fault: Fault) -> None:
        path = "/hibiscuspin/kv-txn"
        self._fleet.set_faults("store", lose_answers=3, only=path)
        self._heal_after(
            fault.duration_s, lambda: self._fleet.set_faults("store")
        )

    def _inject_compact(self, fault: Fault) -> None:
        self._fleet.compact_store()

    def _inject_config(self, fault: Fault) -> None:
        self._fleet.configure()

    def _inject_version(self, fault: Fault) -> None:
        self._version += 1
        value = {"model": MODEL, "version": self._version}
        self._fleet.put_key(f"op/version/{MODEL}", value)

    def _inject_store_link(self, fault: Fault) -> None:
        proxy = self._fleet.store_proxy(f"edge-{fault.target_index}")
        self._fail_link(proxy, fault)

    def _inject_engine_link(self, fault: Fault) -> None:
        self._fail_link(
            self._fleet.target_proxy(f"e-{fault.target_index}"), fault
        )

    def _fail_link(self, proxy: Any, fault: Fault) -> None:
        proxy.mode = fault.mode
        self._heal_after(
            fault.duration_s, lambda: setattr(proxy, "mode", "pass")
        )

    def _inject_engine_kill(self, fault: Fault) -> None:
        name = f"e-{fault.target_index}"
        with self._lock:
            try:
                self._run_records += self._fleet.target_records(name)
            except TargetError:
                return
            self._fleet.kill_target(name)
            version = self._version
        self._heal_after(
            fault.duration_s,
            lambda: self._fleet.start_target(name, "llm", MODEL, version),
        )

    def _check(self) -> None:
        for name in self._fleet.target_names():
            self._run_records += self._fleet.target_records(name)
        self._check_calls()
        self._check_jobs()
        self._check_orders()
        self._check_service()
        self.violations += self._trainer.violations

    def _check_calls(self) -> None:
        counts = Counter(run["id"] for run in self._run_records if "id" in run)
        for reply in self._callers.replies:
            runs = counts[reply.request_id]
            if not reply.is_own:
                self.violations.append(
                    f"{reply.request_id}: response to another request"
                )
            if reply.status in (429, 503) and runs:
                self.violations.append(
                    f"{reply.request_id}: refused but executed"
                )
            if runs > MAX_RUNS_PER_CALL:
                self.violations.append(
                    f"{reply.request_id}: executed {runs} times"
                )

    def _check_jobs(self) -> None:
        ran = {str(run.get("id", "")) for run in self._run_records}
        for job in self._trainer.refused_jobs:
            if any(name.startswith(f"{job}-") for name in ran):
                self.violations.append(f"{job}: refused but executed")
        for job in self._trainer.accepted_jobs:
            self._check_job(job)

    def _check_job(self, job: str) -> None:
        rows = self._trainer.rows_by_job[job]
        total = GROUPS_PER_JOB * SAMPLES_PER_GROUP
        deadline = time.monotonic() + READ_TIMEOUT_S
        names = sorted(self._fleet.instance_by_name)
        while len(rows) < total and time.monotonic() < deadline:
            self._trainer.read_page(names[0], job, len(rows))
        for name in names:
            self._trainer.read_page(name, job, 0)
        if len({row["id"] for row in rows}) != total:
            self.violations.append(f"{job}: {len(rows)} of {total} results")
        for row in rows:
            if row["id"] == f"{job}-{UNSCORABLE_ITEM}":
                if row["state"] != "errored" or "score" in row:
                    self.violations.append(f"{row['id']}: scored, but can't be")
                continue
            lines = [f"{row['id']}-{n + 1}" for n in range(EVENTS_PER_SAMPLE)]
            if row["state"] != "completed" or row["text"] != "\n".join(lines):
                self.violations.append(
                    f"{row['id']}: incomplete or unexpected text"
                )
            self._check_score(row)

    def _check_score(self, row: dict[str, Any]) -> None:
        """Checks that a score is the stamp of a call made after the text."""
        scored_at = [
            record["at"]
            for record in self._run_records
            if record.get("id") == reward_id(row["id"])
            and record.get("stamp", "") == row.get("score")
        ]
        ended_at = [
            record["at"]
            for record in self._run_records
            if record.get("ended") == row["id"]
        ]
        # The records of an engine's last moments are lost with it.
        engines_killed = any(f.kind == "engine_kill" for f in self._plan)
        if not scored_at:
            self.violations.append(
                f"{row['id']}: {row.get('score')} is no stamp of its reward"
            )
        elif ended_at and min(ended_at) > scored_at[0]:
            self.violations.append(f"{row['id']}: scored before its last event")
        elif not ended_at and not engines_killed:
            self.violations.append(f"{row['id']}: no engine generated its text")

    def _check_orders(self) -> None:
        orders = [run["order"] for run in self._run_records if "order" in run]
        holder_by_fencing: dict[int, str] = {}
        for order in orders:
            fencing, holder = order["fence_token"], order["holder"]
            if holder_by_fencing.setdefault(fencing, holder) != holder:
                self.violations.append(
                    f"two holders with fencing number {fencing}"
                )

    def _check_service(self) -> None:
        for name in self._fleet.instance_by_name:
            response = self._fleet.call(name, "POST", "/calls/x", "end")
            if response.status != 200:
                self.violations.append(
                    f"{name} responds {response.status} after all faults"
                )
        served = sum(reply.status == 200 for reply in self._callers.replies)
        if served * 2 < len(self._callers.replies):
            self.violations.append("less than half of the calls were served")

    def summary(self) -> str:
        """Returns the faults, the responses by status and the accepted jobs."""
        counts = Counter(reply.status for reply in self._callers.replies)
        kinds = " ".join(fault.kind for fault in self._plan)
        return (
            f"{kinds}; calls {dict(counts)}; jobs {self._trainer.accepted_jobs}"
        )


def run_seed(seed: int) -> list[str]:
    """Runs one seed; returns the violated guarantees."""
    with (
        tempfile.TemporaryDirectory() as folder,
        PlatformFleet.running(
            folder, ENGINES, INSTANCES, proxied=True
        ) as fleet,
    ):
        run = SoakRun(seed, fleet)
        run.run()
        print(f"seed {seed}: {run.summary()}", flush=True)
        return run.violations


def main(argv: Sequence[str]) -> int:
    """Runs the seeds; returns 1 if any guarantee was violated."""
    if argv[:1] == ["--fresh"]:
        seeds = [random.randrange(10**6) for _ in range(int(argv[1]))]
    else:
        seeds = [int(text) for text in argv]
    failed = 0
    for seed in seeds:
        violations = run_seed(seed)
        failed += bool(violations)
        for text in violations[:10]:
            print(f"seed {seed} broken: {text}", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
