"""The application object of one instance on the platform."""

import os
import pathlib
import random
import secrets
import threading
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor

from hibiscuspin.clock import Clock, SystemClock
from hibiscuspin.decisions import readers
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.decisions.scaling.limits import ScalingLimits
from hibiscuspin.decisions.usage.windows import WindowTimes
from hibiscuspin.edges.discovery import LimitListener, TargetRecord
from hibiscuspin.edges.duty_calls import DutyCalls, DutyHolder
from hibiscuspin.edges.transactions import StoredValue
from hibiscuspin.logs import get_logger
from hibiscuspin.memory import MemoryBudget
from hibiscuspin.metrics import Metrics
from hibiscuspin.peers.rpc import PeerHttpClient, peer_app
from hibiscuspin.platform import (
    engines,
    operators,
    registrations,
    retirement,
)
from hibiscuspin.platform.callers import ClientInterface, RelayInterface
from hibiscuspin.platform.duty_calls import PlatformDutyCalls
from hibiscuspin.platform.peer_client import PeerClient
from hibiscuspin.platform.responses import ready_app, text_app
from hibiscuspin.platform.settings import PlatformSettings, read_settings_file
from hibiscuspin.platform.store import KeyValueStore
from hibiscuspin.settings import Address, SettingsError
from hibiscuspin.tasks.crash_exchange import CrashExchange
from hibiscuspin.tasks.directory import (
    OUTAGE_METHOD,
    RELAY_COPIES_METHOD,
    TargetDirectory,
)
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.forwarding import Forwarder
from hibiscuspin.tasks.http_server import (
    MAX_CONNECTIONS,
    HttpServer,
    ServerLimits,
)
from hibiscuspin.tasks.instances import LIVE_PREFIX, Instances
from hibiscuspin.tasks.job_recovery import JobRecovery
from hibiscuspin.tasks.job_store import JobStore
from hibiscuspin.tasks.jobs import ACCEPT_METHOD, Jobs
from hibiscuspin.tasks.limit_shares import LimitShares
from hibiscuspin.tasks.local_job import JobDependencies
from hibiscuspin.tasks.peer_formats import PeerFormats
from hibiscuspin.tasks.peer_targets import PeerTargets
from hibiscuspin.tasks.prefix_watcher import PrefixWatcher
from hibiscuspin.tasks.relay_feed import RelayFeed
from hibiscuspin.tasks.reward_calls import RewardCaller
from hibiscuspin.tasks.route_table import Routes
from hibiscuspin.tasks.scaling.engine_orders import EngineOrders
from hibiscuspin.tasks.scoring import Scoring
from hibiscuspin.tasks.stopping import PlannedStop
from hibiscuspin.tasks.store_path import RELAY_METHOD, StorePath
from hibiscuspin.tasks.stream_exchange import StreamExchange
from hibiscuspin.tasks.stream_forwarding import StreamForwarder
from hibiscuspin.tasks.stream_origins import StreamOrigins
from hibiscuspin.tasks.stream_records import StreamRecords
from hibiscuspin.tasks.supervisor import Supervisor, Task
from hibiscuspin.tasks.target_exchange import TargetExchange
from hibiscuspin.tasks.target_reach import ReachProbes
from hibiscuspin.tasks.usage.exchange import UsageExchange
from hibiscuspin.tasks.usage.recorder import NO_USAGE, UsageRecorder
from hibiscuspin.tasks.usage.reporter import UsageReporter
from hibiscuspin.tasks.usage.true_clock import TrueClock
from hibiscuspin.tasks.weight_orders import WeightOrders

__all__ = ["EdgeInstance"]

CALLER_SERVER_THREADS = 64
# For files; the platform lets sockets use the rest.
RESERVED_DESCRIPTORS = 200
# Of the descriptors for sockets. Connections to targets, to the store and to
# other instances need theirs too.
CONNECTION_SHARE = 0.3
PEER_SERVER_THREADS = 24
# Requests of instances that reach no target; apart from the threads of callers.
RELAY_SERVER_THREADS = 48
# Threads of the readiness server, and of the metrics server.
MONITORING_THREADS = 1
# Samples that one instance runs at once; further ones are queued.
SAMPLE_THREADS = 256
# Each open job has at most one store call in flight.
WRITE_THREADS = 16
METRICS_VARIABLE = "HIBISCUSPIN_METRICS_PORT"
METRICS_PORT = 9464
# The load balancer removes an instance after two failed readiness checks,
# which are a second apart.
UNREADY_PERIOD_S = 3.2
STOP_POLL_S = 0.05
# Two writes to the store, after which the instance is unregistered.
LEAVE_S = 3.2
# Reserved at the end of the grace time for the process to exit.
EXIT_MARGIN_S = 1.0

_log = get_logger("daemon")


class EdgeInstance:
    """Builds the components of one instance, and starts and stops them."""

    def __init__(self, settings: PlatformSettings, path: pathlib.Path) -> None:
        self._settings = settings
        self._path = path
        self._clock: Clock = SystemClock()
        self._metrics = Metrics()
        # Shared by all listeners, since they share the machine's memory.
        self._memory = MemoryBudget.from_machine(settings.memory_bytes)
        self._metrics.show_memory(self._memory)
        self._stopping = threading.Event()
        self._planned_stop = PlannedStop(self._clock)
        rng = random.Random(settings.instance)
        member = LiveInstance(
            settings.instance,
            secrets.token_hex(6),
            str(settings.peer_address),
            settings.data_centre,
        )
        self._peers = PeerHttpClient(self._clock)
        self._store_path = StorePath(
            settings.store_address,
            self._clock,
            self._peers,
            self._relays,
            self._metrics,
        )
        self._store = KeyValueStore(self._store_path)
        self._instances = Instances(
            member,
            self._store,
            self._clock,
            rng,
            settings.takeover_s,
            lambda: bool(self._jobs.open_jobs()),
            lambda: self._targets.reach.is_isolated,
        )
        self._feed = RelayFeed(
            self._instances,
            settings.region_by_data_centre,
            lambda: self._settings.drain_s,
            self._clock,
        )
        self._targets = DiscoveredTargets(
            settings.data_centre,
            settings.region_by_data_centre,
            self._clock,
            self._create_client,
            self._metrics,
        )
        self._routes = Routes(rng)
        # Whether the newest configuration could not be decoded, so that an
        # older one is in force.
        self._is_config_malformed = False
        job_store = JobStore(self._store, self._clock)
        self._sample_executor = ThreadPoolExecutor(
            SAMPLE_THREADS, thread_name_prefix="sample"
        )
        self._write_executor = ThreadPoolExecutor(
            WRITE_THREADS, thread_name_prefix="write"
        )
        self._peer_targets = PeerTargets(
            self._instances,
            lambda member: PeerClient(
                member, self._clock, self._has_organisations, self._memory
            ),
            settings.region_by_data_centre,
            self._clock,
        )
        self._usage_exchange = self._create_usage_exchange()
        self._forwarder = Forwarder(
            self._targets,
            self._clock,
            self._peer_targets,
            self._usage,
            lambda: self._planned_stop.answer_by,
        )
        rewards = RewardCaller(self._routes, self._forwarder, self._clock)
        self._scoring = Scoring(
            self._clock, rewards.startable_calls, self._metrics
        )
        self._jobs = Jobs(
            JobDependencies(
                job_store,
                self._targets,
                rewards,
                self._scoring,
                self._sample_executor,
                self._write_executor,
                self._routes.for_job,
                self._routes.tokens_per_event,
                self._clock,
            ),
            self._instances,
            self._peers,
            lambda: self._store_path.is_direct,
            PeerFormats(
                self._instances, self._peers, self._clock, ACCEPT_METHOD
            ),
            self._memory.job_bytes,
        )
        self._exchange = TargetExchange(
            self._targets,
            self._jobs.open_jobs,
            self._instances,
            self._peers,
            self._clock,
            self._scaling_by_service,
        )
        self._limit_shares = LimitShares(
            self._targets, self._instances, self._peers, self._clock
        )
        self._crash_exchange = CrashExchange(
            self._targets.crashes,
            self._instances,
            self._peers,
            self._store,
            self._clock,
        )
        origins = StreamOrigins(self._clock)
        self._stream_exchange = StreamExchange(
            origins, self._instances, self._peers, self._clock
        )
        self._stream_records = StreamRecords(
            origins, self._instances, self._store, self._clock
        )
        self._retirement = retirement.RetirementReporter(
            self._store, self._clock
        )
        self._config_watcher = PrefixWatcher(
            operators.CONFIG_KEY,
            self._store,
            self._clock,
            rng,
            self._on_config,
            must_look=self._feed.must_look_itself,
            is_fed=self._feed.is_fed,
        )
        self._instances_watcher = PrefixWatcher(
            LIVE_PREFIX,
            self._store,
            self._clock,
            rng,
            self._instances.on_values,
            gap_s=lambda: self._instances.watch_gap_s(self._feed.rank()),
            must_look=self._feed.must_watch_registrations,
        )
        # Only the coordinator needs weight versions and retirement requests.
        self._operator_watcher = PrefixWatcher(
            operators.OPERATOR_PREFIX,
            self._store,
            self._clock,
            rng,
            self._on_operator_keys,
            active=lambda: self._instances.term() is not None,
        )
        self._directory = TargetDirectory(
            registrations.TARGET_PREFIX,
            lambda value: registrations.decode_record(
                value, self._clock.monotonic()
            ),
            self._store,
            self._targets,
            self._clock,
            rng,
            self._instances,
            self._peers,
            self._feed,
            (self._config_watcher, self._instances_watcher),
        )
        self._servers: list[HttpServer] = []
        self._supervisor = Supervisor(
            "instance", self._create_tasks(job_store, rng)
        )

    @classmethod
    def from_file(cls, path: pathlib.Path) -> "EdgeInstance":
        """Builds an instance from the platform's settings file.

        Raises:
            SettingsError: The file is missing or invalid.
        """
        return cls(read_settings_file(path), path)

    @property
    def settings(self) -> PlatformSettings:
        """The settings in force."""
        return self._settings

    def start(self) -> None:
        """Starts all tasks."""
        self._supervisor.start()
        _log.info(
            "Instance started.",
            extra={
                "instance": self._settings.instance,
                "term": self._instances.member.term,
            },
        )

    def reload(self) -> None:
        """Reads the settings file again; ignores an invalid one."""
        try:
            settings = read_settings_file(self._path)
        except SettingsError as error:
            _log.error(
                "Settings not reloaded: the file is missing or invalid.",
                extra={"reason": str(error)},
            )
            return
        changed = [
            name
            for name, before, after in zip(
                PlatformSettings._fields, self._settings, settings, strict=True
            )
            if before != after
        ]
        self._settings = settings
        self._store_path.change_address(settings.store_address)
        self._instances.takeover_s = settings.takeover_s
        _log.info("Settings reloaded.", extra={"changed": changed})

    def stop(self) -> None:
        """Stops gracefully.

        The instance reports itself unready, hands its jobs over, and lets
        requests in flight finish.
        """
        stop_by = (
            self._clock.monotonic() + self._settings.grace_s - EXIT_MARGIN_S
        )
        self._stopping.set()
        self._planned_stop.begin(stop_by)
        _log.info("Instance stopping.")
        for server in self._servers:
            server.drain(stop_by)
        self._jobs.hand_over(stop_by - LEAVE_S)
        self._instances.leave()
        unready_until = min(stop_by, self._clock.monotonic() + UNREADY_PERIOD_S)
        while self._clock.monotonic() < unready_until:
            time.sleep(STOP_POLL_S)
        self._store_path.abort_long_polls()
        self._supervisor.stop(stop_by)
        self._jobs.stop()
        self._forwarder.stop()
        self._sample_executor.shutdown()
        self._write_executor.shutdown()
        _log.info("Instance stopped.")

    def ready(self) -> bool:
        """Returns whether this instance can serve callers."""
        return (
            not self._stopping.is_set()
            and self._routes.table is not None
            and self._targets.list_received
        )

    def _create_tasks(
        self, job_store: JobStore, rng: random.Random
    ) -> list[Task]:
        settings = self._settings
        streams = StreamForwarder(
            self._targets,
            self._stream_exchange,
            self._clock,
            self._metrics,
            self._peer_targets,
            self._usage,
            lambda: self._planned_stop.answer_by,
        )
        clients, relayed = (
            interface(
                self._routes,
                self._is_config_current,
                self._forwarder,
                streams,
                self._jobs,
                self._metrics,
                self._planned_stop,
                self._clock,
                self._memory,
            )
            for interface in (ClientInterface, RelayInterface)
        )
        handlers = {
            **self._jobs.handlers(),
            **self._exchange.handlers(),
            **self._limit_shares.handlers(),
            **self._crash_exchange.handlers(),
            **self._stream_exchange.handlers(),
            RELAY_METHOD: self._store_path.serve_relay,
            RELAY_COPIES_METHOD: self._directory.serve_copies,
            OUTAGE_METHOD: self._directory.serve_outage,
        }
        if self._usage_exchange is not None:
            handlers.update(self._usage_exchange.handlers())
        tasks: list[Task] = [
            self._add_server(
                "peer",
                peer_app(handlers),
                settings.peer_address,
                PEER_SERVER_THREADS,
            ),
            self._config_watcher,
            self._operator_watcher,
            self._instances_watcher,
            self._directory,
            self._instances,
            self._scoring,
            JobRecovery(
                self._instances,
                self._jobs,
                job_store,
                self._clock,
                settings.keep_s,
                first_start=settings.first_start,
                is_configured=lambda: self._routes.table is not None,
                on_resume=self._feed.look_at_once,
            ),
            self._exchange,
            self._limit_shares,
            self._crash_exchange,
            self._stream_exchange,
            self._stream_records,
            ReachProbes(
                self._targets.reach,
                self._targets.accepting_work,
                self._clock,
            ),
            WeightOrders(
                self._instances,
                self._targets,
                self._exchange,
                self._routes.desired_by_model,
                self._routes.requires_single_version,
                self._clock,
            ),
            self._add_server(
                "metrics",
                text_app(Metrics.CONTENT_TYPE, self._metrics.exposition),
                Address(settings.peer_address.host, _metrics_port()),
                MONITORING_THREADS,
            ),
        ]
        duty_calls = self._create_duty_calls()
        if duty_calls is not None:
            tasks += self._create_usage_tasks(duty_calls, rng)
            tasks.append(self._create_engine_orders(duty_calls))
        if settings.relay_address is not None:
            tasks.append(
                self._add_server(
                    "relay",
                    relayed,
                    settings.relay_address,
                    RELAY_SERVER_THREADS,
                )
            )
        if settings.ready_address is not None:
            app = ready_app(self.ready)
            tasks.append(
                self._add_server(
                    "ready", app, settings.ready_address, MONITORING_THREADS
                )
            )
        if settings.caller_address is not None:
            tasks.append(
                self._add_server(
                    "caller",
                    clients,
                    settings.caller_address,
                    CALLER_SERVER_THREADS,
                )
            )
        return tasks

    def _create_engine_orders(self, calls: DutyCalls) -> EngineOrders:
        return EngineOrders(
            self._instances,
            self._targets,
            calls,
            self._routes,
            self._scaling_by_service,
            self._exchange.waiting,
            lambda: readers.lost_age_s(self._settings.drain_s),
            self._settings.region_by_data_centre,
            self._clock,
            self._metrics,
        )

    @property
    def _usage(self) -> UsageRecorder:
        exchange = self._usage_exchange
        return exchange.records if exchange is not None else NO_USAGE

    def _create_usage_exchange(self) -> UsageExchange | None:
        duties = self._settings.duties
        if duties is None or not duties.reports_usage:
            return None
        return UsageExchange(
            TrueClock(self._clock),
            duties.window_s,
            self._instances,
            self._peers,
            self._clock,
            self._metrics,
        )

    def _scaling_by_service(self) -> Mapping[str, ScalingLimits]:
        duties = self._settings.duties
        if duties is None or not duties.orders_engines:
            return {}
        return self._routes.scaling_by_service()

    def _create_duty_calls(self) -> DutyCalls | None:
        duties = self._settings.duties
        if duties is None:
            return None
        return PlatformDutyCalls(
            duties.address, self._clock, self._metrics, self._may_call
        )

    def _create_usage_tasks(
        self, duty_calls: DutyCalls, rng: random.Random
    ) -> list[Task]:
        duties = self._settings.duties
        exchange = self._usage_exchange
        if duties is None or exchange is None:
            return []
        reporter = UsageReporter(
            self._instances,
            exchange,
            exchange.true_clock,
            WindowTimes(duties.window_s, duties.report_due_s),
            duty_calls,
            self._store,
            self._clock,
            rng,
            self._metrics,
        )
        return [exchange, reporter]

    def _may_call(self, holder: DutyHolder) -> bool:
        """Returns whether the term of a duty's holder has not ended."""
        term = self._instances.term()
        return (
            term is not None
            and term.fencing == holder.fencing
            and self._instances.begin_order(term)
        )

    def _add_server(
        self, name: str, app: object, address: Address, threads: int
    ) -> HttpServer:
        server = HttpServer(
            name,
            app,
            address,
            threads,
            self._memory,
            _max_connections(self._settings),
            self._metrics,
        )
        self._servers.append(server)
        return server

    def _relays(self) -> list[str]:
        """Returns instances that may relay store calls; suspects come last."""
        return sorted(self._instances.relays(), key=self._peers.is_suspect)

    def _create_client(
        self,
        record: TargetRecord,
        on_draining: Callable[[], None],
        on_limit: LimitListener,
    ) -> engines.EngineClient:
        return engines.EngineClient(
            record,
            self._clock,
            on_draining,
            on_limit,
            self._has_organisations,
            self._memory,
        )

    def _has_organisations(self) -> bool:
        table = self._routes.table
        return table is not None and table.keys is not None

    def _is_config_current(self) -> bool:
        return self._config_watcher.is_current and not self._is_config_malformed

    def _on_config(self, values_by_key: Mapping[str, StoredValue]) -> None:
        table = operators.decode_table(values_by_key)
        is_present = operators.CONFIG_KEY in values_by_key
        self._is_config_malformed = is_present and table is None
        if table is not None and self._routes.activate(table):
            self._directory.request_share()
            limits = table.limits
            server_limits = ServerLimits(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            )
            for server in self._servers:
                if server.name == "caller":
                    server.set_limits(server_limits)

    def _on_operator_keys(
        self, values_by_key: Mapping[str, StoredValue]
    ) -> None:
        self._routes.record_versions(
            operators.decode_desired_versions(values_by_key)
        )
        self._retirement.report_empty(
            operators.retiring_machines(values_by_key)
        )


def _max_connections(settings: PlatformSettings) -> int:
    """Returns how many connections one listener accepts."""
    if settings.max_descriptors is None:
        return MAX_CONNECTIONS
    usable = settings.max_descriptors - RESERVED_DESCRIPTORS
    return max(1, min(MAX_CONNECTIONS, int(usable * CONNECTION_SHARE)))


def _metrics_port() -> int:
    """Returns the metrics port; an environment variable overrides it."""
    text = os.environ.get(METRICS_VARIABLE, str(METRICS_PORT))
    if not text.isdigit() or not 0 < int(text) < 65536:
        raise SettingsError(
            [f"{METRICS_VARIABLE}: expected a port, found {text!r}"]
        )
    return int(text)
