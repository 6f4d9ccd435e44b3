"""The platform's store: a subset of Consul's key-value interface in memory.

Serves `/v1/kv`, blocking queries, `/v1/txn` with one operation, and
sessions. `GET /calls` returns how many calls came, by kind.
"""

import base64
import secrets
import threading
from collections import Counter
from typing import Any, NamedTuple

from hibiscuspin.clock import monotonic
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from standins.faults import Faults
from standins.server import argument_parser, serve

MAX_VALUE_BYTES = 1 << 20
MAX_WAIT_S = 60.0


class Item(NamedTuple):
    """One key's state."""

    value: bytes
    create_index: int
    modify_index: int
    lock_index: int = 0
    session: str = ""


class Session(NamedTuple):
    """A lease; `expires_at` is monotonic."""

    ttl_s: float
    expires_at: float


class ConflictError(Exception):
    """A transaction's condition did not hold."""


class Store:
    """All keys and sessions, with one index for every change."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._index = 0
        self._items_by_key: dict[str, Item] = {}
        self._sessions_by_id: dict[str, Session] = {}
        self._calls: Counter[str] = Counter()

    def routes(self) -> tuple[Route, ...]:
        """Returns the interface."""
        return (
            Route("GET", "/v1/kv/{path}", self._get),
            Route("PUT", "/v1/txn", self._transact),
            Route("PUT", "/v1/session/create", self._create_session),
            Route("PUT", "/v1/session/renew/{lease}", self._renew),
            Route("PUT", "/v1/session/destroy/{lease}", self._destroy),
            Route("GET", "/calls", self._show_calls),
        )

    def _get(self, request: Request, path: str) -> Response:
        since = int(request.query.get("index", 0))
        wait_s = _seconds(request.query.get("wait", "0s"))
        recurse = "recurse" in request.query
        end = monotonic() + min(wait_s, MAX_WAIT_S)
        with self._changed:
            self._calls["watch" if since else "read"] += 1
            while True:
                self._expire()
                found = self._find(path, recurse)
                newest = max((i.modify_index for _, i in found), default=0)
                left = end - monotonic()
                if not since or newest > since or left <= 0:
                    break
                self._changed.wait(left)
            index = self._index
        headers = [("X-Consul-Index", str(index))]
        if not found:
            return Response(404, "text/plain", b"", headers)
        body = [_rendered(key, item) for key, item in found]
        return json_response(body, headers=headers)

    def _find(self, key: str, recurse: bool) -> list[tuple[str, Item]]:
        if not recurse:
            item = self._items_by_key.get(key)
            return [(key, item)] if item else []
        items = sorted(self._items_by_key.items())
        return [pair for pair in items if pair[0].startswith(key)]

    def _transact(self, request: Request) -> Response:
        operation = request.json(list[dict[str, Any]])[0]["KV"]
        with self._changed:
            self._calls["write"] += 1
            self._expire()
            try:
                item = self._apply(operation)
            except ConflictError as error:
                errors = [{"OpIndex": 0, "What": str(error)}]
                return json_response({"Results": None, "Errors": errors}, 409)
            self._changed.notify_all()
        results = [] if item is None else [{"KV": _rendered(*item)}]
        return json_response({"Results": results, "Errors": None})

    def _apply(self, operation: dict[str, Any]) -> tuple[str, Item] | None:
        key = operation["Key"]
        held = self._items_by_key.get(key)
        self._check(operation, held)
        self._index += 1
        verb = operation["Verb"]
        if verb == "delete-cas":
            del self._items_by_key[key]
            return None
        if verb == "unlock":
            assert held is not None
            item = held._replace(session="", modify_index=self._index)
        else:
            item = self._written(operation, held)
        self._items_by_key[key] = item
        return key, item

    def _check(self, operation: dict[str, Any], held: Item | None) -> None:
        verb = operation["Verb"]
        session = operation.get("Session", "")
        if verb in ("cas", "delete-cas"):
            index = held.modify_index if held else 0
            if index != operation["Index"]:
                raise ConflictError("index is stale")
        if verb == "lock":
            if session not in self._sessions_by_id:
                raise ConflictError("invalid session")
            if held and held.session not in ("", session):
                raise ConflictError("lock is already held")
        if verb == "unlock" and (not held or held.session != session):
            raise ConflictError("lock isn't held")
        if len(operation.get("Value", "")) > MAX_VALUE_BYTES * 4 // 3 + 4:
            raise ConflictError("value exceeds limit")

    def _written(self, operation: dict[str, Any], held: Item | None) -> Item:
        session = operation.get("Session", held.session if held else "")
        lock_index = held.lock_index if held else 0
        if operation["Verb"] == "lock" and not (held and held.session):
            lock_index += 1
        return Item(
            value=base64.b64decode(operation.get("Value", "")),
            create_index=held.create_index if held else self._index,
            modify_index=self._index,
            lock_index=lock_index,
            session=session,
        )

    def _create_session(self, request: Request) -> Response:
        ttl_s = _seconds(request.json(dict[str, str])["TTL"])
        lease = secrets.token_hex(8)
        with self._changed:
            self._calls["write"] += 1
            expires_at = monotonic() + ttl_s
            self._sessions_by_id[lease] = Session(ttl_s, expires_at)
        return json_response({"ID": lease})

    def _renew(self, request: Request, lease: str) -> Response:
        with self._changed:
            self._calls["write"] += 1
            self._expire()
            session = self._sessions_by_id.get(lease)
            if session is None:
                return json_response([], 404)
            expires_at = monotonic() + session.ttl_s
            renewed = session._replace(expires_at=expires_at)
            self._sessions_by_id[lease] = renewed
        return json_response([{"ID": lease}])

    def _destroy(self, request: Request, lease: str) -> Response:
        with self._changed:
            self._calls["write"] += 1
            self._end(lease)
        return json_response(True)

    def _expire(self) -> None:
        now = monotonic()
        for lease, session in list(self._sessions_by_id.items()):
            if session.expires_at <= now:
                self._end(lease)

    def _end(self, lease: str) -> None:
        if self._sessions_by_id.pop(lease, None) is None:
            return
        for key, item in self._items_by_key.items():
            if item.session == lease:
                self._index += 1
                freed = item._replace(session="", modify_index=self._index)
                self._items_by_key[key] = freed
        self._changed.notify_all()

    def _show_calls(self, request: Request) -> Response:
        with self._changed:
            return json_response(dict(self._calls))


def _rendered(key: str, item: Item) -> dict[str, Any]:
    rendered: dict[str, Any] = {
        "Key": key,
        "Value": base64.b64encode(item.value).decode(),
        "CreateIndex": item.create_index,
        "ModifyIndex": item.modify_index,
        "LockIndex": item.lock_index,
    }
    if item.session:
        rendered["Session"] = item.session
    return rendered


def _seconds(text: str) -> float:
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text.removesuffix("s"))


def main() -> None:
    """Runs the store."""
    args = argument_parser("Stand-in for the platform's store.").parse_args()
    serve(args, Store().routes(), Faults())


if __name__ == "__main__":
    main()
