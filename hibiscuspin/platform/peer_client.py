"""Sends requests on through another instance, as its callers send them."""

from collections.abc import Mapping
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges import WaitLimits
from hibiscuspin.edges.discovery import ProxiedRequest, TargetRecord
from hibiscuspin.platform import words
from hibiscuspin.platform.engines import EngineClient, EngineEventStream
from hibiscuspin.platform.settings import relay_address
from hibiscuspin.settings import parse_address

__all__ = ["PeerClient", "RelayHeaders"]


class RelayHeaders(NamedTuple):
    """The headers of a request that another instance sends on.

    Attributes:
        max_attempts: How many targets may get the request.
        avoid: The targets that have had it.
    """

    max_attempts: int
    avoid: tuple[str, ...]

    @classmethod
    def from_headers(cls, headers: Mapping[str, str]) -> "RelayHeaders":
        """Reads the headers; keys are in title case."""
        attempts = headers.get(words.MAX_ATTEMPTS_HEADER, "")
        avoid = headers.get(words.AVOID_HEADER, "")
        return cls(
            int(attempts) if attempts.isascii() and attempts.isdigit() else 1,
            tuple(name for name in avoid.split(",") if name),
        )


class PeerClient(EngineClient):
    """A `TargetClient` of another instance, which chooses the target.

    It answers as targets do; a refusal of its own states whether the request
    ran.
    """

    def __init__(self, member: LiveInstance, clock: Clock) -> None:
        record = TargetRecord(
            name=member.name,
            born_ms=0,
            service="",
            address=relay_address(parse_address(member.address)),
            data_centre=member.data_centre,
            slots=1,
            draining=False,
            version_by_model={},
        )
        super().__init__(record, clock)

    def open_stream(
        self, request: ProxiedRequest, after: int, wait: WaitLimits
    ) -> EngineEventStream:
        """Starts a stream, or resumes it after an event."""
        if after and words.RESUMES_HEADER not in request.headers:
            # Its first event came through another instance, or from a target
            # before the links were lost.
            headers = {
                **request.headers,
                words.RESUMES_HEADER: request.request_id,
            }
            request = request._replace(headers=headers)
        return super().open_stream(request, after, wait)

    def _address_headers(self, request: ProxiedRequest) -> dict[str, str]:
        terms = request.relay
        if terms is None:
            return {}
        return {
            words.MAX_ATTEMPTS_HEADER: str(terms.max_attempts),
            words.AVOID_HEADER: ",".join(terms.avoid),
        }
