"""A store client with a call budget and a circuit breaker.

Reads are retried with jittered backoff until their deadline. Writes are sent
once, since only their caller can distinguish a lost response from a lost race.
"""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import breaker, budget
from hibiscuspin.edges import PlatformStore, StoreEntry, StoreError
from hibiscuspin.logs import get_logger

__all__ = ["StoreClient"]

T = TypeVar("T")

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
READ_ATTEMPT_TIMEOUT_S = 1.5

_log = get_logger("store")


class StoreClient:
    """A `PlatformStore` with a call budget and a circuit breaker."""

    def __init__(
        self,
        store: PlatformStore,
        clock: Clock,
        draw: random.Random,
        fleet_size: Callable[[], int],
    ) -> None:
        self._store = store
        self._clock = clock
        self._draw = draw
        self._fleet_size = fleet_size
        self._lock = threading.Lock()
        self._breaker = breaker.Breaker()
        self._calls: Counter[str] = Counter()
        now = clock.monotonic()
        self._budgets_by_kind = {
            kind: budget.TokenBucket(burst, now)
            for kind, burst in budget.BURST_BY_KIND.items()
        }

    def calls(self) -> dict[str, int]:
        """Returns the number of calls by kind and result."""
        with self._lock:
            return dict(self._calls)

    def abort(self) -> None:
        """Aborts all calls in flight and refuses further ones."""
        self._store.abort()

    def get(self, key: str, deadline: float) -> StoreEntry | None:
        """Reads one key."""
        return self._read(lambda end: self._store.get(key, end), deadline)

    def list_prefix(self, prefix: str, deadline: float) -> list[StoreEntry]:
        """Reads all keys under a prefix."""
        return self._read(
            lambda end: self._store.list_prefix(prefix, end), deadline
        )

    def watch(
        self, key: str, revision: int, wait_s: float, deadline: float
    ) -> StoreEntry | None:
        """Waits up to `wait_s` until the key is newer than `revision`."""
        return self._call(
            "read",
            lambda: self._store.watch(key, revision, wait_s, deadline),
            deadline,
        )

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        """Writes a key if its revision matches; 0 means absent."""
        return self._write(
            lambda: self._store.compare_and_swap(
                key, value, revision, deadline
            ),
            deadline,
        )

    def acquire(
        self, key: str, value: bytes, lease: str, deadline: float
    ) -> int | None:
        """Acquires a key for a lease and returns the new revision."""
        return self._write(
            lambda: self._store.acquire(key, value, lease, deadline), deadline
        )

    def release(self, key: str, lease: str, deadline: float) -> bool:
        """Releases a key; returns whether the lease held it."""
        return self._write(
            lambda: self._store.release(key, lease, deadline), deadline
        )

    def delete(self, key: str, revision: int, deadline: float) -> bool:
        """Deletes a key if its revision matches."""
        return self._write(
            lambda: self._store.delete(key, revision, deadline), deadline
        )

    def grant_lease(self, ttl_s: float, deadline: float) -> str:
        """Creates a lease and returns its id."""
        return self._write(
            lambda: self._store.grant_lease(ttl_s, deadline), deadline
        )

    def renew_lease(self, lease: str, deadline: float) -> bool:
        """Renews a lease; returns False if it has expired."""
        return self._write(
            lambda: self._store.renew_lease(lease, deadline), deadline
        )

    def revoke_lease(self, lease: str, deadline: float) -> None:
        """Revokes a lease and frees its keys."""
        self._write(lambda: self._store.revoke_lease(lease, deadline), deadline)

    def _write(self, send: Callable[[], T], deadline: float) -> T:
        return self._call("write", send, deadline)

    def _read(self, send: Callable[[float], T], deadline: float) -> T:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            end = min(
                deadline, self._clock.monotonic() + READ_ATTEMPT_TIMEOUT_S
            )
            try:
                return self._call("read", lambda end=end: send(end), end)  # type: ignore[misc]
            except StoreError:
                wait_s = backoff_s * self._draw.uniform(0.5, 1.5)
                if self._clock.monotonic() + wait_s >= deadline:
                    raise
            time.sleep(wait_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def _call(self, kind: str, send: Callable[[], T], deadline: float) -> T:
        self._check_breaker(kind)
        self._await_budget(kind, deadline)
        try:
            result = send()
        except StoreError:
            self._record(kind, ok=False)
            raise
        self._record(kind, ok=True)
        return result

    def _check_breaker(self, kind: str) -> None:
        with self._lock:
            now = self._clock.monotonic()
            self._breaker, admitted = breaker.admit(self._breaker, now)
            if admitted:
                return
            self._calls[f"{kind}_refused"] += 1
        raise StoreError(
            "the store breaker is open; the call was not sent", False
        )

    def _await_budget(self, kind: str, deadline: float) -> None:
        per_s = budget.rate_per_s(kind, self._fleet_size())
        with self._lock:
            now = self._clock.monotonic()
            budget_before = self._budgets_by_kind[kind]
            budget_after, wait_s = budget.take_token(
                budget_before, kind, per_s, now
            )
            too_late = now + wait_s >= deadline
            if too_late:
                budget_after = budget.return_token(budget_after)
                self._calls[f"{kind}_over_budget"] += 1
            self._budgets_by_kind[kind] = budget_after
        if too_late:
            raise StoreError(
                "the store call budget is used up; the call was not sent", False
            )
        if wait_s:
            time.sleep(wait_s)

    def _record(self, kind: str, *, ok: bool) -> None:
        with self._lock:
            self._calls[f"{kind}_{'answered' if ok else 'failed'}"] += 1
            was_open = self._breaker.failures >= breaker.FAILURES_TO_OPEN
            self._breaker = breaker.record_result(
                self._breaker, ok, self._clock.monotonic(), self._draw.random()
            )
            is_open = self._breaker.failures >= breaker.FAILURES_TO_OPEN
        if is_open != was_open:
            _log.warning(
                "Circuit breaker of the store changed state.",
                extra={"open": is_open},
            )
