"""Routing to a random target."""

import random
from collections.abc import Sequence

from hibiscuspin.decisions.routing.candidate import Candidate, RoutingRequest

__all__ = ["RandomChoice"]


class RandomChoice:
    """Chooses uniformly at random."""

    def choose(
        self,
        request: RoutingRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate:
        """Returns a random candidate."""
        return rng.choice(candidates)
