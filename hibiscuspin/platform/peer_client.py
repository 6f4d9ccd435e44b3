"""Sends requests on through another instance, as its callers send them."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges import WaitLimits
from hibiscuspin.edges.discovery import ProxiedRequest, TargetRecord
from hibiscuspin.memory import MemoryBudget
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

    def __init__(
        self,
        member: LiveInstance,
        clock: Clock,
        has_organisations: Callable[[], bool] = lambda: False,
        memory: MemoryBudget | None = None,
    ) -> None:
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
        super().__init__(
            record, clock, has_organisations=has_organisations, memory=memory
        )

    def open_stream(
        self,
        request: ProxiedRequest,
        after: int,
        wait: WaitLimits,
        *,
        fresh: bool = False,
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
        return super().open_stream(request, after, wait, fresh=fresh)

    def _caller_headers(self, request: ProxiedRequest) -> Mapping[str, str]:
        # The other instance trusts this header, so a caller must not set it.
        return {
            name: value
            for name, value in super()._caller_headers(request).items()
            if name.lower() != words.ORGANISATION_HEADER.lower()
        }

    def _address_headers(self, request: ProxiedRequest) -> dict[str, str]:
        headers = {}
        if request.organisation:
            headers[words.ORGANISATION_HEADER] = request.organisation
        terms = request.relay
        if terms is not None:
            headers[words.MAX_ATTEMPTS_HEADER] = str(terms.max_attempts)
            headers[words.AVOID_HEADER] = ",".join(terms.avoid)
        return headers
