"""Policies that choose the slot to dispatch to an engine next.

`ORDER_POLICIES` contains the orders of slots within a step, `SHARE_POLICIES`
the ways to share engines among trainers.
"""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

__all__ = [
    "ORDER_POLICIES",
    "SHARE_POLICIES",
    "OrderPolicy",
    "SharePolicy",
    "SlotView",
]

SortKey = tuple[int, int, int]


class SlotView(NamedTuple):
    """A slot that is not dispatched yet.

    Attributes:
        position: Its position in the step.
        group_position: The position of the first slot of its group.
        max_tokens: The maximum number of tokens to generate.
    """

    position: int
    group_position: int
    max_tokens: int


class OrderPolicy(Protocol):
    """A policy for the order of the slots of one step."""

    def key(self, slot: SlotView) -> SortKey:
        """Returns the sort key, lowest first; its last item is the position."""


class Fifo:
    """Dispatches slots in the order of submission."""

    def key(self, slot: SlotView) -> SortKey:
        """Returns a key that contains only the position."""
        return (0, 0, slot.position)


class LongestFirst:
    """Dispatches long slots first.

    Slots of equal length are ordered by group, so that groups end together.
    """

    def key(self, slot: SlotView) -> SortKey:
        """Returns the negated length, the group and the position."""
        return (-slot.max_tokens, slot.group_position, slot.position)


class SharePolicy(Protocol):
    """A policy that chooses the trainer whose slot is dispatched next."""

    def choose(
        self, running_by_trainer: Mapping[str, int], shares: Mapping[str, float]
    ) -> str:
        """Returns one of the trainers in `running_by_trainer`."""


class FirstComer:
    """Prefers the first trainer until it has no more slots to dispatch."""

    def choose(
        self, running_by_trainer: Mapping[str, int], shares: Mapping[str, float]
    ) -> str:
        """Returns the first trainer."""
        return next(iter(running_by_trainer))


class WeightedShare:
    """Prefers the trainer that uses the least of its declared share."""

    def choose(
        self, running_by_trainer: Mapping[str, int], shares: Mapping[str, float]
    ) -> str:
        """Returns the trainer with the fewest running slots per share."""
        return min(
            running_by_trainer,
            key=lambda name: (running_by_trainer[name] / shares[name], name),
        )


ORDER_POLICIES: dict[str, type[OrderPolicy]] = {
    "fifo": Fifo,
    "longest_first": LongestFirst,
}

SHARE_POLICIES: dict[str, type[SharePolicy]] = {
    "first_comer": FirstComer,
    "weighted": WeightedShare,
}
