"""At-most-once execution: rules for claims and for updating their shards.

The claims of a shard are stored in numbered parts. New claims are added only
to the last part, which is open. A part that exceeds a size limit is sealed:
it accepts no more claims, and is deleted once all of its claims have expired.
A writer that has read all parts of a shard and then writes the open part by
compare-and-swap has therefore seen every claim that could conflict.
"""

import enum
from collections.abc import Sequence
from typing import NamedTuple, NotRequired, TypedDict

__all__ = [
    "Change",
    "Claim",
    "Finding",
    "Outcome",
    "Part",
    "WritePlan",
    "ReleaseClaim",
    "SettleClaim",
    "StoredPart",
    "SubmitClaim",
    "Verdict",
    "expired_parts",
    "judge_claim",
    "may_send",
    "plan_write",
]

SEAL_THRESHOLD_BYTES = 128 * 1024
MAX_PART_BYTES = 768 * 1024
CLAIM_OVERHEAD_BYTES = 300
BASE64_GROWTH_FACTOR = 1.4
CLOCK_SKEW_S = 60.0


class Outcome(TypedDict):
    """The complete response to a claimed call.

    Attributes:
        status: The HTTP status.
        content_type: The body's media type.
        body: The body; empty if `kept` is False.
        kept: False if the body was too large to store.
    """

    status: int
    content_type: str
    body: bytes
    kept: NotRequired[bool]


class Claim(TypedDict):
    """A claim as it is stored.

    Attributes:
        token: Unique to the attempt that wrote the claim.
        body_sha256: Digest of method, path and body.
        claimed_at_s: Wall-clock time of the claim.
        send_by_s: Wall-clock time after which the owner of the claim no
            longer sends the call.
        outcome: The response, or None while it is unknown.
    """

    token: str
    body_sha256: str
    claimed_at_s: float
    send_by_s: float
    outcome: Outcome | None


class Part(TypedDict):
    """The stored value of one part; a sealed part accepts no more claims."""

    sealed: bool
    claims_by_key: dict[str, Claim]


class StoredPart(NamedTuple):
    """A part, its number in the shard, and its revision.

    Revision 0 means that the part is not stored yet.
    """

    number: int
    revision: int
    part: Part


class SubmitClaim(NamedTuple):
    """Claims a key."""

    key: str
    claim: Claim


class SettleClaim(NamedTuple):
    """Stores the outcome of a claim."""

    key: str
    token: str
    outcome: Outcome


class ReleaseClaim(NamedTuple):
    """Deletes a claim whose call was certainly not sent."""

    key: str
    token: str


Change = SubmitClaim | SettleClaim | ReleaseClaim


class Verdict(enum.Enum):
    """What to do with a request or a change after the lookup of its key.

    Attributes:
        RUN: The request holds the claim and may be sent.
        REPLAY: Respond with the stored outcome.
        REFUSE_OTHER_BODY: A different request has claimed the key.
        IN_PROGRESS: The owner of the claim may still send its call.
        UNKNOWN: The call may have run, but its outcome is not stored.
        DONE: The change has been applied or no longer concerns the claim.
    """

    RUN = "run"
    REPLAY = "replay"
    REFUSE_OTHER_BODY = "refuse_other_body"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    DONE = "done"


class Finding(NamedTuple):
    """A verdict, and for REPLAY the stored outcome."""

    verdict: Verdict
    outcome: Outcome | None = None


class WritePlan(NamedTuple):
    """The next write to a shard.

    Attributes:
        write: The part to write by compare-and-swap, or None.
        findings: Findings by index of the change. Those of changes included
            in `write` are valid only if the write succeeds.
        remaining: Indexes of the changes that need a further write.
    """

    write: StoredPart | None
    findings: dict[int, Finding]
    remaining: list[int]


def judge_claim(
    claim: Claim, token: str, body_sha256: str, now_s: float
) -> Finding:
    """Returns the finding for a request whose key is already claimed.

    Args:
        claim: The stored claim.
        token: The token of the current attempt.
        body_sha256: Digest of the current request.
        now_s: The wall-clock time.
    """
    if claim["body_sha256"] != body_sha256:
        return Finding(Verdict.REFUSE_OTHER_BODY)
    if claim["token"] == token:
        return Finding(Verdict.RUN)
    if claim["outcome"] is not None:
        return Finding(Verdict.REPLAY, claim["outcome"])
    if now_s < claim["send_by_s"]:
        return Finding(Verdict.IN_PROGRESS)
    return Finding(Verdict.UNKNOWN)


def may_send(claim: Claim, now_s: float) -> bool:
    """Tells whether the owner of a claim may still send its call."""
    return claim["outcome"] is None and now_s < claim["send_by_s"]


def plan_write(
    parts: Sequence[StoredPart],
    changes: Sequence[Change],
    now_s: float,
    retention_s: float,
) -> WritePlan:
    """Plans the next write to a shard, which updates at most one part.

    Args:
        parts: All parts of the shard, ordered by number.
        changes: The pending changes, in order.
        now_s: The wall-clock time.
        retention_s: How long claims are stored.
    """
    stored_by_number = {stored.number: stored for stored in parts}
    open_part = _open_part(parts)
    stored_by_number[open_part.number] = open_part
    locations = _locations_by_key(parts, now_s, retention_s)
    findings: dict[int, Finding] = {}
    remaining: list[int] = []
    draft: _PartDraft | None = None
    for index, change in enumerate(changes):
        location = locations.get(change.key)
        finding = _finding_without_write(change, location, now_s)
        if finding is not None:
            findings[index] = finding
            continue
        number = location.number if location else open_part.number
        if draft is None:
            draft = _PartDraft(stored_by_number[number], now_s, retention_s)
        if draft.stored.number != number:
            remaining.append(index)
            continue
        findings[index] = draft.apply(change)
    return WritePlan(draft.build() if draft else None, findings, remaining)


def expired_parts(
    parts: Sequence[StoredPart], now_s: float, retention_s: float
) -> list[StoredPart]:
    """Returns the sealed parts whose claims have all expired.

    The last part is never included, so part numbers are not reused.
    """
    return [
        stored
        for stored in parts[:-1]
        if stored.part["sealed"]
        and not _unexpired_claims(stored.part, now_s, retention_s)
    ]


class _Location(NamedTuple):
    number: int
    claim: Claim


class _PartDraft:
    """The next value of one part."""

    def __init__(
        self, stored: StoredPart, now_s: float, retention_s: float
    ) -> None:
        self.stored = stored
        self._now_s = now_s
        self._claims = _unexpired_claims(stored.part, now_s, retention_s)
        self._size_bytes = sum(
            _claim_size_bytes(claim) for claim in self._claims.values()
        )

    def apply(self, change: Change) -> Finding:
        """Applies a change; its finding is valid once the part is written."""
        existing = self._claims.get(change.key)
        if isinstance(change, SubmitClaim):
            if existing is not None:
                claim = change.claim
                digest = claim["body_sha256"]
                return judge_claim(
                    existing, claim["token"], digest, self._now_s
                )
            self._claims[change.key] = change.claim
            self._size_bytes += _claim_size_bytes(change.claim)
            return Finding(Verdict.RUN)
        if existing is None or existing["token"] != change.token:
            return Finding(Verdict.DONE)
        if isinstance(change, ReleaseClaim):
            del self._claims[change.key]
        else:
            self._apply_outcome(change, existing)
        return Finding(Verdict.DONE)

    def build(self) -> StoredPart:
        """Returns the part to write, sealed if it exceeds the size limit."""
        part: Part = {
            "sealed": self.stored.part["sealed"]
            or self._size_bytes > SEAL_THRESHOLD_BYTES,
            "claims_by_key": self._claims,
        }
        return self.stored._replace(part=part)

    def _apply_outcome(self, change: SettleClaim, existing: Claim) -> None:
        outcome = change.outcome
        settled: Claim = {**existing, "outcome": outcome}
        if self._size_bytes + _claim_size_bytes(settled) > MAX_PART_BYTES:
            truncated: Outcome = {**outcome, "body": b"", "kept": False}
            settled = {**existing, "outcome": truncated}
        self._claims[change.key] = settled
        self._size_bytes += _claim_size_bytes(settled) - _claim_size_bytes(
            existing
        )


def _finding_without_write(
    change: Change, location: _Location | None, now_s: float
) -> Finding | None:
    """Returns the finding for a change that needs no write, else None."""
    if location is None:
        return None
    if isinstance(change, SubmitClaim):
        claim = change.claim
        digest = claim["body_sha256"]
        return judge_claim(location.claim, claim["token"], digest, now_s)
    if location.claim["token"] != change.token:
        return Finding(Verdict.DONE)
    return None


def _locations_by_key(
    parts: Sequence[StoredPart], now_s: float, retention_s: float
) -> dict[str, _Location]:
    return {
        key: _Location(stored.number, claim)
        for stored in parts
        for key, claim in _unexpired_claims(
            stored.part, now_s, retention_s
        ).items()
    }


def _open_part(parts: Sequence[StoredPart]) -> StoredPart:
    """Returns the part for new claims; a new part if the last is sealed."""
    empty: Part = {"sealed": False, "claims_by_key": {}}
    if not parts:
        return StoredPart(0, 0, empty)
    last = parts[-1]
    if last.part["sealed"]:
        return StoredPart(last.number + 1, 0, empty)
    return last


def _unexpired_claims(
    part: Part, now_s: float, retention_s: float
) -> dict[str, Claim]:
    expired_until_s = now_s - retention_s - CLOCK_SKEW_S
    return {
        key: claim
        for key, claim in part["claims_by_key"].items()
        if claim["claimed_at_s"] > expired_until_s
    }


def _claim_size_bytes(claim: Claim) -> int:
    outcome = claim["outcome"]
    body = len(outcome["body"]) if outcome else 0
    return CLAIM_OVERHEAD_BYTES + int(BASE64_GROWTH_FACTOR * body)
