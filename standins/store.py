"""The platform's store: a subset of Consul's key-value API in memory.

Serves `/v1/kv` with blocking queries, `/v1/txn` with a single operation, and
sessions. `GET /calls` returns the number of calls of each kind.
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
    """The state of one key."""

    value: bytes
    create_index: int
    modify_index: int
    lock_index: int = 0
    session: str = ""


class Session(NamedTuple):
    """A session with its TTL; `expires_at` is monotonic."""

    ttl_s: float
    expires_at: float


class ConflictError(Exception):
    """A transaction's condition is not met, or its value is too large."""


class Store:
    """All keys and sessions; each change increments a common index."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._index = 0
        self._items_by_key: dict[str, Item] = {}
        self._sessions_by_id: dict[str, Session] = {}
        self._calls: Counter[str] = Counter()

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of the HTTP interface."""
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
        wait_s = _parse_seconds(request.query.get("wait", "0s"))
        recurse = "recurse" in request.query
        deadline = monotonic() + min(wait_s, MAX_WAIT_S)
        with self._changed:
            self._calls["watch" if since else "read"] += 1
            while True:
                self._expire_sessions()
                items = self._find_items(path, recurse)
                newest = max((i.modify_index for _, i in items), default=0)
                remaining_s = deadline - monotonic()
                if not since or newest > since or remaining_s <= 0:
                    break
                self._changed.wait(remaining_s)
            index = self._index
        headers = [("X-Consul-Index", str(index))]
        if not items:
            return Response(404, "text/plain", b"", headers)
        body = [_consul_entry(key, item) for key, item in items]
        return json_response(body, headers=headers)

    def _find_items(self, key: str, recurse: bool) -> list[tuple[str, Item]]:
        if not recurse:
            item = self._items_by_key.get(key)
            return [(key, item)] if item else []
        items = sorted(self._items_by_key.items())
        return [pair for pair in items if pair[0].startswith(key)]

    def _transact(self, request: Request) -> Response:
        operation = request.json(list[dict[str, Any]])[0]["KV"]
        with self._changed:
            self._calls["write"] += 1
            self._expire_sessions()
            try:
                item = self._apply(operation)
            except ConflictError as error:
                errors = [{"OpIndex": 0, "What": str(error)}]
                return json_response({"Results": None, "Errors": errors}, 409)
            self._changed.notify_all()
        results = [] if item is None else [{"KV": _consul_entry(*item)}]
        return json_response({"Results": results, "Errors": None})

    def _apply(self, operation: dict[str, Any]) -> tuple[str, Item] | None:
        key = operation["Key"]
        existing = self._items_by_key.get(key)
        self._check_condition(operation, existing)
        self._index += 1
        verb = operation["Verb"]
        if verb == "delete-cas":
            del self._items_by_key[key]
            return None
        if verb == "unlock":
            assert existing is not None
            item = existing._replace(session="", modify_index=self._index)
        else:
            item = self._written_item(operation, existing)
        self._items_by_key[key] = item
        return key, item

    def _check_condition(
        self, operation: dict[str, Any], existing: Item | None
    ) -> None:
        verb = operation["Verb"]
        session = operation.get("Session", "")
        if verb in ("cas", "delete-cas"):
            index = existing.modify_index if existing else 0
            if index != operation["Index"]:
                raise ConflictError("index is stale")
        if verb == "lock":
            if session not in self._sessions_by_id:
                raise ConflictError("invalid session")
            if existing and existing.session not in ("", session):
                raise ConflictError("lock is already held")
        if verb == "unlock" and (not existing or existing.session != session):
            raise ConflictError("lock isn't held")
        if len(operation.get("Value", "")) > MAX_VALUE_BYTES * 4 // 3 + 4:
            raise ConflictError("value exceeds limit")

    def _written_item(
        self, operation: dict[str, Any], existing: Item | None
    ) -> Item:
        session = operation.get("Session", existing.session if existing else "")
        lock_index = existing.lock_index if existing else 0
        if operation["Verb"] == "lock" and not (existing and existing.session):
            lock_index += 1
        return Item(
            value=base64.b64decode(operation.get("Value", "")),
            create_index=existing.create_index if existing else self._index,
            modify_index=self._index,
            lock_index=lock_index,
            session=session,
        )

    def _create_session(self, request: Request) -> Response:
        ttl_s = _parse_seconds(request.json(dict[str, str])["TTL"])
        lease = secrets.token_hex(8)
        with self._changed:
            self._calls["write"] += 1
            expires_at = monotonic() + ttl_s
            self._sessions_by_id[lease] = Session(ttl_s, expires_at)
        return json_response({"ID": lease})

    def _renew(self, request: Request, lease: str) -> Response:
        with self._changed:
            self._calls["write"] += 1
            self._expire_sessions()
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
            self._end_session(lease)
        return json_response(True)

    def _expire_sessions(self) -> None:
        now = monotonic()
        for lease, session in list(self._sessions_by_id.items()):
            if session.expires_at <= now:
                self._end_session(lease)

    def _end_session(self, lease: str) -> None:
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


def _consul_entry(key: str, item: Item) -> dict[str, Any]:
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


def _parse_seconds(text: str) -> float:
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text.removesuffix("s"))


def main() -> None:
    """Runs the store."""
    args = argument_parser("Stand-in for the platform's store.").parse_args()
    serve(args, Store().routes(), Faults())


if __name__ == "__main__":
    main()
