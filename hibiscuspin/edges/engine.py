"""The adapter to model engines: HTTP with server-sent events."""

from collections.abc import Iterator, Sequence
from typing import Any, NotRequired, TypedDict

import msgspec

from hibiscuspin.edges import (
    EngineLoad,
    GenerateRequest,
    RequestState,
    TargetError,
    TokenChunk,
    WaitLimits,
    WeightState,
)
from hibiscuspin.edges.http import (
    HttpClient,
    HttpResponse,
    HttpStream,
    is_draining_refusal,
)
from hibiscuspin.settings import Address, parse_address

__all__ = ["HttpEngine"]

_DATA_FIELD = b"data: "
_END_MARKER = b"[DONE]"


class _StreamEvent(TypedDict):
    id: str
    index: int
    token: str
    version: NotRequired[int]


class _RequestRecord(TypedDict):
    request_id: str
    state: str
    offset: int
    tokens: list[str]


_EVENT_DECODER = msgspec.json.Decoder(_StreamEvent)


class HttpEngine:
    """An `Engine` over HTTP."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    @classmethod
    def from_address(cls, address: Address | str) -> "HttpEngine":
        """Returns a client for the engine at an address."""
        if isinstance(address, str):
            address = parse_address(address)
        return cls(HttpClient(address))

    def generate(
        self, request: GenerateRequest, wait: WaitLimits
    ) -> Iterator[Sequence[TokenChunk]]:
        """Streams the tokens of a new request."""
        body = msgspec.json.encode({**request._asdict(), "stream": True})
        stream = self._open_stream("POST", "/v1/completions", wait, body)
        return self._read_chunks(stream, request.request_id, wait)

    def resume(
        self, request_id: str, offset: int, wait: WaitLimits
    ) -> Iterator[Sequence[TokenChunk]]:
        """Streams the tokens of a known request from an offset."""
        path = f"/v1/requests/{request_id}/stream?offset={offset}"
        stream = self._open_stream("GET", path, wait)
        return self._read_chunks(stream, request_id, wait)

    def fetch_request_state(
        self, request_id: str, deadline: float
    ) -> RequestState | None:
        """Queries a request's state over a new connection; None if unknown."""
        self._client.close_idle()
        response = self._client.request(
            "GET", f"/v1/requests/{request_id}", deadline
        )
        if response.status == 404:
            return None
        record = msgspec.json.decode(
            _raise_for_status(response).body, type=_RequestRecord
        )
        if record["request_id"] != request_id:
            raise TargetError("response to another request", sent=True)
        tokens = record["offset"] + len(record["tokens"])
        return RequestState(record["state"], tokens)

    def cancel(self, request_id: str, deadline: float) -> None:
        """Cancels a request."""
        self._post_order(f"/v1/requests/{request_id}/cancel", {}, deadline)

    def fetch_load(self, deadline: float) -> EngineLoad:
        """Reads the load report."""
        raw = self._get_json("/v1/load", deadline)
        return EngineLoad(
            raw["running"],
            raw["queued"],
            raw["slots"],
            raw["version"],
            raw["at_s"],
        )

    def fetch_weight_state(self, deadline: float) -> WeightState:
        """Reads which versions of weights the engine serves and has staged."""
        raw = self._get_json("/v1/weights", deadline)
        return WeightState(
            raw["current"], tuple(raw["staged"]), raw.get("fetching", "")
        )

    def stage_weights(
        self, version: int, source: str, fencing: int, deadline: float
    ) -> None:
        """Orders the engine to fetch weights from a source address."""
        order = {"version": version, "source": source, "fencing": fencing}
        self._post_order("/v1/weights/stage", order, deadline)

    def switch_weights(
        self, version: int, fencing: int, deadline: float
    ) -> None:
        """Orders the engine to serve staged weights."""
        order = {"version": version, "fencing": fencing}
        self._post_order("/v1/weights/switch", order, deadline)

    def _open_stream(
        self,
        method: str,
        path: str,
        wait: WaitLimits,
        body: bytes | None = None,
    ) -> HttpStream:
        stream = self._client.open(
            method,
            path,
            wait.deadline,
            body=body,
            stall_s=wait.stall_s,
            check=wait.check,
        )
        if stream.status != 200:
            body = stream.read(wait)
            stream.close()
            raise TargetError(
                f"engine responded with status {stream.status}",
                sent=True,
                draining=is_draining_refusal(stream.status, body),
                refused=stream.status in (404, 409, 429, 503),
            )
        return stream

    def _read_chunks(
        self, stream: HttpStream, request_id: str, wait: WaitLimits
    ) -> Iterator[Sequence[TokenChunk]]:
        try:
            while True:
                lines = stream.read_lines(
                    wait.deadline, wait.stall_s, wait.check
                )
                if not lines:
                    raise TargetError(
                        "stream ended before its end marker", sent=True
                    )
                chunks, done = _parse_lines(lines, request_id)
                if done:
                    stream.read(wait)
                if chunks:
                    yield chunks
                if done:
                    return
        finally:
            stream.close()

    def _get_json(self, path: str, deadline: float) -> Any:
        return _raise_for_status(
            self._client.request("GET", path, deadline)
        ).json()

    def _post_order(self, path: str, order: object, deadline: float) -> None:
        body = msgspec.json.encode(order)
        _raise_for_status(
            self._client.request("POST", path, deadline, body=body)
        )


def _raise_for_status(response: HttpResponse) -> HttpResponse:
    if response.status >= 300:
        raise TargetError(
            f"engine responded with status {response.status}",
            sent=True,
            refused=response.status < 500,
        )
    return response


def _parse_lines(
    lines: Sequence[bytes], request_id: str
) -> tuple[list[TokenChunk], bool]:
    """Parses lines of a stream.

    Returns:
        The chunks, and whether the lines contain the end marker.
    """
    chunks: list[TokenChunk] = []
    for line in lines:
        if not line.startswith(_DATA_FIELD):
            continue
        data = line[len(_DATA_FIELD) :].strip()
        if data == _END_MARKER:
            return chunks, True
        event = _EVENT_DECODER.decode(data)
        if event["id"] != request_id:
            raise TargetError("response to another request", sent=True)
        chunks.append(
            TokenChunk(event["index"], event["token"], event.get("version"))
        )
    return chunks, False
