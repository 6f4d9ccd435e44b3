"""An engine that speaks what the users' pages say.

It registers itself in the store, answers reports and orders, and runs requests.
What a request does there is named by its own headers, so that all engines of a
script are alike:

    X-Work-Ms: How long it works before its answer, or before its first event.
    X-Answer-Status: The status of its answer, 200 by default.
    X-Token-Count: Its answer is a stream of as many events as output tokens.

Each line of its record is a JSON object: a request that began to run, or one
that ended.
"""

import argparse
import base64
import http.client
import itertools
import json
import pathlib
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

HEARTBEAT_S = 0.5
LEASE_MS = 2_000
EVENT_S = 0.02
LOAD_S = 0.3


class Engine:
    """What the engine is and has done."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.version = 1
        self.orders = 0
        self.busy = False
        self.running = 0
        self.born_ms = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.stamps = itertools.count(1)
        self._record = pathlib.Path(args.record)

    def note(self, **fields: Any) -> None:
        """Writes a line to the record."""
        row = {"at": time.time(), "engine": self.args.name, **fields}
        with self.lock, self._record.open("a") as record:
            record.write(json.dumps(row) + "\n")

    def models(self) -> list[dict[str, Any]]:
        """Returns the models as reports and entries show them."""
        if not self.args.model:
            return []
        return [
            {"name": name, "version": self.version, "adapters": []}
            for name in self.args.model.split(",")
        ]

    def register(self) -> None:
        """Writes the entry every heartbeat, forever."""
        lease = 0
        while True:
            try:
                lease = self._write_entry(lease)
            except (OSError, http.client.HTTPException, KeyError, ValueError):
                lease = 0
            time.sleep(HEARTBEAT_S)

    def _write_entry(self, lease: int) -> int:
        if not lease or not self._call(f"kv-keep/{lease}", {}).get("ttl_ms"):
            lease = self._call("kv-lease", {"ttl_ms": LEASE_MS})["lease"]
        args = self.args
        entry = {
            "service": args.service,
            "address": args.address,
            "zone": args.zone,
            "version": "v1",
            "slots": args.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq_no": self.orders,
            "born": self.born_ms,
            "models": self.models(),
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        write = {"key": f"servers/{args.name}", "value": value, "lease": lease}
        self._call("kv-txn", {"writes": [write]})
        return lease

    def _call(self, name: str, body: object) -> dict[str, Any]:
        connection = http.client.HTTPConnection(self.args.store, timeout=2)
        try:
            path = f"/hibiscuspin/{name}"
            connection.request("POST", path, json.dumps(body))
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def take_order(self, order: dict[str, Any]) -> int:
        """Accepts an order; returns the status of the answer."""
        with self.lock:
            if self.version >= order["version"]:
                return 200
            if self.busy or order.get("expected", self.orders) != self.orders:
                return 409
            self.orders += 1
            self.busy = True
        threading.Timer(LOAD_S, self._load, (order["version"],)).start()
        return 202

    def _load(self, version: int) -> None:
        with self.lock:
            self.version, self.busy = version, False


class Handler(BaseHTTPRequestHandler):
    """Serves one connection."""

    protocol_version = "HTTP/1.1"
    engine: Engine

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Writes no access log."""

    def do_GET(self) -> None:  # noqa: N802
        """Serves a report, or runs a request."""
        self._serve()

    def do_POST(self) -> None:  # noqa: N802
        """Serves an order, or runs a request."""
        self._serve()

    def _serve(self) -> None:
        engine = self.engine
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        expected = self.headers.get("X-Expect-Instance", engine.args.name)
        if self.path == "/hibiscuspin/report":
            self._answer(200, self._report())
        elif expected != engine.args.name:
            self._answer(421, {}, **{"X-Not-Executed": "1"})
        elif self.path == "/hibiscuspin/order":
            self._answer(engine.take_order(json.loads(body)), {})
        else:
            self._admit()

    def _report(self) -> dict[str, Any]:
        engine = self.engine
        return {
            "stage": "dual",
            "models": engine.models(),
            "busy": engine.busy,
            "seq_no": engine.orders,
            "waiting": 0,
            "running": engine.running,
            "kv_used": 0,
            "kv_total": 90_000,
            "handles": 0,
            "born": engine.born_ms,
        }

    def _admit(self) -> None:
        engine = self.engine
        with engine.lock:
            is_full = engine.running >= engine.args.slots
            engine.running += not is_full
        if is_full:
            self._answer(503, {}, **{"X-Not-Executed": "1"})
            return
        try:
            self._run()
        finally:
            with engine.lock:
                engine.running -= 1

    def _run(self) -> None:
        engine = self.engine
        request_id = self.headers["X-Request-Id"]
        engine.note(run=request_id, method=self.command, path=self.path)
        time.sleep(int(self.headers.get("X-Work-Ms") or 0) / 1000)
        status = int(self.headers.get("X-Answer-Status") or 200)
        stamp = {"X-Server-Stamp": f"{engine.args.name}.{next(engine.stamps)}"}
        tokens = self.headers.get("X-Token-Count")
        if status == 200 and tokens:
            self._stream(int(tokens.rpartition(",")[2]), stamp)
        else:
            self._answer(status, {"by": engine.args.name}, **stamp)
        engine.note(ended=request_id, status=status)

    def _stream(self, last: int, stamp: dict[str, str]) -> None:
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        request_id = self.headers["X-Request-Id"]
        self.send_response(200)
        self.send_header("X-Request-Id", request_id)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.send_header("X-Weight-Versions", str(self.engine.version))
        for name, value in stamp.items():
            self.send_header(name, value)
        self.end_headers()
        for number in range(first, last + 1):
            time.sleep(EVENT_S)
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        self.wfile.write(b"0\r\n\r\n")

    def _answer(self, status: int, body: object, **headers: str) -> None:
        data = json.dumps(body).encode()
        self.send_response(status)
        if request_id := self.headers.get("X-Request-Id"):
            self.send_header("X-Request-Id", request_id)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(data)


class Server(ThreadingHTTPServer):
    """Accepts connections."""

    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores connections that their client has closed."""


def main() -> None:
    """Runs the engine until it is killed."""
    parser = argparse.ArgumentParser()
    for flag in ("name", "service", "zone", "address", "store", "record"):
        parser.add_argument(f"--{flag}", required=True)
    parser.add_argument("--model", default="", help="names, with commas")
    parser.add_argument("--slots", type=int, default=6)
    args = parser.parse_args()
    engine = Engine(args)
    host, _, port = args.address.rpartition(":")
    handler = type("BoundHandler", (Handler,), {"engine": engine})
    server = Server((host, int(port)), handler)
    threading.Thread(target=engine.register, daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
