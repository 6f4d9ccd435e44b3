"""The platform's list of instances, which lags behind what happens.

`PUT /v1/instances` sets the listing; readers see it after `--lag-s`.
"""

import threading

from hibiscuspin.clock import monotonic
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from standins.faults import Faults
from standins.server import argument_parser, serve


class Listing:
    """The listing, and when each change becomes visible."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._lock = threading.Lock()
        empty: object = {"instances": [], "leaving_targets": []}
        self._changes: list[tuple[float, object]] = [(0.0, empty)]

    def routes(self) -> tuple[Route, ...]:
        """Returns the interface."""
        return (
            Route("GET", "/v1/instances", self._show),
            Route("PUT", "/v1/instances", self._set),
        )

    def _show(self, request: Request) -> Response:
        now = monotonic()
        with self._lock:
            visible = [value for at, value in self._changes if at <= now]
        return json_response(visible[-1])

    def _set(self, request: Request) -> Response:
        visible_at = monotonic() + self._lag_s
        with self._lock:
            self._changes.append((visible_at, request.json(dict[str, object])))
        return json_response({})


def main() -> None:
    """Runs the list."""
    parser = argument_parser("Stand-in for the platform's instance list.")
    parser.add_argument("--lag-s", type=float, default=0.5)
    args = parser.parse_args()
    serve(args, Listing(args.lag_s).routes(), Faults())


if __name__ == "__main__":
    main()
