"""Engines send second copies of rejections while streams are opened."""

import pathlib
import threading
import time
from collections import Counter
from typing import Any

from review.common.fleet import (
    MODEL,
    NOT_RUN,
    Case,
    Fleet,
    is_troubled,
    run_case,
)

MACHINES = 3
ENGINES = 5
# Engines that send second copies, as a share of all.
SHARE = 0.6
# The share of their answers that they send twice, and when.
COPIES = 0.03
SPAN_S, SPAN_GAP_S, SPANS = 5.0, 5.0, 6
# From the start of the engines to the first span.
FIRST_SPAN_S = 12.0
SLOTS = 4
EVENTS, EVENT_S = 10, 0.03
CLIENTS = 44
PAUSE_S = 0.2
LENGTH_S = 66.0
DEADLINE_MS = 10000
OK_STATUS = 200
PROMISES = frozenset({408, 421, 429, 503})

ROUTE = {
    "name": "r-streams",
    "host": "ficu95.example",
    "prefix": "/lohu930/",
    "type": "streaming",
    "timeout_ms": 10000,
    "slo_ms": 500,
    "priority": 2,
    "service": "huvo11a",
    "max_attempts": 3,
}


class _Clients:
    """Clients that ask for streams which may run once."""

    def __init__(self, fleet: Fleet, case: Case) -> None:
        self._fleet = fleet
        self._case = case
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self.status_by_id: dict[str, int] = {}

    def run(self, length_s: float) -> None:
        """Sends requests for some time."""
        threads = [
            threading.Thread(target=self._send, args=(number,), daemon=True)
            for number in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(length_s)
        self._stop.set()
        for thread in threads:
            thread.join()

    def _send(self, number: int) -> None:
        sent = 0
        self._stop.wait(PAUSE_S * number / CLIENTS)
        while not self._stop.is_set():
            sent += 1
            request_id = f"{number:04x}{sent:08x}"
            headers = {
                "X-Deadline-Ms": str(DEADLINE_MS),
                "X-Model": MODEL,
                "X-Token-Count": f"300,{EVENTS}",
                "X-Prompt-Prefix": f"{number:04x}{sent:06x}:300",
            }
            machine = self._fleet.machine_of(f"client-{number}")
            body = request_id.encode()
            answer = self._fleet.request(
                machine, "POST", "/lohu930/2f", request_id, headers, body
            )
            self._case.write(
                f"stream {request_id} at {machine}: "
                f"{answer.status or 'no answer'}"
            )
            with self._lock:
                self.status_by_id[request_id] = answer.status
            self._stop.wait(PAUSE_S)


def main() -> int:
    """Runs the case; returns its exit status."""
    case = Case(str(pathlib.Path(__file__).parent))
    with Fleet.running(case) as fleet:
        for number in range(MACHINES):
            fleet.start_instance(f"edge-{number}")
        flags = ["--model", MODEL, "--slots", str(SLOTS)]
        flags += ["--event-s", str(EVENT_S)]
        faulty = round(ENGINES * SHARE) if is_troubled() else 0
        spans = _spans()
        case.write(f"engines send second copies in the spans {spans}")
        for number in range(ENGINES):
            copies = ["--copies", str(COPIES), "--copy-spans", spans]
            copies = copies if number < faulty else []
            fleet.start_engine(f"i-{number:08x}", "huvo11a", *flags, *copies)
        fleet.configure([ROUTE])
        fleet.wait_serving(ENGINES)
        clients = _Clients(fleet, case)
        clients.run(LENGTH_S)
        return _judge(case, fleet.engine_rows(), clients.status_by_id)


def _spans() -> str:
    first = time.monotonic() + FIRST_SPAN_S
    starts = [first + n * (SPAN_S + SPAN_GAP_S) for n in range(SPANS)]
    return ",".join(f"{start:.3f}-{start + SPAN_S:.3f}" for start in starts)


def _judge(
    case: Case, rows: list[dict[str, Any]], status_by_id: dict[str, int]
) -> int:
    runs = Counter(row["id"] for row in rows if row["event"] == "run")
    copies = sum(row["event"] == "late copy" for row in rows)
    repeated = {name for name, count in runs.items() if count > 1}
    refused = {name for name in runs if status_by_id.get(name) in PROMISES}
    case.write_runs(rows)
    for name in sorted(repeated | refused):
        case.write(
            f"stream {name} ran {runs[name]} times and was answered "
            f"{status_by_id.get(name)}"
        )
    statuses = Counter(status_by_id.values())
    if not statuses[OK_STATUS]:
        print("nothing was served")
        return NOT_RUN
    return case.finish(
        broken=bool(repeated or refused),
        text=f"{len(repeated)} streams ran more than once and "
        f"{len(refused)} ran though they were answered with a promise; "
        f"{copies} late copies; answers by status: {dict(statuses)}",
    )


if __name__ == "__main__":
    run_case(main)
