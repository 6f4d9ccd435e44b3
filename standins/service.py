"""A plain service, such as credit offers or bay reservations.

`GET /records` returns a record of every executed call, so that a test can
count how often a body was executed. With `--checks-keys` the service executes
each idempotency key once and repeats the first response after that. The fault
`refuse` under `extra` refuses all calls with 503.
"""

import threading
from typing import NamedTuple

from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from standins.faults import Faults
from standins.server import argument_parser, serve


class CallRecord(NamedTuple):
    """One executed call."""

    number: int
    request_id: str
    key: str
    body: str


class Service:
    """Executes calls and records them."""

    def __init__(self, checks_keys: bool, faults: Faults) -> None:
        self._checks_keys = checks_keys
        self._faults = faults
        self._lock = threading.Lock()
        self._records: list[CallRecord] = []
        self._records_by_key: dict[str, CallRecord] = {}
        self._draining = False

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of the service's HTTP interface."""
        return (
            Route("GET", "/records", self._list_records),
            Route("GET", "/outcomes/{key}", self._show_outcome),
            Route("POST", "/v1/drain", self._drain),
            Route("ANY", "/{path}", self._run_call),
        )

    def _run_call(self, request: Request, path: str) -> Response:
        key = request.headers.get("idempotency-key", "")
        if self._draining or self._faults.extra("refuse"):
            return json_response({"error": "draining"}, 503)
        with self._lock:
            existing = self._records_by_key.get(key)
            if existing is not None and self._checks_keys:
                return json_response(existing._asdict())
            number = len(self._records) + 1
            body = request.body.decode(errors="replace")
            record = CallRecord(number, request.request_id, key, body)
            self._records.append(record)
            if key:
                self._records_by_key[key] = record
        return json_response(record._asdict())

    def _show_outcome(self, request: Request, key: str) -> Response:
        with self._lock:
            record = self._records_by_key.get(key)
        if record is None:
            return json_response({"error": "unknown key"}, 404)
        return json_response(record._asdict())

    def _drain(self, request: Request) -> Response:
        self._draining = request.json(dict[str, bool]).get("drain", True)
        return json_response({"draining": self._draining})

    def _list_records(self, request: Request) -> Response:
        with self._lock:
            return json_response([call._asdict() for call in self._records])


def main() -> None:
    """Runs the service."""
    parser = argument_parser("Stand-in for a plain service.")
    parser.add_argument("--checks-keys", action="store_true")
    args = parser.parse_args()
    faults = Faults()
    serve(args, Service(args.checks_keys, faults).routes(), faults)


if __name__ == "__main__":
    main()
