"""Decodes the organisations of the operators' configuration."""

import re
from collections.abc import Mapping, Sequence
from typing import Any

from hibiscuspin.decisions.organisations.keys import (
    KeyTable,
    ListedKeys,
    Organisation,
    build_table,
    digest,
)
from hibiscuspin.logs import get_logger

__all__ = ["decode_keys"]

TENANTS_FIELD = "tenants"
MAX_LOGGED_CHARS = 40
# Names become header values, so other characters would break requests.
_NAME = re.compile(r"[!-~]([ -~]{0,198}[!-~])?")
# Characters that can be sent in the header; a comma separates two headers.
_KEY = re.compile(r"[!-+\--~]+")

_log = get_logger("config")


def decode_keys(raw: Mapping[str, Any]) -> KeyTable | None:
    """Decodes the keys; returns None if requests need none.

    Invalid entries are logged, without their keys, and left out.
    """
    if TENANTS_FIELD not in raw:
        return None
    rows = raw[TENANTS_FIELD]
    if not isinstance(rows, list):
        _log.error("Organisations ignored: `tenants` is not a list.")
        rows = []
    entries = [
        entry
        for index, row in enumerate(rows)
        if (entry := _decode_entry(index, row)) is not None
    ]
    built = build_table(entries)
    for names in built.sharing_names:
        _log.error(
            "Key ignored: more than one organisation lists it.",
            extra={"organisations": names},
        )
    for name in built.repeated_names:
        _log.warning(
            "Organisation is listed more than once; its keys are joined.",
            extra={"organisation": name},
        )
    return built.table


def _decode_entry(index: int, row: Any) -> ListedKeys | None:
    name = row.get("name") if isinstance(row, dict) else None
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        _log.error(
            "Organisation ignored: it has no valid name.",
            extra={"index": index},
        )
        return None
    organisation = Organisation(name, _decode_priority(name, row))
    return ListedKeys(organisation, _decode_digests(name, row.get("api_keys")))


def _decode_priority(name: str, row: Mapping[str, Any]) -> int | None:
    priority = row.get("priority")
    if priority is None:
        return None
    is_number = isinstance(priority, int) and not isinstance(priority, bool)
    if is_number and priority >= 0:
        return int(priority)
    _log.error(
        "Priority of an organisation ignored: it must be a whole number from "
        "0 on.",
        extra={
            "organisation": name,
            "priority": repr(priority)[:MAX_LOGGED_CHARS],
        },
    )
    return None


def _decode_digests(name: str, keys: Any) -> Sequence[str]:
    listed = keys if isinstance(keys, list) else []
    valid = [
        key for key in listed if isinstance(key, str) and _KEY.fullmatch(key)
    ]
    if len(valid) < len(listed) or not valid:
        _log.warning(
            "Organisation has invalid keys or none.",
            extra={
                "organisation": name,
                "valid_keys": len(valid),
                "invalid_keys": len(listed) - len(valid),
            },
        )
    return [digest(key) for key in valid]
