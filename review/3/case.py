"""A job is ended at a machine that is about to stop."""

import pathlib
import signal
import time

from review.common.fleet import (
    MODEL,
    NOT_RUN,
    Case,
    Fleet,
    is_troubled,
    run_case,
)
from review.common.jobs import ACCEPTED_STATUS, JOB_ROUTE, Trainer

MACHINES = 4
ENGINES = 3
SLOTS = 4
# 14 groups of 8 items, as on the sheet; an item takes about 1 s here.
GROUPS, SIZE, EVENTS = 14, 8, 25
JOB = "7c41e09b52d6a3f8"
CANCEL_S = 3.0
# The trainer reads, the machine gets SIGTERM, the trainer ends the job.
TERM_DELAY_S = 0.05
END_DELAY_S = 0.4
WATCH_S = 12.0
OK_STATUS = 200


def main() -> int:
    """Runs the case; returns its exit status."""
    case = Case(str(pathlib.Path(__file__).parent))
    with Fleet.running(case) as fleet:
        for number in range(MACHINES):
            fleet.start_instance(f"edge-{number}")
        flags = ["--model", MODEL, "--slots", str(SLOTS), "--event-s", "0.04"]
        for number in range(ENGINES):
            fleet.start_engine(f"i-{number:08x}", "huvo11a", *flags)
        fleet.configure([JOB_ROUTE])
        fleet.wait_serving(ENGINES)
        return _play(case, fleet)


def _play(case: Case, fleet: Fleet) -> int:
    trainer = Trainer(fleet, case, JOB, "trainer-0")
    if trainer.submit(GROUPS, SIZE, EVENTS) != ACCEPTED_STATUS:
        print("the job was not accepted")
        return NOT_RUN
    trainer.read_until(time.monotonic() + 2.0)
    head = fleet.read_prefix(f"hibiscuspin/jobs/{JOB}")
    machine = next(iter(head.values()))["holder"]
    case.write(f"the job runs on {machine}")
    trainer.read(machine)
    time.sleep(TERM_DELAY_S)
    if is_troubled():
        fleet.send_signal(machine, signal.SIGTERM)
    time.sleep(END_DELAY_S)
    if machine not in fleet.in_rotation():
        print("the machine is out of rotation already")
        return NOT_RUN
    ended = trainer.end(machine)
    if ended.status != OK_STATUS:
        print("the end was not acknowledged")
        return NOT_RUN
    acknowledged_at = time.monotonic()
    case.write("the end of the job is acknowledged")
    watch_until = acknowledged_at + WATCH_S
    if is_troubled() and fleet.wait_ended(machine, WATCH_S):
        time.sleep(0.5)
        fleet.start_instance(machine, bootstrap=False)
    time.sleep(max(0.0, watch_until - time.monotonic()))
    return _judge(case, fleet, acknowledged_at)


def _judge(case: Case, fleet: Fleet, acknowledged_at: float) -> int:
    rows = fleet.engine_rows()
    case.write_runs(rows)
    late = [
        row
        for row in rows
        if row["event"] == "run" and row["at"] > acknowledged_at + CANCEL_S
    ]
    for row in late:
        case.write(
            f"item {row['id']} reached {row['engine']} "
            f"{row['at'] - acknowledged_at:.2f} s after the acknowledgement"
        )
    return case.finish(
        broken=bool(late),
        text=f"{len(late)} items ran that reached an engine later than "
        f"{CANCEL_S:.0f} s after their job's end was acknowledged",
    )


if __name__ == "__main__":
    run_case(main)
