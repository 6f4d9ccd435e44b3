"""Claims of idempotency keys in the store, for at-most-once calls."""

import concurrent.futures
import hashlib
import secrets
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.claims import (
    Claim,
    Finding,
    Outcome,
    ReleaseClaim,
    SettleClaim,
    SubmitClaim,
)
from hibiscuspin.edges import PlatformStore, ServiceRequest, ServiceResponse
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.tasks.committer import Committer, Shard, StoreUnavailableError

__all__ = ["Claims", "SubmittedClaim", "scoped_key"]

SHARD_COUNT = 16
SHARD_HEX_DIGITS = 8
SCOPED_KEY_CHARS = 32
COMMITTER_COUNT = 4
CLAIM_TIMEOUT_S = 3.0
MIN_RETENTION_S = 3600.0
MAX_STORED_BODY_BYTES = 32 * 1024


class SubmittedClaim(NamedTuple):
    """A submitted claim and the finding for its key."""

    shard: Shard
    key: str
    claim: Claim
    finding: Finding


class Claims:
    """Claims of all services whose calls must not be repeated."""

    def __init__(self, store: PlatformStore, clock: Clock) -> None:
        self._clock = clock
        self._committers = [
            Committer(f"claims-{number}", store, clock)
            for number in range(COMMITTER_COUNT)
        ]

    def tasks(self) -> list[Committer]:
        """Returns the tasks that write claims to the store."""
        return list(self._committers)

    def unsettled(self) -> int:
        """Returns the number of changes that are not yet persisted."""
        return sum(committer.unsettled() for committer in self._committers)

    def claim(
        self,
        service: str,
        call: ServiceRequest,
        deadline: float,
        retention_s: float,
    ) -> SubmittedClaim:
        """Claims the idempotency key of a call.

        Args:
            service: The service's name.
            call: The call, with its scoped key.
            deadline: Monotonic time after which the call must not be sent.
            retention_s: How long the claim is stored.

        Raises:
            HibiscusError: The claim was not persisted; the call was not sent.
        """
        now = self._clock.monotonic()
        claim = self._new_claim(call, deadline - now)
        shard = _shard(service, call.idempotency_key, retention_s)
        submit = SubmitClaim(call.idempotency_key, claim)
        give_up_at = min(deadline, now + CLAIM_TIMEOUT_S)
        submitted = self._committer(shard).submit(shard, submit, give_up_at)
        finding = self._await_finding(submitted, give_up_at)
        return SubmittedClaim(shard, call.idempotency_key, claim, finding)

    def record_unclaimed_call(
        self,
        service: str,
        call: ServiceRequest,
        response: ServiceResponse,
        retention_s: float,
    ) -> None:
        """Records the outcome of a call that was executed without a claim."""
        claim = self._new_claim(call, 0.0)
        claim["outcome"] = _outcome(response)
        shard = _shard(service, call.idempotency_key, retention_s)
        submit = SubmitClaim(call.idempotency_key, claim)
        self._committer(shard).submit_update(shard, submit)

    def record_outcome(
        self, submitted: SubmittedClaim, response: ServiceResponse
    ) -> None:
        """Records the outcome of a claim; returns before it is persisted."""
        token = submitted.claim["token"]
        settle = SettleClaim(submitted.key, token, _outcome(response))
        self._committer(submitted.shard).submit_update(submitted.shard, settle)

    def release(self, submitted: SubmittedClaim) -> None:
        """Withdraws a claim whose call was certainly not sent."""
        release = ReleaseClaim(submitted.key, submitted.claim["token"])
        self._committer(submitted.shard).submit_update(submitted.shard, release)

    def _new_claim(self, call: ServiceRequest, send_window_s: float) -> Claim:
        now_s = self._clock.wall()
        method, path = call.method.encode(), call.path.encode()
        return {
            "token": secrets.token_hex(8),
            "body_sha256": _digest(method, path, call.body),
            "claimed_at_s": now_s,
            "send_by_s": now_s + send_window_s,
            "outcome": None,
        }

    def _committer(self, shard: Shard) -> Committer:
        return self._committers[shard.number % COMMITTER_COUNT]

    def _await_finding(
        self, submitted: concurrent.futures.Future[Finding], give_up_at: float
    ) -> Finding:
        remaining_s = max(0.0, give_up_at - self._clock.monotonic())
        try:
            return submitted.result(remaining_s)
        except StoreUnavailableError:
            raise _store_unavailable() from None
        except concurrent.futures.TimeoutError:
            if submitted.cancel():
                raise _store_unavailable() from None
        try:
            return submitted.result()
        except StoreUnavailableError:
            raise _store_unavailable() from None


def scoped_key(scope: str, key: str) -> str:
    """Returns a key that is unique across teams and services."""
    return _digest(scope.encode(), key.encode())[:SCOPED_KEY_CHARS]


def _shard(service: str, key: str, retention_s: float) -> Shard:
    number = int(key[:SHARD_HEX_DIGITS], 16) % SHARD_COUNT
    return Shard(service, number, max(MIN_RETENTION_S, retention_s))


def _outcome(response: ServiceResponse) -> Outcome:
    kept = len(response.body) <= MAX_STORED_BODY_BYTES
    return {
        "status": response.status,
        "content_type": response.content_type,
        "body": response.body if kept else b"",
        "kept": kept,
    }


def _store_unavailable() -> HibiscusError:
    return HibiscusError(
        ErrorKind.STORE_UNAVAILABLE,
        "The idempotency key could not be claimed; the call was not sent.",
    )


def _digest(*parts: bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
