"""A machine is stopped while clients use open connections to it."""

import http.client
import pathlib
import signal
import threading
import time
from typing import Any, NamedTuple

from review.common.fleet import (
    HOST,
    LOOPBACK,
    NOT_RUN,
    Case,
    Fleet,
    is_troubled,
    run_case,
)

MACHINES = 3
ENGINES = 5
SLOTS = 12
# A request takes 4.5 s; its client sends the next one 6 s later, on the same
# connection.
WORK_S, PAUSE_S = 4.5, 6.0
CLIENTS = 30
TERM_AT_S = 14.0
LENGTH_S = 34.0
GRACE_S = 8.0
DEADLINE_MS = 10000
# LOST leaves out requests that were sent no later than this after SIGTERM.
EXEMPT_S = 3.0
TERMED = "edge-1"
OK_STATUS = 200

ROUTE = {
    "name": "r-bookings",
    "host": HOST,
    "prefix": "/lohu930/",
    "type": "non_idempotent",
    "timeout_ms": 10000,
    "slo_ms": 500,
    "priority": 2,
    "service": "wuno96b",
    "max_attempts": 2,
}


class _Sent(NamedTuple):
    """A request, when it was sent and how it ended."""

    request_id: str
    machine: str
    sent_at: float
    ended_at: float
    outcome: str


class _Clients:
    """Clients that keep their connections open between requests."""

    def __init__(self, fleet: Fleet, case: Case) -> None:
        self._fleet = fleet
        self._case = case
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self.sent: list[_Sent] = []

    def run(self) -> list[threading.Thread]:
        """Starts all clients."""
        threads = [
            threading.Thread(target=self._send, args=(number,), daemon=True)
            for number in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        return threads

    def stop(self) -> None:
        """Lets all clients end after their current request."""
        self._stop.set()

    def _send(self, number: int) -> None:
        cycle_s = WORK_S + PAUSE_S
        self._stop.wait(cycle_s * number / CLIENTS)
        connection: http.client.HTTPConnection | None = None
        machine = ""
        sent = 0
        while not self._stop.is_set():
            if connection is None:
                machine = self._fleet.machine_of(f"client-{number}")
                port = self._fleet.instance_by_name[machine].front
                connection = http.client.HTTPConnection(
                    LOOPBACK, port, timeout=12.0
                )
            sent += 1
            request_id = f"{number:04x}{sent:08x}"
            if not self._ask(connection, machine, request_id):
                connection.close()
                connection = None
            self._stop.wait(PAUSE_S)
        if connection is not None:
            connection.close()

    def _ask(
        self,
        connection: http.client.HTTPConnection,
        machine: str,
        request_id: str,
    ) -> bool:
        """Sends a request; returns whether the connection stays open."""
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        sent_at = time.monotonic()
        is_open = False
        try:
            connection.request(
                "POST", "/lohu930/2f", request_id.encode(), headers
            )
            response = connection.getresponse()
            response.read()
            outcome = f"complete {response.status}"
            is_open = not response.will_close
        except http.client.RemoteDisconnected:
            outcome = "closed without an answer"
        except (OSError, http.client.HTTPException) as error:
            outcome = f"broken off ({type(error).__name__})"
        row = _Sent(request_id, machine, sent_at, time.monotonic(), outcome)
        with self._lock:
            self.sent.append(row)
        self._case.write(
            f"request {request_id} at {machine}: {outcome} after "
            f"{row.ended_at - sent_at:.2f} s"
        )
        return is_open


def main() -> int:
    """Runs the case; returns its exit status."""
    case = Case(str(pathlib.Path(__file__).parent))
    with Fleet.running(case) as fleet:
        for number in range(MACHINES):
            fleet.start_instance(f"edge-{number}")
        flags = ["--slots", str(SLOTS), "--work-s", str(WORK_S)]
        for number in range(ENGINES):
            fleet.start_engine(f"i-{number:08x}", "wuno96b", *flags)
        fleet.configure([ROUTE])
        fleet.wait_serving(ENGINES)
        started = time.monotonic()
        clients = _Clients(fleet, case)
        threads = clients.run()
        time.sleep(TERM_AT_S)
        term_at = time.monotonic()
        if is_troubled():
            fleet.send_signal(TERMED, signal.SIGTERM)
            if not fleet.wait_ended(TERMED, GRACE_S):
                fleet.send_signal(TERMED, signal.SIGKILL)
                fleet.wait_ended(TERMED, 1.0)
            time.sleep(0.5)
            fleet.start_instance(TERMED, bootstrap=False)
        time.sleep(max(0.0, started + LENGTH_S - time.monotonic()))
        clients.stop()
        for thread in threads:
            thread.join()
        return _judge(case, fleet.engine_rows(), clients.sent, term_at)


def _judge(
    case: Case, rows: list[dict[str, Any]], sent: list[_Sent], term_at: float
) -> int:
    case.write_runs(rows)
    started = {row["id"] for row in rows if row["event"] == "run"}
    lost = []
    for row in sent:
        if row.machine != TERMED or row.request_id not in started:
            continue
        after_s = row.sent_at - term_at
        is_cut = not row.outcome.startswith("complete")
        is_lost = is_cut and EXEMPT_S < after_s <= GRACE_S + 1.0
        if is_cut:
            case.write(
                f"request {row.request_id} was sent {after_s:+.2f} s after the "
                f"SIGTERM, ran on an engine and was {row.outcome}"
                f"{' LOST' if is_lost else ', exempt'}"
            )
        if is_lost:
            lost.append(row.request_id)
    if not any(row.outcome == f"complete {OK_STATUS}" for row in sent):
        print("nothing was served")
        return NOT_RUN
    return case.finish(
        broken=bool(lost),
        text=f"{len(lost)} of {len(sent)} requests lost: read whole, passed on "
        "to an engine and cut by the planned stop",
    )


if __name__ == "__main__":
    run_case(main)
