"""Plays seeds: `python -m soak.run SEED...`, or `--fresh N`.

Each seed plays its plan of faults against instances, targets and a store as
real processes, and then checks the promises from what callers and targets
have seen.
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
from soak.clients import JOB_EVENTS, JOB_GROUPS, JOB_SIZE, Callers, Trainer
from soak.plan import FAULTS_S, Fault, make_plan
from standins.platform_fleet import MODEL, PlatformFleet

__all__ = ["main", "play"]

INSTANCES = 3
ENGINES = 3
SETTLE_S = 6.0
READ_LIMIT_S = 12.0
MOST_ATTEMPTS = 2
RESTART_S = 0.5
STORE_SLOW_S = 0.25


class Soak:
    """One seed's play."""

    def __init__(self, seed: int, fleet: PlatformFleet) -> None:
        self._fleet = fleet
        self._plan = make_plan(seed, INSTANCES, ENGINES)
        self._callers = Callers(fleet, seed)
        self._trainer = Trainer(fleet, seed)
        self._version = 1
        self._runs: list[dict[str, Any]] = []
        self._timers: list[threading.Timer] = []
        self._lock = threading.Lock()
        self.broken: list[str] = []

    def run(self) -> None:
        """Plays the plan, heals all, and checks."""
        started = time.monotonic()
        self._callers.start()
        self._trainer.start()
        for fault in self._plan:
            time.sleep(max(0.0, started + fault.at - time.monotonic()))
            self._strike(fault)
        time.sleep(max(0.0, started + FAULTS_S - time.monotonic()))
        for timer in self._timers:
            timer.join()
        self._fleet.wait_ready()
        self._trainer.stop()
        time.sleep(SETTLE_S)
        self._callers.stop()
        self._check()

    def _later(self, seconds: float, heal: Callable[[], object]) -> None:
        timer = threading.Timer(seconds, heal)
        timer.start()
        self._timers.append(timer)

    def _strike(self, fault: Fault) -> None:
        strike = getattr(self, f"_strike_{fault.kind}")
        strike(fault)

    def _strike_kill(self, fault: Fault) -> None:
        name = f"edge-{fault.target}"
        self._fleet.instance_by_name[name].process.kill()
        self._later(RESTART_S, lambda: self._fleet.start(name))

    def _strike_pause(self, fault: Fault) -> None:
        process = self._fleet.instance_by_name[f"edge-{fault.target}"].process
        process.send(signal.SIGSTOP)
        self._later(fault.for_s, lambda: process.send(signal.SIGCONT))

    def _strike_term(self, fault: Fault) -> None:
        name = f"edge-{fault.target}"
        process = self._fleet.instance_by_name[name].process

        def restart() -> None:
            process.send(signal.SIGCONT)
            process.stop(timeout_s=9.0)
            self._fleet.start(name)

        process.send(signal.SIGTERM)
        self._later(0.1, restart)

    def _strike_store_out(self, fault: Fault) -> None:
        self._fleet.faults("store", status=503)
        self._later(fault.for_s, lambda: self._fleet.faults("store"))

    def _strike_store_slow(self, fault: Fault) -> None:
        self._fleet.faults("store", delay_s=STORE_SLOW_S)
        self._later(fault.for_s, lambda: self._fleet.faults("store"))

    def _strike_lose_answers(self, fault: Fault) -> None:
        path = "/hibiscuspin/kv-txn"
        self._fleet.faults("store", lose_answers=3, only=path)
        self._later(fault.for_s, lambda: self._fleet.faults("store"))

    def _strike_compact(self, fault: Fault) -> None:
        self._fleet.compact()

    def _strike_config(self, fault: Fault) -> None:
        self._fleet.configure()

    def _strike_version(self, fault: Fault) -> None:
        self._version += 1
        value = {"model": MODEL, "version": self._version}
        self._fleet.put(f"op/version/{MODEL}", value)

    def _strike_store_link(self, fault: Fault) -> None:
        proxy = self._fleet.store_proxy(f"edge-{fault.target}")
        self._fail_link(proxy, fault)

    def _strike_engine_link(self, fault: Fault) -> None:
        self._fail_link(self._fleet.engine_proxy(f"e-{fault.target}"), fault)

    def _fail_link(self, proxy: Any, fault: Fault) -> None:
        proxy.mode = fault.mode
        self._later(fault.for_s, lambda: setattr(proxy, "mode", "pass"))

    def _strike_engine_kill(self, fault: Fault) -> None:
        name = f"e-{fault.target}"
        with self._lock:
            try:
                self._runs += self._fleet.engine_runs(name)
            except TargetError:
                return
            self._fleet.kill_engine(name)
            version = self._version
        self._later(
            fault.for_s,
            lambda: self._fleet.engine(name, "llm", MODEL, version),
        )

    def _check(self) -> None:
        for name in self._fleet.target_names():
            self._runs += self._fleet.engine_runs(name)
        self._check_calls()
        self._check_jobs()
        self._check_orders()
        self._check_service()
        self.broken += self._trainer.broken

    def _check_calls(self) -> None:
        counts = Counter(run["id"] for run in self._runs if "id" in run)
        for reply in self._callers.replies:
            runs = counts[reply.request_id]
            if not reply.own:
                self.broken.append(f"{reply.request_id}: another's answer")
            if reply.status in (429, 503) and runs:
                self.broken.append(f"{reply.request_id}: refused, and ran")
            if runs > MOST_ATTEMPTS:
                self.broken.append(f"{reply.request_id}: ran {runs} times")

    def _check_jobs(self) -> None:
        ran = {str(run.get("id", "")) for run in self._runs}
        for job in self._trainer.refused:
            if any(name.startswith(f"{job}-") for name in ran):
                self.broken.append(f"{job}: refused, and ran")
        for job in self._trainer.accepted:
            self._check_job(job)

    def _check_job(self, job: str) -> None:
        rows = self._trainer.rows_by_job[job]
        total = JOB_GROUPS * JOB_SIZE
        end = time.monotonic() + READ_LIMIT_S
        names = sorted(self._fleet.instance_by_name)
        while len(rows) < total and time.monotonic() < end:
            self._trainer.read_once(names[0], job, len(rows))
        for name in names:
            self._trainer.read_once(name, job, 0)
        if len({row["id"] for row in rows}) != total:
            self.broken.append(f"{job}: {len(rows)} of {total} results")
        for row in rows:
            lines = [f"{row['id']}-{n + 1}" for n in range(JOB_EVENTS)]
            if row["state"] != "completed" or row["text"] != "\n".join(lines):
                self.broken.append(f"{row['id']}: not whole")

    def _check_orders(self) -> None:
        orders = [run["order"] for run in self._runs if "order" in run]
        holder_by_fence: dict[int, str] = {}
        for order in orders:
            fence, holder = order["fence_token"], order["holder"]
            if holder_by_fence.setdefault(fence, holder) != holder:
                self.broken.append(f"two holders with fencing number {fence}")

    def _check_service(self) -> None:
        for name in self._fleet.instance_by_name:
            answer = self._fleet.call(name, "POST", "/calls/x", "end")
            if answer.status != 200:
                self.broken.append(f"{name} answers {answer.status} at the end")
        served = sum(reply.status == 200 for reply in self._callers.replies)
        if served * 2 < len(self._callers.replies):
            self.broken.append("less than half of the calls were served")

    def summary(self) -> str:
        """Returns what was played."""
        counts = Counter(reply.status for reply in self._callers.replies)
        kinds = " ".join(fault.kind for fault in self._plan)
        return f"{kinds}; calls {dict(counts)}; jobs {self._trainer.accepted}"


def play(seed: int) -> list[str]:
    """Plays one seed; returns the promises that were broken."""
    with (
        tempfile.TemporaryDirectory() as folder,
        PlatformFleet.running(
            folder, ENGINES, INSTANCES, proxied=True
        ) as fleet,
    ):
        soak = Soak(seed, fleet)
        soak.run()
        print(f"seed {seed}: {soak.summary()}", flush=True)
        return soak.broken


def main(argv: Sequence[str]) -> int:
    """Plays the seeds; returns 1 if a promise was broken."""
    if argv[:1] == ["--fresh"]:
        seeds = [random.randrange(10**6) for _ in range(int(argv[1]))]
    else:
        seeds = [int(text) for text in argv]
    failed = 0
    for seed in seeds:
        broken = play(seed)
        failed += bool(broken)
        for text in broken[:10]:
            print(f"seed {seed} broken: {text}", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
