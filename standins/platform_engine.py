"""A target on the platform: it registers itself, runs calls and streams.

A plain service answers with its own bytes. A model engine streams as many
events as the last number of `X-Token-Count`, and takes orders to load
versions. Faults under `extra`: `silent` holds every answer back, `errors`
answers 500, `break_at` ends streams after so many events, `slow` multiplies
its times, `unregistered` stops its entry.
"""

import argparse
import base64
import itertools
import json
import threading
import time
from collections.abc import Iterator
from typing import Any

import msgspec

from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from hibiscuspin.settings import parse_address
from standins.faults import Faults
from standins.server import argument_parser, serve

THREADS = 60
BEAT_S = 0.4
LEASE_MS = 1_500
EVENT_S = 0.01
LOAD_S = 0.3
SILENT_S = 20.0


class Target:
    """One target's state and interface."""

    def __init__(self, args: argparse.Namespace, faults: Faults) -> None:
        self._args = args
        self._faults = faults
        self._lock = threading.Lock()
        self._born = int(time.time() * 1000)
        self._version = args.version
        self._orders = 0
        self._loading = False
        self._draining = False
        self._running = 0
        self._runs: list[dict[str, Any]] = []
        self._stamps = itertools.count(1)

    def routes(self) -> tuple[Route, ...]:
        """Returns the interface."""
        return (
            Route("GET", "/hibiscuspin/report", self._report, query=None),
            Route("POST", "/hibiscuspin/order", self._order),
            Route("GET", "/runs", self._list_runs),
            Route("POST", "/drain", self._drain),
            Route("ANY", "/{path}", self._run, query=None),
        )

    def _entry(self) -> dict[str, Any]:
        args = self._args
        state = "draining" if self._draining else "ready"
        entry: dict[str, Any] = {
            "service": args.service,
            "address": str(args.advertised or args.address),
            "zone": args.zone,
            "version": "v1",
            "slots": args.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq_no": self._orders,
            "born": self._born,
        }
        if args.model:
            entry["models"] = self._models()
        return entry

    def _models(self) -> list[dict[str, Any]]:
        row = {"name": self._args.model, "version": self._version}
        return [{**row, "adapters": []}]

    def keep_registered(self) -> None:
        """Writes the entry under a lease, again and again."""
        client = HttpClient(self._args.store)
        lease = 0
        while True:
            try:
                if not self._faults.extra("unregistered"):
                    lease = self._register(client, lease)
            except (TargetError, msgspec.DecodeError, KeyError):
                lease = 0
            time.sleep(BEAT_S)

    def _register(self, client: HttpClient, lease: int) -> int:
        base = "/hibiscuspin/kv-"
        if lease:
            kept = _post(client, f"{base}keep/{lease}", {})
            lease = lease if kept.get("ttl_ms") else 0
        if not lease:
            lease = _post(client, f"{base}lease", {"ttl_ms": LEASE_MS})["lease"]
        value = base64.b64encode(msgspec.json.encode(self._entry())).decode()
        key = f"servers/{self._args.name}"
        write = {"key": key, "value": value, "lease": lease}
        _post(client, f"{base}txn", {"writes": [write]})
        return lease

    def _report(self, request: Request) -> Response:
        return json_response(
            {
                "stage": "dual",
                "models": self._models(),
                "busy": self._loading,
                "seq_no": self._orders,
                "waiting": 0,
                "running": self._running,
                "kv_used": 0,
                "kv_total": 1,
                "handles": 0,
                "born": self._born,
            }
        )

    def _order(self, request: Request) -> Response:
        order = request.json(dict[str, Any])
        if self._is_other(request):
            return self._misdirected()
        with self._lock:
            if self._version >= order["version"]:
                return json_response({})
            if self._loading or order["expected"] != self._orders:
                return json_response({"error": "other count"}, 409)
            self._orders += 1
            self._loading = True
        self._runs.append({"order": order, "at": monotonic()})
        threading.Timer(LOAD_S, self._load, (order["version"],)).start()
        return json_response({}, 202)

    def _load(self, version: int) -> None:
        with self._lock:
            self._version = version
            self._loading = False

    def _list_runs(self, request: Request) -> Response:
        return json_response(self._runs)

    def _drain(self, request: Request) -> Response:
        self._draining = True
        return json_response({})

    def _is_other(self, request: Request) -> bool:
        name = str(self._args.name)
        return request.headers.get("x-expect-instance", name) != name

    def _misdirected(self) -> Response:
        headers = (("X-Instance-Id", self._args.name),)
        return json_response({}, 421, headers)

    def _run(self, request: Request, path: str) -> Response:
        if self._is_other(request):
            return self._misdirected()
        if self._loading or self._running >= self._args.slots:
            return json_response({}, 503, (("X-Not-Executed", "1"),))
        after = int(request.headers.get("last-event-id", 0))
        self._runs.append(
            {"id": request.request_id, "after": after, "at": monotonic()}
        )
        if self._faults.extra("silent"):
            time.sleep(SILENT_S)
        stamp = ("X-Server-Stamp", f"s{next(self._stamps)}")
        headers: tuple[tuple[str, str], ...] = (stamp,)
        if self._faults.extra("errors"):
            return json_response({"error": "failed"}, 500, headers)
        tokens = request.headers.get("x-token-count")
        if tokens is None:
            return self._answer(request, headers)
        headers = (*headers, ("X-Weight-Versions", str(self._version)))
        last = int(tokens.rpartition(",")[2])
        body = self._stream(request.request_id, after + 1, last)
        return Response(200, "text/event-stream", body, headers)

    def _answer(
        self, request: Request, headers: tuple[tuple[str, str], ...]
    ) -> Response:
        time.sleep(EVENT_S * max(1.0, self._faults.extra("slow")))
        body = json.dumps(
            {"id": request.request_id, "by": self._args.name}
        ).encode()
        return Response(200, "application/json", body, headers)

    def _stream(self, name: str, first: int, last: int) -> Iterator[bytes]:
        self._running += 1
        version = self._version
        try:
            for made, number in enumerate(range(first, last + 1)):
                break_at = self._faults.extra("break_at")
                if break_at and made >= break_at:
                    raise ConnectionError("broken off by a fault")
                time.sleep(EVENT_S * max(1.0, self._faults.extra("slow")))
                line = ""
                if self._version != version:
                    version = self._version
                    line = f"x-weight-versions: {version}\n"
                event = f"{line}id: {number}\ndata: {name}-{number}\n\n"
                yield event.encode()
        finally:
            self._running -= 1


def _post(client: HttpClient, path: str, body: object) -> dict[str, Any]:
    data = msgspec.json.encode(body)
    answer = client.request("POST", path, monotonic() + 2.0, body=data)
    result: dict[str, Any] = msgspec.json.decode(answer.body)
    return result


def main() -> None:
    """Runs the target."""
    parser = argument_parser("Stand-in for a target on the platform.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--store", type=parse_address, required=True)
    parser.add_argument("--advertised", type=parse_address)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--model", default="")
    parser.add_argument("--version", type=int, default=1)
    parser.set_defaults(threads=THREADS)
    args = parser.parse_args()
    faults = Faults()
    target = Target(args, faults)
    threading.Thread(target=target.keep_registered, daemon=True).start()
    serve(args, target.routes(), faults)


if __name__ == "__main__":
    main()
