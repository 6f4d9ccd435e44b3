"""Meters that count what an attempt on an engine spends as it runs."""

from typing import NamedTuple, Protocol

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.spend import Amount
from hibiscuspin.edges import GenerateRequest
from hibiscuspin.errors import ExecutionStatus
from hibiscuspin.tasks.spend import Purpose, Reservation, Spend
from hibiscuspin.tasks.targets import Targets

__all__ = ["NO_OP_METERS", "NO_OP_METER", "Meter", "Meters", "SpendMeters"]

REQUEST_OVERHEAD_BYTES = 512
BYTES_PER_TOKEN = 128


class Meter(Protocol):
    """Counts the spend of one attempt."""

    def ensure_reserved(self, tokens: int) -> None:
        """Extends the reservation if needed.

        Args:
            tokens: Number of tokens generated so far, including the prefix.

        Raises:
            HibiscusError: The budget is exhausted.
        """

    def end(self, tokens: int) -> None:
        """Counts the attempt; a repeated call has no effect."""


class Meters(Protocol):
    """Starts the meters of attempts."""

    def start(
        self,
        purpose: Purpose,
        request: GenerateRequest,
        target: str,
        ran: ExecutionStatus = ExecutionStatus.NO,
    ) -> Meter:
        """Reserves spend for an attempt and starts its meter.

        Raises:
            HibiscusError: The budget is exhausted; no attempt was started.
        """


class _NoOpMeter(NamedTuple):
    def ensure_reserved(self, tokens: int) -> None:
        """Reserves nothing."""

    def end(self, tokens: int) -> None:
        """Counts nothing."""


NO_OP_METER = _NoOpMeter()


class _NoOpMeters(NamedTuple):
    def start(
        self,
        purpose: Purpose,
        request: GenerateRequest,
        target: str,
        ran: ExecutionStatus = ExecutionStatus.NO,
    ) -> Meter:
        """Returns a meter that counts nothing."""
        return NO_OP_METER


NO_OP_METERS = _NoOpMeters()


class _SpendMeter:
    """Counts engine time, generated tokens and bytes between regions."""

    def __init__(
        self,
        clock: Clock,
        request: GenerateRequest,
        crosses_regions: bool,
        reservation: Reservation,
    ) -> None:
        self._clock = clock
        self._request = request
        self._crosses_regions = crosses_regions
        self._reservation = reservation
        self._started = clock.monotonic()

    def ensure_reserved(self, tokens: int) -> None:
        """Extends the reservation if needed."""
        self._reservation.ensure_reserved(self._spent(tokens))

    def end(self, tokens: int) -> None:
        """Counts the attempt; a repeated call has no effect."""
        self._reservation.settle(self._spent(tokens))

    def _spent(self, tokens: int) -> Amount:
        generated = tokens - len(self._request.prefix)
        transferred = (
            _transferred_bytes(self._request, generated)
            if self._crosses_regions
            else 0
        )
        seconds = self._clock.monotonic() - self._started
        return Amount(seconds, generated, transferred)


class SpendMeters:
    """Starts meters that keep attempts within the site's budget."""

    def __init__(self, spend: Spend, targets: Targets, clock: Clock) -> None:
        self._spend = spend
        self._targets = targets
        self._clock = clock

    def start(
        self,
        purpose: Purpose,
        request: GenerateRequest,
        target: str,
        ran: ExecutionStatus = ExecutionStatus.NO,
    ) -> Meter:
        """Reserves spend for an attempt and starts its meter."""
        data_centre = self._targets.target(target)["data_centre"]
        crosses_regions = self._spend.crosses_regions(data_centre)
        tokens = request.max_tokens - len(request.prefix)
        transferred = (
            _transferred_bytes(request, tokens) if crosses_regions else 0
        )
        expected_s = tokens * self._targets.token_interval_s(target)
        needed = Amount(expected_s, tokens, transferred)
        reservation = self._spend.reserve(purpose, needed, ran)
        return _SpendMeter(self._clock, request, crosses_regions, reservation)


def _transferred_bytes(request: GenerateRequest, tokens: int) -> int:
    sent = len(request.prompt.encode()) + REQUEST_OVERHEAD_BYTES
    return sent + BYTES_PER_TOKEN * (tokens + len(request.prefix))
