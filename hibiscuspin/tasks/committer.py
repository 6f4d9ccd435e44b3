"""Group commit of claims: one compare-and-swap per batch of a shard."""

import threading
import time
from collections import Counter
from concurrent.futures import Future
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.claims import (
    Change,
    Finding,
    Part,
    ReleaseClaim,
    StoredPart,
    SubmitClaim,
    Verdict,
    expired_parts,
    plan_write,
)
from hibiscuspin.edges import PlatformStore, StoreError
from hibiscuspin.logs import get_logger

__all__ = ["Committer", "Shard", "StoreUnavailableError"]

CLAIM_PREFIX = "hibiscuspin/claims"
STORE_TIMEOUT_S = 1.0
WRITES_PER_S = 10.0
WRITE_BURST = 10.0
RETRY_PERIOD_S = 0.25
STORE_BACKOFF_S = 0.5
MAX_VIEW_AGE_S = 300.0
MAX_COMMIT_ROUNDS = 5
FLUSH_TIMEOUT_S = 1.5

_log = get_logger("claims")


class StoreUnavailableError(Exception):
    """The store did not commit a change in time."""


class Shard(NamedTuple):
    """One shard of a service's claims."""

    service: str
    number: int
    retention_s: float

    @property
    def prefix(self) -> str:
        """The prefix of the shard's keys."""
        return f"{CLAIM_PREFIX}/{self.service}/{self.number:02x}/"


class _PendingChange(NamedTuple):
    change: Change
    future: Future[Finding]
    give_up_at: float


class _ShardView(NamedTuple):
    parts: list[StoredPart]
    read_at: float


class Committer:
    """Commits the changes of a group of shards; a supervised task.

    A change waits for earlier writes and for the limit on the write rate;
    changes that arrive meanwhile share its write. Changes that the store did
    not commit are retried after a short delay.

    Attributes:
        name: The task's name.
        counts: Counters of reads, writes, conflicts and store errors.
    """

    def __init__(self, name: str, store: PlatformStore, clock: Clock) -> None:
        self.name = name
        self._store = store
        self._clock = clock
        self._wake = threading.Condition()
        self._pending_by_shard: dict[Shard, list[_PendingChange]] = {}
        self._urgent: set[Shard] = set()
        self._views_by_shard: dict[Shard, _ShardView] = {}
        self._backoff_until = 0.0
        self._write_tokens = WRITE_BURST
        self._refilled_at = clock.monotonic()
        self._stopping = False
        self.counts: Counter[str] = Counter()

    def submit(
        self, shard: Shard, change: SubmitClaim, give_up_at: float
    ) -> Future[Finding]:
        """Queues a claim; cancelling the future in time withdraws it.

        Returns:
            A future of the finding. It raises `StoreUnavailableError` if the
            store failed a short time ago, or did not commit the claim by
            `give_up_at`; the claim is then withdrawn.
        """
        future: Future[Finding] = Future()
        if self._clock.monotonic() < self._backoff_until:
            future.set_exception(StoreUnavailableError())
            return future
        self._queue(
            shard, _PendingChange(change, future, give_up_at), urgent=True
        )
        return future

    def submit_update(self, shard: Shard, change: Change) -> None:
        """Queues an outcome or a release until the store has committed it."""
        pending = _PendingChange(change, Future(), float("inf"))
        self._queue(shard, pending, urgent=True)

    def unsettled(self) -> int:
        """Returns the number of queued changes."""
        with self._wake:
            return sum(map(len, self._pending_by_shard.values()))

    def interrupt(self) -> None:
        """Ends the wait for changes."""
        with self._wake:
            self._stopping = True
            self._wake.notify_all()

    def run(self, stop: threading.Event) -> None:
        """Commits until `stop` is set, then tries to flush the queue."""
        with self._wake:
            self._stopping = False
        while not stop.is_set():
            self._wait_for_changes()
            self._commit_all()
        deadline = self._clock.monotonic() + FLUSH_TIMEOUT_S
        while self.unsettled() and self._clock.monotonic() < deadline:
            self._commit_all()
        if self.unsettled():
            _log.warning(
                "Claim changes not stored at shutdown; repeated calls may get "
                "an unknown outcome."
            )

    def _queue(
        self, shard: Shard, pending: _PendingChange, *, urgent: bool
    ) -> None:
        with self._wake:
            self._pending_by_shard.setdefault(shard, []).append(pending)
            if urgent:
                self._urgent.add(shard)
                self._wake.notify_all()

    def _wait_for_changes(self) -> None:
        with self._wake:
            self._wake.wait_for(
                lambda: bool(self._urgent) or self._stopping, RETRY_PERIOD_S
            )

    def _commit_all(self) -> None:
        with self._wake:
            batches = self._pending_by_shard
            self._pending_by_shard = {}
            self._urgent = set()
        for shard, batch in batches.items():
            try:
                remaining = self._commit_batch(shard, batch)
            except StoreError:
                self._backoff_until = self._clock.monotonic() + STORE_BACKOFF_S
                self._views_by_shard.pop(shard, None)
                self.counts["store_errors"] += 1
                remaining = batch
            self._requeue(shard, remaining)

    def _commit_batch(
        self, shard: Shard, batch: list[_PendingChange]
    ) -> list[_PendingChange]:
        """Commits a batch; returns the changes that remain uncommitted.

        Raises:
            StoreError: The store failed; a write may have taken effect.
        """
        view, fresh = self._cached_view(shard)
        remaining = batch
        for _ in range(MAX_COMMIT_ROUNDS):
            now_s = self._clock.wall()
            changes = [pending.change for pending in remaining]
            plan = plan_write(view.parts, changes, now_s, shard.retention_s)
            refused = any(
                finding.verdict not in (Verdict.RUN, Verdict.DONE)
                for finding in plan.findings.values()
            )
            if refused and not fresh:
                view, fresh = self._read_view(shard), True
                continue
            if plan.write is not None:
                revision = self._write_part(shard, plan.write)
                if revision is None:
                    self.counts["conflicts"] += 1
                    view, fresh = self._read_view(shard), True
                    continue
                view = self._replace_part(shard, view, plan.write, revision)
            for index, finding in plan.findings.items():
                self._resolve(shard, remaining[index], finding)
            remaining = [remaining[index] for index in plan.remaining]
            if not remaining:
                break
        return remaining

    def _cached_view(self, shard: Shard) -> tuple[_ShardView, bool]:
        """Returns the shard's parts, and whether they were read just now."""
        view = self._views_by_shard.get(shard)
        oldest = self._clock.monotonic() - MAX_VIEW_AGE_S
        if view is not None and view.read_at > oldest:
            return view, False
        return self._read_view(shard), True

    def _read_view(self, shard: Shard) -> _ShardView:
        read_at = self._clock.monotonic()
        deadline = read_at + STORE_TIMEOUT_S
        parts = [
            StoredPart(
                int(entry.key.rpartition("/")[2]),
                entry.revision,
                msgspec.json.decode(entry.value, type=Part),
            )
            for entry in self._store.list_prefix(shard.prefix, deadline)
        ]
        parts.sort(key=lambda stored: stored.number)
        self.counts["reads"] += 1
        now_s = self._clock.wall()
        for stored in expired_parts(parts, now_s, shard.retention_s):
            key = _part_key(shard, stored.number)
            self._store.delete(key, stored.revision, deadline)
            parts.remove(stored)
        view = _ShardView(parts, read_at)
        self._views_by_shard[shard] = view
        return view

    def _write_part(self, shard: Shard, stored: StoredPart) -> int | None:
        self._wait_for_write_token()
        value = msgspec.json.encode(stored.part)
        self.counts["writes"] += 1
        return self._store.compare_and_swap(
            _part_key(shard, stored.number),
            value,
            stored.revision,
            self._clock.monotonic() + STORE_TIMEOUT_S,
        )

    def _replace_part(
        self, shard: Shard, view: _ShardView, written: StoredPart, revision: int
    ) -> _ShardView:
        parts = [p for p in view.parts if p.number != written.number]
        parts.append(written._replace(revision=revision))
        parts.sort(key=lambda stored: stored.number)
        view = view._replace(parts=parts)
        self._views_by_shard[shard] = view
        return view

    def _wait_for_write_token(self) -> None:
        """Waits until the limit on the write rate allows another write."""
        now = self._clock.monotonic()
        filled = self._write_tokens + (now - self._refilled_at) * WRITES_PER_S
        self._write_tokens = min(WRITE_BURST, filled) - 1
        self._refilled_at = now
        if self._write_tokens < 0:
            time.sleep(-self._write_tokens / WRITES_PER_S)

    def _resolve(
        self, shard: Shard, pending: _PendingChange, finding: Finding
    ) -> None:
        """Resolves a change's future; releases a claim nobody waits for."""
        if pending.future.set_running_or_notify_cancel():
            pending.future.set_result(finding)
        elif finding.verdict is Verdict.RUN:
            self._release_claim(shard, pending.change)

    def _release_claim(self, shard: Shard, change: Change) -> None:
        if isinstance(change, SubmitClaim):
            token = change.claim["token"]
            self.submit_update(shard, ReleaseClaim(change.key, token))

    def _requeue(self, shard: Shard, remaining: list[_PendingChange]) -> None:
        """Queues uncommitted changes again; withdraws cancelled and late ones.

        A change is late once its `give_up_at` has passed.
        """
        now = self._clock.monotonic()
        for pending in remaining:
            future = pending.future
            if future.done() and not future.cancelled():
                continue
            if not future.cancelled() and now < pending.give_up_at:
                self._queue(shard, pending, urgent=False)
                continue
            if future.set_running_or_notify_cancel():
                future.set_exception(StoreUnavailableError())
            self._release_claim(shard, pending.change)


def _part_key(shard: Shard, number: int) -> str:
    return f"{shard.prefix}{number:08d}"
