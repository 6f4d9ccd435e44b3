"""The HTTP interface for the platform's clients and trainers."""

import urllib.parse
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import crashes
from hibiscuspin.decisions.organisations.job_access import Requester
from hibiscuspin.decisions.routes import CallKind, ForwardRoute
from hibiscuspin.edges.discovery import ProxiedRequest
from hibiscuspin.edges.wsgi import Response, error_response
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.memory import MemoryBudget
from hibiscuspin.metrics import Metrics
from hibiscuspin.platform import batches, words
from hibiscuspin.platform.engines import NOT_FORWARDED_HEADERS
from hibiscuspin.platform.identity import CallerIdentity
from hibiscuspin.platform.peer_client import RelayHeaders
from hibiscuspin.platform.responses import StartResponse, send_response
from hibiscuspin.tasks.forwarding import ForwardedCall, Forwarder
from hibiscuspin.tasks.job_store import JobContents
from hibiscuspin.tasks.jobs import READ_SLACK_S, Jobs
from hibiscuspin.tasks.route_table import Routes
from hibiscuspin.tasks.stopping import PlannedStop
from hibiscuspin.tasks.stream_forwarding import StreamForwarder

__all__ = ["ClientInterface", "RelayInterface"]

JOBS_PATH = "/hibiscuspin/lots/"
ITEMS_PATH = "/hibiscuspin/items/"
MS_PER_S = 1000.0
MAX_WAIT_S = 1.0
ACCEPTED_STATUS = 202
# Clients leave 1.5 s after the wait that they asked for; slower reads than
# this are logged.
SLOW_READ_S = 0.5

_log = get_logger("callers")


class _IncomingRequest(NamedTuple):
    """A parsed HTTP request; `target` is its path and query."""

    method: str
    target: str
    host: str
    headers: dict[str, str]
    body: bytes
    disconnected: Callable[[], bool]

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))

    def header(self, name: str) -> str:
        return self.headers.get(name.title(), "")


class ClientInterface:
    """A WSGI application that dispatches requests by path and route."""

    def __init__(
        self,
        routes: Routes,
        routes_current: Callable[[], bool],
        forwarder: Forwarder,
        streams: StreamForwarder,
        jobs: Jobs,
        metrics: Metrics,
        stop: PlannedStop,
        clock: Clock,
        memory: MemoryBudget,
    ) -> None:
        self._memory = memory
        self._stop = stop
        self._routes = routes
        self._routes_current = routes_current
        self._forwarder = forwarder
        self._streams = streams
        self._jobs = jobs
        self._metrics = metrics
        self._clock = clock

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serves one request."""
        started = self._clock.monotonic()
        incoming = _parse_request(environ)
        identity = self._identify(incoming)
        endpoint, outcome = "other", "ok"
        try:
            endpoint, response = self._dispatch(incoming, identity, started)
        except HibiscusError as error:
            outcome = str(error.kind)
            response = self._error_response(error, incoming)
            _log.info(
                "Request refused.",
                extra={
                    "request_id": incoming.header(words.REQUEST_ID_HEADER),
                    "path": incoming.path,
                    "organisation": identity.organisation,
                    "code": str(error.kind),
                    "ran": str(error.ran),
                    "reason": error.detail,
                },
            )
        except Exception:
            _log.exception(
                "Request failed.",
                extra={"request_id": incoming.header(words.REQUEST_ID_HEADER)},
            )
            outcome = str(ErrorKind.INTERNAL)
            response = error_response(
                HibiscusError(ErrorKind.INTERNAL, "An internal error occurred.")
            )
        if identity.has_organisations:
            self._metrics.organisations.count(identity.organisation, outcome)
        self._metrics.requests.labels(endpoint, str(response.status)).inc()
        self._metrics.observe(endpoint, self._clock.monotonic() - started)
        return send_response(response, start_response)

    def _identify(self, incoming: _IncomingRequest) -> CallerIdentity:
        is_current = self._routes_current()
        authorization = incoming.header(words.AUTHORIZATION_HEADER)
        return CallerIdentity.from_key(
            is_current, self._routes.table, authorization
        )

    def _error_response(
        self, error: HibiscusError, incoming: _IncomingRequest
    ) -> Response:
        response = error_response(error)
        if error.kind is not ErrorKind.NO_TOKEN:
            return response
        challenge = ("WWW-Authenticate", "Bearer")
        return response._replace(headers=(*response.headers, challenge))

    def _dispatch(
        self,
        incoming: _IncomingRequest,
        identity: CallerIdentity,
        started: float,
    ) -> tuple[str, Response]:
        """Returns the endpoint's name in the metrics, and the response."""
        if incoming.path.startswith((JOBS_PATH, ITEMS_PATH)):
            try:
                return self._serve_job(incoming, identity.requester())
            except HibiscusError as error:
                if error.kind is not ErrorKind.NO_TOKEN:
                    raise
                raise identity.key_error() from error
        route = identity.find_permitted_route(incoming.host, incoming.path)
        if route.kind is CallKind.JOB and incoming.method == "POST":
            response = self._submit_job(incoming, identity, route, started)
            return "job_submit", response
        call = self._build_call(incoming, identity, route, started)
        if route.kind is CallKind.STREAM:
            return "stream", self._open_stream(call)
        return "call", self._forward(call)

    def _serve_job(
        self, incoming: _IncomingRequest, requester: Requester
    ) -> tuple[str, Response]:
        if incoming.path.startswith(ITEMS_PATH):
            job = incoming.path.removeprefix(ITEMS_PATH)
            item = incoming.query.get("id", "")
            body = self._jobs.item_body(job, item, requester)
            content_type = "application/octet-stream"
            return "job_item", Response(200, content_type, body)
        job = incoming.path.removeprefix(JOBS_PATH)
        if incoming.method == "DELETE":
            self._jobs.end(job, requester)
            return "job_end", Response(200, words.JSON_CONTENT_TYPE, b"{}")
        return "job_results", self._read_results(job, incoming, requester)

    def _read_results(
        self, job: str, incoming: _IncomingRequest, requester: Requester
    ) -> Response:
        after = _parse_integer(incoming.query.get("after", "0"), "after")
        wait_ms = _parse_integer(
            incoming.header(words.WAIT_MS_HEADER) or "0", words.WAIT_MS_HEADER
        )
        started = self._clock.monotonic()
        until_stop_s = max(0.0, self._stop.answer_by - READ_SLACK_S - started)
        wait_s = min(MAX_WAIT_S, wait_ms / MS_PER_S, until_stop_s)
        results = self._jobs.results(
            job, after, wait_s, requester, incoming.disconnected
        )
        took_s = self._clock.monotonic() - started
        self._metrics.observe(f"job_results_{results.source}", took_s)
        if took_s > wait_s + SLOW_READ_S:
            _log.info(
                "Slow read of results.",
                extra={
                    "job": job,
                    "after": after,
                    "source": results.source,
                    "results": len(results.results),
                    "bytes": results.size_bytes,
                    "took_s": round(took_s, 3),
                    "wait_s": wait_s,
                    "client_left": incoming.disconnected(),
                },
            )
        body = batches.encode_results(results, after)
        return Response(200, words.JSON_CONTENT_TYPE, body)

    def _submit_job(
        self,
        incoming: _IncomingRequest,
        identity: CallerIdentity,
        route: ForwardRoute,
        started: float,
    ) -> Response:
        job = incoming.header(words.REQUEST_ID_HEADER)
        with self._memory.reserve(batches.decoded_bytes(incoming.body)):
            contents = batches.decode_job(
                job, incoming.host, incoming.path, incoming.body, identity
            )
            self._check_rewards(contents)
            deadline = started + _timeout_s(incoming, route.timeout_s)
            self._jobs.submit(contents, route, deadline, identity.requester())
        return Response(ACCEPTED_STATUS, words.JSON_CONTENT_TYPE, b"{}")

    def _check_rewards(self, contents: JobContents) -> None:
        """Checks that each reward call has a route.

        Raises:
            HibiscusError: `BAD_FIELD` if one has none, `NOT_CONFIGURED` if
                the configuration may be out of date.
        """
        item_by_route_key = {
            (item.reward.host, item.reward.path): item.name
            for item in contents.items
            if item.reward is not None
        }
        for (host, path), item in item_by_route_key.items():
            try:
                self._routes.find(host, path, self._routes_current())
            except HibiscusError as error:
                if error.kind is not ErrorKind.NOT_FOUND:
                    raise
                raise HibiscusError(
                    ErrorKind.BAD_FIELD,
                    f"The scorer of item {item} is invalid: no route has host "
                    f"{host} and path {path}.",
                ) from error

    def _build_call(
        self,
        incoming: _IncomingRequest,
        identity: CallerIdentity,
        route: ForwardRoute,
        started: float,
    ) -> ForwardedCall:
        proxied = ProxiedRequest(
            incoming.header(words.REQUEST_ID_HEADER),
            incoming.method,
            incoming.target,
            identity.forwarded_headers(incoming.headers),
            incoming.body,
            organisation=identity.organisation,
        )
        return ForwardedCall(
            proxied,
            route,
            self._routes.pick_service(route),
            started,
            started + _timeout_s(incoming, route.timeout_s),
            incoming.disconnected,
            fingerprint=crashes.fingerprint(
                incoming.host,
                incoming.path,
                identity.caller_name(
                    incoming.header(words.AUTHORIZATION_HEADER)
                ),
                incoming.body,
            ),
            resumes=incoming.header(words.RESUMES_HEADER),
            resumed_after=_resumed_after(incoming),
            organisation=identity.organisation,
            priority=identity.priority(route),
        )

    def _forward(self, call: ForwardedCall) -> Response:
        self._stop.check(call.route.name, call.ends_by)
        response = self._forwarder.forward(call)
        self._record_duration(call)
        return Response(response.status, "", response.body, response.headers)

    def _open_stream(self, call: ForwardedCall) -> Response:
        self._stop.check(call.route.name, call.deadline)
        headers, parts = self._streams.open(call)
        return Response(200, "", self._recorded(call, parts), headers)

    def _recorded(
        self, call: ForwardedCall, parts: Iterable[bytes]
    ) -> Iterator[bytes]:
        yield from parts
        self._record_duration(call)

    def _record_duration(self, call: ForwardedCall) -> None:
        took_s = self._clock.monotonic() - call.arrived_at
        self._stop.record(call.route.name, took_s)


class RelayInterface(ClientInterface):
    """Serves requests that other instances send on.

    They do so while they reach no target. Jobs are handed over instead. Keys
    are not checked again: this instance's configuration may be older.
    """

    def _identify(self, incoming: _IncomingRequest) -> CallerIdentity:
        is_current = self._routes_current()
        organisation = incoming.header(words.ORGANISATION_HEADER)
        return CallerIdentity.from_relay(
            is_current, self._routes.table, organisation
        )

    def _dispatch(
        self,
        incoming: _IncomingRequest,
        identity: CallerIdentity,
        started: float,
    ) -> tuple[str, Response]:
        if not self._forwarder.reaches_targets:
            raise HibiscusError(
                ErrorKind.NO_TARGET, "This instance reaches no target either."
            )
        relay = RelayHeaders.from_headers(incoming.headers)
        route = identity.find_route(incoming.host, incoming.path)
        headers = {
            name: value
            for name, value in incoming.headers.items()
            if name.lower() not in words.RELAY_HEADERS
        }
        call = self._build_call(
            incoming._replace(headers=headers),
            identity,
            route._replace(max_attempts=relay.max_attempts),
            started,
        )
        call = call._replace(is_relayed=True, avoid=relay.avoid)
        if route.kind is CallKind.STREAM:
            return "relayed_stream", self._open_stream(call)
        return "relayed_call", self._forward(call)

    def _error_response(
        self, error: HibiscusError, incoming: _IncomingRequest
    ) -> Response:
        """Returns an error as the other instance reads it from a target."""
        response = error_response(error)
        if error.ran is not ExecutionStatus.NO:
            return response
        request_id = incoming.header(words.REQUEST_ID_HEADER)
        headers = (
            *response.headers,
            (words.NOT_EXECUTED_HEADER, "1"),
            (words.REQUEST_ID_HEADER, request_id),
        )
        return response._replace(headers=headers)


def _parse_request(environ: dict[str, Any]) -> _IncomingRequest:
    headers = {
        name[5:].replace("_", "-").title(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    host = headers.get("Host", "")
    # Headers named in the Connection header are hop-by-hop too.
    connection_headers = headers.get("Connection", "").lower().split(",")
    dropped = NOT_FORWARDED_HEADERS.union(
        name.strip() for name in connection_headers
    )
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return _IncomingRequest(
        environ["REQUEST_METHOD"],
        # PATH_INFO is percent-decoded; REQUEST_URI has the path as sent.
        environ["REQUEST_URI"],
        host,
        {k: v for k, v in headers.items() if k.lower() not in dropped},
        environ["wsgi.input"].read(length) if length else b"",
        environ.get("waitress.client_disconnected") or (lambda: False),
    )


def _resumed_after(incoming: _IncomingRequest) -> int:
    """Returns the number of the last event that the caller has, or 0.

    Other values are left to the target, which gets the header unchanged.
    """
    text = incoming.header(words.LAST_EVENT_ID_HEADER)
    return int(text) if text.isascii() and text.isdigit() else 0


def _timeout_s(incoming: _IncomingRequest, default_s: float) -> float:
    text = incoming.header(words.DEADLINE_MS_HEADER)
    return (
        _parse_integer(text, words.DEADLINE_MS_HEADER) / MS_PER_S
        if text
        else default_s
    )


def _parse_integer(text: str, name: str) -> int:
    if not text.isdigit():
        raise HibiscusError(
            ErrorKind.BAD_FIELD, f"{name} must be a whole number."
        )
    return int(text)
