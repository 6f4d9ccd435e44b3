"""The platform's key-value service as a `TransactionStore`."""

import base64
import binascii
import urllib.parse
from typing import Any

import msgspec

from hibiscuspin.edges import StoreError
from hibiscuspin.edges.transactions import (
    CommitConflict,
    CommitResult,
    HistoryLostError,
    KeyChange,
    LeaseGrant,
    LeaseLostError,
    ScanResult,
    StoredValue,
    Transaction,
    WatchResult,
)
from hibiscuspin.tasks.store_path import StoreCall, StorePath, StoreResponse

__all__ = ["KeyValueStore"]

MS_PER_S = 1000
# The prefix of all keys that instances write.
OWN_PREFIX = "hibiscuspin/"
OK_STATUS = 200
NOT_FOUND_STATUS = 404
GONE_STATUS = 410
CONFLICT_STATUS = 412


class KeyValueStore:
    """A `TransactionStore` that sends its calls over a `StorePath`."""

    def __init__(self, path: StorePath) -> None:
        self._path = path

    def read(self, key: str, deadline: float) -> StoredValue | None:
        """Reads one key."""
        call = _get_call("kv-key", {"key": key}, "read", key)
        response = self._path.send(call, deadline)
        if response.status == NOT_FOUND_STATUS:
            return None
        return _decode_value(_decode_response(response))

    def scan(self, prefix: str, deadline: float) -> ScanResult:
        """Reads all keys under a prefix, page by page."""
        values: list[StoredValue] = []
        revision = 0
        query = {"prefix": prefix}
        while True:
            call = _get_call("kv-range", query, "scan", prefix)
            raw = _decode_response(self._path.send(call, deadline))
            page = [_decode_value(item) for item in raw["items"]]
            values += page
            # A watch from the first page's revision also covers changes made
            # while later pages were read.
            revision = revision or int(raw["as_of"])
            if not raw["has_more"] or not page:
                return ScanResult(tuple(values), revision)
            query["after"] = page[-1].key

    def watch(
        self, prefix: str, after: int, wait_s: float, deadline: float
    ) -> WatchResult:
        """Waits for changes under a prefix after a revision."""
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait_s * MS_PER_S)),
        }
        response = self._path.send_long_poll(
            _get_call("kv-watch", query, "watch", prefix), deadline
        )
        if response.status == GONE_STATUS:
            raise HistoryLostError(
                f"history after revision {after} was discarded", False
            )
        raw = _decode_response(response)
        changes = tuple(_decode_change(event) for event in raw["events"])
        return WatchResult(changes, int(raw["as_of"]))

    def commit(
        self, transaction: Transaction, deadline: float
    ) -> CommitResult | CommitConflict:
        """Applies a transaction."""
        body = {
            "expected": [
                {"key": key, "revision": revision}
                for key, revision in transaction.expected.items()
            ],
            "writes": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in transaction.puts
            ],
            "deletes": list(transaction.deletes),
        }
        keys = [*transaction.expected, *(p.key for p in transaction.puts)]
        key = next(iter((*keys, *transaction.deletes)), "")
        call = _post_call("kv-txn", body, f"commit {_family(key)}")
        response = self._path.send(call, deadline)
        if response.status == CONFLICT_STATUS:
            items = msgspec.json.decode(response.body)["items"]
            values = [
                _decode_value(item) for item in items if item.get("revision")
            ]
            return CommitConflict({value.key: value for value in values})
        if response.status == NOT_FOUND_STATUS:
            raise LeaseLostError(
                "a lease of the transaction no longer exists", False
            )
        return CommitResult(int(_decode_response(response)["revision"]))

    def grant_lease(self, ttl_s: float, deadline: float) -> LeaseGrant:
        """Creates a lease."""
        body = {"ttl_ms": int(ttl_s * MS_PER_S)}
        call = _post_call("kv-lease", body, "grant lease")
        raw = _decode_response(self._path.send(call, deadline))
        return LeaseGrant(int(raw["lease"]), raw["ttl_ms"] / MS_PER_S)

    def renew_lease(self, lease: int, deadline: float) -> None:
        """Renews a lease."""
        call = StoreCall(
            "POST", f"/hibiscuspin/kv-keep/{lease}", cause="renew lease"
        )
        response = self._path.send(call, deadline)
        if response.status == NOT_FOUND_STATUS:
            raise LeaseLostError(f"lease {lease} no longer exists", False)
        _raise_for_status(response)

    def revoke_lease(self, lease: int, deadline: float) -> None:
        """Revokes a lease, which deletes its keys."""
        call = StoreCall(
            "DELETE", f"/hibiscuspin/kv-lease-end/{lease}", cause="revoke lease"
        )
        response = self._path.send(call, deadline)
        if response.status != NOT_FOUND_STATUS:
            _raise_for_status(response)


def _get_call(
    name: str, query: dict[str, str], operation: str, key: str
) -> StoreCall:
    text = urllib.parse.urlencode(query, safe="/")
    cause = f"{operation} {_family(key)}"
    return StoreCall("GET", f"/hibiscuspin/{name}?{text}", cause=cause)


def _post_call(name: str, body: object, cause: str) -> StoreCall:
    encoded = msgspec.json.encode(body)
    return StoreCall("POST", f"/hibiscuspin/{name}", encoded, cause)


def _family(key: str) -> str:
    """Returns the first part of a key that tells what it is for."""
    return key.removeprefix(OWN_PREFIX).partition("/")[0]


def _raise_for_status(response: StoreResponse) -> None:
    if response.status != OK_STATUS:
        detail = response.body[:200].decode(errors="replace")
        raise StoreError(
            f"store responded with status {response.status}: {detail}", False
        )


def _decode_response(response: StoreResponse) -> Any:
    _raise_for_status(response)
    try:
        return msgspec.json.decode(response.body)
    except msgspec.DecodeError as error:
        raise StoreError(
            f"malformed response of the store: {error}", None
        ) from error


def _decode_value(raw: dict[str, Any]) -> StoredValue:
    try:
        value = base64.b64decode(raw["value"], validate=True)
    except (binascii.Error, ValueError) as error:
        raise StoreError(
            f"{raw['key']}: malformed base64 value", False
        ) from error
    return StoredValue(
        raw["key"],
        value,
        raw["revision"],
        raw.get("created", 0),
        raw.get("lease", 0),
    )


def _decode_change(raw: dict[str, Any]) -> KeyChange:
    if raw.get("tombstone"):
        return KeyChange(raw["key"], raw["revision"], None)
    return KeyChange(raw["key"], raw["revision"], _decode_value(raw))
