"""Routing to the target with the fewest requests in flight."""

import random
from collections.abc import Sequence

from hibiscuspin.decisions.routing.candidate import Candidate, RoutingRequest

__all__ = ["LeastInFlight"]


class LeastInFlight:
    """Chooses by the number of requests in flight from this instance."""

    def choose(
        self,
        request: RoutingRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate:
        """Returns a candidate with the fewest requests in flight."""
        return min(candidates, key=lambda c: (c.in_flight, rng.random()))
