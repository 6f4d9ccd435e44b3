"""Routing by the power of two random choices."""

import random
from collections.abc import Sequence

from hibiscuspin.decisions.routing.candidate import Candidate, RoutingRequest

__all__ = ["TwoChoices"]


class TwoChoices:
    """Picks two random candidates and chooses the less busy one."""

    def choose(
        self,
        request: RoutingRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate:
        """Returns the one with fewer requests in flight."""
        pair = rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda c: c.in_flight)
