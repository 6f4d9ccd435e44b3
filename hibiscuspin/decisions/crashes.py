"""Which requests crash the targets that run them.

Load pattern: a request crashes each target that begins to run it, and comes
again at any instance, while other requests run on the same targets and are cut
off with them. A single crash under a request says little; that it ran at
several crashes and never completed says that it is the cause.
"""

import enum
import hashlib
from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    "CrashRecord",
    "Verdict",
    "after_crash",
    "after_success",
    "expired_keys",
    "fingerprint",
    "judge",
    "merge",
]

MAX_CRASHES = 3
# After this many, a caller's attempt tries no other target.
MAX_CRASHES_TO_RETRY = 1
MAX_RECORDS = 10_000
RECORD_TTL_S = 3600.0
DIGEST_BYTES = 16


class Verdict(enum.Enum):
    """How a request may be sent."""

    NORMAL = enum.auto()
    # To one target at a time, one with few requests.
    SUSPECT = enum.auto()
    # As above, and not again for the same attempt of its caller.
    SUSPECT_ONCE = enum.auto()
    REFUSE = enum.auto()


class CrashRecord(NamedTuple):
    """What happened while a request ran.

    Attributes:
        crashed_at_by_target: For each incarnation of a target that crashed,
            when, in monotonic time.
        succeeded_at: When a target last completed it, in monotonic time.
        seen_at: When it was last sent or refused, in monotonic time.
    """

    crashed_at_by_target: Mapping[str, float] = {}
    succeeded_at: float = float("-inf")
    seen_at: float = float("-inf")

    @property
    def crashes(self) -> int:
        """The crashes since it last completed."""
        return sum(
            at > self.succeeded_at for at in self.crashed_at_by_target.values()
        )


def fingerprint(host: str, path: str, caller: str, body: bytes) -> str:
    """Returns what identifies a request that comes again.

    Args:
        host: The host whose route it uses.
        path: Its path.
        caller: Who sends it, as far as it says so.
        body: Its body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (host.encode(), path.encode(), caller.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def judge(record: CrashRecord | None) -> Verdict:
    """Returns how a request may be sent."""
    if record is None or not record.crashes:
        return Verdict.NORMAL
    if record.crashes >= MAX_CRASHES:
        return Verdict.REFUSE
    if record.crashes > MAX_CRASHES_TO_RETRY:
        return Verdict.SUSPECT_ONCE
    return Verdict.SUSPECT


def after_crash(
    record: CrashRecord | None, target: str, sent_at: float, now: float
) -> CrashRecord:
    """Adds a target's crash while the request ran there.

    Args:
        record: What was known before.
        target: The target's incarnation, as the list shows it. The list may
            lag behind a target that starts again under its name.
        sent_at: When the request was sent. If that was after the incarnation
            crashed, another one had taken its place.
        now: The monotonic time.
    """
    known = record or CrashRecord()
    crashed_at_by_target = dict(known.crashed_at_by_target)
    key, restarts = target, 0
    while crashed_at_by_target.get(key, sent_at) < sent_at:
        restarts += 1
        key = f"{target}+{restarts}"
    crashed_at_by_target.setdefault(key, now)
    return known._replace(
        crashed_at_by_target=crashed_at_by_target, seen_at=now
    )


def after_success(record: CrashRecord, now: float) -> CrashRecord:
    """Records that a target completed the request."""
    return record._replace(succeeded_at=now, seen_at=now)


def merge(known: CrashRecord | None, received: CrashRecord) -> CrashRecord:
    """Joins what two instances know of a request.

    Instances convert the times of the others to their own clocks, which the
    time on the way makes later; the earlier one is the better one.
    """
    if known is None:
        return received
    crashed_at_by_target = dict(received.crashed_at_by_target)
    for target, at in known.crashed_at_by_target.items():
        other_at = crashed_at_by_target.get(target, at)
        crashed_at_by_target[target] = min(at, other_at)
    return CrashRecord(
        crashed_at_by_target,
        max(known.succeeded_at, received.succeeded_at),
        max(known.seen_at, received.seen_at),
    )


def expired_keys(
    record_by_key: Mapping[str, CrashRecord], now: float
) -> list[str]:
    """Returns the records to drop: old ones, and the oldest of too many."""
    oldest_first = sorted(
        record_by_key, key=lambda key: record_by_key[key].seen_at
    )
    surplus = max(0, len(oldest_first) - MAX_RECORDS)
    return [
        key
        for index, key in enumerate(oldest_first)
        if index < surplus or now - record_by_key[key].seen_at >= RECORD_TTL_S
    ]
