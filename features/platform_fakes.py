"""A transactional store, targets and peers in memory, with faults."""

import itertools
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from hibiscuspin.clock import SystemClock
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.decisions.routes import CallKind, ForwardRoute
from hibiscuspin.edges import StoreError, TargetError, WaitLimits
from hibiscuspin.edges.discovery import (
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
    ScanResult,
    StoredValue,
    Transaction,
    WatchResult,
)
from hibiscuspin.peers.rpc import PeerUnreachableError
from hibiscuspin.settings import Address
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.job_store import JobContents, JobItem, JobStore
from hibiscuspin.tasks.jobs import Jobs
from hibiscuspin.tasks.local_job import JobDependencies
from hibiscuspin.tasks.target_exchange import TargetExchange

EVENT_S = 0.004
SERVICE = "llm"
MODEL = "m"


class MemoryStore:
    """A `TransactionStore` whose faults are set as attributes.

    Attributes:
        down: Whether every call fails without effect.
        lose: How many of the next commits take effect without an answer.
        drop: How many of the next commits get lost before their effect.
        late: Commits that were lost and take effect at `deliver_late`.
        commits: Keys of all puts that took effect, in order.
    """

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._value_by_key: dict[str, StoredValue] = {}
        self._revision = 0
        self._leases = itertools.count(1)
        self._live_leases: set[int] = set()
        self.down = False
        self.lose = 0
        self.drop = 0
        self.late: list[Transaction] = []
        self.commits: list[str] = []

    def _check(self) -> None:
        if self.down:
            raise StoreError("down", False)

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
        """Is not used here."""
        raise StoreError("no watch", False)

    def commit(
        self, transaction: Transaction, deadline: float
    ) -> CommitResult | CommitConflict:
        """Carries out a transaction, unless a fault takes it."""
        self._check()
        with self._lock:
            if self.drop:
                self.drop -= 1
                self.late.append(transaction)
                raise StoreError("no answer", None)
            outcome = self._apply(transaction)
            if self.lose:
                self.lose -= 1
                raise StoreError("no answer", None)
            return outcome

    def deliver_late(self) -> list[CommitResult | CommitConflict]:
        """Carries out the commits that were lost, if they still may."""
        with self._lock:
            late, self.late = self.late, []
            return [self._apply(transaction) for transaction in late]

    def _apply(self, transaction: Transaction) -> CommitResult | CommitConflict:
        held = self._value_by_key
        for put in transaction.puts:
            if put.lease and put.lease not in self._live_leases:
                raise LeaseLostError("lease ended", False)
        for key, revision in transaction.expected.items():
            if (held[key].revision if key in held else 0) != revision:
                keys = transaction.expected.keys() & held.keys()
                return CommitConflict({key: held[key] for key in keys})
        self._revision += 1
        for put in transaction.puts:
            created = held[put.key].created if put.key in held else 0
            held[put.key] = StoredValue(
                put.key,
                put.value,
                self._revision,
                created or self._revision,
                put.lease,
            )
            self.commits.append(put.key)
        for key in transaction.deletes:
            held.pop(key, None)
        return CommitResult(self._revision)

    def grant_lease(self, ttl_s: float, deadline: float) -> LeaseGrant:
        """Creates a lease."""
        self._check()
        lease = next(self._leases)
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


class StoreView:
    """The store as one instance reaches it; `cut` severs the way.

    Attributes:
        calls: How many calls the instance has made.
    """

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.cut = False
        self.calls = 0

    def __getattr__(self, name: str) -> Any:
        self.calls += 1
        if self.cut:
            raise StoreError("cut off", False)
        return getattr(self._store, name)


class MemoryTarget:
    """A `TargetClient` that makes events; faults are set as attributes.

    Attributes:
        version: The weights that it serves.
        event_s: Time between two events.
        fault: What it does wrong: an answer's status, `silent`, `break`
            after `break_at` events of a run, or an empty string.
        runs: For each item, after which event its runs began.
        running: Runs at work now.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.version = 1
        self.event_s = EVENT_S
        self.fault = ""
        self.break_at = 3
        self.runs: dict[str, list[int]] = {}
        self.running = 0
        self.orders: list[WeightOrder] = []

    def send(
        self,
        request: ProxiedRequest,
        deadline: float,
        check: Callable[[], None],
        *,
        fresh: bool = False,
    ) -> ProxiedResponse:
        """Answers with its name, after the time of one event."""
        self.runs.setdefault(request.request_id, []).append(0)
        self._refuse()
        end = min(deadline, SystemClock().monotonic() + self.event_s)
        if self.fault == "silent":
            end = deadline
        while SystemClock().monotonic() < end:
            check()
            time.sleep(0.002)
        if self.fault == "silent":
            raise TargetError("silent", sent=True, silent=True)
        status = int(self.fault) if self.fault else 200
        return ProxiedResponse(status, [("X-Name", self.name)], b"answer")

    def _refuse(self) -> None:
        if self.fault == "full":
            raise TargetError("full", sent=True, refused=True, status=503)
        if self.fault == "unreachable":
            raise TargetError("no connection", sent=False)
        if self.fault == "broken":
            raise TargetError("reset", sent=True)

    def open_stream(
        self, request: ProxiedRequest, after: int, wait: WaitLimits
    ) -> "MemoryStream":
        """Starts a run after an event."""
        self.runs.setdefault(request.request_id, []).append(after)
        self._refuse()
        if self.fault.isdigit():
            status = int(self.fault)
            raise TargetError("error", sent=True, status=status)
        return MemoryStream(self, request, after)

    def fetch_state(self, deadline: float) -> TargetState:
        """Returns what it serves."""
        return TargetState({MODEL: self.version}, False, len(self.orders), 0)

    def send_order(self, order: WeightOrder, deadline: float) -> OrderOutcome:
        """Loads at once."""
        self.orders.append(order)
        self.version = order.version
        return OrderOutcome(True, False, "")

    def close(self) -> None:
        """Does nothing."""


class MemoryStream:
    """The events of one run; the item's body says how many there are."""

    headers: Sequence[tuple[str, str]] = ()

    def __init__(
        self, target: MemoryTarget, call: ProxiedRequest, after: int
    ) -> None:
        self._target = target
        self._name = call.request_id
        self._next = after + 1
        self._last = int(call.body)
        self._made = 0
        self._next_at = SystemClock().monotonic() + target.event_s
        target.running += 1

    def read(self, wait: WaitLimits) -> list[ServerSentEvent]:
        """Returns the events that are made by now, one at least."""
        wait.check()
        target = self._target
        if target.fault == "silent":
            time.sleep(0.05)
            raise TargetError("stalled", sent=True, silent=True)
        time.sleep(max(0.0, self._next_at - SystemClock().monotonic()))
        events: list[ServerSentEvent] = []
        while self._next <= self._last and self._is_made():
            data = f"{self._name}-{self._next}"
            raw = b"%d\n" % self._next
            events.append(
                ServerSentEvent(raw, self._next, data, target.version)
            )
            self._next += 1
            self._made += 1
            self._next_at += target.event_s
        if target.fault == "break" and self._made >= target.break_at:
            raise TargetError("broken off", sent=True)
        return events

    def _is_made(self) -> bool:
        return self._next_at <= SystemClock().monotonic()

    def close(self) -> None:
        """Ends the run."""
        self._target.running -= 1


class MemoryInstances:
    """The view of live instances that one of them has."""

    def __init__(
        self,
        member: LiveInstance,
        members: dict[str, LiveInstance],
        gone: dict[str, LiveInstance],
    ) -> None:
        self.member = member
        self._members = members
        self._gone = gone

    def last_known(self, name: str) -> LiveInstance | None:
        """Returns an instance that lives or has gone."""
        return self._members.get(name) or self._gone.get(name)

    def members(self) -> dict[str, LiveInstance]:
        """Returns the live instances."""
        return dict(self._members)

    def coordinator(self) -> str:
        """Returns the name of the coordinator; there is none."""
        return ""

    def others(self) -> list[LiveInstance]:
        """Returns the live instances but this."""
        return [m for m in self._members.values() if m != self.member]


class MemoryPeers:
    """Calls between instances in memory; `dead` ones give no answer."""

    def __init__(self) -> None:
        self.handlers_by_address: dict[str, Mapping[str, Any]] = {}
        self.dead: set[str] = set()

    def call(
        self, address: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Calls an instance."""
        if address in self.dead or address not in self.handlers_by_address:
            raise PeerUnreachableError(address)
        result: bytes = self.handlers_by_address[address][method](body)
        return result


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


class MemoryFleet:
    """Instances before shared targets and one store."""

    def __init__(self, targets: int = 2, slots: int = 8) -> None:
        self.clock = SystemClock()
        self.store = MemoryStore()
        self.peers = MemoryPeers()
        self.members: dict[str, LiveInstance] = {}
        self.gone: dict[str, LiveInstance] = {}
        self.instances_by_name: dict[str, Any] = {}
        self.target_by_name = {
            f"t{number}": MemoryTarget(f"t{number}")
            for number in range(targets)
        }
        self.slots = slots
        self.jobs_by_name: dict[str, Jobs] = {}
        self.exchange_by_name: dict[str, TargetExchange] = {}
        self.views: dict[str, StoreView] = {}
        self.targets_by_name: dict[str, DiscoveredTargets] = {}
        self.route: ForwardRoute | None = ROUTE
        self.pools: list[ThreadPoolExecutor] = []

    def records(self) -> list[TargetRecord]:
        """Returns the targets as they describe themselves."""
        return [
            TargetRecord(
                name,
                1,
                SERVICE,
                Address("127.0.0.1", number + 1),
                "dc",
                self.slots,
                False,
                {MODEL: target.version},
            )
            for number, (name, target) in enumerate(self.target_by_name.items())
        ]

    def start(self, name: str, term: str = "1") -> Jobs:
        """Starts an instance, in a new incarnation if it was there."""
        member = LiveInstance(name, term, f"{name}/{term}", "dc")
        self.members[name] = member
        targets = DiscoveredTargets(
            "dc",
            {"dc": "r"},
            self.clock,
            lambda record: self.target_by_name[record.name],
        )
        targets.replace(self.records(), 0.0)
        view = StoreView(self.store)
        store: Any = view
        instances: Any = MemoryInstances(member, self.members, self.gone)
        self.instances_by_name[name] = instances
        peers: Any = self.peers
        runs, writes = ThreadPoolExecutor(32), ThreadPoolExecutor(4)
        self.pools += [runs, writes]
        tools = JobDependencies(
            JobStore(store, self.clock),
            targets,
            runs,
            writes,
            self._route_of,
            lambda service: 1.0,
            self.clock,
        )
        jobs = Jobs(tools, instances, peers)
        exchange = TargetExchange(
            targets, jobs.open_jobs, instances, peers, self.clock
        )
        self.exchange_by_name[name] = exchange
        self.peers.handlers_by_address[member.address] = {
            **jobs.handlers(),
            **exchange.handlers(),
        }
        self.views[name] = view
        self.targets_by_name[name] = targets
        self.jobs_by_name[name] = jobs
        return jobs

    def _route_of(
        self, contents: JobContents
    ) -> tuple[ForwardRoute, str] | None:
        return (self.route, SERVICE) if self.route else None

    def refresh(self) -> None:
        """Has all instances read the list of targets."""
        for targets in self.targets_by_name.values():
            targets.replace(self.records(), 0.0)

    def lose(self, name: str) -> None:
        """Kills an instance."""
        member = self.members.pop(name)
        self.peers.dead.add(member.address)
        self.views[name].cut = True
        jobs = self.jobs_by_name.pop(name)
        for local in list(jobs._job_by_id.values()):
            local.finish()

    def close(self) -> None:
        """Ends all threads."""
        for jobs in self.jobs_by_name.values():
            jobs.stop()
        for pool in self.pools:
            pool.shutdown(cancel_futures=True)


def contents(
    job: str, groups: int, size: int, events: int, oldest: int = 1
) -> JobContents:
    """Returns a job whose items have so many events each."""
    items = [
        JobItem(
            f"{job}-g{group}-{item}",
            "/jobs/x",
            {},
            str(events).encode(),
            f"g{group}",
            float(events),
        )
        for group in range(groups)
        for item in range(size)
    ]
    return JobContents(job, "h", "/jobs/x", MODEL, oldest, groups, items)
