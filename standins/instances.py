"""The platform's list of instances, which is eventually consistent.

`PUT /v1/instances` sets the list; `GET` returns it `--lag-s` seconds later.
"""

import threading

from hibiscuspin.clock import monotonic
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from standins.faults import Faults
from standins.server import argument_parser, serve


class InstanceList:
    """All versions of the list and the times from which they are visible."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._lock = threading.Lock()
        empty: object = {"instances": [], "leaving_targets": []}
        self._changes: list[tuple[float, object]] = [(0.0, empty)]

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of the HTTP interface."""
        return (
            Route("GET", "/v1/instances", self._show),
            Route("PUT", "/v1/instances", self._set),
        )

    def _show(self, request: Request) -> Response:
        now = monotonic()
        with self._lock:
            visible_lists = [
                value
                for visible_at, value in self._changes
                if visible_at <= now
            ]
        return json_response(visible_lists[-1])

    def _set(self, request: Request) -> Response:
        visible_at = monotonic() + self._lag_s
        with self._lock:
            self._changes.append((visible_at, request.json(dict[str, object])))
        return json_response({})


def main() -> None:
    """Runs the instance list."""
    parser = argument_parser("Stand-in for the platform's instance list.")
    parser.add_argument("--lag-s", type=float, default=0.5)
    args = parser.parse_args()
    serve(args, InstanceList(args.lag_s).routes(), Faults())


if __name__ == "__main__":
    main()
