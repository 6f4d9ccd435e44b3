"""A stand-in for an engine or a plain service on the platform.

It speaks HTTP/1.1 over kept connections, one request at a time on each. A
request with `X-Token-Count` is answered by a stream of events, resumed after
`Last-Event-Id`; any other request by a complete body. It runs `slots` requests
at once and rejects further ones with 503 and `X-Not-Executed`. It echoes
`X-Request-Id` in each answer, and drops a request whose connection closes.

With `--copies SHARE` it sends a second copy of that share of its rejections:
late, on the same connection, where the next answer is expected. It does so in
the spans of time `--copy-spans FROM-TO,...`, in monotonic time.

Each request that it runs is appended to the file `--record` as a JSON line.
"""

import argparse
import base64
import http.client
import itertools
import json
import random
import select
import signal
import socket
import sys
import threading
import time
from typing import Any, NamedTuple

HEARTBEAT_S = 1.2
# The entry is removed after three heartbeats of silence.
LEASE_TTL_MS = 3600
STORE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 15.0
BACKLOG = 256
CALLER_ERROR = 400
REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    409: "Conflict",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


class Request(NamedTuple):
    """A request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The client's id of the request."""
        return self.headers.get("x-request-id", "")


class ConnectionEndedError(Exception):
    """The caller has closed the connection."""


class Connection:
    """One connection from a caller."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._buffer = b""
        # A copy of an earlier answer, still to be sent.
        self.late_copy = b""

    def _fill(self) -> None:
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionEndedError
        self._buffer += data

    def read_request(self) -> Request:
        """Reads the next request."""
        while b"\r\n\r\n" not in self._buffer:
            self._fill()
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        while len(self._buffer) < length:
            self._fill()
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return Request(method, target, headers, body)

    def is_open(self) -> bool:
        """Returns whether the caller has not closed the connection."""
        if not select.select([self.sock], [], [], 0)[0]:
            return True
        return bool(self.sock.recv(1, socket.MSG_PEEK))

    def send(self, data: bytes) -> None:
        """Sends bytes."""
        self.sock.sendall(data)


class Engine:
    """The stand-in: its slots, its weights and its record."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._lock = threading.Lock()
        self._running = 0
        self._version = args.version
        self._orders = 0
        self._born_ms = int(time.time() * 1000)
        self._stamps = itertools.count(1)
        self._draw = random.Random(args.name)
        self._copy_spans = _parse_spans(args.copy_spans)
        # Kept open until the process ends.
        self._record = open(args.record, "a", encoding="utf-8")  # noqa: SIM115

    def write(self, event: str, **fields: object) -> None:
        """Appends an event to the record."""
        row = {"at": time.monotonic(), "engine": self._args.name}
        line = json.dumps({**row, "event": event, **fields})
        with self._lock:
            self._record.write(line + "\n")
            self._record.flush()

    def serve(self) -> None:
        """Accepts connections until the process ends."""
        listener = socket.create_server(
            (self._args.host, self._args.port), backlog=BACKLOG
        )
        while True:
            sock, _ = listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(IDLE_TIMEOUT_S)
            threading.Thread(
                target=self._serve_connection, args=(sock,), daemon=True
            ).start()

    def _serve_connection(self, sock: socket.socket) -> None:
        connection = Connection(sock)
        try:
            while True:
                request = connection.read_request()
                if connection.late_copy:
                    copy, connection.late_copy = connection.late_copy, b""
                    connection.send(copy)
                    self.write("late copy", before=request.request_id)
                self._answer(connection, request)
        except (OSError, ConnectionEndedError, ValueError):
            pass
        finally:
            sock.close()

    def _answer(self, connection: Connection, request: Request) -> None:
        expected = request.headers.get("x-expect-instance", self._args.name)
        if expected != self._args.name:
            headers = {"X-Instance-Id": self._args.name}
            self._reject(connection, request, 421, headers)
        elif request.target == "/hibiscuspin/report":
            self._send_json(connection, request, 200, self._report())
        elif request.target == "/hibiscuspin/order":
            self._take_order(connection, request)
        elif not request.request_id:
            self._reject(connection, request, CALLER_ERROR, {})
        else:
            self._run(connection, request)

    def _run(self, connection: Connection, request: Request) -> None:
        with self._lock:
            is_full = self._running >= self._args.slots
            self._running += not is_full
        if is_full:
            data = self._reject(connection, request, 503, {})
            if self._makes_copies() and self._draw.random() < self._args.copies:
                connection.late_copy = data
            return
        after = int(request.headers.get("last-event-id", "0"))
        self.write(
            "run",
            id=request.request_id,
            after=after,
            software=self._args.software,
        )
        try:
            if "x-token-count" in request.headers:
                self._stream(connection, request, after)
            else:
                self._compute(connection, request)
        finally:
            with self._lock:
                self._running -= 1
            self.write("ended", id=request.request_id)

    def _makes_copies(self) -> bool:
        now = time.monotonic()
        return any(start <= now < end for start, end in self._copy_spans)

    def _wait(self, connection: Connection, delay_s: float) -> None:
        time.sleep(delay_s)
        if not connection.is_open():
            raise ConnectionEndedError

    def _stamp(self) -> dict[str, str]:
        return {"X-Server-Stamp": f"{self._args.name}.{next(self._stamps)}"}

    def _compute(self, connection: Connection, request: Request) -> None:
        self._wait(connection, self._args.work_s)
        body = f"answer to {request.request_id}".encode()
        data = _encode_head(200, request, len(body), self._stamp()) + body
        connection.send(data)
        self.write("answered", id=request.request_id)

    def _stream(
        self, connection: Connection, request: Request, after: int
    ) -> None:
        last = int(request.headers["x-token-count"].rpartition(",")[2])
        headers = {
            **self._stamp(),
            "Content-Type": "text/event-stream",
            "X-Weight-Versions": str(self._version),
        }
        connection.send(_encode_head(200, request, None, headers))
        for number in range(after + 1, last + 1):
            self._wait(connection, self._args.event_s)
            data = f"{request.request_id}-{number} {self._args.software}"
            chunk = f"id: {number}\ndata: {data}\n\n".encode()
            connection.send(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        connection.send(b"0\r\n\r\n")
        self.write("answered", id=request.request_id)

    def _reject(
        self,
        connection: Connection,
        request: Request,
        status: int,
        headers: dict[str, str],
    ) -> bytes:
        headers = {**headers, "X-Not-Executed": "1"}
        data = _encode_head(status, request, 0, headers)
        connection.send(data)
        return data

    def _send_json(
        self,
        connection: Connection,
        request: Request,
        status: int,
        value: object,
    ) -> None:
        body = json.dumps(value).encode()
        headers = {"Content-Type": "application/json"}
        head = _encode_head(status, request, len(body), headers)
        connection.send(head + body)

    def _models(self) -> list[dict[str, Any]]:
        if not self._args.model:
            return []
        row = {"name": self._args.model, "version": self._version}
        return [{**row, "adapters": []}]

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "dual",
            "models": self._models(),
            "busy": False,
            "seq_no": self._orders,
            "waiting": 0,
            "running": self._running,
            "kv_used": 0,
            "kv_total": 90000,
            "handles": 0,
            "born": self._born_ms,
        }

    def _take_order(self, connection: Connection, request: Request) -> None:
        order = json.loads(request.body)
        if order["version"] == self._version:
            self._send_json(connection, request, 200, {})
        elif order.get("expected", self._orders) != self._orders:
            self._send_json(connection, request, 409, {})
        else:
            self._orders += 1
            self._version = order["version"]
            self._send_json(connection, request, 202, {})

    def keep_registered(self) -> None:
        """Writes the entry in the store at each heartbeat, forever."""
        lease = 0
        while True:
            try:
                lease = self._beat(lease)
            except (OSError, http.client.HTTPException, KeyError, ValueError):
                lease = 0
            time.sleep(HEARTBEAT_S)

    def _beat(self, lease: int) -> int:
        if lease and not self._post(f"kv-keep/{lease}", {}).get("ttl_ms"):
            lease = 0
        if not lease:
            lease = self._post("kv-lease", {"ttl_ms": LEASE_TTL_MS})["lease"]
        value = base64.b64encode(json.dumps(self._entry()).encode()).decode()
        write = {"key": f"servers/{self._args.name}", "value": value}
        self._post("kv-txn", {"writes": [{**write, "lease": lease}]})
        return lease

    def _entry(self) -> dict[str, Any]:
        return {
            "service": self._args.service,
            "address": f"{self._args.host}:{self._args.port}",
            "zone": self._args.zone,
            "version": self._args.software,
            "slots": self._args.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "dual",
            "models": self._models(),
            "seq_no": self._orders,
            "born": self._born_ms,
        }

    def _post(self, name: str, body: object) -> dict[str, Any]:
        client = http.client.HTTPConnection(
            self._args.store, timeout=STORE_TIMEOUT_S
        )
        try:
            headers = {"Content-Type": "application/json"}
            data = json.dumps(body)
            client.request("POST", f"/hibiscuspin/{name}", data, headers)
            decoded: dict[str, Any] = json.loads(client.getresponse().read())
            return decoded
        finally:
            client.close()


def _parse_spans(text: str) -> list[tuple[float, float]]:
    spans = []
    for span in filter(None, text.split(",")):
        start, _, end = span.partition("-")
        spans.append((float(start), float(end)))
    return spans


def _encode_head(
    status: int, request: Request, length: int | None, headers: dict[str, str]
) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    if request.request_id:
        lines.append(f"X-Request-Id: {request.request_id}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Keep-Alive: timeout={int(IDLE_TIMEOUT_S)}")
    lines.append(
        "Transfer-Encoding: chunked"
        if length is None
        else f"Content-Length: {length}"
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def main() -> None:
    """Runs the stand-in until SIGTERM or SIGKILL."""
    parser = argparse.ArgumentParser(description="Stand-in for an engine.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--model", default="")
    parser.add_argument("--version", type=int, default=1)
    parser.add_argument("--software", default="v1")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--event-s", type=float, default=0.04)
    parser.add_argument("--work-s", type=float, default=0.04)
    parser.add_argument("--copies", type=float, default=0.0)
    parser.add_argument("--copy-spans", default="")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    engine = Engine(parser.parse_args())
    threading.Thread(target=engine.keep_registered, daemon=True).start()
    engine.serve()


if __name__ == "__main__":
    main()
