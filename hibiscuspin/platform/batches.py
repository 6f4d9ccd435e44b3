"""Decodes batch jobs from trainers and encodes their results."""

import re
from base64 import b64decode
from collections.abc import Sequence
from typing import Any

import msgspec

from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.memory import json_bytes
from hibiscuspin.platform import words
from hibiscuspin.platform.identity import ANONYMOUS, CallerIdentity
from hibiscuspin.tasks.job_store import (
    ItemResult,
    JobContents,
    JobItem,
    RewardRequest,
)
from hibiscuspin.tasks.result_reads import JobResults

__all__ = ["decode_job", "decoded_bytes", "encode_results"]

COMPLETED_STATE = "completed"
ERRORED_STATE = "errored"
# Items are decoded from the body, and encoded again for the store.
COPIES_PER_BODY = 2
# Ids become part of store keys, which are limited to 200 bytes.
_JOB_ID = re.compile(r"[A-Za-z0-9._~-]{1,100}")


def decoded_bytes(body: bytes) -> int:
    """Returns an upper bound of the memory that decoding a job takes."""
    return json_bytes(body) + COPIES_PER_BODY * len(body)


def decode_job(
    job: str,
    host: str,
    path: str,
    body: bytes,
    identity: CallerIdentity = ANONYMOUS,
) -> JobContents:
    """Decodes a submitted batch job.

    Args:
        job: The job's id.
        host: The host to which the trainer sent the job.
        path: The path to which the trainer sent the job.
        body: The request's body.
        identity: Who submits it. Where there are organisations, items lose
            the headers that name a caller.

    Raises:
        HibiscusError: `BAD_JSON` or `BAD_FIELD`.
    """
    if not _JOB_ID.fullmatch(job):
        raise HibiscusError(
            ErrorKind.BAD_FIELD,
            "The job's id must have 1 to 100 characters from A-Z, a-z, 0-9 "
            "and '._~-'.",
        )
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise HibiscusError(
            ErrorKind.BAD_JSON, f"The body is not valid JSON: {error}"
        ) from error
    try:
        items = tuple(_decode_item(row, identity) for row in raw["items"])
        contents = JobContents(
            job=job,
            host=host,
            path=path,
            model=str(raw.get("model") or _model_of(items)),
            oldest_version=int(raw.get("min_version") or 0),
            # The number of groups that the trainer waits for, not the number
            # of groups in the job.
            required_groups=int(raw.get("group_count") or 0),
            items=items,
            organisation=identity.organisation,
        )
    except words.DECODE_ERRORS as error:
        raise HibiscusError(
            ErrorKind.BAD_FIELD, f"A field is missing or malformed: {error!r}"
        ) from error
    if not items:
        raise HibiscusError(ErrorKind.BAD_FIELD, "The job has no items.")
    _check_reward_ids(items)
    return contents


def _decode_item(raw: dict[str, Any], identity: CallerIdentity) -> JobItem:
    headers = {str(k): str(v) for k, v in (raw.get("headers") or {}).items()}
    return JobItem(
        name=_require_text(raw["id"]),
        target=_require_text(raw["path"]),
        headers=identity.forwarded_headers(headers),
        body=b64decode(raw.get("body") or "", validate=True),
        group=str(raw.get("group") or raw["id"]),
        tokens=_expected_tokens(headers),
        reward=_decode_reward(raw["id"], raw.get("scorer")),
    )


def _decode_reward(item: object, raw: Any) -> RewardRequest | None:
    if raw is None:
        return None
    if not isinstance(raw, dict):
        raise _bad_reward(item, "scorer must be an object")
    texts = {}
    for field in ("id", "host", "path"):
        value = raw.get(field)
        if not isinstance(value, str) or not value:
            raise _bad_reward(item, f"{field} must be a non-empty string")
        texts[field] = value
    try:
        body = b64decode(raw.get("body") or "", validate=True)
    except (TypeError, ValueError) as error:
        raise _bad_reward(item, f"body must be base64: {error}") from error
    return RewardRequest(texts["id"], texts["host"], texts["path"], body)


def _bad_reward(item: object, problem: str) -> HibiscusError:
    return HibiscusError(
        ErrorKind.BAD_FIELD, f"The scorer of item {item} is invalid: {problem}."
    )


def _check_reward_ids(items: Sequence[JobItem]) -> None:
    seen = set()
    for item in items:
        if item.reward is None:
            continue
        if item.reward.request_id in seen:
            raise _bad_reward(
                item.name, f"id {item.reward.request_id} is used twice"
            )
        seen.add(item.reward.request_id)


def _require_text(text: object) -> str:
    if not isinstance(text, str) or not text:
        raise ValueError("id and path of an item must be non-empty strings")
    return text


def _model_of(items: Sequence[JobItem]) -> str:
    return items[0].headers.get(words.MODEL_HEADER, "") if items else ""


def _expected_tokens(headers: dict[str, str]) -> float:
    """Returns an item's expected token count.

    It is the hint's value, else the maximum, else 1.
    """
    hint = headers.get(words.OUTPUT_TOKENS_HINT_HEADER, "")
    if hint.isdigit():
        return float(hint)
    maximum = headers.get(words.TOKEN_COUNTS_HEADER, "").rpartition(",")[2]
    return float(maximum) if maximum.isdigit() else 1.0


def encode_results(results: JobResults, after: int) -> bytes:
    """Encodes results as the response to a trainer."""
    rows = results.results
    return msgspec.json.encode(
        {
            "total": results.total,
            "next": after + len(rows),
            "results": [_encode_result(row) for row in rows],
        }
    )


def _encode_result(row: ItemResult) -> dict[str, Any]:
    encoded = {
        "id": row.name,
        "state": COMPLETED_STATE if row.done else ERRORED_STATE,
        "text": row.text,
        "versions": row.versions,
    }
    if row.score:
        encoded["score"] = row.score
    return encoded
