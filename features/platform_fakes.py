"""In-memory store, targets and peers that can be made to fail."""

import contextlib
import itertools
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec

from features.memory_links import LinkedStream, MemoryPeerClient, TargetLinks
from hibiscuspin.clock import SystemClock
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.decisions.routes import (
    CallKind,
    ClientLimits,
    ForwardRoute,
    RouteTable,
    sorted_routes,
)
from hibiscuspin.edges import StoreError, TargetError, WaitLimits
from hibiscuspin.edges.discovery import (
    LimitListener,
    OrderOutcome,
    ProxiedRequest,
    ProxiedResponse,
    ServerSentEvent,
    TargetRecord,
    TargetState,
    WeightOrder,
)
from hibiscuspin.edges.transactions import (
    CommitConflict,
    CommitResult,
    LeaseGrant,
    LeaseLostError,
    PutOperation,
    ScanResult,
    StoredValue,
    Transaction,
    WatchResult,
)
from hibiscuspin.errors import HibiscusError
from hibiscuspin.metrics import Metrics
from hibiscuspin.peers.rpc import PeerUnreachableError
from hibiscuspin.settings import Address
from hibiscuspin.tasks.crash_exchange import CrashExchange
from hibiscuspin.tasks.discovered import Connect, DiscoveredTargets
from hibiscuspin.tasks.forwarding import Forwarder
from hibiscuspin.tasks.job_store import (
    JobContents,
    JobItem,
    JobStore,
    RewardRequest,
)
from hibiscuspin.tasks.jobs import Jobs
from hibiscuspin.tasks.limit_shares import LimitShares
from hibiscuspin.tasks.local_job import JobDependencies
from hibiscuspin.tasks.peer_targets import PeerTargets
from hibiscuspin.tasks.reward_calls import RewardCaller
from hibiscuspin.tasks.route_table import Routes
from hibiscuspin.tasks.scoring import Scoring
from hibiscuspin.tasks.stream_exchange import StreamExchange
from hibiscuspin.tasks.stream_forwarding import StreamForwarder
from hibiscuspin.tasks.stream_origins import StreamOrigins
from hibiscuspin.tasks.stream_records import StreamRecords
from hibiscuspin.tasks.target_exchange import TargetExchange
from hibiscuspin.tasks.target_reach import ReachProbes

EVENT_S = 0.004
# How long a target that crashed is away.
DOWN_S = 0.4
START_TIMEOUT_S = 5.0
SERVICE = "llm"
SCORING_SERVICE = "app"
REWARD_PATH = "/rewards/x"
MODEL = "m"


class MemoryStore:
    """A `TransactionStore` whose faults are set as attributes.

    Attributes:
        down: Whether every call fails without effect.
        replies_to_lose: How many of the next commits take effect but get
            no reply.
        commits_to_delay: How many of the next commits get no reply and
            take effect only at `apply_delayed`.
        delayed_commits: Commits that wait for `apply_delayed`.
        commit_s: How long a commit takes; without a reply if that is longer
            than its deadline.
        committed_keys: Keys of all puts that took effect, in order.
    """

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._value_by_key: dict[str, StoredValue] = {}
        self._revision = 0
        self._lease_ids = itertools.count(1)
        self._live_leases: set[int] = set()
        self.down = False
        self.replies_to_lose = 0
        self.commits_to_delay = 0
        self.commit_s = 0.0
        self.delayed_commits: list[Transaction] = []
        self.committed_keys: list[str] = []

    def _check(self) -> None:
        if self.down:
            raise StoreError("store is down", False)

    def read(self, key: str, deadline: float) -> StoredValue | None:
        """Reads one key."""
        self._check()
        return self._value_by_key.get(key)

    def scan(self, prefix: str, deadline: float) -> ScanResult:
        """Reads all keys under a prefix."""
        self._check()
        with self._lock:
            rows = [
                value
                for key, value in sorted(self._value_by_key.items())
                if key.startswith(prefix)
            ]
            return ScanResult(tuple(rows), self._revision)

    def watch(
        self, prefix: str, after: int, wait_s: float, deadline: float
    ) -> WatchResult:
        """Fails: no test watches this store."""
        raise StoreError("watches are not supported", False)

    def commit(
        self, transaction: Transaction, deadline: float
    ) -> CommitResult | CommitConflict:
        """Commits a transaction, unless a fault is set."""
        self._check()
        with self._lock:
            if self.commits_to_delay:
                self.commits_to_delay -= 1
                self.delayed_commits.append(transaction)
                raise StoreError("no reply", None)
            outcome = self._apply(transaction)
            if self.replies_to_lose:
                self.replies_to_lose -= 1
                raise StoreError("no reply", None)
        if self.commit_s:
            left_s = deadline - SystemClock().monotonic()
            time.sleep(max(0.0, min(self.commit_s, left_s)))
            if left_s < self.commit_s:
                raise StoreError("no reply in time", None)
        return outcome

    def apply_delayed(self) -> list[CommitResult | CommitConflict]:
        """Commits the delayed transactions, unless they conflict by now."""
        with self._lock:
            delayed, self.delayed_commits = self.delayed_commits, []
            return [self._apply(transaction) for transaction in delayed]

    def _apply(self, transaction: Transaction) -> CommitResult | CommitConflict:
        stored = self._value_by_key
        for put in transaction.puts:
            if put.lease and put.lease not in self._live_leases:
                raise LeaseLostError("lease ended", False)
        for key, revision in transaction.expected.items():
            if (stored[key].revision if key in stored else 0) != revision:
                keys = transaction.expected.keys() & stored.keys()
                return CommitConflict({key: stored[key] for key in keys})
        self._revision += 1
        for put in transaction.puts:
            created = stored[put.key].created if put.key in stored else 0
            stored[put.key] = StoredValue(
                put.key,
                put.value,
                self._revision,
                created or self._revision,
                put.lease,
            )
            self.committed_keys.append(put.key)
        for key in transaction.deletes:
            stored.pop(key, None)
        return CommitResult(self._revision)

    def write(self, key: str, value: object) -> int:
        """Writes a value in JSON without a condition; returns its revision."""
        put = PutOperation(key, msgspec.json.encode(value))
        outcome = self._apply(Transaction({}, (put,)))
        assert isinstance(outcome, CommitResult)
        return outcome.revision

    def rewrite(self, key: str) -> None:
        """Writes the value that a key has, so that it gets a new revision."""
        put = PutOperation(key, self._value_by_key[key].value)
        self._apply(Transaction({}, (put,)))

    def grant_lease(self, ttl_s: float, deadline: float) -> LeaseGrant:
        """Creates a lease."""
        self._check()
        lease = next(self._lease_ids)
        self._live_leases.add(lease)
        return LeaseGrant(lease, ttl_s)

    def renew_lease(self, lease: int, deadline: float) -> None:
        """Renews a lease."""
        self._check()
        if lease not in self._live_leases:
            raise LeaseLostError("lease ended", False)

    def revoke_lease(self, lease: int, deadline: float) -> None:
        """Ends a lease and deletes its keys."""
        self._live_leases.discard(lease)
        with self._lock:
            for key, value in list(self._value_by_key.items()):
                if value.lease == lease:
                    self._revision += 1
                    del self._value_by_key[key]


class StoreConnection:
    """One instance's connection to the store.

    Attributes:
        cut: Whether every call fails, as in a network partition.
        call_count: How many calls the instance has made since its start.
    """

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.cut = False
        self.call_count = 0

    def __getattr__(self, name: str) -> Any:
        self.call_count += 1
        if self.cut:
            raise StoreError("store is unreachable", False)
        return getattr(self._store, name)


class MemoryTarget:
    """A `TargetClient` that generates events; faults are set as attributes.

    Attributes:
        version: The version of the weights that it serves.
        event_s: Time between two events.
        fault: How it fails: an HTTP status, `full`, `unreachable`, `broken`,
            `silent`, `break` (after `break_at` events of a run), or an empty
            string for no fault.
        failures_by_request: How many of the next runs of each request fail
            with status 500.
        runs: For each request id, the event after which each run started.
        sent_at: For each request id, when each call to `send` arrived.
        stamps: For each request id, the stamps of its successful responses.
        ended_at: For each request id, when its last event was generated.
        running_count: Runs in flight.
        says_draining: Whether its responses say that it is draining.
        limit_per_s: The request limit that its responses name, or None.
        crashing_body: A request with this body crashes it; None for none.
        born_ms: When its incarnation started; a crash starts another one.
        down_until: Until when nothing listens after a crash.
        is_unreachable: Whether connections to it hang.
        listens_after_crash_s: How long it still listens after a crash.
        crashed_at: When each request with that body arrived.
        arrived_at: When each request and each run arrived.
        software_version: The version of its software.
        marks_events: Whether each event names the software version.
        is_draining: Whether its entry says that it is draining.
        requests: All requests that it got.
        is_fresh_by_stream: Whether each stream came on a new connection, by
            its request's id.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.version = 1
        self.event_s = EVENT_S
        self.fault = ""
        self.break_at = 3
        self.failures_by_request: Counter[str] = Counter()
        self.runs: dict[str, list[int]] = {}
        self.sent_at: dict[str, list[float]] = {}
        self.stamps: dict[str, list[str]] = {}
        self.ended_at: dict[str, float] = {}
        self.running_count = 0
        self.says_draining = False
        self.limit_per_s: float | None = None
        self.crashing_body: bytes | None = None
        self.born_ms = 1
        self.down_until = 0.0
        self.is_unreachable = False
        self.listens_after_crash_s = 0.0
        self.crashed_at: list[float] = []
        self.arrived_at: list[float] = []
        self.orders: list[WeightOrder] = []
        self.software_version = "v1"
        self.marks_events = False
        self.is_draining = False
        self.requests: list[ProxiedRequest] = []
        self.is_fresh_by_stream: dict[str, bool] = {}

    def send(
        self,
        request: ProxiedRequest,
        deadline: float,
        check: Callable[[], None],
        *,
        fresh: bool = False,
    ) -> ProxiedResponse:
        """Responds with its name, after the time of one event."""
        self.requests.append(request)
        self.runs.setdefault(request.request_id, []).append(0)
        arrived_at = SystemClock().monotonic()
        born_ms = self._check_up()
        self.arrived_at.append(arrived_at)
        self.sent_at.setdefault(request.request_id, []).append(arrived_at)
        self._raise_fault()
        if request.body == self.crashing_body:
            self.crashed_at.append(arrived_at)
            self.crash()
        ends_at = min(deadline, SystemClock().monotonic() + self.event_s)
        if self.fault == "silent":
            ends_at = deadline
        while SystemClock().monotonic() < ends_at:
            check()
            time.sleep(0.002)
            if self.born_ms != born_ms:
                raise TargetError(
                    "closed without response", sent=True, disconnected=True
                )
        if self.fault == "silent":
            raise TargetError("no response", sent=True, silent=True)
        status = int(self.fault) if self.fault else 200
        stamps = self.stamps.setdefault(request.request_id, [])
        stamp = f"{self.name}-{request.request_id}-{len(stamps)}"
        if status == 200:
            stamps.append(stamp)
        headers = [("X-Name", self.name)]
        return ProxiedResponse(status, headers, b"answer", stamp)

    def crash(self) -> None:
        """Ends this incarnation; the next one listens after `DOWN_S`."""
        self.born_ms += 1
        self.down_until = SystemClock().monotonic() + DOWN_S

    def is_listening(self, deadline: float) -> bool:
        """Returns whether a connection would be accepted."""
        if self.is_unreachable:
            raise TargetError("connection timed out", sent=False, silent=True)
        now = SystemClock().monotonic()
        stops_at = self.down_until - DOWN_S + self.listens_after_crash_s
        if now >= self.down_until:
            return True
        return self.listens_after_crash_s > 0 and now < stops_at

    @property
    def registered_born_ms(self) -> int:
        """The incarnation in its entry, which stays after a crash."""
        return self.born_ms - (SystemClock().monotonic() < self.down_until)

    def _check_up(self) -> int:
        """Returns the incarnation; raises an error if nothing listens."""
        if SystemClock().monotonic() < self.down_until:
            raise TargetError("connection refused", sent=False)
        return self.born_ms

    def _raise_fault(self) -> None:
        if self.fault == "full":
            raise TargetError(
                "no free slot", sent=True, refused=True, status=503
            )
        if self.fault == "unreachable":
            raise TargetError("no connection", sent=False)
        if self.fault == "broken":
            raise TargetError("connection reset", sent=True)

    def open_stream(
        self,
        request: ProxiedRequest,
        after: int,
        wait: WaitLimits,
        *,
        fresh: bool = False,
    ) -> "MemoryStream":
        """Starts a run whose first event follows the event `after`."""
        after = after or int(request.headers.get("Last-Event-Id", 0))
        self.requests.append(request)
        self.is_fresh_by_stream[request.request_id] = fresh
        self.runs.setdefault(request.request_id, []).append(after)
        self._check_up()
        self.arrived_at.append(SystemClock().monotonic())
        self._raise_fault()
        if self.fault.isdigit():
            status = int(self.fault)
            raise TargetError("error status", sent=True, status=status)
        if self.failures_by_request[request.request_id] > 0:
            self.failures_by_request[request.request_id] -= 1
            raise TargetError("error status", sent=True, status=500)
        return MemoryStream(self, request, after)

    def fetch_state(self, deadline: float) -> TargetState:
        """Returns the served version and the number of weight orders."""
        self._check_up()
        if self.fault == "unreachable":
            raise TargetError("no connection", sent=False)
        return TargetState(
            {MODEL: self.version}, False, len(self.orders), 0, self.born_ms
        )

    def send_order(self, order: WeightOrder, deadline: float) -> OrderOutcome:
        """Loads the ordered version immediately."""
        self.orders.append(order)
        self.version = order.version
        return OrderOutcome(True, False, "")

    def close(self) -> None:
        """Does nothing."""


class MemoryStream:
    """The events of one run; the request's body is the last event number."""

    headers: Sequence[tuple[str, str]] = ()

    def __init__(
        self, target: MemoryTarget, request: ProxiedRequest, after: int
    ) -> None:
        self.connected_at = SystemClock().monotonic()
        self._target = target
        self._born_ms = target.born_ms
        self._request_id = request.request_id
        self._next_number = after + 1
        self._last_number = int(request.body)
        self._generated_count = 0
        mark = f"@{target.software_version}" if target.marks_events else ""
        self._mark = mark
        self._next_at = SystemClock().monotonic() + target.event_s
        target.running_count += 1

    def read(self, wait: WaitLimits) -> list[ServerSentEvent]:
        """Returns the events generated by now, after waiting for the first."""
        wait.check()
        target = self._target
        if target.born_ms != self._born_ms:
            raise TargetError("closed", sent=True, disconnected=True)
        if target.fault == "silent":
            time.sleep(0.05)
            raise TargetError("stream stalled", sent=True, silent=True)
        pause_s = max(0.0, self._next_at - SystemClock().monotonic())
        time.sleep(min(pause_s, wait.stall_s))
        if pause_s > wait.stall_s:
            raise TargetError("stream stalled", sent=True, silent=True)
        events: list[ServerSentEvent] = []
        while self._next_number <= self._last_number and self._is_next_due():
            data = f"{self._request_id}-{self._next_number}{self._mark}"
            raw = f"{self._next_number}{self._mark}\n".encode()
            events.append(
                ServerSentEvent(raw, self._next_number, data, target.version)
            )
            target.ended_at[self._request_id] = self._next_at
            self._next_number += 1
            self._generated_count += 1
            self._next_at += target.event_s
        if target.fault == "break" and self._generated_count >= target.break_at:
            raise TargetError("stream broke off", sent=True)
        return events

    def _is_next_due(self) -> bool:
        return self._next_at <= SystemClock().monotonic()

    def close(self) -> None:
        """Ends the run."""
        self._target.running_count -= 1


class MemoryClient:
    """One instance's client of a `MemoryTarget`."""

    def __init__(
        self,
        target: MemoryTarget,
        on_draining: Callable[[], None],
        on_limit: LimitListener,
        links: TargetLinks | None = None,
    ) -> None:
        self._links = links or TargetLinks()
        self._target = target
        self._on_draining = on_draining
        self._on_limit = on_limit

    def send(
        self,
        request: ProxiedRequest,
        deadline: float,
        check: Callable[[], None],
        **options: Any,
    ) -> ProxiedResponse:
        """Sends a request; see `MemoryTarget.send`."""
        self._links.connect(request.request_id, deadline, check)
        self._notify_draining()
        sent_at = SystemClock().monotonic()
        try:
            return self._target.send(request, deadline, check, **options)
        finally:
            self._on_limit(self._target.limit_per_s, sent_at)

    def open_stream(
        self,
        request: ProxiedRequest,
        after: int,
        wait: WaitLimits,
        *,
        fresh: bool = False,
    ) -> LinkedStream:
        """Starts a run; see `MemoryTarget.open_stream`."""
        self._links.connect(request.request_id, wait.deadline, wait.check)
        self._notify_draining()
        sent_at = SystemClock().monotonic()
        try:
            stream = self._target.open_stream(request, after, wait, fresh=fresh)
            return LinkedStream(stream, self._links)
        finally:
            self._on_limit(self._target.limit_per_s, sent_at)

    def is_listening(self, deadline: float) -> bool:
        """Returns whether it accepts connections."""
        if not self._links.is_listening(deadline):
            return False
        return self._target.is_listening(deadline)

    def fetch_state(self, deadline: float) -> TargetState:
        """Queries the state; see `MemoryTarget.fetch_state`."""
        self._notify_draining()
        return self._target.fetch_state(deadline)

    def send_order(self, order: WeightOrder, deadline: float) -> OrderOutcome:
        """Sends an order; see `MemoryTarget.send_order`."""
        self._notify_draining()
        return self._target.send_order(order, deadline)

    def _notify_draining(self) -> None:
        if self._target.says_draining:
            self._on_draining()

    def close(self) -> None:
        """Does nothing."""


def connect_to(
    target_by_name: Mapping[str, MemoryTarget],
    links: TargetLinks | None = None,
) -> Connect:
    """Returns a function that creates the clients of one instance."""
    return lambda record, on_draining, on_limit: MemoryClient(
        target_by_name[record.name], on_draining, on_limit, links
    )


def connect_to_new(
    record: TargetRecord,
    on_draining: Callable[[], None],
    on_limit: LimitListener,
) -> MemoryClient:
    """Creates a client of a target that no test looks at."""
    return MemoryClient(MemoryTarget(record.name), on_draining, on_limit)


class MemoryInstances:
    """One instance's view of the live instances."""

    def __init__(
        self,
        member: LiveInstance,
        members: dict[str, LiveInstance],
        departed: dict[str, LiveInstance],
    ) -> None:
        self.member = member
        self._members = members
        self._departed = departed

    def is_view_loaded(self) -> bool:
        """Returns that the registrations are known."""
        return True

    def last_known(self, name: str) -> LiveInstance | None:
        """Returns a live or departed instance."""
        return self._members.get(name) or self._departed.get(name)

    def members(self) -> dict[str, LiveInstance]:
        """Returns the live instances."""
        return dict(self._members)

    def coordinator(self) -> str:
        """Returns an empty string: there is no coordinator."""
        return ""

    def term(self) -> None:
        """Returns None: there is no coordinator."""
        return

    def others(self) -> list[LiveInstance]:
        """Returns all live instances but this one."""
        return [m for m in self._members.values() if m != self.member]


class MemoryPeers:
    """Calls between instances.

    Those at `unreachable_addresses` get no call, and those at
    `answerless_addresses` serve calls whose answers are lost.
    """

    def __init__(self) -> None:
        self.handlers_by_address: dict[str, Mapping[str, Any]] = {}
        self.unreachable_addresses: set[str] = set()
        self.answerless_addresses: set[str] = set()
        self.suspect_addresses: set[str] = set()

    def is_suspect(self, address: str) -> bool:
        """Returns whether the last call to an instance failed."""
        return address in self.suspect_addresses

    def call(
        self, address: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Calls an instance."""
        if (
            address in self.unreachable_addresses
            or address not in self.handlers_by_address
        ):
            self.suspect_addresses.add(address)
            raise PeerUnreachableError(address)
        self.suspect_addresses.discard(address)
        handler = self.handlers_by_address[address][method]
        if address in self.answerless_addresses:
            with contextlib.suppress(HibiscusError):
                handler(body)
            raise PeerUnreachableError(f"no answer from {address}")
        result: bytes = handler(body)
        return result


class PeerConnection:
    """One instance's calls to the others.

    Attributes:
        cut_from: The names of the instances that it can't reach.
        loses_streams_from: The names of the instances from which the response
            to a stream is lost after its first event.
    """

    def __init__(self, peers: MemoryPeers) -> None:
        self._peers = peers
        self._suspects: set[str] = set()
        self.cut_from: set[str] = set()
        self.loses_streams_from: set[str] = set()

    def is_suspect(self, address: str) -> bool:
        """Returns whether the last call to an instance failed."""
        return address in self._suspects or self._peers.is_suspect(address)

    def call(
        self,
        address: str,
        method: str,
        body: bytes,
        timeout_s: float,
        *,
        stall_s: float | None = None,
        check: Callable[[], None] | None = None,
    ) -> bytes:
        """Calls an instance, unless it can't be reached."""
        if address.partition("/")[0] in self.cut_from:
            self._suspects.add(address)
            raise PeerUnreachableError(address)
        self._suspects.discard(address)
        return self._peers.call(address, method, body, timeout_s)


def lone_streams(targets: DiscoveredTargets) -> StreamForwarder:
    """Returns the stream forwarder of an instance that knows no other one."""
    clock = SystemClock()
    member = LiveInstance("lone", "1", "lone/1", "dc")
    instances: Any = MemoryInstances(member, {}, {})
    peers: Any = PeerConnection(MemoryPeers())
    origins = StreamExchange(StreamOrigins(clock), instances, peers, clock)
    return StreamForwarder(targets, origins, clock)


ROUTE = ForwardRoute(
    name="r",
    host="h",
    prefix="/jobs/",
    kind=CallKind.JOB,
    weight_by_service={SERVICE: 1.0},
    timeout_s=10.0,
    objective_s=0.5,
    max_attempts=3,
    result_due_s=7.5,
    keep_s=40.0,
)

REWARD_ROUTE = ForwardRoute(
    name="rewards",
    host="h",
    prefix="/rewards/",
    kind=CallKind.REPEATABLE,
    weight_by_service={SCORING_SERVICE: 1.0},
    timeout_s=0.5,
    objective_s=0.2,
    max_attempts=4,
)


def reward_table(version: int, *routes: ForwardRoute) -> RouteTable:
    """Returns a configuration with these routes."""
    limits = ClientLimits(16384, 1 << 20, 3.0, 15.0)
    return RouteTable(version, sorted_routes(routes), limits, {})


class MemoryFleet:
    """Instances that share targets and one store."""

    def __init__(
        self, targets: int = 2, slots: int = 8, scorers: int = 0
    ) -> None:
        self.clock = SystemClock()
        self.store = MemoryStore()
        self.peers = MemoryPeers()
        self.members: dict[str, LiveInstance] = {}
        self.departed: dict[str, LiveInstance] = {}
        self.instances_by_name: dict[str, Any] = {}
        self.target_by_name = {
            f"t{number}": MemoryTarget(f"t{number}")
            for number in range(targets)
        }
        self.scorer_by_name = {
            f"s{number}": MemoryTarget(f"s{number}")
            for number in range(scorers)
        }
        self.routes = Routes(random.Random(1))
        self.routes.activate(reward_table(1, REWARD_ROUTE))
        self.scoring_queues: list[Scoring] = []
        self.stop = threading.Event()
        self.slots = slots
        self.jobs_by_name: dict[str, Jobs] = {}
        self.exchange_by_name: dict[str, TargetExchange] = {}
        self.connection_by_name: dict[str, StoreConnection] = {}
        self.discovered_by_name: dict[str, DiscoveredTargets] = {}
        self.route: ForwardRoute | None = ROUTE
        self.executors: list[ThreadPoolExecutor] = []
        self.forwarder_by_name: dict[str, Forwarder] = {}
        self.streams_by_name: dict[str, StreamForwarder] = {}
        self.links_by_name: dict[str, TargetLinks] = {}
        # The route of a request that one instance sends on for another.
        self.route_of_request: Callable[[ProxiedRequest], ForwardRoute] = (
            lambda request: REWARD_ROUTE
        )
        self.peers_by_name: dict[str, PeerConnection] = {}
        self.interruptible: list[
            LimitShares | CrashExchange | StreamExchange | StreamRecords
        ] = []
        self.stop_by_name: dict[str, threading.Event] = {}

    def records(self) -> list[TargetRecord]:
        """Returns the record that each target registers."""
        return [
            TargetRecord(
                name,
                target.registered_born_ms,
                SERVICE,
                Address("127.0.0.1", number + 1),
                "dc",
                self.slots,
                target.is_draining,
                {MODEL: target.version},
                target.software_version,
            )
            for number, (name, target) in enumerate(self.target_by_name.items())
        ] + [
            TargetRecord(
                name,
                1,
                SCORING_SERVICE,
                Address("127.0.0.1", 1000 + number),
                "dc",
                self.slots,
                False,
                {},
            )
            for number, name in enumerate(self.scorer_by_name)
        ]

    def start(self, name: str, term: str = "1") -> Jobs:
        """Starts an instance, or restarts it under a new term."""
        member = LiveInstance(name, term, f"{name}/{term}", "dc")
        self.members[name] = member
        targets = DiscoveredTargets(
            "dc",
            {"dc": "r"},
            self.clock,
            connect_to(
                {**self.target_by_name, **self.scorer_by_name},
                self.links_by_name.setdefault(name, TargetLinks()),
            ),
        )
        targets.replace(self.records(), 0.0)
        connection = StoreConnection(self.store)
        store: Any = connection
        instances: Any = MemoryInstances(member, self.members, self.departed)
        self.instances_by_name[name] = instances
        peers: Any = PeerConnection(self.peers)
        self.peers_by_name[name] = peers
        run_executor, store_executor = (
            ThreadPoolExecutor(32),
            ThreadPoolExecutor(4),
        )
        self.executors += [run_executor, store_executor]
        peer_targets = PeerTargets(
            instances,
            lambda other: self._connect_peer(peers, other.name),
            {"dc": "r"},
            self.clock,
        )
        forwarder = Forwarder(targets, self.clock, peer_targets)
        self.forwarder_by_name[name] = forwarder
        origins = StreamOrigins(self.clock)
        streams = StreamExchange(origins, instances, peers, self.clock)
        records = StreamRecords(origins, instances, store, self.clock)
        self.streams_by_name[name] = StreamForwarder(
            targets, streams, self.clock, peers=peer_targets
        )
        rewards = RewardCaller(self.routes, forwarder, self.clock)
        scoring = Scoring(self.clock, rewards.startable_calls, Metrics())
        self.scoring_queues.append(scoring)
        run_executor.submit(scoring.run, self.stop)
        dependencies = JobDependencies(
            JobStore(store, self.clock),
            targets,
            rewards,
            scoring,
            run_executor,
            store_executor,
            self._route_of,
            lambda service: 1.0,
            self.clock,
        )
        jobs = Jobs(
            dependencies,
            instances,
            peers,
            lambda: not (self.store.down or connection.cut),
        )
        exchange = TargetExchange(
            targets, jobs.open_jobs, instances, peers, self.clock
        )
        self.exchange_by_name[name] = exchange
        shares = LimitShares(targets, instances, peers, self.clock)
        reports = CrashExchange(
            targets.crashes, instances, peers, store, self.clock
        )
        probes = ReachProbes(targets.reach, targets.accepting_work, self.clock)
        shares_executor = ThreadPoolExecutor(5)
        self.executors.append(shares_executor)
        stop = self.stop_by_name.setdefault(name, threading.Event())
        stop.set()
        stop = self.stop_by_name[name] = threading.Event()
        self.interruptible += [shares, reports, streams, records]
        for task in (shares, reports, streams, records, probes):
            shares_executor.submit(task.run, stop)
        self.peers.handlers_by_address[member.address] = {
            **jobs.handlers(),
            **exchange.handlers(),
            **shares.handlers(),
            **reports.handlers(),
            **streams.handlers(),
        }
        # Its calls to the store at the start must not count as a test's own.
        loaded_by = self.clock.monotonic() + START_TIMEOUT_S
        while not (targets.crashes.is_loaded and records.is_restored):
            assert self.clock.monotonic() < loaded_by, "no records read"
            time.sleep(0.002)
        connection.call_count = 0
        self.connection_by_name[name] = connection
        self.discovered_by_name[name] = targets
        self.jobs_by_name[name] = jobs
        return jobs

    def _connect_peer(
        self, connection: PeerConnection, name: str
    ) -> MemoryPeerClient:
        def serves(name: str) -> tuple[Forwarder, StreamForwarder]:
            if name in connection.cut_from:
                raise TargetError("instance is unreachable", sent=False)
            return self.forwarder_by_name[name], self.streams_by_name[name]

        return MemoryPeerClient(
            name,
            serves,
            self.route_of_request,
            lambda: name in connection.loses_streams_from,
        )

    def _route_of(
        self, contents: JobContents
    ) -> tuple[ForwardRoute, str] | None:
        return (self.route, SERVICE) if self.route else None

    def refresh_targets(self) -> None:
        """Passes the current list of targets to all instances."""
        for targets in self.discovered_by_name.values():
            targets.replace(self.records(), 0.0)

    def kill(self, name: str) -> None:
        """Cuts an instance off from the store and its peers; stops its jobs."""
        member = self.members.pop(name)
        self.peers.unreachable_addresses.add(member.address)
        self.connection_by_name[name].cut = True
        jobs = self.jobs_by_name.pop(name)
        for local in list(jobs._job_by_id.values()):
            local.stop()

    def close(self) -> None:
        """Stops all jobs and their threads."""
        for jobs in self.jobs_by_name.values():
            jobs.stop()
        self.stop.set()
        for stop in self.stop_by_name.values():
            stop.set()
        for task in self.interruptible:
            task.interrupt()
        for scoring in self.scoring_queues:
            scoring.interrupt()
        for executor in self.executors:
            executor.shutdown(cancel_futures=True)


def job_contents(
    job_id: str,
    groups: int,
    group_size: int,
    events: int,
    oldest_version: int = 1,
    scored: bool = False,
) -> JobContents:
    """Returns a job whose items generate `events` events each."""
    items = [
        JobItem(
            f"{job_id}-g{group}-{item}",
            "/jobs/x",
            {},
            str(events).encode(),
            f"g{group}",
            float(events),
            RewardRequest(
                f"r-{job_id}-g{group}-{item}", "h", REWARD_PATH, b"body"
            )
            if scored
            else None,
        )
        for group in range(groups)
        for item in range(group_size)
    ]
    return JobContents(
        job_id, "h", "/jobs/x", MODEL, oldest_version, groups, items
    )
