"""A model engine with continuous batching, prefix cache and weight versions.

A batch thread generates one token per step for each running request. Queued
requests are admitted by priority, then in order of arrival.

Faults under `extra`:
    slow: Multiplies the step time.
    straggler_share: Share of the requests that generate slowly.
    straggler_pace: Steps that a slow request takes for each token.
    mute: Streams send nothing more but stay open.
    mute_open: As `mute`, only for streams opened before the faults were set.
    wrong_id: Streamed events carry the id of another request.
    cut_after: Aborts each stream after this many tokens.
    cut_open: Aborts streams that were opened before the faults were set, each
        after its next token.
    swap_fails: Switches of the weight version fail.
    refuse: New requests are refused.
"""

import argparse
import hashlib
import heapq
import itertools
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import NamedTuple, TypedDict

import msgspec

from hibiscuspin.edges.wsgi import Request, Response, Route, json_response
from standins.copies import WeightCopies
from standins.faults import Faults
from standins.server import argument_parser, serve
from standins.tokens import expected_tokens

MAX_CACHED_PREFIXES = 256
PREFIX_CHARS = 64
MAX_STORED_REQUESTS = 20_000
LOAD_REPORT_LAG_S = 0.2


class CompletionBody(TypedDict, total=False):
    """The body of `POST /v1/completions`."""

    request_id: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    seed: int
    prefix: list[str]
    stream: bool


class WeightOrder(TypedDict, total=False):
    """The body of `POST /v1/weights/stage` and `POST /v1/weights/switch`."""

    version: int
    source: str
    fencing: int


class RequestRecord(TypedDict):
    """The engine's own record of one request, which tests check."""

    request_id: str
    state: str
    offset: int
    tokens: list[str]
    versions: list[int]


class Generation:
    """The generation of one request."""

    def __init__(self, body: CompletionBody) -> None:
        self.request_id = body["request_id"]
        self.prompt = body["prompt"]
        self.offset = len(body.get("prefix", []))
        self.all_tokens = expected_tokens(
            body["prompt"], body.get("seed", 0), body["max_tokens"]
        )
        self.tokens: list[str] = []
        self.versions: list[int] = []
        self.state = "queued"
        self.prefill_steps = 0
        self.changed = threading.Condition()

    def is_straggler(self, straggler_share: float) -> bool:
        """Returns whether a hash of the request id falls into the share."""
        digest = hashlib.blake2b(self.request_id.encode(), digest_size=4)
        return int.from_bytes(digest.digest()) < straggler_share * 2**32

    def step(self, version: int) -> None:
        """Runs one prefill or decode step; finishes after the last token."""
        with self.changed:
            if self.state != "running":
                return
            if self.prefill_steps > 0:
                self.prefill_steps -= 1
                return
            position = self.offset + len(self.tokens)
            if position < len(self.all_tokens):
                self.tokens.append(self.all_tokens[position])
                self.versions.append(version)
            if position + 1 >= len(self.all_tokens):
                self.state = "finished"
            self.changed.notify_all()

    def has_update(self, position: int) -> bool:
        """Returns whether there are tokens from `position` on, or the end."""
        ended = self.state in ("finished", "cancelled")
        return ended or len(self.tokens) > position

    def record(self) -> RequestRecord:
        """Returns the record as the HTTP interface shows it."""
        with self.changed:
            return {
                "request_id": self.request_id,
                "state": self.state,
                "offset": self.offset,
                "tokens": list(self.tokens),
                "versions": list(self.versions),
            }


class LoadReport(NamedTuple):
    """A load report; `GET /v1/load` shows it `LOAD_REPORT_LAG_S` later.

    `at_s` is wall-clock time.
    """

    running: int
    queued: int
    slots: int
    version: int
    at_s: float


class Engine:
    """One engine: queue, running batch, prefix cache and weights."""

    def __init__(self, args: argparse.Namespace, faults: Faults) -> None:
        self._args = args
        self._faults = faults
        self._lock = threading.Lock()
        self._arrival_numbers = itertools.count()
        self._queue: list[tuple[int, int, Generation]] = []
        self._running: list[Generation] = []
        self._generations_by_id: OrderedDict[str, Generation] = OrderedDict()
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._cache_events: deque[dict[str, object]] = deque(maxlen=1000)
        self._event_number = 0
        self._copies = WeightCopies(args.model, str(args.address))
        self._fencing = 0
        self._draining = False
        self._load_reports: deque[LoadReport] = deque(maxlen=200)
        self._step_count = 0
        threading.Thread(target=self._run_batches, daemon=True).start()

    def routes(self) -> tuple[Route, ...]:
        """Returns the routes of the engine's HTTP interface."""
        return (
            Route("POST", "/v1/completions", self._create_completion),
            Route("GET", "/v1/requests/{request_id}", self._show_request),
            Route(
                "GET", "/v1/requests/{request_id}/stream", self._resume_stream
            ),
            Route("POST", "/v1/requests/{request_id}/cancel", self._cancel),
            Route("GET", "/v1/load", self._show_load),
            Route("GET", "/v1/cache/events", self._list_cache_events),
            Route("GET", "/v1/weights", self._show_weights),
            Route("GET", "/v1/weights/{model}/{version}", self._send_weights),
            Route("GET", "/records/copies", self._copy_records),
            Route("POST", "/v1/weights/stage", self._stage),
            Route("POST", "/v1/weights/switch", self._switch),
            Route("POST", "/v1/drain", self._drain),
            Route("POST", "/crash", self._crash),
            Route("GET", "/records", self._records),
        )

    def _run_batches(self) -> None:
        while True:
            slow = self._faults.extra("slow", 1.0)
            time.sleep(self._args.token_s * slow)
            with self._lock:
                self._admit()
                running = list(self._running)
                version = self._copies.current
            straggler_share = self._faults.extra("straggler_share")
            steps_per_token = int(self._faults.extra("straggler_pace", 1.0))
            self._step_count += 1
            for generation in running:
                if (
                    self._step_count % steps_per_token
                    and generation.is_straggler(straggler_share)
                ):
                    continue
                generation.step(version)
            with self._lock:
                self._running = [
                    g for g in self._running if g.state == "running"
                ]
                self._load_reports.append(self._current_load())

    def _admit(self) -> None:
        while self._queue and len(self._running) < self._args.slots:
            generation = heapq.heappop(self._queue)[2]
            if generation.state != "queued":
                continue
            generation.state = "running"
            generation.prefill_steps = self._prefill_steps(generation.prompt)
            self._running.append(generation)

    def _prefill_steps(self, prompt: str) -> int:
        prefix = prompt[:PREFIX_CHARS]
        is_cached = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if not is_cached:
            self._add_cache_event("stored", prefix)
        if len(self._cache) > MAX_CACHED_PREFIXES:
            self._add_cache_event("evicted", self._cache.popitem(last=False)[0])
        return 0 if is_cached else self._args.prefill_steps

    def _add_cache_event(self, kind: str, prefix: str) -> None:
        self._event_number += 1
        event = {"number": self._event_number, "kind": kind, "prefix": prefix}
        self._cache_events.append(event)

    def _current_load(self) -> LoadReport:
        queued = sum(1 for q in self._queue if q[2].state == "queued")
        return LoadReport(
            len(self._running),
            queued,
            self._args.slots,
            self._copies.current,
            time.time(),
        )

    def _create_completion(self, request: Request) -> Response:
        body = request.json(CompletionBody)
        with self._lock:
            if self._draining or self._faults.extra("refuse"):
                return json_response({"error": "draining"}, 503)
            if body["model"] != self._args.model:
                return json_response({"error": "unknown model"}, 404)
            existing = self._generations_by_id.get(body["request_id"])
            if existing is not None:
                return json_response(
                    {"error": "request id already in use"}, 409
                )
            generation = Generation(body)
            self._generations_by_id[generation.request_id] = generation
            if len(self._generations_by_id) > MAX_STORED_REQUESTS:
                self._generations_by_id.popitem(last=False)
            entry = (
                -body.get("priority", 0),
                next(self._arrival_numbers),
                generation,
            )
            heapq.heappush(self._queue, entry)
        return self._stream_response(generation, generation.offset)

    def _stream_response(self, generation: Generation, offset: int) -> Response:
        return Response(
            200, "text/event-stream", self._event_stream(generation, offset)
        )

    def _event_stream(
        self, generation: Generation, offset: int
    ) -> Iterator[bytes]:
        cut_after = int(self._faults.extra("cut_after"))
        changes_at_open = self._faults.change_count
        sent = 0
        position = offset - generation.offset
        while True:
            with generation.changed:
                while not generation.has_update(position):
                    generation.changed.wait()
                tokens = generation.tokens[position:]
                versions = generation.versions[position:]
                state = generation.state
            while self._is_mute(changes_at_open):
                time.sleep(0.05)
            for token, version in zip(tokens, versions, strict=True):
                index = generation.offset + position
                event = {
                    "id": self._reported_id(generation),
                    "index": index,
                    "token": token,
                }
                if not self._args.untagged:
                    event["version"] = version
                yield b"data: " + msgspec.json.encode(event) + b"\n\n"
                position += 1
                sent += 1
                if (
                    cut_after
                    and sent >= cut_after
                    or self._is_cut(changes_at_open)
                ):
                    raise ConnectionAbortedError(
                        "stream aborted by an injected fault"
                    )
            if state == "cancelled":
                raise ConnectionAbortedError("request cancelled")
            if state == "finished" and position >= len(generation.tokens):
                yield b"data: [DONE]\n\n"
                return

    def _is_mute(self, changes_at_open: int) -> bool:
        """Returns whether a fault silences the stream without closing it."""
        if self._faults.extra("mute"):
            return True
        opened_before = changes_at_open < self._faults.change_count
        return opened_before and bool(self._faults.extra("mute_open"))

    def _is_cut(self, changes_at_open: int) -> bool:
        """Returns whether `cut_open` aborts the stream."""
        opened_before = changes_at_open < self._faults.change_count
        return opened_before and bool(self._faults.extra("cut_open"))

    def _reported_id(self, generation: Generation) -> str:
        wrong = self._faults.extra("wrong_id")
        return "another-request" if wrong else generation.request_id

    def _find_generation(self, request_id: str) -> Generation | None:
        with self._lock:
            return self._generations_by_id.get(request_id)

    def _show_request(self, request: Request, request_id: str) -> Response:
        generation = self._find_generation(request_id)
        if generation is None:
            return json_response({"state": "unknown"}, 404)
        return json_response(generation.record())

    def _resume_stream(self, request: Request, request_id: str) -> Response:
        generation = self._find_generation(request_id)
        if generation is None:
            return json_response({"state": "unknown"}, 404)
        offset = int(request.query.get("offset", 0))
        return self._stream_response(generation, max(offset, generation.offset))

    def _cancel(self, request: Request, request_id: str) -> Response:
        generation = self._find_generation(request_id)
        if generation is None:
            return json_response({"state": "unknown"}, 404)
        with generation.changed:
            if generation.state in ("queued", "running"):
                generation.state = "cancelled"
            generation.changed.notify_all()
        return json_response({"state": generation.state})

    def _show_load(self, request: Request) -> Response:
        visible_until_s = time.time() - LOAD_REPORT_LAG_S
        with self._lock:
            report = self._current_load()
            for older in reversed(self._load_reports):
                report = older
                if older.at_s <= visible_until_s:
                    break
        return json_response(report._asdict())

    def _list_cache_events(self, request: Request) -> Response:
        after = int(request.query.get("after", 0))
        with self._lock:
            events = [
                e for e in self._cache_events if int(str(e["number"])) > after
            ]
        return json_response({"events": events})

    def _show_weights(self, request: Request) -> Response:
        return json_response(self._copies.state())

    def _send_weights(
        self, request: Request, model: str, version: str
    ) -> Response:
        size = self._copies.size_bytes(int(version))
        if size is None:
            return json_response({"error": "not held"}, 404)
        body = {"model": model, "version": version, "bytes": size}
        return json_response(body)

    def _stage(self, request: Request) -> Response:
        order = request.json(WeightOrder)
        with self._lock:
            if self._is_stale(order):
                return json_response({"error": "old fencing number"}, 409)
        self._copies.fetch(order["version"], order["source"])
        return json_response({"staging": order["version"]}, 202)

    def _switch(self, request: Request) -> Response:
        order = request.json(WeightOrder)
        if self._faults.extra("swap_fails"):
            return json_response({"error": "swap failed"}, 500)
        with self._lock:
            if self._is_stale(order):
                return json_response({"error": "old fencing number"}, 409)
            if not self._copies.switch(order["version"]):
                return json_response({"error": "not staged"}, 409)
        return json_response({"current": order["version"]})

    def _is_stale(self, order: WeightOrder) -> bool:
        if self._args.ignores_fencing:
            return False
        fencing = order.get("fencing", 0)
        if fencing < self._fencing:
            return True
        self._fencing = fencing
        return False

    def _crash(self, request: Request) -> Response:
        """Drops weights, cache and requests in flight; keeps the records."""
        with self._lock:
            lost = [
                g
                for g in self._generations_by_id.values()
                if g.state != "finished"
            ]
            self._queue.clear()
            self._running.clear()
            self._cache.clear()
            self._copies.reset_to_image()
        for generation in lost:
            with generation.changed:
                generation.state = "cancelled"
                generation.changed.notify_all()
        return json_response({"lost": len(lost)})

    def _drain(self, request: Request) -> Response:
        with self._lock:
            self._draining = request.json(dict[str, bool]).get("drain", True)
        return json_response({"draining": self._draining})

    def _copy_records(self, request: Request) -> Response:
        return json_response(self._copies.record())

    def _records(self, request: Request) -> Response:
        with self._lock:
            generations = list(self._generations_by_id.values())
        return json_response([g.record() for g in generations])


def main() -> None:
    """Runs the engine."""
    parser = argument_parser("Stand-in for a model engine.")
    parser.add_argument("--model", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-s", type=float, default=0.01)
    parser.add_argument("--prefill-steps", type=int, default=5)
    parser.add_argument("--untagged", action="store_true")
    parser.add_argument("--ignores-fencing", action="store_true")
    args = parser.parse_args()
    faults = Faults()
    serve(args, Engine(args, faults).routes(), faults)


if __name__ == "__main__":
    main()
