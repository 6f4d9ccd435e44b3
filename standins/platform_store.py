"""The platform's key-value service with transactions, leases and watches.

The fault `late_s` under `extra` commits each transaction that many seconds
late. Its response is withheld for `MAX_WAIT_S` and is then that of a second
commit. `POST /compact` drops the change history, so that watches from an
earlier revision fail with 410.
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

PAGE_ITEMS = 200
MAX_WAIT_S = 30.0
POLL_PERIOD_S = 0.02
THREADS = 120


class Item(NamedTuple):
    """A stored key with its value, revisions and lease."""

    key: str
    value: str
    revision: int
    created: int
    lease: int


class Lease(NamedTuple):
    """A lease; `expires_at` is monotonic."""

    ttl_ms: int
    expires_at: float


class KeyValueStore:
    """All keys and leases, and the change history for watches."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._changed = threading.Condition()
        self._items_by_key: dict[str, Item] = {}
        self._leases_by_id: dict[int, Lease] = {}
        self._lease_ids = itertools.count(1)
        self._revision = 1
        self._history: list[dict[str, Any]] = []
        self._compacted_revision = 0

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of the HTTP interface."""
        base = "/hibiscuspin"
        return (
            Route("GET", f"{base}/kv-key", self._read_key, query=None),
            Route("GET", f"{base}/kv-range", self._read_range, query=None),
            Route("GET", f"{base}/kv-watch", self._watch, query=None),
            Route("POST", f"{base}/kv-txn", self._transact),
            Route("POST", f"{base}/kv-lease", self._grant_lease),
            Route("POST", f"{base}/kv-keep/{{lease}}", self._renew_lease),
            Route(
                "DELETE", f"{base}/kv-lease-end/{{lease}}", self._revoke_lease
            ),
            Route("POST", "/compact", self._compact),
        )

    def _expire_leases(self) -> None:
        now = monotonic()
        for lease_id, lease in list(self._leases_by_id.items()):
            if lease.expires_at <= now:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        self._leases_by_id.pop(lease_id, None)
        for key, item in list(self._items_by_key.items()):
            if item.lease == lease_id:
                self._delete(key)

    def _delete(self, key: str) -> None:
        if self._items_by_key.pop(key, None) is not None:
            self._revision += 1
            row = {"key": key, "revision": self._revision, "tombstone": True}
            self._history.append(row)
            self._changed.notify_all()

    def _read_key(self, request: Request) -> Response:
        with self._changed:
            self._expire_leases()
            item = self._items_by_key.get(request.query["key"])
            if item is None:
                return json_response({"as_of": self._revision}, 404)
            return json_response({**item._asdict(), "as_of": self._revision})

    def _read_range(self, request: Request) -> Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        with self._changed:
            self._expire_leases()
            keys = sorted(
                key
                for key in self._items_by_key
                if key.startswith(prefix) and key > after
            )
            body = {
                "items": [
                    self._items_by_key[k]._asdict() for k in keys[:PAGE_ITEMS]
                ],
                "has_more": len(keys) > PAGE_ITEMS,
                "as_of": self._revision,
            }
        return json_response(body)

    def _watch(self, request: Request) -> Response:
        query = request.query
        prefix, after = query["prefix"], int(query["after"])
        wait_s = min(MAX_WAIT_S, int(query["wait_ms"]) / 1000)
        deadline = monotonic() + wait_s
        with self._changed:
            while True:
                self._expire_leases()
                if after < self._compacted_revision:
                    return json_response({"error": "compacted"}, 410)
                rows = [
                    row
                    for row in self._history
                    if row["revision"] > after and row["key"].startswith(prefix)
                ]
                if rows or monotonic() >= deadline:
                    body = {"events": rows, "as_of": self._revision}
                    return json_response(body)
                self._changed.wait(POLL_PERIOD_S)

    def _transact(self, request: Request) -> Response:
        body = request.json(dict[str, Any])
        late_s = self._faults.extra("late_s")
        if late_s:
            threading.Timer(late_s, self._commit, (body,)).start()
            time.sleep(MAX_WAIT_S)
        return self._commit(body)

    def _commit(self, body: dict[str, Any]) -> Response:
        with self._changed:
            self._expire_leases()
            for row in body.get("expected", ()):
                item = self._items_by_key.get(row["key"])
                if (item.revision if item else 0) != row["revision"]:
                    return json_response(self._conflict_body(body), 412)
            for row in body.get("writes", ()):
                lease = row.get("lease", 0)
                if lease and lease not in self._leases_by_id:
                    return json_response({"error": "lease does not exist"}, 404)
            for key in body.get("deletes", ()):
                self._delete(key)
            self._revision += 1
            for row in body.get("writes", ()):
                self._put(row)
            self._changed.notify_all()
            return json_response({"revision": self._revision})

    def _conflict_body(self, body: dict[str, Any]) -> dict[str, Any]:
        keys = [row["key"] for row in body["expected"]]
        current = [
            self._items_by_key[k] for k in keys if k in self._items_by_key
        ]
        return {"items": [item._asdict() for item in current]}

    def _put(self, row: dict[str, Any]) -> None:
        base64.b64decode(row["value"], validate=True)
        existing = self._items_by_key.get(row["key"])
        item = Item(
            row["key"],
            row["value"],
            self._revision,
            existing.created if existing else self._revision,
            row.get("lease", 0),
        )
        self._items_by_key[item.key] = item
        self._history.append(item._asdict())

    def _grant_lease(self, request: Request) -> Response:
        ttl_ms = int(request.json(dict[str, Any])["ttl_ms"])
        with self._changed:
            lease_id = next(self._lease_ids)
            expires_at = monotonic() + ttl_ms / 1000
            self._leases_by_id[lease_id] = Lease(ttl_ms, expires_at)
        return json_response({"lease": lease_id, "ttl_ms": ttl_ms})

    def _renew_lease(self, request: Request, lease: str) -> Response:
        with self._changed:
            self._expire_leases()
            existing = self._leases_by_id.get(int(lease))
            if existing is None:
                return json_response(
                    {"error": "lease does not exist or has ended"}, 404
                )
            expires_at = monotonic() + existing.ttl_ms / 1000
            self._leases_by_id[int(lease)] = existing._replace(
                expires_at=expires_at
            )
        return json_response({"ttl_ms": existing.ttl_ms})

    def _revoke_lease(self, request: Request, lease: str) -> Response:
        with self._changed:
            self._end_lease(int(lease))
        return json_response({})

    def _compact(self, request: Request) -> Response:
        with self._changed:
            self._history.clear()
            self._compacted_revision = self._revision
            self._changed.notify_all()
        return json_response({})


def main() -> None:
    """Runs the key-value service."""
    parser = argument_parser("Stand-in for the platform's key-value service.")
    parser.set_defaults(threads=THREADS)
    faults = Faults()
    serve(parser.parse_args(), KeyValueStore(faults).routes(), faults)


if __name__ == "__main__":
    main()
