"""The daemon: one object that owns all components of an instance."""

import random
import signal
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec

from hibiscuspin import logs
from hibiscuspin.clock import Clock, SystemClock
from hibiscuspin.config import Document
from hibiscuspin.decisions.snapshots import Revision
from hibiscuspin.edges.admin import AdminInterface
from hibiscuspin.edges.callers import CallerInterface
from hibiscuspin.edges.consul import ConsulStore
from hibiscuspin.edges.instances import HttpInstanceList
from hibiscuspin.edges.operations import OperationsInterface
from hibiscuspin.edges.scorer import startable_calls
from hibiscuspin.edges.shared_admin import PeerInterface
from hibiscuspin.edges.trainers import TrainerInterface
from hibiscuspin.edges.wsgi import Route, WsgiApp
from hibiscuspin.memory import (
    BYTES_PER_MB,
    MemoryBudget,
    return_freed_memory,
)
from hibiscuspin.metrics import Metrics
from hibiscuspin.peers.hub import PeerHub
from hibiscuspin.settings import Settings, exit_with_problems
from hibiscuspin.tasks.admission import Admission
from hibiscuspin.tasks.attempts import AttemptLog
from hibiscuspin.tasks.claims import Claims
from hibiscuspin.tasks.config_watcher import ConfigWatcher
from hibiscuspin.tasks.configuration import Configuration
from hibiscuspin.tasks.dispatcher import Dispatcher
from hibiscuspin.tasks.drains import DrainOrder, DrainRefusal, Drains
from hibiscuspin.tasks.duties import Duties
from hibiscuspin.tasks.enforced import KeyedReplicas
from hibiscuspin.tasks.exchange import InstanceStatus, MetricsExchange
from hibiscuspin.tasks.http_server import HttpServer
from hibiscuspin.tasks.live import Generator
from hibiscuspin.tasks.loads import LoadPoller
from hibiscuspin.tasks.measures import Measures
from hibiscuspin.tasks.membership import Membership
from hibiscuspin.tasks.meters import SpendMeters
from hibiscuspin.tasks.once import AtMostOnceCalls
from hibiscuspin.tasks.scoring import Scoring
from hibiscuspin.tasks.services import LiveServices
from hibiscuspin.tasks.spend import Spend
from hibiscuspin.tasks.step_store import StepStore
from hibiscuspin.tasks.steps import Steps
from hibiscuspin.tasks.store_client import StoreClient
from hibiscuspin.tasks.supervisor import Supervisor, Task
from hibiscuspin.tasks.targets import Targets
from hibiscuspin.tasks.versions import Versions
from hibiscuspin.tasks.weights import (
    DESIRED_TOPIC,
    STATUS_TOPIC,
    WeightRollouts,
)

__all__ = ["Daemon", "main"]

ADMIN_THREADS = 4
RESERVED_LIVE_THREADS = 4
TRAINER_THREADS = 16
ORDER_THREADS = 8
DRAIN_POLL_INTERVAL_S = 0.05
UNREADY_GRACE_S = 0.5
US_PER_S = 1_000_000

_log = logs.get_logger("daemon")


class Daemon:
    """One instance: builds its components, starts and stops them in order."""

    def __init__(
        self, settings: Settings, admin_token: str, peer_secret: str
    ) -> None:
        self._settings = settings
        self._clock: Clock = SystemClock()
        self._ready = threading.Event()
        self._servers: list[HttpServer] = []
        self._metrics = Metrics()
        # Shared by all listeners, since they share the machine's memory.
        self._memory = MemoryBudget.from_machine(
            settings.memory_mb and settings.memory_mb * BYTES_PER_MB
        )
        self._metrics.show_memory(self._memory)
        self._instances = HttpInstanceList.from_address(
            settings.instance_list_address
        )
        self._hub = PeerHub(
            settings.instance,
            settings.data_centre,
            settings.peer_address,
            peer_secret,
        )
        self._membership = Membership(
            settings,
            self._hub,
            self._instances,
            self._clock,
            random.Random(f"membership {settings.instance}"),
        )
        self._store = self._store_client("store")
        self._watch_store = self._store_client("watch")
        self._configuration = Configuration(
            self._store, self._clock, settings.data_folder
        )
        self._attempts = AttemptLog()
        self._admission = Admission(
            settings.live_threads - RESERVED_LIVE_THREADS
        )
        self._targets = Targets(
            settings.instance,
            settings.data_centre,
            self._clock,
            random.Random(settings.instance),
            settings.router,
        )
        self._drains = Drains(
            self._targets,
            self._clock,
            self._notify_drain,
            self._notify_refusal,
        )
        self._duties = Duties(
            self._store,
            self._clock,
            {
                "instance": settings.instance,
                "data_centre": settings.data_centre,
                "trainer_address": str(settings.trainer_address),
            },
            self._hub,
        )
        self._spend = Spend(
            settings.instance, settings.data_centre, self._store, self._clock
        )
        self._meters = SpendMeters(self._spend, self._targets, self._clock)
        self._generator = Generator(
            self._targets,
            self._clock,
            self._attempts,
            self._admission,
            self._meters,
        )
        self._rollout_executor = ThreadPoolExecutor(
            settings.rollout_threads, thread_name_prefix="rollout"
        )
        self._versions = Versions(self._store, self._clock)
        self._steps = Steps(
            StepStore(self._store, self._clock),
            self._versions,
            self._duties.is_valid,
            self._clock,
        )
        self._scoring = Scoring(self._clock, startable_calls, self._metrics)
        self._measures = Measures(
            settings.instance,
            self._attempts,
            self._metrics,
            self._spend,
            self._clock,
        )
        self._exchange = MetricsExchange(
            settings.instance,
            self._hub,
            self._measures,
            self._attempts,
            self._instance_status,
            self._clock,
        )
        self._hub.subscribe("config", self._on_config)
        self._hub.subscribe("drains", self._on_drain)
        self._hub.subscribe("refusals", self._on_refusal)
        self._configuration.subscribe(self._targets.configure)
        self._configuration.subscribe(self._admission.configure)
        self._configuration.subscribe(self._spend.configure)
        self._configuration.subscribe(self._measures.configure)
        self._order_executor = ThreadPoolExecutor(
            ORDER_THREADS, thread_name_prefix="order"
        )
        self._weights = WeightRollouts(
            settings.instance,
            self._targets,
            self._store,
            self._clock,
            self._order_executor,
            self._hub,
        )
        self._hub.subscribe(DESIRED_TOPIC, self._weights.on_desired)
        self._hub.subscribe(STATUS_TOPIC, self._weights.on_statuses)
        self._configuration.subscribe(self._weights.configure)
        self._configuration.subscribe(self._notify_config)
        self._supervisor = Supervisor("daemon", self._tasks(admin_token))

    @classmethod
    def from_settings(cls, settings: Settings) -> "Daemon":
        """Builds an instance; exits with code 2 if a secret file is empty."""
        admin_token = settings.admin_token_file.read_text().strip()
        peer_secret = settings.peer_secret_file.read_text().strip()
        problems = []
        if not admin_token:
            problems.append("the file given by --admin-token-file is empty")
        if not peer_secret:
            problems.append("the file given by --peer-secret-file is empty")
        if problems:
            exit_with_problems("hibiscuspind", problems)
        return cls(settings, admin_token, peer_secret)

    def start(self) -> None:
        """Starts all tasks and reports the instance as ready."""
        self._supervisor.start()
        self._ready.set()
        _log.info("Instance started.")

    def stop(self) -> None:
        """Shuts down gracefully, within about `stop_timeout` seconds.

        The instance reports that it is not ready, and every response closes
        its connection, so that load balancers and callers move to other
        instances. Requests are still served meanwhile. Once the running
        generations have ended or the time is up, all tasks stop: the servers
        close their listeners and complete requests in flight, then the
        instance hands over its duties.
        """
        deadline = self._clock.monotonic() + self._settings.stop_timeout
        self._ready.clear()
        _log.info("Instance stopping.")
        self._steps.stop()
        for server in self._servers:
            server.drain(deadline)
        time.sleep(UNREADY_GRACE_S)
        while (
            self._clock.monotonic() < deadline and self._steps.running_count()
        ):
            time.sleep(DRAIN_POLL_INTERVAL_S)
        self._supervisor.stop()
        self._rollout_executor.shutdown()
        self._order_executor.shutdown()
        _log.info("Instance stopped.")

    def _store_client(self, purpose: str) -> StoreClient:
        return StoreClient(
            ConsulStore.from_address(self._settings.store_address, self._clock),
            self._clock,
            random.Random(f"{purpose} {self._settings.instance}"),
            self._membership.fleet_size,
        )

    def _tasks(self, admin_token: str) -> list[Task]:
        settings = self._settings
        claims = Claims(self._store, self._clock)
        replicas = KeyedReplicas(self._targets, self._clock)
        callers = CallerInterface(
            self._configuration,
            self._generator,
            LiveServices(self._targets, self._clock, self._attempts),
            AtMostOnceCalls(claims, replicas, self._clock),
            self._metrics,
            self._measures,
            self._clock,
            self._ready.is_set,
        )
        trainers = TrainerInterface(
            self._configuration,
            self._duties,
            self._steps,
            self._weights,
            self._versions,
            self._measures,
            self._clock,
        )
        admin = AdminInterface(
            admin_token,
            self._configuration,
            self._targets,
            self._drains,
            self._duties,
        )
        operations = OperationsInterface(
            admin_token,
            self._configuration,
            self._exchange,
            self._store,
            self._instances,
            self._clock,
        )
        peers = PeerInterface(
            admin_token,
            self._hub,
            [self._store, self._watch_store],
            self._configuration,
        )
        dispatcher = Dispatcher(
            self._steps,
            self._targets,
            self._attempts,
            self._scoring,
            self._rollout_executor,
            settings.rollout_threads,
            self._clock,
            self._meters,
        )
        create_server = self._create_server
        return [
            self._hub,
            self._membership,
            ConfigWatcher(
                settings.instance,
                settings.data_centre,
                self._configuration,
                self._watch_store,
                self._hub.instances,
                self._clock,
                random.Random(f"watcher {settings.instance}"),
            ),
            self._duties,
            self._weights,
            LoadPoller(
                settings.instance,
                settings.data_centre,
                self._targets,
                self._instances,
                self._hub,
                self._clock,
            ),
            self._scoring,
            dispatcher,
            self._spend,
            *claims.tasks(),
            self._exchange,
            create_server(
                "admin",
                (*admin.routes(), *operations.routes(), *peers.routes()),
                ADMIN_THREADS,
            ),
            create_server("trainer", trainers.routes(), TRAINER_THREADS),
            create_server("caller", callers.routes(), settings.live_threads),
        ]

    def _create_server(
        self, name: str, routes: tuple[Route, ...], threads: int
    ) -> HttpServer:
        app = WsgiApp(
            routes, logger=logs.get_logger("callers"), memory=self._memory
        )
        address = getattr(self._settings, f"{name}_address")
        server = HttpServer(
            name, app, address, threads, self._memory, metrics=self._metrics
        )
        self._servers.append(server)
        return server

    def _instance_status(self) -> InstanceStatus:
        return {
            "instance": self._settings.instance,
            "data_centre": self._settings.data_centre,
            "state": "ready" if self._ready.is_set() else "stopping",
            "revision": self._configuration.revision,
        }

    def _on_config(self, origin: str, body: bytes) -> None:
        self._configuration.offer(Document.decode(body))

    def _on_drain(self, origin: str, body: bytes) -> None:
        self._drains.apply(msgspec.json.decode(body, type=DrainOrder))

    def _notify_config(self, document: Document) -> None:
        revision = Revision(0, document.revision.number)
        self._hub.publish_as("config", "store", revision, document.encode())

    def _on_refusal(self, origin: str, body: bytes) -> None:
        self._drains.apply_refusal(msgspec.json.decode(body, type=DrainRefusal))

    def _notify_refusal(self, refusal: DrainRefusal) -> None:
        revision = Revision(0, int(refusal.at_s * US_PER_S))
        body = msgspec.json.encode(refusal)
        self._hub.publish_as("refusals", refusal.target, revision, body)

    def _notify_drain(self, drain: DrainOrder) -> None:
        revision = Revision(0, int(drain.at_s * US_PER_S))
        body = msgspec.json.encode(drain)
        self._hub.publish_as("drains", drain.target, revision, body)


def main() -> None:
    """Runs `hibiscuspind` until SIGTERM or SIGINT."""
    return_freed_memory()
    settings = Settings.from_environment()
    logs.configure(settings.log_level, settings.instance)
    daemon = Daemon.from_settings(settings)
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    daemon.start()
    stop.wait()
    daemon.stop()
    sys.exit(0)


if __name__ == "__main__":
    main()
