"""The measurements of one instance, as instances exchange them."""

from typing import NamedTuple

import msgspec

__all__ = [
    "WINDOWS_S",
    "Cost",
    "OutcomeCount",
    "IdleTime",
    "MeasurementSnapshot",
    "StalenessCount",
]

SHORT_WINDOW = "short"
LONG_WINDOW = "long"
BUDGET_WINDOW = "whole"

WINDOWS_S = {
    SHORT_WINDOW: 300.0,
    LONG_WINDOW: 3600.0,
    BUDGET_WINDOW: 30 * 24 * 3600.0,
}


class OutcomeCount(NamedTuple):
    """Number of requests of a service level with one outcome in a window.

    Attributes:
        window: A key of `WINDOWS_S`.
        level: The service level's name.
        error: An error code, `too_slow`, or an empty string if good.
        target: The last target; empty if none was chosen.
        team: The team that sent the requests.
        requests: The number of requests.
    """

    window: str
    level: str
    error: str
    target: str
    team: str
    requests: int


class Cost(NamedTuple):
    """The spend of a site for one purpose in one period.

    Attributes:
        site: The site that pays.
        period: The number of the period since the epoch.
        team: The team that the spend was for.
        trainer: The trainer; empty for live requests.
        cause: The cause of the attempts that the spend was for.
        engine_seconds: Time on engines, in seconds.
        tokens: Generated tokens.
        cross_region_bytes: Bytes over the link between regions.
    """

    site: str
    period: int
    team: str
    trainer: str
    cause: str
    engine_seconds: float
    tokens: int
    cross_region_bytes: int


class StalenessCount(NamedTuple):
    """Number of samples delivered at one staleness, in weight versions."""

    trainer: str
    versions: int
    samples: int


class IdleTime(NamedTuple):
    """The idle time of one trainer.

    Attributes:
        trainer: The trainer's name.
        waited_s: The total duration of its pulls, in seconds.
        elapsed_s: The time from the start of its first pull to the end of its
            latest, in seconds.
    """

    trainer: str
    waited_s: float
    elapsed_s: float


class MeasurementSnapshot(NamedTuple):
    """One instance's measurements; latencies are encoded HdrHistograms."""

    instance: str
    taken_at_s: float
    outcomes: list[OutcomeCount]
    latencies_by_path: dict[str, str]
    costs: list[Cost]
    staleness: list[StalenessCount]
    idle: list[IdleTime]

    def encode(self) -> bytes:
        """Encodes the snapshot to JSON, for peers."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "MeasurementSnapshot":
        """Decodes the result of `encode`."""
        return msgspec.json.decode(data, type=cls)
