"""The request limits of targets, and the tokens to send within them."""

import enum
import math
import threading
from collections.abc import Collection, Iterable
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import limits
from hibiscuspin.decisions.limits import Demand, TargetLimit, Tokens
from hibiscuspin.logs import get_logger
from hibiscuspin.metrics import Metrics

__all__ = [
    "Incarnation",
    "LimitNotice",
    "Purpose",
    "Send",
    "TargetLimits",
    "TokenRequest",
]

# Callers that wait ask again several times within this time.
DEMAND_TTL_S = 0.3

_log = get_logger("targets")


class Incarnation(NamedTuple):
    """One incarnation of a target.

    Attributes:
        name: The target's name.
        born_ms: When the incarnation started, by the target's own clock.
    """

    name: str
    born_ms: int


class Purpose(enum.StrEnum):
    """Why a request is sent to a target."""

    CALL = "call"
    RETRY = "retry"
    HEDGE = "hedge"
    STREAM = "stream"
    SAMPLE = "sample"
    REWARD = "reward"


DEFERRABLE_PURPOSES = frozenset({Purpose.SAMPLE, Purpose.REWARD})


class Send(NamedTuple):
    """One send of a request to a target."""

    request_id: str
    purpose: Purpose


class LimitNotice(NamedTuple):
    """What one instance tells another of a limit.

    Attributes:
        target: The target.
        rate_per_s: Its limit; None for none any more.
        age_s: How long ago a response said so. The instances have no common
            clock, so that this is no point in time.
    """

    target: Incarnation
    rate_per_s: float | None
    age_s: float


class _TokenBatch(NamedTuple):
    tokens: Tokens
    expires_at: float


class _Waiting(NamedTuple):
    service: str
    demand: Demand
    usable_names: Collection[str]
    expires_at: float


class TokenRequest(NamedTuple):
    """All requests of an instance for one service that wait for tokens.

    Attributes:
        demand: How many wait.
        usable_names: The targets that could take any of them now.
    """

    demand: Demand
    usable_names: frozenset[str]


class TargetLimits:
    """The limits in force, and this instance's tokens; thread-safe.

    Attributes:
        demand_changed: Set when a request begins to wait for a token.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._limit_by_target: dict[Incarnation, TargetLimit] = {}
        self._batches_by_target: dict[Incarnation, list[_TokenBatch]] = {}
        self._waiting_by_key: dict[str, _Waiting] = {}
        self._wait_until_by_service: dict[str, float] = {}
        self.demand_changed = threading.Event()

    def record_response(
        self, target: Incarnation, rate_per_s: float | None, sent_at: float
    ) -> None:
        """Records what a response says of its target's limit.

        Args:
            target: The target.
            rate_per_s: The requests a second that it allows all instances
                together; None for no limit.
            sent_at: When the request was sent, in monotonic time.
        """
        now = self._clock.monotonic()
        with self._lock:
            known = self._limit_by_target.get(target)
            limit = limits.after_response(known, rate_per_s, sent_at, now)
            if limit is known or limit is None:
                return
            self._limit_by_target[target] = limit
        self._log_change(target, known, limit, "response", now)

    def record_notices(
        self, notices: Iterable[LimitNotice], origin: str
    ) -> None:
        """Records what another instance tells."""
        now = self._clock.monotonic()
        for target, rate_per_s, age_s in notices:
            received = TargetLimit(rate_per_s, now - age_s)
            with self._lock:
                known = self._limit_by_target.get(target)
                limit = limits.newer(known, received)
                self._limit_by_target[target] = limit
            self._log_change(target, known, limit, origin, now)

    def notices(self, targets: Iterable[Incarnation]) -> list[LimitNotice]:
        """Returns what is known of these targets' limits."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                LimitNotice(target, limit.rate_per_s, now - limit.seen_at)
                for target in targets
                if (limit := self._limit_by_target.get(target)) is not None
            ]

    def _log_change(
        self,
        target: Incarnation,
        known: TargetLimit | None,
        limit: TargetLimit,
        origin: str,
        now: float,
    ) -> None:
        before = known.rate_per_s if known else None
        if limit.rate_per_s == before:
            return
        _log.info(
            "Request limit of a target changed.",
            extra={
                "target": target.name,
                "born_ms": target.born_ms,
                "rate_per_s": limit.rate_per_s,
                "rate_before_per_s": before,
                "origin": origin,
                "age_s": round(now - limit.seen_at, 3),
            },
        )

    def rate_per_s(self, target: Incarnation) -> float:
        """Returns a target's limit; infinity for none."""
        limit = self._limit_by_target.get(target)
        if limit is None or limit.rate_per_s is None:
            return math.inf
        return limit.rate_per_s

    def sends(self, target: Incarnation, deferrable: bool) -> float:
        """Returns how many requests may be sent now; infinity for any number.

        Args:
            target: The target.
            deferrable: Whether the requests are samples or reward calls.
        """
        if math.isinf(self.rate_per_s(target)):
            return math.inf
        with self._lock:
            batches = self._valid_batches(target)
        live = 0 if deferrable else sum(b.tokens.live for b in batches)
        return live + sum(b.tokens.deferrable for b in batches)

    def _valid_batches(self, target: Incarnation) -> list[_TokenBatch]:
        now = self._clock.monotonic()
        batches = [
            batch
            for batch in self._batches_by_target.get(target, ())
            if batch.expires_at > now
        ]
        self._batches_by_target[target] = batches
        return batches

    def take(self, target: Incarnation, send: Send) -> bool:
        """Takes a token for a request.

        Returns:
            Whether the request may be sent: the target has no limit, or there
            was a token.
        """
        limit = self._limit_by_target.get(target)
        if limit is None or limit.rate_per_s is None:
            return True
        with self._lock:
            is_allowed = self._take_token(target, send.purpose)
            if is_allowed:
                self._waiting_by_key.pop(send.request_id, None)
        if is_allowed:
            self._log_send(target, send, limit)
        return is_allowed

    def _take_token(self, target: Incarnation, purpose: Purpose) -> bool:
        batches = self._valid_batches(target)
        for index, (tokens, expires_at) in enumerate(batches):
            if tokens.live and purpose not in DEFERRABLE_PURPOSES:
                left = tokens._replace(live=tokens.live - 1)
            elif tokens.deferrable:
                left = tokens._replace(deferrable=tokens.deferrable - 1)
            else:
                continue
            batches[index] = _TokenBatch(left, expires_at)
            return True
        return False

    def _log_send(
        self, target: Incarnation, send: Send, limit: TargetLimit
    ) -> None:
        now = self._clock.monotonic()
        self._metrics.limited_sends.labels(send.purpose).inc()
        _log.info(
            "Request sent to a target with a request limit.",
            extra={
                "request_id": send.request_id,
                "target": target.name,
                "purpose": send.purpose,
                "rate_per_s": limit.rate_per_s,
                "limit_age_s": round(now - limit.seen_at, 3),
            },
        )

    def add_tokens(
        self, target: Incarnation, tokens: Tokens, expires_at: float
    ) -> None:
        """Adds tokens that the allocator has handed out."""
        with self._lock:
            batches = self._valid_batches(target)
            batches.append(_TokenBatch(tokens, expires_at))

    def request_tokens(
        self,
        key: str,
        service: str,
        demand: Demand,
        usable_names: Collection[str],
    ) -> None:
        """Says for how many requests tokens are wanted.

        Args:
            key: The request or job; a later call replaces the earlier one.
            service: The service of the requests.
            demand: How many requests wait.
            usable_names: The targets that could take them now.
        """
        expires_at = self._clock.monotonic() + DEMAND_TTL_S
        waiting = _Waiting(service, demand, usable_names, expires_at)
        with self._lock:
            self._waiting_by_key[key] = waiting
        self.demand_changed.set()

    def requests_by_service(self) -> dict[str, TokenRequest]:
        """Returns the requests that wait for tokens."""
        now = self._clock.monotonic()
        request_by_service: dict[str, TokenRequest] = {}
        with self._lock:
            self._waiting_by_key = {
                key: waiting
                for key, waiting in self._waiting_by_key.items()
                if waiting.expires_at > now
            }
            for waiting in self._waiting_by_key.values():
                known = request_by_service.get(
                    waiting.service, TokenRequest(Demand(), frozenset())
                )
                demand = Demand(
                    known.demand.live + waiting.demand.live,
                    known.demand.deferrable + waiting.demand.deferrable,
                )
                request_by_service[waiting.service] = TokenRequest(
                    demand, known.usable_names.union(waiting.usable_names)
                )
        return request_by_service

    def unused_tokens(self, targets: Iterable[Incarnation]) -> Tokens:
        """Returns this instance's tokens for some targets."""
        with self._lock:
            batches = [
                batch
                for target in targets
                for batch in self._valid_batches(target)
            ]
        return Tokens(
            sum(batch.tokens.live for batch in batches),
            sum(batch.tokens.deferrable for batch in batches),
        )

    def set_wait(self, service: str, wait_until: float) -> None:
        """Records when a live request would get a token, in monotonic time."""
        self._wait_until_by_service[service] = wait_until

    def wait_s(self, service: str) -> float:
        """Returns how long a live request would wait for a token."""
        wait_until = self._wait_until_by_service.get(service, 0.0)
        return max(0.0, wait_until - self._clock.monotonic())

    def retain(self, targets: Collection[Incarnation]) -> None:
        """Forgets the limits and tokens of all other targets."""
        with self._lock:
            for target in self._limit_by_target.keys() - set(targets):
                del self._limit_by_target[target]
                self._batches_by_target.pop(target, None)
