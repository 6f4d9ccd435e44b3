"""Starts generations on engines; `generation.py` carries them out."""

import secrets
from collections.abc import Callable, Iterator
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.edges import (
    GenerateRequest,
    TokenChunk,
)
from hibiscuspin.tasks.admission import Admission
from hibiscuspin.tasks.attempts import AttemptLog
from hibiscuspin.tasks.cancels import CancelQueue
from hibiscuspin.tasks.generation import (
    Batch,
    Generation,
    GenerationDependencies,
    LiveCall,
)
from hibiscuspin.tasks.meters import NO_OP_METERS, Meters
from hibiscuspin.tasks.retries import SharedRetryBudget
from hibiscuspin.tasks.targets import Targets

__all__ = ["GeneratedToken", "Generator"]

LIVE_PRIORITY = 10
ROLLOUT_PRIORITY = 0


class GeneratedToken(NamedTuple):
    """One token of a generation and the engine that generated it."""

    chunk: TokenChunk
    target: str


class Generator:
    """Runs generations on engines, for callers and for rollouts."""

    def __init__(
        self,
        targets: Targets,
        clock: Clock,
        attempts: AttemptLog,
        admission: Admission,
        meters: Meters = NO_OP_METERS,
    ) -> None:
        self._dependencies = GenerationDependencies(
            targets,
            clock,
            attempts,
            SharedRetryBudget(),
            CancelQueue(targets, clock),
            admission,
            meters,
        )

    def batches(
        self,
        request: GenerateRequest,
        deadline: float,
        disconnected: Callable[[], bool] = lambda: False,
        team: str = "",
    ) -> Iterator[Batch]:
        """Streams one complete generation in batches of received tokens.

        Raises:
            HibiscusError: No engine could complete it.
        """
        call = LiveCall(request, deadline, team, disconnected)
        return Generation(self._dependencies, call).batches()

    def generate(
        self,
        request: GenerateRequest,
        deadline: float,
        disconnected: Callable[[], bool] = lambda: False,
        team: str = "",
    ) -> Iterator[GeneratedToken]:
        """Streams one complete generation token by token; see `batches`."""
        for batch in self.batches(request, deadline, disconnected, team):
            for chunk in batch.chunks:
                yield GeneratedToken(chunk, batch.target)


def new_request_id() -> str:
    """Returns a new random request id."""
    return secrets.token_hex(8)
