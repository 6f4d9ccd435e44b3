"""Decodes the platform's registrations of targets.

Other programs may write entries under the same prefix. One that does not have
the documented form names no target, and leaves the others as they are.
"""

import ipaddress
from collections.abc import Mapping
from typing import Any

import msgspec

from hibiscuspin.edges.discovery import InvalidRecordError, TargetRecord
from hibiscuspin.edges.transactions import StoredValue
from hibiscuspin.platform import fields, words
from hibiscuspin.settings import Address, parse_address

__all__ = ["TARGET_PREFIX", "decode_record", "parse_versions"]

TARGET_PREFIX = "servers/"
READY_STATE = "ready"
DRAINING_STATE = "draining"
MS_PER_S = 1000
MAX_ENTRY_BYTES = 64 * 1024
MAX_SLOTS = 100_000
# A day; longer times are taken for invalid ones.
MAX_LEAVES_MS = 86_400_000


def decode_record(value: StoredValue, now: float = 0.0) -> TargetRecord:
    """Decodes a target's registration.

    Args:
        value: The entry.
        now: The monotonic time at which it was read.

    Raises:
        InvalidRecordError: It does not have the documented form.
    """
    try:
        size = len(value.value)
        if size > MAX_ENTRY_BYTES:
            raise ValueError(f"entry of {size} bytes")
        raw = msgspec.json.decode(value.value)
        if not isinstance(raw, dict):
            raise TypeError(f"expected a table, found {fields.shown(raw)}")
        return _parse_record(value.key.removeprefix(TARGET_PREFIX), raw, now)
    except words.DECODE_ERRORS as error:
        raise InvalidRecordError(str(error) or type(error).__name__) from error


def _parse_record(name: str, raw: dict[str, Any], now: float) -> TargetRecord:
    if raw["state"] not in (READY_STATE, DRAINING_STATE):
        raise ValueError(
            f"state: expected {READY_STATE!r} or {DRAINING_STATE!r}, "
            f"found {fields.shown(raw['state'])}"
        )
    return TargetRecord(
        name=fields.name(name, "key"),
        born_ms=fields.integer(raw, "born") if "born" in raw else 0,
        service=fields.text(raw, "service"),
        address=_parse_address(fields.text(raw, "address")),
        data_centre=fields.text(raw, "zone"),
        slots=fields.integer(raw, "slots", 1, MAX_SLOTS),
        draining=raw["state"] == DRAINING_STATE,
        version_by_model=parse_versions(raw),
        software_version=fields.text(raw, "version")
        if "version" in raw
        else "",
        interruptible=raw.get("spot") is True,
        leaves_at=_parse_leaves_at(raw, now),
    )


def _parse_address(text: str) -> Address:
    try:
        address = parse_address(text)
        ipaddress.ip_address(address.host)
    except ValueError as error:
        raise ValueError(
            f"address: {error}, found {fields.shown(text)}"
        ) from error
    if not address.port:
        raise ValueError(f"address: port 0, found {fields.shown(text)}")
    return address


def _parse_leaves_at(raw: Mapping[str, Any], now: float) -> float | None:
    """Returns when a target leaves; an invalid time counts as none."""
    value = raw.get("leaves_ms")
    if raw["state"] != DRAINING_STATE or isinstance(value, bool):
        return None
    if isinstance(value, int | float) and 0 <= value <= MAX_LEAVES_MS:
        return now + value / MS_PER_S
    return None


def parse_versions(raw: Mapping[str, Any]) -> dict[str, int]:
    """Returns the version of each model's weights.

    Raises:
        ValueError: A version is missing, of another type or out of range.
    """
    return {
        fields.text(row, "name"): fields.integer(row, "version")
        for row in raw.get("models") or ()
    }
