"""A relay in front of the store stand-in that is slow or loses answers.

It hands each call to the store and returns the store's answer. While a loss
is set, it counts the writes that arrive, and of every `period` writes the last
is carried out without an answer, as the platform's page describes it: the
connection returns nothing further. While a delay is set, all answers take that
much longer.

`PUT /gate` with `{"period": N, "delay_s": S}` sets both; 0 ends them. `GET
/gate` returns the number of writes and of lost answers since the loss was set.
"""

import argparse
import http.client
import http.server
import json
import threading
import time
from typing import Any

WRITE_PATH = "/hibiscuspin/kv-txn"
MAX_HELD_S = 60.0
CALL_TIMEOUT_S = 40.0


class Gate:
    """The loss in force and its counts."""

    def __init__(self, store: tuple[str, int]) -> None:
        self.store = store
        self._lock = threading.Lock()
        self._period = 0
        self.delay_s = 0.0
        self.writes = 0
        self.lost: list[list[str]] = []

    def set(self, period: int, delay_s: float) -> None:
        """Sets both; starts the counts anew unless it ends the loss."""
        with self._lock:
            self.delay_s = delay_s
            self._period = period
            if period:
                self.writes, self.lost = 0, []

    def loses(self, keys: list[str]) -> bool:
        """Counts a write; returns whether its answer is lost."""
        with self._lock:
            if not self._period:
                return False
            self.writes += 1
            if self.writes % self._period:
                return False
            self.lost.append(keys)
            return True


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves one connection of an instance or of a target."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    gate: Gate

    def log_message(self, format: str, *args: Any) -> None:
        """Logs nothing."""

    def do_GET(self) -> None:
        """Relays a read."""
        self._relay()

    def do_POST(self) -> None:
        """Relays a write, or a call on a lease."""
        self._relay()

    def do_DELETE(self) -> None:
        """Relays the end of a lease."""
        self._relay()

    def do_PUT(self) -> None:
        """Sets the loss and the delay."""
        fields = json.loads(self._read_body())
        self.gate.set(fields.get("period", 0), fields.get("delay_s", 0.0))
        self._answer(200, b"{}")

    def _read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def _relay(self) -> None:
        body = self._read_body()
        if self.path == "/gate":
            counts = {"writes": self.gate.writes, "lost": self.gate.lost}
            self._answer(200, json.dumps(counts).encode())
            return
        is_lost = self.path == WRITE_PATH and self.gate.loses(_keys(body))
        store = http.client.HTTPConnection(
            *self.gate.store, timeout=CALL_TIMEOUT_S
        )
        try:
            store.request(self.command, self.path, body or None)
            response = store.getresponse()
            answer = response.read()
        finally:
            store.close()
        if is_lost:
            time.sleep(MAX_HELD_S)
            self.close_connection = True
            return
        time.sleep(self.gate.delay_s)
        self._answer(response.status, answer)

    def _answer(self, status: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def _keys(body: bytes) -> list[str]:
    return [row["key"] for row in json.loads(body).get("writes", ())]


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def main() -> None:
    """Relays until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", type=_address, required=True)
    parser.add_argument("--store", type=_address, required=True)
    args = parser.parse_args()
    Handler.gate = Gate(args.store)
    server = http.server.ThreadingHTTPServer(args.address, Handler)
    server.daemon_threads = True
    server.serve_forever()


if __name__ == "__main__":
    main()
