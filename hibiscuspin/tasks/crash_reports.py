"""What is known of the requests under which targets crashed."""

import threading
from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import crashes
from hibiscuspin.decisions.crashes import CrashRecord, Verdict
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.metrics import Metrics

__all__ = ["CrashReports"]

_log = get_logger("live")


class _RecordMessage(NamedTuple):
    """A record with ages, since the instances have no common clock."""

    key: str
    crash_age_s_by_target: dict[str, float]
    success_age_s: float | None
    seen_age_s: float


class _StoredRecord(NamedTuple):
    """A record in the store, and when it was stored, by the wall clock."""

    stored_at_s: float
    record: _RecordMessage


class CrashReports:
    """The records of requests that ran while targets crashed; thread-safe.

    Attributes:
        changed: Set when other instances are to be told of a change.
        is_loaded: Whether requests may be sent. An instance that starts first
            asks others, because the process before it may have known more.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._record_by_key: dict[str, CrashRecord] = {}
        self._unreported_keys: set[str] = set()
        self._unstored_keys: set[str] = set()
        # Requests under which this instance saw a crash itself. Only these
        # instances store a refused request.
        self._witnessed_keys: set[str] = set()
        self._suspects_by_target: Counter[str] = Counter()
        self.changed = threading.Event()
        self.is_loaded = True

    def verdict(self, key: str) -> Verdict:
        """Returns how a request may be sent."""
        return crashes.judge(self._record_by_key.get(key))

    def check(self, key: str, request_id: str) -> None:
        """Refuses a request that has crashed too many targets.

        Raises:
            HibiscusError: `TARGET_CRASHER`.
        """
        record = self._record_by_key.get(key)
        if record is None or crashes.judge(record) is not Verdict.REFUSE:
            return
        now = self._clock.monotonic()
        with self._lock:
            self._record_by_key[key] = record._replace(seen_at=now)
        self._metrics.crash_decisions.labels("refused").inc()
        _log.warning(
            "Request refused: targets crashed each time that it ran.",
            extra={
                "request_id": request_id,
                "fingerprint": key,
                "crashes": record.crashes,
                "targets": sorted(record.crashed_at_by_target),
                "age_s": round(
                    now - max(record.crashed_at_by_target.values()), 3
                ),
            },
        )
        raise HibiscusError(
            ErrorKind.TARGET_CRASHER,
            f"Each of {record.crashes} targets that ran this request crashed; "
            "do not send it again.",
            ExecutionStatus.YES,
        )

    def record_crash(
        self, key: str, target: str, sent_at: float, request_id: str
    ) -> None:
        """Records that a target crashed while it ran a request."""
        with self._lock:
            now = self._clock.monotonic()
            record = crashes.after_crash(
                self._record_by_key.get(key), target, sent_at, now
            )
            self._witnessed_keys.add(key)
            self._update(key, record)
            self._store_if_refused(key)
        self._metrics.crash_decisions.labels("crash").inc()
        _log.warning(
            "Target crashed while it ran a request.",
            extra={
                "request_id": request_id,
                "fingerprint": key,
                "target": target,
                "crashes": record.crashes,
                "verdict": crashes.judge(record).name,
            },
        )

    def record_success(self, key: str, request_id: str) -> None:
        """Records that a target completed a request."""
        record = self._record_by_key.get(key)
        if record is None or not record.crashes:
            return
        with self._lock:
            now = self._clock.monotonic()
            self._update(key, crashes.after_success(record, now))
        self._metrics.crash_decisions.labels("cleared").inc()
        _log.info(
            "Suspect request completed; its crashes no longer count.",
            extra={
                "request_id": request_id,
                "fingerprint": key,
                "crashes": record.crashes,
            },
        )

    def _update(self, key: str, record: CrashRecord) -> None:
        self._record_by_key[key] = record
        self._unreported_keys.add(key)
        self.changed.set()

    def _store_if_refused(self, key: str) -> None:
        record = self._record_by_key[key]
        is_refused = crashes.judge(record) is Verdict.REFUSE
        if is_refused and key in self._witnessed_keys:
            self._unstored_keys.add(key)
            self.changed.set()

    @contextmanager
    def track(self, key: str, target: str) -> Iterator[None]:
        """Counts a suspect as running on a target while it does."""
        is_suspect = self.verdict(key) is not Verdict.NORMAL
        if is_suspect:
            with self._lock:
                self._suspects_by_target[target] += 1
        try:
            yield
        finally:
            if is_suspect:
                with self._lock:
                    self._suspects_by_target[target] -= 1

    def suspects_by_target(self) -> Mapping[str, int]:
        """Returns this instance's suspects that run on each target."""
        with self._lock:
            return dict(self._suspects_by_target)

    def on_acknowledged(self, body: bytes) -> None:
        """Does nothing: no request waits until others know of a crash."""

    def take_unreported(self) -> bytes | None:
        """Returns the records that changed, encoded; None for none."""
        with self._lock:
            keys, self._unreported_keys = self._unreported_keys, set()
            return self._encode(keys) if keys else None

    def encode_all(self) -> bytes:
        """Returns all records, encoded."""
        with self._lock:
            return self._encode(set(self._record_by_key))

    def unstored_by_key(self) -> dict[str, bytes]:
        """Returns the refused requests to store, encoded."""
        with self._lock:
            return {
                message.key: msgspec.msgpack.encode(
                    _StoredRecord(self._clock.wall(), message)
                )
                for message in self._messages(self._unstored_keys)
            }

    def mark_stored(self, key: str) -> None:
        """Records that a refused request has been stored."""
        with self._lock:
            self._unstored_keys.discard(key)
            self._witnessed_keys.discard(key)

    def load_stored(self, value: bytes) -> bool:
        """Adds a record from the store.

        Returns:
            Whether the record is still valid.

        Raises:
            msgspec.DecodeError: The record is malformed.
        """
        stored = msgspec.msgpack.decode(value, type=_StoredRecord)
        age_s = max(0.0, self._clock.wall() - stored.stored_at_s)
        if age_s >= crashes.RECORD_TTL_S:
            return False
        self._add(stored.record, age_s, "store")
        return True

    def _encode(self, keys: set[str]) -> bytes:
        return msgspec.msgpack.encode(self._messages(keys))

    def _messages(self, keys: set[str]) -> list[_RecordMessage]:
        now = self._clock.monotonic()
        messages = []
        for key in keys & self._record_by_key.keys():
            record = self._record_by_key[key]
            is_cleared = record.succeeded_at > float("-inf")
            messages.append(
                _RecordMessage(
                    key,
                    {
                        target: now - at
                        for target, at in record.crashed_at_by_target.items()
                    },
                    now - record.succeeded_at if is_cleared else None,
                    now - record.seen_at,
                )
            )
        return messages

    def merge(self, body: bytes, origin: str) -> None:
        """Adds what another instance knows.

        Raises:
            msgspec.DecodeError: The message is malformed.
        """
        messages = msgspec.msgpack.decode(body, type=list[_RecordMessage])
        for message in messages:
            self._add(message, 0.0, origin)

    def _add(self, message: _RecordMessage, age_s: float, origin: str) -> None:
        """Adds a record that was encoded `age_s` ago."""
        then = self._clock.monotonic() - age_s
        received = CrashRecord(
            {
                target: then - crash_age_s
                for target, crash_age_s in message.crash_age_s_by_target.items()
            },
            float("-inf")
            if message.success_age_s is None
            else then - message.success_age_s,
            then - message.seen_age_s,
        )
        key = message.key
        with self._lock:
            record = crashes.merge(self._record_by_key.get(key), received)
            self._record_by_key[key] = record
            self._store_if_refused(key)
        _log.info(
            "Learned of a request under which targets crashed.",
            extra={
                "fingerprint": key,
                "origin": origin,
                "crashes": record.crashes,
                "verdict": crashes.judge(record).name,
                "age_s": round(age_s, 3),
            },
        )

    def drop_expired(self) -> None:
        """Drops old records."""
        with self._lock:
            now = self._clock.monotonic()
            for key in crashes.expired_keys(self._record_by_key, now):
                del self._record_by_key[key]
                self._witnessed_keys.discard(key)
                self._unstored_keys.discard(key)
