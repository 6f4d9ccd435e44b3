"""The interface of routers, and the types of their inputs."""

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

__all__ = ["Candidate", "Router", "RoutingRequest"]


class RoutingRequest(NamedTuple):
    """A request that needs a target.

    Attributes:
        sequence_number: How many requests were routed before it.
        tokens: The expected number of generated tokens.
    """

    sequence_number: int = 0
    tokens: float = 1.0


class Candidate(NamedTuple):
    """A target that may receive the request.

    Attributes:
        name: The target's name.
        in_flight: Requests in flight from this instance.
        others: Estimated requests from other instances; the target's last
            load report counts less as it ages.
        slots: How many requests it can run concurrently.
        token_s: Time between two tokens, as measured by this instance.
        first_token_s: Time to the first token if the prompt is not cached.
        prefix_cached: Share of the prompt that is likely cached, 0 to 1.
        link_s: Network delay to the target, plus the price of the link
            converted to seconds.
    """

    name: str
    in_flight: int = 0
    others: float = 0.0
    slots: int = 8
    token_s: float = 0.02
    first_token_s: float = 0.1
    prefix_cached: float = 0.0
    link_s: float = 0.0


class Router(Protocol):
    """A policy that chooses one of several candidates."""

    def choose(
        self,
        request: RoutingRequest,
        candidates: Sequence[Candidate],
        rng: random.Random,
    ) -> Candidate:
        """Returns one of the candidates, which must not be empty."""
