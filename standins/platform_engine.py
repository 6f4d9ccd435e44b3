"""A target on the platform, which registers itself and executes calls.

A call with `X-Token-Count` is answered as by a model engine: with a stream of
events, numbered from the one after `Last-Event-ID` to the header's last number.
Other calls are answered as by a plain service, and with 500 if their path ends
with `FAILING_SUFFIX`. An order to load a newer version
takes `LOAD_DURATION_S`, during which calls are refused.

A call whose path ends with `CRASHING_SUFFIX` ends the process.

Each event names the target's software version in a comment line. With
`X-Answer-Bytes`, a response or each event is filled up by that many bytes.

The record of a call holds its values of `X-Tenant` and `Authorization`.

A target that is draining says so in its entry and in all its responses.

Faults under `extra`:
    draining: Its responses say that it is draining, its entry does not.
    limit: The requests a second that its responses name as its limit.
    silent: Delays each call by `SILENCE_S`.
    errors: Calls are answered with 500.
    break_at: Breaks each stream off after this many events.
    slow: Multiplies the time per response and per event.
    unregistered: Stops the renewal of the target's entry in the store.
"""

import argparse
import base64
import itertools
import json
import os
import threading
import time
from collections.abc import Callable, Iterator
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
REGISTER_PERIOD_S = 0.4
LEASE_TTL_MS = 1_500
EVENT_INTERVAL_S = 0.01
LOAD_DURATION_S = 0.3
SILENCE_S = 20.0
FAILING_SUFFIX = "/fails"
CRASHING_SUFFIX = "/crash"
CRASH_STATUS = 70


class Target:
    """One target: its weight version, its calls and its routes."""

    def __init__(self, args: argparse.Namespace, faults: Faults) -> None:
        self._args = args
        self._faults = faults
        self._lock = threading.Lock()
        self._started_at_ms = int(time.time() * 1000)
        self._version = args.version
        self._order_count = 0
        self._loading = False
        self._draining = False
        self._running = 0
        self._run_records: list[dict[str, Any]] = []
        self._stamp_numbers = itertools.count(1)

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of the target's HTTP interface."""
        return (
            Route(
                "GET",
                "/hibiscuspin/report",
                self._with_state_headers(self._show_report),
                query=None,
            ),
            Route(
                "POST",
                "/hibiscuspin/order",
                self._with_state_headers(self._accept_order),
            ),
            Route("GET", "/runs", self._list_runs),
            Route("POST", "/drain", self._drain),
            Route(
                "ANY",
                "/{path}",
                self._with_state_headers(self._run_call),
                query=None,
            ),
        )

    def _with_state_headers(
        self, handler: Callable[..., Response]
    ) -> Callable[..., Response]:
        """Adds the headers of a draining or limited target to responses."""

        def handle(request: Request, **values: str) -> Response:
            response = handler(request, **values)
            headers = list(response.headers)
            if self._draining or self._faults.extra("draining"):
                headers.append(("Server-Leaving", "1"))
            limit_per_s = self._faults.extra("limit")
            if limit_per_s:
                headers.append(("Server-Limit", f"{limit_per_s:g}"))
            return response._replace(headers=tuple(headers))

        return handle

    def _entry(self) -> dict[str, Any]:
        args = self._args
        state = "draining" if self._draining else "ready"
        entry: dict[str, Any] = {
            "service": args.service,
            "address": str(args.advertised or args.address),
            "zone": args.zone,
            "version": args.software,
            "slots": args.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq_no": self._order_count,
            "born": self._started_at_ms,
        }
        if args.model:
            entry["models"] = self._models()
        return entry

    def _models(self) -> list[dict[str, Any]]:
        row = {"name": self._args.model, "version": self._version}
        return [{**row, "adapters": []}]

    def keep_registered(self) -> None:
        """Renews the lease and rewrites the entry in the store, forever."""
        client = HttpClient(self._args.store)
        lease = 0
        while True:
            try:
                if not self._faults.extra("unregistered"):
                    lease = self._register(client, lease)
            except (TargetError, msgspec.DecodeError, KeyError):
                lease = 0
            time.sleep(REGISTER_PERIOD_S)

    def _register(self, client: HttpClient, lease: int) -> int:
        base = "/hibiscuspin/kv-"
        if lease:
            renewed = _post(client, f"{base}keep/{lease}", {})
            lease = lease if renewed.get("ttl_ms") else 0
        if not lease:
            lease = _post(client, f"{base}lease", {"ttl_ms": LEASE_TTL_MS})[
                "lease"
            ]
        value = base64.b64encode(msgspec.json.encode(self._entry())).decode()
        key = f"servers/{self._args.name}"
        write = {"key": key, "value": value, "lease": lease}
        _post(client, f"{base}txn", {"writes": [write]})
        return lease

    def _show_report(self, request: Request) -> Response:
        return json_response(
            {
                "stage": "dual",
                "models": self._models(),
                "busy": self._loading,
                "seq_no": self._order_count,
                "waiting": 0,
                "running": self._running,
                "kv_used": 0,
                "kv_total": 1,
                "handles": 0,
                "born": self._started_at_ms,
            }
        )

    def _accept_order(self, request: Request) -> Response:
        order = request.json(dict[str, Any])
        if self._is_for_other_target(request):
            return self._misdirected_response()
        with self._lock:
            if self._version >= order["version"]:
                return json_response({})
            if self._loading or order["expected"] != self._order_count:
                return json_response(
                    {"error": "loading, or another order count"}, 409
                )
            self._order_count += 1
            self._loading = True
        self._run_records.append({"order": order, "at": monotonic()})
        threading.Timer(
            LOAD_DURATION_S, self._finish_load, (order["version"],)
        ).start()
        return json_response({}, 202)

    def _finish_load(self, version: int) -> None:
        with self._lock:
            self._version = version
            self._loading = False

    def _list_runs(self, request: Request) -> Response:
        return json_response(self._run_records)

    def _drain(self, request: Request) -> Response:
        self._draining = True
        return json_response({})

    def _is_for_other_target(self, request: Request) -> bool:
        name = str(self._args.name)
        return request.headers.get("x-expect-instance", name) != name

    def _misdirected_response(self) -> Response:
        headers = (("X-Instance-Id", self._args.name),)
        return json_response({}, 421, headers)

    def _run_call(self, request: Request, path: str) -> Response:
        if self._is_for_other_target(request):
            return self._misdirected_response()
        if self._loading or self._running >= self._args.slots:
            return json_response({}, 503, (("X-Not-Executed", "1"),))
        after = int(request.headers.get("last-event-id", 0))
        record = {
            "id": request.request_id,
            "after": after,
            "at": monotonic(),
            "tenant": request.headers.get("x-tenant", ""),
            "authorization": request.headers.get("authorization", ""),
        }
        self._run_records.append(record)
        if path.endswith(CRASHING_SUFFIX):
            os._exit(CRASH_STATUS)
        if self._faults.extra("silent"):
            time.sleep(SILENCE_S)
        stamp = f"{self._args.name}-{next(self._stamp_numbers)}"
        headers: tuple[tuple[str, str], ...] = (("X-Server-Stamp", stamp),)
        if self._faults.extra("errors") or path.endswith(FAILING_SUFFIX):
            return json_response({"error": "failed"}, 500, headers)
        tokens = request.headers.get("x-token-count")
        if tokens is None:
            record["stamp"] = stamp
            return self._plain_response(request, headers)
        headers = (*headers, ("X-Weight-Versions", str(self._version)))
        last = int(tokens.rpartition(",")[2])
        fill = "x" * _fill_bytes(request)
        body = self._event_stream(request.request_id, after + 1, last, fill)
        return Response(200, "text/event-stream", body, headers)

    def _plain_response(
        self, request: Request, headers: tuple[tuple[str, str], ...]
    ) -> Response:
        time.sleep(EVENT_INTERVAL_S * max(1.0, self._faults.extra("slow")))
        body = json.dumps(
            {
                "id": request.request_id,
                "by": self._args.name,
                "fill": "x" * _fill_bytes(request),
            }
        ).encode()
        return Response(200, "application/json", body, headers)

    def _event_stream(
        self, request_id: str, first: int, last: int, fill: str
    ) -> Iterator[bytes]:
        self._running += 1
        version = self._version
        try:
            for sent, number in enumerate(range(first, last + 1)):
                break_at = self._faults.extra("break_at")
                if break_at and sent >= break_at:
                    raise ConnectionError(
                        "stream broken off by an injected fault"
                    )
                time.sleep(
                    EVENT_INTERVAL_S * max(1.0, self._faults.extra("slow"))
                )
                line = ""
                if self._version != version:
                    version = self._version
                    line = f"x-weight-versions: {version}\n"
                line += f": {self._args.software}\n"
                data = f"{request_id}-{number}{fill}"
                event = f"{line}id: {number}\ndata: {data}\n\n"
                if number == last:
                    self._run_records.append(
                        {"ended": request_id, "at": monotonic()}
                    )
                yield event.encode()
        finally:
            self._running -= 1


def _fill_bytes(request: Request) -> int:
    return int(request.headers.get("x-answer-bytes", 0))


def _post(client: HttpClient, path: str, body: object) -> dict[str, Any]:
    data = msgspec.json.encode(body)
    response = client.request("POST", path, monotonic() + 2.0, body=data)
    result: dict[str, Any] = msgspec.json.decode(response.body)
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
    parser.add_argument("--software", default="v1")
    parser.set_defaults(threads=THREADS)
    args = parser.parse_args()
    faults = Faults()
    target = Target(args, faults)
    threading.Thread(target=target.keep_registered, daemon=True).start()
    serve(args, target.routes(), faults)


if __name__ == "__main__":
    main()
