"""Admission control of live requests, and slots reserved for them.

A request is refused before it is sent to a target if it is expected to finish
after its deadline. While requests queue, a team that uses more than its fair
share is only admitted to shorter queues than the other teams.
"""

from collections.abc import Mapping
from typing import NamedTuple

from hibiscuspin.errors import ErrorKind

__all__ = [
    "RESERVED_SLOTS",
    "AdmissionRequest",
    "fair_share",
    "leaves_reserve_free",
    "long_answer_tokens",
    "refusal_reason",
    "rollouts_to_preempt",
]

DEADLINE_MARGIN_SHARE = 0.1
MAX_QUEUE_WAIT_S = 20.0
LONG_ANSWER_FACTOR = 2.0
RESERVED_SLOTS = 2


class AdmissionRequest(NamedTuple):
    """A live request that asks for admission.

    Attributes:
        wait_s: Expected time in the queue of its target.
        mean_answer_s: Expected time after the queue for a response of mean
            length.
        long_answer_s: Expected time after the queue for a long response.
        remaining_s: Time until its deadline.
        used_share: Its team's share of the requests in flight, 0 to 1.
        fair_share: Its team's declared share among the active teams.
    """

    wait_s: float
    mean_answer_s: float
    long_answer_s: float
    remaining_s: float
    used_share: float = 0.0
    fair_share: float = 1.0


def refusal_reason(request: AdmissionRequest) -> ErrorKind | None:
    """Returns why a request is refused, or None if it is admitted.

    To get a free slot, a request must be able to finish in time with a
    response of mean length; to enter a queue, even with a long response.
    """
    work_s = (
        request.long_answer_s if request.wait_s > 0 else request.mean_answer_s
    )
    slack_s = request.remaining_s * (1 - DEADLINE_MARGIN_SHARE) - work_s
    if request.wait_s > max(0.0, slack_s) or slack_s < 0:
        return ErrorKind.DEADLINE_UNREACHABLE
    if request.wait_s > MAX_QUEUE_WAIT_S:
        return ErrorKind.OVERLOADED
    if request.used_share <= request.fair_share:
        return None
    if request.wait_s > slack_s * request.fair_share / request.used_share:
        return ErrorKind.OVERLOADED
    return None


def long_answer_tokens(mean_tokens: float, max_tokens: int) -> float:
    """Returns a length in tokens that most responses stay below."""
    return min(max_tokens, LONG_ANSWER_FACTOR * mean_tokens)


def fair_share(
    team: str,
    share_by_team: Mapping[str, float],
    in_flight_by_team: Mapping[str, int],
) -> float:
    """Returns a team's share among the teams with requests in flight."""
    own = share_by_team.get(team, 1.0)
    others = sum(
        share_by_team.get(name, 1.0)
        for name, count in in_flight_by_team.items()
        if count > 0 and name != team
    )
    return own / (own + others)


def leaves_reserve_free(busy: float, slots: int) -> bool:
    """Tells whether the reserved slots stay free with one more rollout."""
    return busy + 1 <= slots - min(RESERVED_SLOTS, slots - 1)


def rollouts_to_preempt(busy: float, slots: int, rollouts: int) -> int:
    """Returns how many rollouts to pre-empt to free the reserved slots."""
    excess = int(busy) - (slots - min(RESERVED_SLOTS, slots - 1))
    return max(0, min(excess, rollouts))
