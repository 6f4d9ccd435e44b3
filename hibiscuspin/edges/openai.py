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
    "DONE",
    "ChatAnswer",
    "ChatBody",
    "ChatShape",
    "CompletionAnswer",
    "CompletionBody",
    "Shape",
    "TextShape",
    "event",
    "max_tokens",
    "stop_texts",
]

DEFAULT_MAX_TOKENS = 256
DONE = b"data: [DONE]\n\n"

TokenCount = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Temperature = Annotated[float, msgspec.Meta(ge=0, le=2)]
TopP = Annotated[float, msgspec.Meta(gt=0, le=1)]
One = Annotated[int, msgspec.Meta(ge=1, le=1)]
StopTexts = Annotated[list[str], msgspec.Meta(max_length=4)]
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
    stop: NotRequired[str | StopTexts]
    n: NotRequired[One]
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


def max_tokens(body: CompletionBody | ChatBody, model: Model) -> int:
    """Returns the maximum number of tokens to generate for a request.

    Raises:
        HibiscusError: The request exceeds the model's `max_tokens`.
    """
    raw: dict[str, Any] = dict(body)
    asked = raw.get("max_completion_tokens", raw.get("max_tokens"))
    most = model.get("max_tokens")
    if asked is None:
        return min(DEFAULT_MAX_TOKENS, most or DEFAULT_MAX_TOKENS)
    if most is not None and asked > most:
        raise HibiscusError(
            ErrorKind.BAD_FIELD,
            f"Model {body['model']!r} generates at most {most} tokens, "
            f"got {asked} - at `$.max_tokens`",
        )
    return int(asked)


def stop_texts(body: CompletionBody | ChatBody) -> tuple[str, ...]:
    """Returns the sequences that end the generation."""
    stop = body.get("stop", [])
    return (stop,) if isinstance(stop, str) else tuple(stop)


class Shape(Protocol):
    """The response format of one interface."""

    def whole(
        self, generation: GenerateRequest, text: str, count: int
    ) -> object:
        """Returns the complete response, of `count` tokens."""

    def part(self, generation: GenerateRequest, text: str) -> object:
        """Returns a stream event with generated text."""

    def end(self, generation: GenerateRequest, count: int) -> object:
        """Returns the stream event with the finish reason."""

    def usage(self, generation: GenerateRequest, count: int) -> object:
        """Returns the stream event with the usage, sent last on request."""


class _Events:
    """The stream events that both formats build in the same way."""

    whole_kind = ""
    part_kind = ""
    empty_part: dict[str, Any] = {}

    def end(self, generation: GenerateRequest, count: int) -> object:
        """Returns the stream event with the finish reason."""
        choice = {
            "index": 0,
            **self.empty_part,
            "finish_reason": _finish_reason(generation, count),
        }
        return _envelope(generation, self.part_kind, [choice])

    def usage(self, generation: GenerateRequest, count: int) -> object:
        """Returns the stream event with the usage, sent last on request."""
        envelope = _envelope(generation, self.part_kind, [])
        return {**envelope, "usage": _usage(count)}


class TextShape(_Events):
    """The response format of `/v1/completions`."""

    whole_kind = part_kind = "text_completion"
    empty_part = {"text": ""}

    def whole(
        self, generation: GenerateRequest, text: str, count: int
    ) -> object:
        """Returns the complete response, of `count` tokens."""
        choice = {
            "index": 0,
            "text": text,
            "finish_reason": _finish_reason(generation, count),
        }
        envelope = _envelope(generation, self.whole_kind, [choice])
        return {**envelope, "usage": _usage(count)}

    def part(self, generation: GenerateRequest, text: str) -> object:
        """Returns a stream event with generated text."""
        choice = {"index": 0, "text": text, "finish_reason": None}
        return _envelope(generation, self.part_kind, [choice])


class ChatShape(_Events):
    """The response format of `/v1/chat/completions`."""

    whole_kind = "chat.completion"
    part_kind = "chat.completion.chunk"
    empty_part = {"delta": {}}

    def whole(
        self, generation: GenerateRequest, text: str, count: int
    ) -> object:
        """Returns the complete response, of `count` tokens."""
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": _finish_reason(generation, count),
        }
        envelope = _envelope(generation, self.whole_kind, [choice])
        return {**envelope, "usage": _usage(count)}

    def part(self, generation: GenerateRequest, text: str) -> object:
        """Returns a stream event with generated text."""
        delta = {"role": "assistant", "content": text}
        choice = {"index": 0, "delta": delta, "finish_reason": None}
        return _envelope(generation, self.part_kind, [choice])


def event(value: object) -> bytes:
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
