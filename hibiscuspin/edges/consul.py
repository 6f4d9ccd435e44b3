"""The platform's store over the key-value HTTP interface of Consul.

Writes use `/v1/txn`, because its response contains the new index. Watches are
blocking queries, and leases are sessions. Every call is counted.
"""

import base64
import threading
import urllib.parse
from collections import Counter
from typing import Any

import msgspec

from hibiscuspin.clock import Clock, SystemClock
from hibiscuspin.edges import StoreEntry, StoreError, TargetError
from hibiscuspin.edges.http import HttpClient, HttpResponse
from hibiscuspin.settings import Address

__all__ = ["ConsulStore"]

_CONFLICT_STATUS = 409


class ConsulStore:
    """A `PlatformStore` over HTTP."""

    def __init__(self, client: HttpClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._lock = threading.Lock()
        self._call_counts: Counter[str] = Counter()

    @classmethod
    def from_address(
        cls, address: Address, clock: Clock | None = None
    ) -> "ConsulStore":
        """Returns a client for the store at an address."""
        clock = clock or SystemClock()
        return cls(HttpClient(address, clock), clock)

    def abort(self) -> None:
        """Aborts all calls in flight and rejects later ones."""
        self._client.abort()

    def calls(self) -> dict[str, int]:
        """Returns the number of calls by kind."""
        with self._lock:
            return dict(self._call_counts)

    def get(self, key: str, deadline: float) -> StoreEntry | None:
        """Reads one key."""
        entries = self._read_entries("read", key, {}, deadline)
        return entries[0] if entries else None

    def list_prefix(self, prefix: str, deadline: float) -> list[StoreEntry]:
        """Reads all keys under a prefix."""
        return self._read_entries("read", prefix, {"recurse": "true"}, deadline)

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        """Writes a key if it still has a revision; 0 means absent."""
        return self._commit_operation(
            {
                "Verb": "cas",
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Index": revision,
            },
            deadline,
        )

    def acquire(
        self, key: str, value: bytes, lease: str, deadline: float
    ) -> int | None:
        """Acquires a key for a lease and returns the new revision."""
        return self._commit_operation(
            {
                "Verb": "lock",
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Session": lease,
            },
            deadline,
        )

    def release(self, key: str, lease: str, deadline: float) -> bool:
        """Releases a key; returns whether the lease held it."""
        operation = {"Verb": "unlock", "Key": key, "Session": lease}
        return self._commit_operation(operation, deadline) is not None

    def delete(self, key: str, revision: int, deadline: float) -> bool:
        """Deletes a key if it still has a revision."""
        operation = {"Verb": "delete-cas", "Key": key, "Index": revision}
        return self._commit_operation(operation, deadline) is not None

    def watch(
        self, key: str, revision: int, wait_s: float, deadline: float
    ) -> StoreEntry | None:
        """Waits up to `wait_s` for a revision of the key after `revision`."""
        query = {"index": str(revision), "wait": f"{int(wait_s * 1000)}ms"}
        entries = self._read_entries("watch", key, query, deadline)
        return entries[0] if entries else None

    def grant_lease(self, ttl_s: float, deadline: float) -> str:
        """Creates a lease and returns its id."""
        body = msgspec.json.encode(
            {"TTL": f"{ttl_s}s", "Behavior": "release", "LockDelay": "0s"}
        )
        response = self._call(
            "write", "PUT", "/v1/session/create", deadline, body
        )
        return str(_decode_json(response)["ID"])

    def renew_lease(self, lease: str, deadline: float) -> bool:
        """Renews a lease; returns False if it has expired."""
        path = f"/v1/session/renew/{lease}"
        response = self._call("write", "PUT", path, deadline)
        return response.status == 200

    def revoke_lease(self, lease: str, deadline: float) -> None:
        """Revokes a lease, which releases its keys."""
        path = f"/v1/session/destroy/{lease}"
        self._call("write", "PUT", path, deadline)

    def _read_entries(
        self, kind: str, key: str, query: dict[str, str], deadline: float
    ) -> list[StoreEntry]:
        path = f"/v1/kv/{urllib.parse.quote(key)}"
        if query:
            path += "?" + urllib.parse.urlencode(query)
        response = self._call(kind, "GET", path, deadline)
        if response.status == 404:
            return []
        return [_decode_entry(raw) for raw in _decode_json(response)]

    def _commit_operation(
        self, operation: dict[str, Any], deadline: float
    ) -> int | None:
        body = msgspec.json.encode([{"KV": operation}])
        response = self._call("write", "PUT", "/v1/txn", deadline, body)
        if response.status == _CONFLICT_STATUS:
            return None
        results = _decode_json(response)["Results"]
        return int(results[0]["KV"]["ModifyIndex"]) if results else 0

    def _call(
        self,
        kind: str,
        method: str,
        path: str,
        deadline: float,
        body: bytes | None = None,
    ) -> HttpResponse:
        with self._lock:
            self._call_counts[kind] += 1
        try:
            response = self._client.request(method, path, deadline, body=body)
        except TargetError as error:
            if error.silent:
                self._client.close_idle()
            applied = None if error.sent else False
            raise StoreError(str(error), applied) from error
        if response.status >= 500:
            raise StoreError(
                f"store responded with status {response.status}", None
            )
        return response


def _decode_json(response: HttpResponse) -> Any:
    return msgspec.json.decode(response.body)


def _decode_entry(raw: dict[str, Any]) -> StoreEntry:
    return StoreEntry(
        key=raw["Key"],
        value=base64.b64decode(raw["Value"] or ""),
        revision=raw["ModifyIndex"],
        lock_index=raw.get("LockIndex", 0),
        lease=raw.get("Session", ""),
    )
