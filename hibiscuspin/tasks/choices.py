"""Builds the inputs of routing and admission from target measurements."""

from typing import NamedTuple

from hibiscuspin.decisions import admission, ewma
from hibiscuspin.decisions.routing import Candidate, RoutingRequest
from hibiscuspin.decisions.routing.expected_finish import wait_s
from hibiscuspin.tasks.target_state import TargetState

__all__ = [
    "INITIAL_FIRST_TOKEN_S",
    "INITIAL_TOKEN_INTERVAL_S",
    "Choice",
    "build_candidate",
]

# Priors, used until there are measurements and again as those age.
INITIAL_TOKEN_INTERVAL_S = 0.02
INITIAL_FIRST_TOKEN_S = 0.1
# Assumed cached share of a prompt at its preferred target.
PREFERRED_CACHED_SHARE = 0.5


class Choice(NamedTuple):
    """The engine chosen for an attempt, with time estimates.

    Attributes:
        name: The engine's name.
        wait_s: Expected time in its queue.
        expected_s: Expected time after queueing, for a response of mean length.
        long_s: Expected time after queueing, for a long response.
    """

    name: str
    wait_s: float
    expected_s: float
    long_s: float

    @classmethod
    def from_candidate(
        cls, chosen: Candidate, mean_tokens: float, max_tokens: int
    ) -> "Choice":
        """Estimates the times of a response of at most `max_tokens`."""
        expected_tokens = min(mean_tokens, max_tokens)
        long_tokens = admission.long_answer_tokens(mean_tokens, max_tokens)
        start_s = chosen.first_token_s + chosen.link_s
        return cls(
            chosen.name,
            wait_s(RoutingRequest(0, mean_tokens), chosen),
            start_s + expected_tokens * chosen.token_s,
            start_s + long_tokens * chosen.token_s,
        )


def build_candidate(
    name: str,
    state: TargetState,
    slots: int,
    link_s: float,
    prompt: str,
    preferred: bool,
    now: float,
) -> Candidate:
    """Builds the router's view of a target.

    Args:
        name: The target's name.
        state: Its measurements.
        slots: How many requests it runs at once.
        link_s: Delay of the link to it, with the link's cost added.
        prompt: The request's prompt, or an empty string.
        preferred: Whether it is the preferred target of the prompt's prefix.
        now: The monotonic time of the estimate.
    """
    cached_share = PREFERRED_CACHED_SHARE if preferred else 0.0
    if prompt and state.has_prefix(prompt):
        cached_share = 1.0
    return Candidate(
        name=name,
        in_flight=state.in_flight,
        others=state.others_in_flight(now),
        slots=slots,
        token_s=ewma.estimate(
            state.token_interval, INITIAL_TOKEN_INTERVAL_S, now
        ),
        first_token_s=ewma.estimate(
            state.first_token_time, INITIAL_FIRST_TOKEN_S, now
        ),
        prefix_cached=cached_share,
        link_s=link_s,
    )
