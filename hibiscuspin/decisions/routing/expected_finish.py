"""Routing to the target with the earliest expected finish."""

import random
from collections.abc import Sequence

from hibiscuspin.decisions.routing.candidate import Candidate, RoutingRequest

__all__ = ["ExpectedFinish", "finish_s", "wait_s"]


class ExpectedFinish:
    """Estimates the time for queue, prompt, decoding and network link."""

    def choose(
        self,
        request: RoutingRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate:
        """Returns the candidate with the earliest expected finish."""
        return min(
            candidates, key=lambda c: (finish_s(request, c), rng.random())
        )


def wait_s(request: RoutingRequest, candidate: Candidate) -> float:
    """Returns the expected time in the target's queue."""
    busy = candidate.in_flight + candidate.others
    ahead = busy + 1 - candidate.slots
    if ahead <= 0:
        return 0.0
    return ahead / candidate.slots * request.tokens * candidate.token_s


def finish_s(request: RoutingRequest, candidate: Candidate) -> float:
    """Returns the expected time until the last token.

    The share of busy slots, multiplied by the time of one token, is added as a
    tie-breaker that spreads the load over equal targets before any of them
    queues requests.
    """
    load = (candidate.in_flight + candidate.others) / max(1, candidate.slots)
    prompt_s = candidate.first_token_s * (1 - candidate.prefix_cached)
    decode_s = request.tokens * candidate.token_s
    return (
        wait_s(request, candidate)
        + prompt_s
        + decode_s
        + candidate.link_s
        + load * candidate.token_s
    )
