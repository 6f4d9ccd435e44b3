"""A weight store with limited bandwidth, which counts bytes per reader."""

import threading
import time
from collections import Counter

from hibiscuspin.clock import monotonic
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from standins.faults import Faults
from standins.server import argument_parser, serve


class WeightStore:
    """Serves weights at a limited rate shared by all readers."""

    def __init__(self, size_bytes: int, rate_bytes_s: float) -> None:
        self._size_bytes = size_bytes
        self._rate_bytes_s = rate_bytes_s
        self._lock = threading.Lock()
        self._busy_until = 0.0
        self._bytes_by_reader: Counter[str] = Counter()

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of the HTTP interface."""
        return (
            Route("GET", "/v1/weights/{model}/{version}", self._send_weights),
            Route("GET", "/records", self._records),
        )

    def _send_weights(
        self, request: Request, model: str, version: str
    ) -> Response:
        with self._lock:
            now = monotonic()
            self._busy_until = max(self._busy_until, now)
            self._busy_until += self._size_bytes / self._rate_bytes_s
            wait_s = self._busy_until - now
            reader = request.query.get("reader", "")
            self._bytes_by_reader[reader] += self._size_bytes
        time.sleep(wait_s)
        body = {"model": model, "version": version, "bytes": self._size_bytes}
        return json_response(body)

    def _records(self, request: Request) -> Response:
        with self._lock:
            return json_response(dict(self._bytes_by_reader))


def main() -> None:
    """Runs the weight store."""
    parser = argument_parser("Stand-in for a rate-limited weight store.")
    parser.add_argument("--size-bytes", type=int, default=1 << 20)
    parser.add_argument("--rate-bytes-s", type=float, default=float(1 << 24))
    args = parser.parse_args()
    store = WeightStore(args.size_bytes, args.rate_bytes_s)
    serve(args, store.routes(), Faults())


if __name__ == "__main__":
    main()
