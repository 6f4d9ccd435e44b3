"""The bodies of calls that ask another instance to take a job over."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, TypedDict

import msgspec

from hibiscuspin.decisions.samples import SampleEvent
from hibiscuspin.decisions.software import Software
from hibiscuspin.tasks.job_store import SampleRuns, SavedSamples, trim_default

__all__ = [
    "TakeoverRequest",
    "decode",
    "decode_earlier",
    "encode",
    "encode_earlier",
]


class TakeoverRequest(NamedTuple):
    """A job to take over.

    Attributes:
        job: The job's id.
        samples: What its holder knows of its unpublished samples.
    """

    job: str
    samples: SavedSamples


class _Body(TypedDict):
    job: str
    events_by_name: Mapping[str, Sequence[SampleEvent]]
    score_by_name: Mapping[str, str]
    software_by_name: Mapping[str, Software]
    runs_by_name: Mapping[str, SampleRuns]


class _EarlierBody(NamedTuple):
    """Builds that know it refuse any further field."""

    job: str
    events_by_name: Mapping[str, Sequence[SampleEvent]]
    score_by_name: Mapping[str, str] = {}
    software_by_name: Mapping[str, Software] = {}


def encode(request: TakeoverRequest) -> bytes:
    """Encodes a request."""
    job, samples = request
    events: Any = samples.plain_events_by_name()
    body: _Body = {
        "job": job,
        "events_by_name": events,
        "score_by_name": samples.score_by_name(),
        "software_by_name": samples.software_by_name(),
        "runs_by_name": samples.runs_by_name(),
    }
    return msgspec.msgpack.encode(body)


def decode(data: bytes) -> TakeoverRequest:
    """Decodes a request.

    Raises:
        msgspec.DecodeError: The bytes are no request.
    """
    body = msgspec.msgpack.decode(data, type=_Body)
    samples = SavedSamples.from_parts(
        body["events_by_name"],
        body["score_by_name"],
        body["software_by_name"],
        body["runs_by_name"],
    )
    return TakeoverRequest(body["job"], samples)


def encode_earlier(request: TakeoverRequest) -> bytes:
    """Encodes a request as builds before `encode` understand it."""
    job, samples = request
    events: Any = samples.plain_events_by_name()
    body = _EarlierBody(
        job, events, samples.score_by_name(), samples.software_by_name()
    )
    return msgspec.msgpack.encode(trim_default(body))


def decode_earlier(data: bytes) -> TakeoverRequest:
    """Decodes a request of `encode_earlier`.

    Raises:
        msgspec.DecodeError: The bytes are no request.
    """
    body = msgspec.msgpack.decode(data, type=_EarlierBody)
    samples = SavedSamples.from_parts(
        body.events_by_name, body.score_by_name, body.software_by_name, {}
    )
    return TakeoverRequest(body.job, samples)
