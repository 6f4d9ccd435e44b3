"""A model engine whose texts depend on the weights that generate them.

The project's stand-in, but the number of an item's events is the one that its
path names for the version of the weights: `/jobs/x/300-100` has 300 events
under version 1 and 100 under later ones. Each event's data names the item,
the event and the version. An order in the mode `blocking` lets the runs end
first and then takes `LOAD_S`; requests are refused meanwhile.
"""

import threading
import time
from collections.abc import Iterator
from typing import Any

from hibiscuspin.clock import monotonic
from hibiscuspin.edges.wsgi import Request, Response, json_response
from hibiscuspin.settings import parse_address
from standins import platform_engine
from standins.faults import Faults
from standins.server import argument_parser, serve

LOAD_S = 0.9
POLL_S = 0.01


def whole_text(item: str, path: str, version: int) -> str:
    """Returns the whole output of an item under a version of the weights."""
    count = _count_events(path, version)
    return "\n".join(
        _data(item, number, version) for number in range(1, count + 1)
    )


def _count_events(path: str, version: int) -> int:
    first, later = path.rpartition("/")[2].split("-")
    return int(first if version == 1 else later)


def _data(item: str, number: int, version: int) -> str:
    return f"{item}-{number}-v{version}"


class Engine(platform_engine.Target):
    """The project's stand-in with other texts and with blocking orders."""

    def _accept_order(self, request: Request) -> Response:
        order = request.json(dict[str, Any])
        if self._is_for_other_target(request):
            return self._misdirected_response()
        with self._lock:
            if self._version >= order["version"]:
                return json_response({})
            if self._loading or order["expected"] != self._order_count:
                return json_response({"error": "another order count"}, 409)
            self._order_count += 1
            self._loading = True
        self._run_records.append({"order": order, "at": monotonic()})
        threading.Thread(target=self._load, args=(order,), daemon=True).start()
        return json_response({}, 202)

    def _load(self, order: dict[str, Any]) -> None:
        while order["mode"] == "blocking" and self._running:
            time.sleep(POLL_S)
        time.sleep(LOAD_S)
        self._finish_load(order["version"])

    def _run_call(self, request: Request, path: str) -> Response:
        response = super()._run_call(request, path)
        if response.content_type != "text/event-stream":
            return response
        after = int(request.headers.get("last-event-id", 0))
        version = self._version
        body = self._events(request.request_id, f"/{path}", after, version)
        self._run_records[-1]["version"] = version
        return response._replace(body=body)

    def _events(
        self, item: str, path: str, after: int, version: int
    ) -> Iterator[bytes]:
        self._count(1)
        try:
            last = _count_events(path, version)
            for number in range(after + 1, last + 1):
                time.sleep(platform_engine.EVENT_INTERVAL_S)
                data = _data(item, number, version)
                if number == last:
                    row = {"ended": item, "version": version, "at": monotonic()}
                    self._run_records.append(row)
                yield f"id: {number}\ndata: {data}\n\n".encode()
        finally:
            self._count(-1)

    def _count(self, change: int) -> None:
        with self._lock:
            self._running += change


def main() -> None:
    """Runs the engine."""
    parser = argument_parser(__doc__ or "")
    for flag in ("--name", "--service", "--zone"):
        parser.add_argument(flag, required=True)
    parser.add_argument("--store", type=parse_address, required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--model", default="")
    parser.set_defaults(
        threads=platform_engine.THREADS,
        version=1,
        software="v1",
        advertised=None,
    )
    args = parser.parse_args()
    faults = Faults()
    engine = Engine(args, faults)
    threading.Thread(target=engine.keep_registered, daemon=True).start()
    serve(args, engine.routes(), faults)


if __name__ == "__main__":
    main()
