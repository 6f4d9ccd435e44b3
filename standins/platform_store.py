"""The platform's key-value service: transactions, leases, watches.

Faults under `extra`: `late_s` carries writes out so much later, without an
answer; `refuse` turns callers away whose machine is named by the header
`X-Machine`; `compact` drops the history once it is set.
"""

import base64
import itertools
import threading
import time
from typing import Any, NamedTuple

from hibiscuspin.clock import monotonic
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from standins.faults import Faults
from standins.server import argument_parser, serve

PAGE = 200
MOST_WAIT_S = 30.0
POLL_S = 0.02
THREADS = 120


class Item(NamedTuple):
    """One key."""

    key: str
    value: str
    revision: int
    created: int
    lease: int


class Lease(NamedTuple):
    """One lease and when it ends."""

    ttl_ms: int
    ends_at: float


class KeyValues:
    """All keys, leases and the history of changes."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._changed = threading.Condition()
        self._item_by_key: dict[str, Item] = {}
        self._lease_by_id: dict[int, Lease] = {}
        self._ids = itertools.count(1)
        self._revision = 1
        self._history: list[dict[str, Any]] = []
        self._kept_after = 0

    def routes(self) -> tuple[Route, ...]:
        """Returns the interface."""
        base = "/hibiscuspin"
        return (
            Route("GET", f"{base}/kv-key", self._key, query=None),
            Route("GET", f"{base}/kv-range", self._range, query=None),
            Route("GET", f"{base}/kv-watch", self._watch, query=None),
            Route("POST", f"{base}/kv-txn", self._txn),
            Route("POST", f"{base}/kv-lease", self._grant),
            Route("POST", f"{base}/kv-keep/{{lease}}", self._keep),
            Route("DELETE", f"{base}/kv-lease-end/{{lease}}", self._end),
            Route("POST", "/compact", self._compact),
        )

    def _expire(self) -> None:
        now = monotonic()
        for number, lease in list(self._lease_by_id.items()):
            if lease.ends_at <= now:
                self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        self._lease_by_id.pop(number, None)
        for key, item in list(self._item_by_key.items()):
            if item.lease == number:
                self._delete(key)

    def _delete(self, key: str) -> None:
        if self._item_by_key.pop(key, None) is not None:
            self._revision += 1
            row = {"key": key, "revision": self._revision, "tombstone": True}
            self._history.append(row)
            self._changed.notify_all()

    def _key(self, request: Request) -> Response:
        with self._changed:
            self._expire()
            item = self._item_by_key.get(request.query["key"])
            if item is None:
                return json_response({"as_of": self._revision}, 404)
            return json_response({**item._asdict(), "as_of": self._revision})

    def _range(self, request: Request) -> Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        with self._changed:
            self._expire()
            keys = sorted(
                key
                for key in self._item_by_key
                if key.startswith(prefix) and key > after
            )
            body = {
                "items": [self._item_by_key[k]._asdict() for k in keys[:PAGE]],
                "has_more": len(keys) > PAGE,
                "as_of": self._revision,
            }
        return json_response(body)

    def _watch(self, request: Request) -> Response:
        query = request.query
        prefix, after = query["prefix"], int(query["after"])
        wait_s = min(MOST_WAIT_S, int(query["wait_ms"]) / 1000)
        end = monotonic() + wait_s
        with self._changed:
            while True:
                self._expire()
                if after < self._kept_after:
                    return json_response({"error": "compacted"}, 410)
                rows = [
                    row
                    for row in self._history
                    if row["revision"] > after and row["key"].startswith(prefix)
                ]
                if rows or monotonic() >= end:
                    body = {"events": rows, "as_of": self._revision}
                    return json_response(body)
                self._changed.wait(POLL_S)

    def _txn(self, request: Request) -> Response:
        body = request.json(dict[str, Any])
        late_s = self._faults.extra("late_s")
        if late_s:
            threading.Timer(late_s, self._commit, (body,)).start()
            time.sleep(MOST_WAIT_S)
        return self._commit(body)

    def _commit(self, body: dict[str, Any]) -> Response:
        with self._changed:
            self._expire()
            for row in body.get("expected", ()):
                item = self._item_by_key.get(row["key"])
                if (item.revision if item else 0) != row["revision"]:
                    return json_response(self._conflict(body), 412)
            for row in body.get("writes", ()):
                lease = row.get("lease", 0)
                if lease and lease not in self._lease_by_id:
                    return json_response({"error": "no such lease"}, 404)
            for key in body.get("deletes", ()):
                self._delete(key)
            self._revision += 1
            for row in body.get("writes", ()):
                self._put(row)
            self._changed.notify_all()
            return json_response({"revision": self._revision})

    def _conflict(self, body: dict[str, Any]) -> dict[str, Any]:
        keys = [row["key"] for row in body["expected"]]
        held = [self._item_by_key[k] for k in keys if k in self._item_by_key]
        return {"items": [item._asdict() for item in held]}

    def _put(self, row: dict[str, Any]) -> None:
        base64.b64decode(row["value"], validate=True)
        known = self._item_by_key.get(row["key"])
        item = Item(
            row["key"],
            row["value"],
            self._revision,
            known.created if known else self._revision,
            row.get("lease", 0),
        )
        self._item_by_key[item.key] = item
        self._history.append(item._asdict())

    def _grant(self, request: Request) -> Response:
        ttl_ms = int(request.json(dict[str, Any])["ttl_ms"])
        with self._changed:
            number = next(self._ids)
            ends_at = monotonic() + ttl_ms / 1000
            self._lease_by_id[number] = Lease(ttl_ms, ends_at)
        return json_response({"lease": number, "ttl_ms": ttl_ms})

    def _keep(self, request: Request, lease: str) -> Response:
        with self._changed:
            self._expire()
            known = self._lease_by_id.get(int(lease))
            if known is None:
                return json_response({"error": "it has ended"}, 404)
            ends_at = monotonic() + known.ttl_ms / 1000
            self._lease_by_id[int(lease)] = known._replace(ends_at=ends_at)
        return json_response({"ttl_ms": known.ttl_ms})

    def _end(self, request: Request, lease: str) -> Response:
        with self._changed:
            self._end_lease(int(lease))
        return json_response({})

    def _compact(self, request: Request) -> Response:
        with self._changed:
            self._history.clear()
            self._kept_after = self._revision
            self._changed.notify_all()
        return json_response({})


def main() -> None:
    """Runs the store."""
    parser = argument_parser("Stand-in for the platform's key-value service.")
    parser.set_defaults(threads=THREADS)
    faults = Faults()
    serve(parser.parse_args(), KeyValues(faults).routes(), faults)


if __name__ == "__main__":
    main()
