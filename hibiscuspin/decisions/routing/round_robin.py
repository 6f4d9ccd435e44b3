"""Round-robin routing."""

import random
from collections.abc import Sequence

from hibiscuspin.decisions.routing.candidate import Candidate, RoutingRequest

__all__ = ["RoundRobin"]


class RoundRobin:
    """Cycles through the candidates in the order of their names."""

    def choose(
        self,
        request: RoutingRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate:
        """Returns the next candidate by the request's sequence number."""
        in_order = sorted(candidates)
        return in_order[request.sequence_number % len(in_order)]
