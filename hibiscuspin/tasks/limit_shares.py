"""Shares the request limits of targets between instances.

Each instance takes tokens from the allocator of a service, and lends it its
own share. The allocator renews its loans while tokens are asked for; the same
calls tell all instances of the limits.
"""

import threading
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple, TypeVar

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import limits
from hibiscuspin.decisions.limits import (
    NEW_SHARE,
    Demand,
    Loan,
    OwnShare,
    TokenBucket,
    Tokens,
)
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.errors import HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.rpc import (
    PeerCallHandler,
    PeerHttpClient,
    PeerUnreachableError,
)
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.instances import Instances
from hibiscuspin.tasks.target_limits import (
    Incarnation,
    LimitNotice,
    TokenRequest,
)

__all__ = ["LimitShares"]

LEND_METHOD = "limits.lend"
TAKE_METHOD = "limits.take"

CALL_TIMEOUT_S = 0.3
MAX_PARALLEL_CALLS = 8
# How often an instance whose requests wait asks for tokens.
TAKE_PERIOD_S = 0.04
IDLE_PERIOD_S = 2.0
# Unused tokens are void after this time, and lost to the limit.
TOKEN_TTL_S = 0.6
# How long an allocator keeps its loans after the last request for tokens.
POOL_TTL_S = 5.0
# Demand of an instance that does not ask again.
WAITING_TTL_S = 0.3
# An instance whose registration has ended may go on sending requests.
MEMBER_TTL_S = 4.0
# An instance that rejects these calls, such as one of an earlier build, is
# not asked again for this long.
REJECTION_BACKOFF_S = 3.0

T = TypeVar("T")

_log = get_logger("targets")


class _LendCall(NamedTuple):
    """Asks for a share of the limits of a service's targets."""

    borrower: str
    service: str
    duration_s: float
    limits: list[LimitNotice]


class _LendReply(NamedTuple):
    """A share, 0 if another instance has it, and the limits known there."""

    share: float
    limits: list[LimitNotice]


class _TakeCall(NamedTuple):
    """Asks for tokens for the usable ones among a service's targets."""

    instance: str
    service: str
    demand: Demand
    usable_names: list[str]
    limits: list[LimitNotice]


class _TargetTokens(NamedTuple):
    target: Incarnation
    tokens: Tokens


class _TakeReply(NamedTuple):
    """Tokens, the wait for more, and the limits known to the allocator."""

    tokens: list[_TargetTokens]
    wait_s: float
    limits: list[LimitNotice]


class _Waiting(NamedTuple):
    """Live requests of an instance that wait, and when the report expires."""

    live: int
    expires_at: float


class _Pool:
    """What an allocator knows of one service."""

    def __init__(self) -> None:
        self.loans_by_name: dict[str, Loan] = {}
        self.bucket_by_target: dict[Incarnation, TokenBucket] = {}
        self.waiting_by_name: dict[str, _Waiting] = {}
        self.keep_until = 0.0
        self.next_loans_at = 0.0
        self.calls_in_flight: set[str] = set()

    def fill(
        self,
        rate_by_target: Mapping[Incarnation, float],
        share: float,
        now: float,
    ) -> None:
        """Fills the buckets of all targets that name a limit."""
        self.bucket_by_target = {
            target: limits.fill(
                self.bucket_by_target.get(target), rate_per_s, share, now
            )
            for target, rate_per_s in rate_by_target.items()
        }

    def hand_out(self, call: _TakeCall, now: float) -> list[_TargetTokens]:
        """Takes tokens out of the buckets; the rest of the demand waits."""
        self.waiting_by_name.pop(call.instance, None)
        usable_by_name = {
            target.name: target
            for target in self.bucket_by_target
            if target.name in call.usable_names
        }
        tokens_by_name = limits.allocate(
            {
                name: self.bucket_by_target[target].tokens
                for name, target in usable_by_name.items()
            },
            call.demand,
            self.live_waiting(now) > 0,
        )
        live_left = call.demand.live
        for name, tokens in tokens_by_name.items():
            target = usable_by_name[name]
            bucket = self.bucket_by_target[target]
            self.bucket_by_target[target] = bucket._replace(
                tokens=bucket.tokens - sum(tokens)
            )
            live_left -= tokens.live
        self.waiting_by_name[call.instance] = _Waiting(
            live_left, now + WAITING_TTL_S
        )
        return [
            _TargetTokens(usable_by_name[name], tokens)
            for name, tokens in tokens_by_name.items()
        ]

    def live_waiting(self, now: float) -> int:
        """Returns how many live requests of all instances wait."""
        return sum(
            waiting.live
            for waiting in self.waiting_by_name.values()
            if waiting.expires_at > now
        )


class LimitShares:
    """Takes tokens, hands them out and lends shares; a supervised task."""

    name = "limit shares"

    def __init__(
        self,
        targets: DiscoveredTargets,
        instances: Instances,
        peers: PeerHttpClient,
        clock: Clock,
    ) -> None:
        self._targets = targets
        self._limits = targets.limits
        self._instances = instances
        self._peers = peers
        self._clock = clock
        self._started_at = clock.monotonic()
        self._lock = threading.Lock()
        self._pool_by_service: dict[str, _Pool] = {}
        self._own_share_by_service: dict[str, OwnShare] = {}
        self._last_seen_by_name: dict[str, float] = {}
        self._rejected_until_by_name: dict[str, float] = {}
        self._executor = ThreadPoolExecutor(
            MAX_PARALLEL_CALLS, thread_name_prefix="limits"
        )

    def handlers(self) -> dict[str, PeerCallHandler]:
        """Returns the handlers of calls from other instances, by method."""
        return {LEND_METHOD: self._serve_lend, TAKE_METHOD: self._serve_take}

    def run(self, stop: threading.Event) -> None:
        """Takes tokens for requests that wait, until `stop` is set."""
        while not stop.is_set():
            has_pool = bool(self._pool_by_service)
            self._limits.demand_changed.wait(
                limits.MIN_LOAN_PERIOD_S / 2 if has_pool else IDLE_PERIOD_S
            )
            self._limits.demand_changed.clear()
            self._count_instances()
            for service, wanted in self._limits.requests_by_service().items():
                if self._targets.limits_of(service):
                    self._take(service, wanted)
            self._renew_loans()
            stop.wait(TAKE_PERIOD_S)
        self._executor.shutdown()

    def interrupt(self) -> None:
        """Wakes `run` so that it notices the stop."""
        self._limits.demand_changed.set()

    def _count_instances(self) -> int:
        """Returns how many instances may be sending requests."""
        now = self._clock.monotonic()
        names = {self._instances.member.name, *self._instances.members()}
        with self._lock:
            self._last_seen_by_name.update(dict.fromkeys(names, now))
            self._last_seen_by_name = {
                name: seen_at
                for name, seen_at in self._last_seen_by_name.items()
                if now - seen_at <= MEMBER_TTL_S
            }
            return len(self._last_seen_by_name)

    def _take(self, service: str, wanted: TokenRequest) -> None:
        """Takes tokens for the requests for which there are none yet."""
        targets = list(self._targets.limits_of(service))
        demand = wanted.demand
        unused = self._limits.unused_tokens(targets)
        missing = Demand(
            max(0, demand.live - unused.live - unused.deferrable),
            max(0, demand.deferrable - unused.deferrable),
        )
        if missing == Demand():
            return
        notices = self._limits.notices(targets)
        own = self._instances.member.name
        usable_names = sorted(wanted.usable_names)
        call = _TakeCall(own, service, missing, usable_names, notices)
        asked_at = self._clock.monotonic()
        allocator = self._choose_allocator(service)
        if allocator is None:
            reply = self._hand_out(call)
        else:
            answer = self._call(allocator, TAKE_METHOD, call, _TakeReply)
            if answer is None:
                return
            reply = answer
            self._limits.record_notices(reply.limits, allocator.name)
        for target, tokens in reply.tokens:
            self._limits.add_tokens(target, tokens, asked_at + TOKEN_TTL_S)
        self._limits.set_wait(service, asked_at + reply.wait_s)

    def _choose_allocator(self, service: str) -> LiveInstance | None:
        """Returns the allocator of a service; None for this instance."""
        now = self._clock.monotonic()
        other_by_name = {
            member.name: member for member in self._instances.others()
        }
        suspects = [
            name
            for name, member in other_by_name.items()
            if self._peers.is_suspect(member.address)
            or self._rejected_until_by_name.get(name, 0.0) > now
        ]
        own = self._instances.member.name
        name = limits.choose_allocator(service, own, other_by_name, suspects)
        return other_by_name.get(name)

    def _call(
        self,
        member: LiveInstance,
        method: str,
        call: _TakeCall | _LendCall,
        reply_type: type[T],
    ) -> T | None:
        """Calls another instance; returns None without a valid reply."""
        body = msgspec.msgpack.encode(call)
        try:
            reply = self._peers.call(
                member.address, method, body, CALL_TIMEOUT_S
            )
            return msgspec.msgpack.decode(reply, type=reply_type)
        except PeerUnreachableError as error:
            reason = str(error)
        except (HibiscusError, msgspec.DecodeError) as error:
            reason = str(error)
            self._rejected_until_by_name[member.name] = (
                self._clock.monotonic() + REJECTION_BACKOFF_S
            )
        _log.info(
            "Request limits not shared with a peer.",
            extra={"peer": member.name, "method": method, "reason": reason},
        )
        return None

    def _hand_out(self, call: _TakeCall) -> _TakeReply:
        """Hands out tokens as the allocator of a service."""
        now = self._clock.monotonic()
        rate_by_target = self._targets.limits_of(call.service)
        instances = self._count_instances()
        with self._lock:
            pool = self._pool_by_service.setdefault(call.service, _Pool())
            pool.keep_until = now + POOL_TTL_S
            self._use_own_share(call.service, pool, instances, now)
            share = limits.total_share(pool.loans_by_name, now)
            pool.fill(rate_by_target, share, now)
            tokens = pool.hand_out(call, now)
            live_waiting = pool.live_waiting(now)
        wait_s = limits.token_wait_s(live_waiting, sum(rate_by_target.values()))
        if tokens or live_waiting:
            _log.info(
                "Tokens of limited targets handed out.",
                extra={
                    "service": call.service,
                    "taker": call.instance,
                    "demand": call.demand,
                    "tokens": [(row.target.name, row.tokens) for row in tokens],
                    "share": round(share, 3),
                    "instances": instances,
                    "live_waiting": live_waiting,
                    "wait_s": round(wait_s, 3),
                },
            )
        known = self._limits.notices(self._targets.known_of(call.service))
        return _TakeReply(tokens, wait_s, known)

    def _use_own_share(
        self, service: str, pool: _Pool, instances: int, now: float
    ) -> None:
        own = self._instances.member.name
        until = now + limits.loan_s(instances)
        if self._lend(service, own, until, instances):
            pool.loans_by_name[own] = Loan(1 / instances, until)

    def _lend(
        self, service: str, borrower: str, until: float, instances: int
    ) -> bool:
        """Lends the own share; returns False if another instance has it."""
        now = self._clock.monotonic()
        if now < self._started_at + limits.loan_s(instances):
            # The process before this one may have lent it.
            return False
        own_share = self._own_share_by_service.get(service, NEW_SHARE)
        lent = limits.lend(own_share, borrower, until, now)
        if lent is None:
            return False
        self._own_share_by_service[service] = lent
        if borrower != own_share.borrower:
            _log.info(
                "Share of request limits lent.",
                extra={
                    "service": service,
                    "borrower": borrower,
                    "borrower_before": own_share.borrower,
                    "instances": instances,
                    "lent_s": round(until - now, 3),
                },
            )
        return True

    def _renew_loans(self) -> None:
        """Asks all other instances for their shares, where tokens are asked."""
        now = self._clock.monotonic()
        instances = self._count_instances()
        with self._lock:
            for service, pool in list(self._pool_by_service.items()):
                if now >= pool.keep_until:
                    del self._pool_by_service[service]
                elif now >= pool.next_loans_at:
                    pool.next_loans_at = now + limits.loan_period_s(instances)
                    for member in self._instances.others():
                        if member.name not in pool.calls_in_flight:
                            pool.calls_in_flight.add(member.name)
                            self._executor.submit(
                                self._borrow, service, pool, member, instances
                            )

    def _borrow(
        self, service: str, pool: _Pool, member: LiveInstance, instances: int
    ) -> None:
        asked_at = self._clock.monotonic()
        duration_s = limits.loan_s(instances)
        known = self._limits.notices(self._targets.known_of(service))
        own = self._instances.member.name
        call = _LendCall(own, service, duration_s, known)
        try:
            reply = self._call(member, LEND_METHOD, call, _LendReply)
            if reply is None:
                return
            self._limits.record_notices(reply.limits, member.name)
            if reply.share > 0:
                loan = Loan(reply.share, asked_at + duration_s)
                with self._lock:
                    pool.loans_by_name[member.name] = loan
        finally:
            with self._lock:
                pool.calls_in_flight.discard(member.name)

    def _serve_lend(self, body: bytes) -> bytes:
        call = msgspec.msgpack.decode(body, type=_LendCall)
        self._limits.record_notices(call.limits, call.borrower)
        now = self._clock.monotonic()
        self._note_sender(call.borrower)
        instances = self._count_instances()
        with self._lock:
            until = now + call.duration_s
            is_lent = self._lend(call.service, call.borrower, until, instances)
        reply = _LendReply(
            1 / instances if is_lent else 0.0,
            self._limits.notices(self._targets.known_of(call.service)),
        )
        return msgspec.msgpack.encode(reply)

    def _serve_take(self, body: bytes) -> bytes:
        call = msgspec.msgpack.decode(body, type=_TakeCall)
        self._limits.record_notices(call.limits, call.instance)
        self._note_sender(call.instance)
        reply = self._hand_out(call)
        self._limits.demand_changed.set()
        return msgspec.msgpack.encode(reply)

    def _note_sender(self, name: str) -> None:
        """Counts an instance that the registrations may not show yet."""
        with self._lock:
            self._last_seen_by_name[name] = self._clock.monotonic()
