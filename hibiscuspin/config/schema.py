"""The schema of the operators' configuration, after merging all overlays.

Every section maps names to entries. Field names include their unit.
"""

from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec

__all__ = [
    "Config",
    "Model",
    "Service",
    "ServiceLevel",
    "Site",
    "Spend",
    "Target",
    "Team",
    "Trainer",
]

Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class Team(TypedDict):
    """A team of callers or trainers."""

    token_sha256: Digest
    share: Positive


class Model(TypedDict):
    """A model and the adapters that can be loaded with it."""

    adapters: NotRequired[list[Name]]
    max_tokens: NotRequired[Count]


class Trainer(TypedDict):
    """A trainer, its staleness bound and the weights of staleness and idling.

    `lookahead`, `dispatch_order` and `redispatch` select variants from
    `decisions.lookahead`, `decisions.dispatch` and `decisions.stragglers`.
    """

    team: Name
    model: Name
    staleness_bound_versions: Count
    staleness_weight: Fraction
    idle_weight: Fraction
    share: Positive
    scorer_address: NotRequired[str]
    lookahead: NotRequired[Literal["none", "all", "weighted"]]
    dispatch_order: NotRequired[Literal["fifo", "longest_first"]]
    redispatch: NotRequired[Literal["none", "move_slow"]]


class Spend(TypedDict):
    """The budget of one site for each period."""

    period_s: Positive
    engine_seconds: Positive
    tokens: Count
    cross_region_bytes: Count


class Site(TypedDict):
    """The data centres of a region and their common budget."""

    region: Name
    data_centres: list[Name]
    spend: Spend


class Target(TypedDict):
    """A back end: a model engine or one replica of a plain service."""

    kind: Literal["engine", "service"]
    data_centre: Name
    address: str
    model: NotRequired[Name]
    service: NotRequired[Name]
    slots: NotRequired[Count]
    tags_versions: NotRequired[bool]
    checks_fencing: NotRequired[bool]
    checks_idempotency_keys: NotRequired[bool]


class Service(TypedDict):
    """A plain service.

    `repeatable` states whether a call may run more than once. For calls that
    must not, idempotency keys are stored for `key_retention_s`.
    """

    repeatable: bool
    key_retention_s: NotRequired[Positive]
    timeout_s: Positive


class ServiceLevel(TypedDict):
    """A service level objective: the share of good requests in a window."""

    kind: Literal["live", "service", "rollout"]
    objective: Fraction
    latency_s: Positive
    window_s: Positive


class Config(TypedDict):
    """The complete configuration."""

    user: Name
    teams_by_name: dict[Name, Team]
    models_by_name: dict[Name, Model]
    trainers_by_name: dict[Name, Trainer]
    sites_by_name: dict[Name, Site]
    targets_by_name: dict[Name, Target]
    services_by_name: dict[Name, Service]
    service_levels_by_name: dict[Name, ServiceLevel]
    weight_store_address: NotRequired[str]
