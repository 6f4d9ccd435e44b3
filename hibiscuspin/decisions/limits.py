"""How instances share the requests that a target's limit allows.

Load pattern: a target in need names a limit for all instances together, while
one instance sends nearly all of the requests, or many send a few each.
Instances start, stop, and can't reach each other or the store meanwhile.

Each instance has an equal share of each limit. It lends its share for a short
time to one instance per service, the allocator, which hands out tokens, one a
request. A share has one user at a time, so that the sum of all tokens keeps to
the limit even if instances disagree on the allocator. Without a loan an
instance may use its own share alone.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from hibiscuspin import rendezvous

__all__ = [
    "NEW_SHARE",
    "Demand",
    "Loan",
    "OwnShare",
    "TargetLimit",
    "TokenBucket",
    "Tokens",
    "after_response",
    "allocate",
    "choose_allocator",
    "fill",
    "lend",
    "loan_period_s",
    "loan_s",
    "newer",
    "token_wait_s",
    "total_share",
]

# Tokens saved up while there is no demand, or while a target loads weights:
# those of the longer time, but not more than the number given.
BURST_S = 0.5
LONG_BURST_S = 1.5
LONG_BURST_TOKENS = 4.0
# A target that allows none at all still gets a request now and then, because
# only a response tells that the limit has ended.
MIN_RATE_PER_S = 0.1
MIN_LOAN_PERIOD_S = 0.5
# Of one allocator, in a fleet of any size.
MAX_LOAN_CALLS_PER_S = 100
# A loan outlasts two lost calls.
LOAN_PERIODS = 3


class TargetLimit(NamedTuple):
    """The limit of one incarnation of a target.

    Attributes:
        rate_per_s: The requests a second that it allows all instances
            together; None once it names no limit any more.
        seen_at: When a response last said so, in monotonic time.
    """

    rate_per_s: float | None
    seen_at: float


class OwnShare(NamedTuple):
    """Who may use an instance's own share.

    Attributes:
        borrower: The instance to which it is lent; empty for none.
        locked_until: Monotonic time until which nobody else may use it.
    """

    borrower: str
    locked_until: float


# The share of an instance that has just started is unlocked one loan after its
# start: the process before it may have lent the share.
NEW_SHARE = OwnShare("", float("-inf"))


class Loan(NamedTuple):
    """A share that another instance has lent, and when the loan ends."""

    share: float
    until: float


class TokenBucket(NamedTuple):
    """Tokens at a point in monotonic time."""

    tokens: float
    filled_at: float


class Demand(NamedTuple):
    """Requests that wait for tokens.

    Attributes:
        live: Requests whose callers wait.
        deferrable: Samples and reward calls.
    """

    live: int = 0
    deferrable: int = 0


class Tokens(NamedTuple):
    """Tokens for requests of each kind; live requests may use both."""

    live: int = 0
    deferrable: int = 0


def after_response(
    known: TargetLimit | None,
    rate_per_s: float | None,
    sent_at: float,
    now: float,
) -> TargetLimit | None:
    """Returns what is known of a target's limit after a response.

    Args:
        known: What was known before; None for a target that never named one.
        rate_per_s: The limit that the response names, or None.
        sent_at: When the request was sent, in monotonic time.
        now: The monotonic time.
    """
    if rate_per_s is not None:
        return TargetLimit(rate_per_s, now)
    if known is None or known.rate_per_s is None:
        return known
    # A response to an earlier request may have been written before the target
    # named its limit.
    return TargetLimit(None, now) if sent_at > known.seen_at else known


def newer(known: TargetLimit | None, received: TargetLimit) -> TargetLimit:
    """Returns the newer one of two views of a limit."""
    if known is None or received.seen_at > known.seen_at:
        return received
    return known


def choose_allocator(
    service: str, own: str, others: Collection[str], suspects: Collection[str]
) -> str:
    """Returns the instance that hands out the tokens of a service's targets.

    Args:
        service: The service.
        own: The name of this instance.
        others: The names of the others.
        suspects: Those that did not respond lately.
    """
    names = [own, *(name for name in others if name not in suspects)]
    return rendezvous.owner(f"limits {service}", names) or own


def loan_period_s(instances: int) -> float:
    """Returns how often an allocator renews its loans."""
    return max(MIN_LOAN_PERIOD_S, instances / MAX_LOAN_CALLS_PER_S)


def loan_s(instances: int) -> float:
    """Returns how long a share is lent."""
    return LOAN_PERIODS * loan_period_s(instances)


def lend(
    own: OwnShare, borrower: str, until: float, now: float
) -> OwnShare | None:
    """Lends an instance's own share, or returns None if another one has it.

    Args:
        own: The share.
        borrower: Who asks for it; may be the instance itself.
        until: Monotonic time until which it would be lent.
        now: The monotonic time.
    """
    if borrower != own.borrower and now < own.locked_until:
        return None
    return OwnShare(borrower, max(until, own.locked_until))


def total_share(loans_by_name: Mapping[str, Loan], now: float) -> float:
    """Returns the part of each limit that an allocator may hand out."""
    shares = (loan.share for loan in loans_by_name.values() if loan.until > now)
    return min(1.0, sum(shares))


def fill(
    bucket: TokenBucket | None, rate_per_s: float, share: float, now: float
) -> TokenBucket:
    """Adds the tokens of the time since the last call.

    Args:
        bucket: The bucket; None for a new one, which is empty.
        rate_per_s: The target's limit.
        share: The part of it that may be handed out.
        now: The monotonic time.
    """
    if bucket is None:
        return TokenBucket(0.0, now)
    allowed_per_s = share * max(MIN_RATE_PER_S, rate_per_s)
    capacity = max(
        1.0,
        allowed_per_s * BURST_S,
        min(allowed_per_s * LONG_BURST_S, LONG_BURST_TOKENS),
    )
    added = allowed_per_s * max(0.0, now - bucket.filled_at)
    return TokenBucket(min(capacity, bucket.tokens + added), now)


def allocate(
    tokens_by_target: Mapping[str, float], demand: Demand, live_waits: bool
) -> dict[str, Tokens]:
    """Returns the tokens of each target to hand out, fullest buckets first.

    Args:
        tokens_by_target: The tokens that are there.
        demand: The requests for which an instance asks.
        live_waits: Whether live requests wait for tokens at other instances;
            deferrable ones then get none.
    """
    left = {name: int(tokens) for name, tokens in tokens_by_target.items()}
    wanted = [True] * demand.live
    if not live_waits:
        wanted += [False] * demand.deferrable
    handed_out: dict[str, Tokens] = {}
    for is_live in wanted:
        name = max(left, key=lambda target: left[target], default="")
        if not name or left[name] < 1:
            break
        left[name] -= 1
        live, deferrable = handed_out.get(name, Tokens())
        handed_out[name] = Tokens(live + is_live, deferrable + (not is_live))
    return handed_out


def token_wait_s(live_waiting: int, rate_per_s: float) -> float:
    """Returns when the last waiting live request gets a token.

    Args:
        live_waiting: Live requests of all instances that wait.
        rate_per_s: The sum of the targets' limits.
    """
    return live_waiting / max(MIN_RATE_PER_S, rate_per_s)
