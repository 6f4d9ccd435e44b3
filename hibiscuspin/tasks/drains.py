"""Drain orders, shared with all peers; the newest order of a target wins."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.tasks.targets import REFUSAL_BACKOFF_S, Targets

__all__ = ["DrainOrder", "Drains", "DrainRefusal"]


class DrainOrder(NamedTuple):
    """A drain order; a target's newest one by wall clock is in force."""

    target: str
    draining: bool
    at_s: float


class DrainRefusal(NamedTuple):
    """A target's refusal of a request because it is draining."""

    target: str
    at_s: float


class Drains:
    """The drain orders that this instance knows, applied to its targets."""

    def __init__(
        self,
        targets: Targets,
        clock: Clock,
        notify_peers: Callable[[DrainOrder], None],
        notify_refusal: Callable[[DrainRefusal], None],
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._notify_peers = notify_peers
        self._notify_refusal = notify_refusal
        targets.on_refusal = self.report_refusal
        self._lock = threading.Lock()
        self._order_by_target: dict[str, DrainOrder] = {}

    def order(self, target: str, draining: bool) -> None:
        """Applies an operator's order and notifies the peers."""
        drain = DrainOrder(target, draining, self._clock.wall())
        self.apply(drain)
        self._notify_peers(drain)

    def report_refusal(self, target: str) -> None:
        """Backs off from a draining target; notifies the peers once."""
        if self._targets.back_off(target):
            self._notify_refusal(DrainRefusal(target, self._clock.wall()))

    def apply_refusal(self, refusal: DrainRefusal) -> None:
        """Backs off from a target that refused a peer, unless long ago."""
        if self._clock.wall() - refusal.at_s < REFUSAL_BACKOFF_S:
            self._targets.back_off(refusal.target)

    def apply(self, drain: DrainOrder) -> None:
        """Applies an order if it is newer than the target's known one."""
        with self._lock:
            known = self._order_by_target.get(drain.target)
            if known is not None and known.at_s >= drain.at_s:
                return
            self._order_by_target[drain.target] = drain
        self._targets.set_draining(drain.target, drain.draining)

    def all(self) -> list[DrainOrder]:
        """Returns the newest order of each target."""
        with self._lock:
            return list(self._order_by_target.values())
