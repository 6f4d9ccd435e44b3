"""Bodies of the OpenAI interfaces: requests, responses and stream events.

Fields that are not declared here are rejected, even if OpenAI's clients send
them. Engines don't report the number of prompt tokens, so `usage` omits it.
"""

import time
from typing import Annotated, Any, Literal, NotRequired, Protocol, TypedDict

import msgspec

from hibiscuspin.config.schema import Model
from hibiscuspin.edges import GenerateRequest
from hibiscuspin.errors import ErrorKind, HibiscusError

__all__ = [
    "END_EVENT",
    "ChatAnswer",
    "ChatBody",
    "ChatFormat",
    "CompletionAnswer",
    "CompletionBody",
    "ResponseFormat",
    "CompletionFormat",
    "encode_event",
    "resolve_max_tokens",
    "stop_sequences",
]

DEFAULT_MAX_TOKENS = 256
END_EVENT = b"data: [DONE]\n\n"

TokenCount = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Temperature = Annotated[float, msgspec.Meta(ge=0, le=2)]
TopP = Annotated[float, msgspec.Meta(gt=0, le=1)]
ChoiceCount = Annotated[int, msgspec.Meta(ge=1, le=1)]
StopSequences = Annotated[list[str], msgspec.Meta(max_length=4)]
Seed = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


class StreamOptions(TypedDict):
    """Options of a stream."""

    include_usage: NotRequired[bool]


class _CommonBody(TypedDict):
    model: str
    max_tokens: NotRequired[TokenCount]
    stream: NotRequired[bool]
    stream_options: NotRequired[StreamOptions]
    seed: NotRequired[Seed]
    temperature: NotRequired[Temperature]
    top_p: NotRequired[TopP]
    stop: NotRequired[str | StopSequences]
    n: NotRequired[ChoiceCount]
    user: NotRequired[str]
    adapter: NotRequired[str]


class CompletionBody(_CommonBody):
    """The body of `POST /v1/completions`."""

    prompt: str


class ChatMessage(TypedDict):
    """One message of a chat."""

    role: str
    content: str
    name: NotRequired[str]


class ChatBody(_CommonBody):
    """The body of `POST /v1/chat/completions`."""

    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_completion_tokens: NotRequired[TokenCount]


class Usage(TypedDict):
    """The number of generated tokens."""

    completion_tokens: int


class TextChoice(TypedDict):
    """The completion of a prompt."""

    index: int
    text: str
    finish_reason: Literal["stop", "length"] | None


class CompletionAnswer(TypedDict):
    """The complete response of `POST /v1/completions`."""

    id: str
    object: str
    created: int
    model: str
    choices: list[TextChoice]
    usage: Usage


class ChatChoice(TypedDict):
    """The completion of a chat."""

    index: int
    message: ChatMessage
    finish_reason: Literal["stop", "length"] | None


class ChatAnswer(TypedDict):
    """The complete response of `POST /v1/chat/completions`."""

    id: str
    object: str
    created: int
    model: str
    choices: list[ChatChoice]
    usage: Usage


def resolve_max_tokens(body: CompletionBody | ChatBody, model: Model) -> int:
    """Returns the maximum number of tokens to generate for a request.

    Raises:
        HibiscusError: The request exceeds the model's `max_tokens`.
    """
    raw: dict[str, Any] = dict(body)
    requested = raw.get("max_completion_tokens", raw.get("max_tokens"))
    limit = model.get("max_tokens")
    if requested is None:
        return min(DEFAULT_MAX_TOKENS, limit or DEFAULT_MAX_TOKENS)
    if limit is not None and requested > limit:
        raise HibiscusError(
            ErrorKind.BAD_FIELD,
            f"Model {body['model']!r} generates at most {limit} tokens, "
            f"got {requested} - at `$.max_tokens`",
        )
    return int(requested)


def stop_sequences(body: CompletionBody | ChatBody) -> tuple[str, ...]:
    """Returns the sequences that end the generation."""
    stop = body.get("stop", [])
    return (stop,) if isinstance(stop, str) else tuple(stop)


class ResponseFormat(Protocol):
    """The response format of one interface."""

    def response(
        self, generation: GenerateRequest, text: str, count: int
    ) -> object:
        """Returns the complete response of `count` tokens."""

    def text_event(self, generation: GenerateRequest, text: str) -> object:
        """Returns a stream event with generated text."""

    def finish_event(self, generation: GenerateRequest, count: int) -> object:
        """Returns the stream event with the finish reason."""

    def usage_event(self, generation: GenerateRequest, count: int) -> object:
        """Returns the stream event with the usage, sent last if requested."""


class _EventFormat:
    """The stream events that both formats build in the same way."""

    response_object = ""
    event_object = ""
    empty_text: dict[str, Any] = {}

    def finish_event(self, generation: GenerateRequest, count: int) -> object:
        """Returns the stream event with the finish reason."""
        choice = {
            "index": 0,
            **self.empty_text,
            "finish_reason": _finish_reason(generation, count),
        }
        return _envelope(generation, self.event_object, [choice])

    def usage_event(self, generation: GenerateRequest, count: int) -> object:
        """Returns the stream event with the usage, sent last if requested."""
        envelope = _envelope(generation, self.event_object, [])
        return {**envelope, "usage": _usage(count)}


class CompletionFormat(_EventFormat):
    """The response format of `/v1/completions`."""

    response_object = event_object = "text_completion"
    empty_text = {"text": ""}

    def response(
        self, generation: GenerateRequest, text: str, count: int
    ) -> object:
        """Returns the complete response of `count` tokens."""
        choice = {
            "index": 0,
            "text": text,
            "finish_reason": _finish_reason(generation, count),
        }
        envelope = _envelope(generation, self.response_object, [choice])
        return {**envelope, "usage": _usage(count)}

    def text_event(self, generation: GenerateRequest, text: str) -> object:
        """Returns a stream event with generated text."""
        choice = {"index": 0, "text": text, "finish_reason": None}
        return _envelope(generation, self.event_object, [choice])


class ChatFormat(_EventFormat):
    """The response format of `/v1/chat/completions`."""

    response_object = "chat.completion"
    event_object = "chat.completion.chunk"
    empty_text = {"delta": {}}

    def response(
        self, generation: GenerateRequest, text: str, count: int
    ) -> object:
        """Returns the complete response of `count` tokens."""
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": _finish_reason(generation, count),
        }
        envelope = _envelope(generation, self.response_object, [choice])
        return {**envelope, "usage": _usage(count)}

    def text_event(self, generation: GenerateRequest, text: str) -> object:
        """Returns a stream event with generated text."""
        delta = {"role": "assistant", "content": text}
        choice = {"index": 0, "delta": delta, "finish_reason": None}
        return _envelope(generation, self.event_object, [choice])


def encode_event(value: object) -> bytes:
    """Encodes a value as one server-sent event."""
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _finish_reason(generation: GenerateRequest, count: int) -> str:
    return "length" if count >= generation.max_tokens else "stop"


def _usage(count: int) -> dict[str, int]:
    return {"completion_tokens": count}


def _envelope(
    generation: GenerateRequest, kind: str, choices: list[dict[str, Any]]
) -> dict[str, Any]:
    return {
        "id": generation.request_id,
        "object": kind,
        "created": int(time.time()),
        "model": generation.model,
        "choices": choices,
    }
