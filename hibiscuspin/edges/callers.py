"""The callers' interface: completions, plain services, health, metrics.

docs/openapi.yaml describes its routes.
"""

import urllib.parse
from collections.abc import Callable, Iterator, Mapping
from typing import TypedDict

from hibiscuspin.clock import Clock
from hibiscuspin.edges import GenerateRequest, ServiceRequest, ServiceResponse
from hibiscuspin.edges.auth import team_of
from hibiscuspin.edges.openai import (
    END_EVENT,
    ChatAnswer,
    ChatBody,
    ChatFormat,
    CompletionAnswer,
    CompletionBody,
    CompletionFormat,
    ResponseFormat,
    encode_event,
    resolve_max_tokens,
    stop_sequences,
)
from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.metrics import Metrics
from hibiscuspin.tasks.configuration import Configuration
from hibiscuspin.tasks.generation import Batch
from hibiscuspin.tasks.live import LIVE_PRIORITY, Generator
from hibiscuspin.tasks.measures import Measures
from hibiscuspin.tasks.once import AtMostOnceCalls
from hibiscuspin.tasks.services import LiveServices

__all__ = ["CallerInterface"]

DEADLINE_MS_HEADER = "x-deadline-ms"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
DEFAULT_TIMEOUT_S = 60.0
MAX_TIMEOUT_S = 600.0
MAX_KEY_CHARS = 255


class Health(TypedDict):
    """The response of `GET /healthz`."""

    status: str


class Readiness(TypedDict):
    """The response of `GET /readyz`."""

    ready: bool


class CallerInterface:
    """Turns callers' requests into generations and service calls."""

    def __init__(
        self,
        configuration: Configuration,
        generator: Generator,
        services: LiveServices,
        once: AtMostOnceCalls,
        metrics: Metrics,
        measures: Measures,
        clock: Clock,
        ready: Callable[[], bool],
    ) -> None:
        self._configuration = configuration
        self._generator = generator
        self._services = services
        self._once = once
        self._metrics = metrics
        self._measures = measures
        self._clock = clock
        self._ready = ready

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of this interface."""
        return (
            Route(
                "POST",
                "/v1/completions",
                self._handle_completion,
                summary="Completes a prompt; streams the tokens if requested.",
                body_type=CompletionBody,
                response_type=CompletionAnswer,
            ),
            Route(
                "POST",
                "/v1/chat/completions",
                self._handle_chat,
                summary="Completes a chat; streams the tokens if requested.",
                body_type=ChatBody,
                response_type=ChatAnswer,
            ),
            Route(
                "ANY",
                "/v1/services/{service}/{path}",
                self._handle_service_call,
                query=None,
                summary="Calls a plain service and returns its response.",
            ),
            Route(
                "GET",
                "/healthz",
                self._show_health,
                summary="Reports that the process is running.",
                response_type=Health,
            ),
            Route(
                "GET",
                "/readyz",
                self._show_readiness,
                summary="Reports whether the instance accepts requests.",
                response_type=Readiness,
            ),
            Route(
                "GET",
                "/metrics",
                self._show_metrics,
                query=None,
                summary="Shows all metrics in the Prometheus format.",
            ),
        )

    def _handle_completion(self, request: Request) -> Response:
        body = request.json(CompletionBody)
        team = team_of(request, self._configuration.config())
        generation = self._build_request(request, body, body["prompt"])
        return self._respond(
            request, team, generation, body, CompletionFormat()
        )

    def _handle_chat(self, request: Request) -> Response:
        body = request.json(ChatBody)
        team = team_of(request, self._configuration.config())
        prompt = "\n".join(
            f"{message['role']}: {message['content']}"
            for message in body["messages"]
        )
        generation = self._build_request(request, body, prompt)
        return self._respond(request, team, generation, body, ChatFormat())

    def _build_request(
        self, request: Request, body: CompletionBody | ChatBody, prompt: str
    ) -> GenerateRequest:
        config = self._configuration.config()
        model = config["models_by_name"].get(body["model"])
        if model is None:
            raise HibiscusError(
                ErrorKind.UNKNOWN_MODEL, "The model is unknown - at `$.model`"
            )
        return GenerateRequest(
            request_id=request.request_id,
            model=body["model"],
            adapter=body.get("adapter", ""),
            prompt=prompt,
            max_tokens=resolve_max_tokens(body, model),
            priority=LIVE_PRIORITY,
            seed=body.get("seed", 0),
            temperature=body.get("temperature"),
            top_p=body.get("top_p"),
            stop=stop_sequences(body),
            user=body.get("user", ""),
        )

    def _respond(
        self,
        request: Request,
        team: str,
        generation: GenerateRequest,
        body: CompletionBody | ChatBody,
        response_format: ResponseFormat,
    ) -> Response:
        deadline = self._deadline(request)
        started = self._clock.monotonic()
        batches = self._measures.measure_stream(
            "live",
            team,
            request.request_id,
            self._generator.batches(
                generation, deadline, request.disconnected, team
            ),
        )
        if body.get("stream", False):
            options = body.get("stream_options", {})
            include_usage = options.get("include_usage", False)
            first = next(batches, None)
            events = self._stream_events(
                generation,
                first,
                batches,
                response_format,
                started,
                include_usage,
            )
            return Response(200, "text/event-stream", events)
        texts = [chunk.token for batch in batches for chunk in batch.chunks]
        self._metrics.observe("live", self._clock.monotonic() - started)
        completion = response_format.response(
            generation, "".join(texts), len(texts)
        )
        return json_response(completion)

    def _stream_events(
        self,
        generation: GenerateRequest,
        first: Batch | None,
        rest: Iterator[Batch],
        response_format: ResponseFormat,
        started: float,
        include_usage: bool,
    ) -> Iterator[bytes]:
        count = 0
        if first is not None:
            count = len(first.chunks)
            yield _encode_tokens(response_format, generation, first)
        try:
            for batch in rest:
                count += len(batch.chunks)
                yield _encode_tokens(response_format, generation, batch)
        except HibiscusError as error:
            yield encode_event(error.body())
            return
        self._metrics.observe("live", self._clock.monotonic() - started)
        yield encode_event(response_format.finish_event(generation, count))
        if include_usage:
            yield encode_event(response_format.usage_event(generation, count))
        yield END_EVENT

    def _handle_service_call(
        self, request: Request, service: str, path: str
    ) -> Response:
        config = self._configuration.config()
        team = team_of(request, config)
        declared = config["services_by_name"].get(service)
        if declared is None:
            raise HibiscusError(
                ErrorKind.UNKNOWN_SERVICE, f"Service {service!r} is unknown."
            )
        repeatable = declared["repeatable"]
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        if not repeatable and not 0 < len(key) <= MAX_KEY_CHARS:
            raise HibiscusError(
                ErrorKind.KEY_REQUIRED,
                f"Service {service!r} requires an Idempotency-Key header of "
                f"1 to {MAX_KEY_CHARS} characters.",
            )
        call = ServiceRequest(
            request_id=request.request_id,
            method=request.method,
            path=_encode_path(path, request.query),
            body=request.body,
            content_type=request.headers.get("content-type", ""),
            idempotency_key=key,
        )
        deadline = self._deadline(request, declared["timeout_s"])
        started = self._clock.monotonic()

        def call_service(
            call: ServiceRequest, deadline: float
        ) -> ServiceResponse:
            return self._services.call(
                service, call, deadline, repeatable, team
            )

        with self._measures.measure_request(
            "service", team, request.request_id
        ):
            if repeatable:
                response = call_service(call, deadline)
            else:
                response = self._once.call(
                    team, service, declared, call, deadline, call_service
                )
        self._metrics.observe("service", self._clock.monotonic() - started)
        return Response(response.status, response.content_type, response.body)

    def _deadline(
        self, request: Request, default_s: float = DEFAULT_TIMEOUT_S
    ) -> float:
        text = request.headers.get(DEADLINE_MS_HEADER)
        if text is None:
            return self._clock.monotonic() + default_s
        if not text.isdigit() or not 0 < int(text) <= MAX_TIMEOUT_S * 1000:
            raise HibiscusError(
                ErrorKind.BAD_DEADLINE,
                "X-Deadline-Ms must be a whole number from 1 to "
                f"{int(MAX_TIMEOUT_S * 1000)}.",
            )
        return self._clock.monotonic() + int(text) / 1000

    def _show_health(self, request: Request) -> Response:
        return json_response({"status": "ok"})

    def _show_readiness(self, request: Request) -> Response:
        ready = self._ready() and self._configuration.revision > 0
        return json_response({"ready": ready}, 200 if ready else 503)

    def _show_metrics(self, request: Request) -> Response:
        return Response(200, Metrics.CONTENT_TYPE, self._metrics.exposition())


def _encode_tokens(
    response_format: ResponseFormat, generation: GenerateRequest, batch: Batch
) -> bytes:
    """Encodes each token of a batch as one server-sent event."""
    return b"".join(
        encode_event(response_format.text_event(generation, chunk.token))
        for chunk in batch.chunks
    )


def _encode_path(path: str, query: Mapping[str, str]) -> str:
    suffix = f"?{urllib.parse.urlencode(query)}" if query else ""
    return f"/{urllib.parse.quote(path)}{suffix}"
