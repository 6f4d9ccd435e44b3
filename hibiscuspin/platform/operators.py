"""Decodes keys that operators and trainers write to the store."""

from collections.abc import Mapping
from typing import Any

import msgspec

from hibiscuspin.decisions.routes import (
    ClientLimits,
    ForwardRoute,
    RouteTable,
    sorted_routes,
)
from hibiscuspin.edges.transactions import StoredValue
from hibiscuspin.logs import get_logger
from hibiscuspin.platform import scaling, words
from hibiscuspin.platform.organisations import decode_keys

__all__ = [
    "CONFIG_KEY",
    "OPERATOR_PREFIX",
    "decode_table",
    "decode_desired_versions",
    "retiring_machines",
]

OPERATOR_PREFIX = "op/"
CONFIG_KEY = OPERATOR_PREFIX + "config"
_VERSION_PREFIX = OPERATOR_PREFIX + "version/"
_RETIRE_PREFIX = OPERATOR_PREFIX + "retire/"
MS_PER_S = 1000.0

_log = get_logger("config")


def decode_table(
    values_by_key: Mapping[str, StoredValue],
) -> RouteTable | None:
    """Decodes the operators' configuration; None if absent or malformed."""
    value = values_by_key.get(CONFIG_KEY)
    if value is None:
        return None
    try:
        return _parse_table(msgspec.json.decode(value.value))
    except words.DECODE_ERRORS as error:
        _log.error(
            "Configuration ignored: it is malformed.",
            extra={"revision": value.revision, "reason": repr(error)},
        )
        return None


def _parse_table(raw: dict[str, Any]) -> RouteTable:
    limits = raw["limits"]
    return RouteTable(
        int(raw["version"]),
        sorted_routes([_parse_route(row) for row in raw["routes"]]),
        ClientLimits(
            int(limits["max_header_bytes"]),
            int(limits["max_body_bytes"]),
            limits["header_timeout_ms"] / MS_PER_S,
            limits["idle_timeout_ms"] / MS_PER_S,
        ),
        # `stride` is the number of tokens per event.
        {
            row["name"]: float(row["engine"].get("stride") or 1)
            for row in raw["services"]
            if row.get("engine")
        },
        keys=decode_keys(raw),
        scaling_by_service=scaling.decode_limits(raw["services"]),
    )


def _parse_route(raw: dict[str, Any]) -> ForwardRoute:
    split = raw.get("split") or [{"service": raw["service"], "weight": 1}]
    return ForwardRoute(
        name=raw["name"],
        host=raw["host"],
        prefix=raw["prefix"],
        kind=words.KIND_BY_ROUTE_TYPE[raw["type"]],
        weight_by_service={
            row["service"]: float(row["weight"]) for row in split
        },
        timeout_s=raw["timeout_ms"] / MS_PER_S,
        objective_s=raw["slo_ms"] / MS_PER_S,
        max_attempts=int(raw.get("max_attempts") or 1),
        priority=int(raw.get("priority", 5)),
        resumable=bool(raw.get("resumable")),
        single_version=bool(raw.get("single_version")),
        result_due_s=raw.get("due_ms", 0) / MS_PER_S,
        keep_s=float(raw.get("queue_ttl_s", 0)),
        # Any other value than `true` must not open a route.
        public=raw.get("public") is True,
    )


def decode_desired_versions(
    values_by_key: Mapping[str, StoredValue],
) -> dict[str, int]:
    """Decodes the desired version of each model's weights."""
    version_by_model: dict[str, int] = {}
    for key, value in values_by_key.items():
        if not key.startswith(_VERSION_PREFIX):
            continue
        try:
            raw = msgspec.json.decode(value.value)
            version_by_model[str(raw["model"])] = int(raw["version"])
        except words.DECODE_ERRORS as error:
            _log.error(
                "Desired weight version ignored: it is malformed.",
                extra={"key": key, "reason": repr(error)},
            )
    return version_by_model


def retiring_machines(values_by_key: Mapping[str, StoredValue]) -> list[str]:
    """Returns the names of storage machines whose retirement is requested."""
    return [
        key.removeprefix(_RETIRE_PREFIX)
        for key in values_by_key
        if key.startswith(_RETIRE_PREFIX)
    ]
