"""Relays in front of engine stand-ins: together each is one faulty engine.

A relay hands each request of a connection to its engine, and the response
back. Beside that:

- The first two runs of an item whose path ends with `/fails-twice` are
  answered with 500 by the engine, later ones are served. The count is of all
  engines of this process.
- While it spoils answers, a relay sends a second copy of some complete answers
  of status 500, late: on the same connection, at the point where the next
  response is expected. The copies are at most `share` of the answers that it
  has given while it spoiled answers.

`PUT /garble` at the control address with `{"share": S}` begins, and 0 ends it.
`GET /garble` returns the counts and what each engine was asked for.
"""

import argparse
import contextlib
import http.client
import http.server
import json
import socket
import threading
import time
from collections import Counter
from typing import Any, NamedTuple

FAILING_TWICE = "/fails-twice"
FAILING = "/fails"
FAILED_RUNS = 2
FAILED_STATUS = 500
READ_BYTES = 65_536


class Message(NamedTuple):
    """The head of a request or a response."""

    start: str
    headers: dict[str, str]
    raw: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split()[1])

    @property
    def length(self) -> int:
        """The length of the body; 0 if it names none."""
        return int(self.headers.get("content-length", 0))


class Engines:
    """What all relays share."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._run_count_by_item: Counter[str] = Counter()
        self._share = 0.0
        self._answers: Counter[str] = Counter()
        self._copies: Counter[str] = Counter()
        self.rows: list[dict[str, Any]] = []

    def set(self, share: float) -> None:
        """Sets the share of the answers that may be copied."""
        with self._lock:
            self._share = share

    def state(self) -> dict[str, Any]:
        """Returns the counts and what the engines were asked for."""
        with self._lock:
            return {
                "answers": dict(self._answers),
                "copies": dict(self._copies),
                "rows": list(self.rows),
            }

    def add_row(self, engine: str, item: str, what: str) -> None:
        """Records what an engine did."""
        row = {"engine": engine, "item": item, "what": what}
        with self._lock:
            self.rows.append({**row, "at": time.monotonic()})

    def count_run(self, item: str) -> int:
        """Counts a run of an item; returns its number, from 1."""
        with self._lock:
            self._run_count_by_item[item] += 1
            return self._run_count_by_item[item]

    def may_copy(self, engine: str, status: int) -> bool:
        """Counts an answer; returns whether it is sent a second time."""
        with self._lock:
            if not self._share:
                return False
            self._answers[engine] += 1
            allowed = self._share * self._answers[engine]
            if status != FAILED_STATUS or self._copies[engine] + 1 > allowed:
                return False
            self._copies[engine] += 1
            return True


class Relay:
    """Serves the connections to one engine."""

    def __init__(
        self,
        engines: Engines,
        name: str,
        address: str,
        target: str,
        garbles: bool,
    ) -> None:
        self._engines = engines
        self._name = name
        self._target = _parse(target)
        self._garbles = garbles
        self._listener = socket.create_server(_parse(address), backlog=200)

    def run(self) -> None:
        """Accepts connections, forever."""
        while True:
            client, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(client,), daemon=True
            ).start()

    def _serve(self, client: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), client:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with socket.create_connection(self._target) as engine:
                engine.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._exchange(client, engine)

    def _exchange(self, client: socket.socket, engine: socket.socket) -> None:
        requests, responses = client.makefile("rb"), engine.makefile("rb")
        late_copy = b""
        while head := _read_head(requests):
            item = head.headers.get("x-request-id", "")
            start = self._engine_start(head.start, item)
            body = requests.read(head.length)
            if late_copy:
                client.sendall(late_copy)
                self._engines.add_row(self._name, item, "late copy sent first")
                late_copy = b""
            lines = head.raw.split(b"\r\n", 1)[1]
            engine.sendall(f"{start}\r\n".encode() + lines + body)
            answer = _read_head(responses)
            if answer is None:
                return
            if item:
                what = f"{head.start.split()[1]} answered {answer.status}"
                self._engines.add_row(self._name, item, what)
            client.sendall(answer.raw)
            if answer.headers.get("transfer-encoding") == "chunked":
                _pass_chunks(responses, client)
                whole = b""
            else:
                data = responses.read(answer.length)
                client.sendall(data)
                whole = answer.raw + data
            is_copied = self._garbles and self._engines.may_copy(
                self._name, answer.status
            )
            if is_copied and whole:
                late_copy = whole

    def _engine_start(self, start: str, item: str) -> str:
        """Returns the request line for the process behind this relay."""
        method, path, version = start.split()
        if not path.endswith(FAILING_TWICE):
            return start
        fails = self._engines.count_run(item) <= FAILED_RUNS
        path = path.removesuffix(FAILING_TWICE) + (FAILING if fails else "")
        return f"{method} {path} {version}"


def _parse(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _read_head(file: Any) -> Message | None:
    """Reads the head of the next message; None at the end."""
    lines = []
    while (line := file.readline()) not in (b"\r\n", b""):
        lines.append(line)
    if not lines or not line:
        return None
    headers = {}
    for row in lines[1:]:
        name, _, value = row.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0].decode().strip(), headers, b"".join(lines) + line)


def _pass_chunks(file: Any, client: socket.socket) -> None:
    """Passes a chunked body on, chunk by chunk."""
    while True:
        size_line = file.readline()
        size = int(size_line.split(b";")[0], 16)
        client.sendall(size_line + file.read(size + len(b"\r\n")))
        if not size:
            return


def serve_control(address: str, engines: Engines) -> None:
    """Serves the control address, forever."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_PUT(self) -> None:
            """Sets the share."""
            length = int(self.headers["Content-Length"])
            engines.set(json.loads(self.rfile.read(length))["share"])
            self._answer({})

        def do_GET(self) -> None:
            """Returns the counts and the rows."""
            self._answer(engines.state())

        def _answer(self, value: object) -> None:
            data = json.dumps(value).encode()
            self.send_response(http.client.OK)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, format: str, *args: Any) -> None:
            """Logs nothing."""

    http.server.ThreadingHTTPServer(_parse(address), Handler).serve_forever()


def main() -> None:
    """Runs the relays."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument(
        "--relay",
        action="append",
        required=True,
        help="name,address,address of the engine,1 if it garbles",
    )
    args = parser.parse_args()
    engines = Engines()
    for text in args.relay:
        name, address, target, garbles = text.split(",")
        relay = Relay(engines, name, address, target, garbles == "1")
        threading.Thread(target=relay.run, daemon=True).start()
    serve_control(args.address, engines)


if __name__ == "__main__":
    main()
