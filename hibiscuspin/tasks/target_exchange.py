"""What instances tell one another of targets: loads, and weights to load.

Load patterns: two steps of a trainer overlap at different instances, each of
which would fill all engines by its own counts; and an engine that is to load
weights has samples of several instances.
"""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.recovery import Member
from hibiscuspin.errors import HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.rpc import Handler, PeerCalls, PeerUnreachableError
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.instances import Instances
from hibiscuspin.tasks.local_job import LocalJob

__all__ = ["TargetExchange"]

CLEAR_METHOD = "targets.clear"
LOAD_METHOD = "targets.load"
RELEASE_METHOD = "targets.release"

CALL_THREADS = 8
# A run sees within a tenth of a second that it is to move.
CLEAR_S = 0.25
CLEAR_TIMEOUT_S = 0.5
RELEASE_TIMEOUT_S = 0.8
LOAD_TIMEOUT_S = 0.3
# Short samples end within 0.3 s.
PERIOD_S = 0.2
# How many periods pass until instances that held nothing are asked again.
SEARCH_PERIODS = 5

_log = get_logger("targets")


class _Clear(NamedTuple):
    """Targets about to load a model, and how long they get none of its work."""

    names: list[str]
    model: str
    hold_s: float


class _Load(NamedTuple):
    """What one instance has open on each target."""

    instance: str
    open_by_name: dict[str, int]


class _Release(NamedTuple):
    """A target that serves a version by now."""

    name: str
    model: str
    version: int


class TargetExchange:
    """Tells the holders of jobs; as a task it exchanges their loads."""

    name = "target exchange"

    def __init__(
        self,
        targets: DiscoveredTargets,
        open_jobs: Callable[[], list[LocalJob]],
        instances: Instances,
        peers: PeerCalls,
        clock: Clock,
    ) -> None:
        """Creates the task.

        Args:
            targets: The targets that are told of.
            open_jobs: Returns the jobs of this instance with samples to run.
            instances: The other instances.
            peers: The way to them.
            clock: The time.
        """
        self._targets = targets
        self._open_jobs = open_jobs
        self._instances = instances
        self._peers = peers
        self._clock = clock
        self._busy: set[str] = set()
        self._calls = ThreadPoolExecutor(
            CALL_THREADS, thread_name_prefix="tell"
        )

    def handlers(self) -> dict[str, Handler]:
        """Returns the calls that other instances make."""
        return {
            CLEAR_METHOD: self._serve_clear,
            LOAD_METHOD: self._serve_load,
            RELEASE_METHOD: self._serve_release,
        }

    def run(self, stop: threading.Event) -> None:
        """Tells the load while a job is open, until `stop` is set."""
        period = 0
        while not stop.wait(PERIOD_S):
            if not self._open_jobs():
                period = 0
                continue
            everyone = period % SEARCH_PERIODS == 0
            period += 1
            coordinator = self._instances.coordinator()
            for member in self._instances.others():
                wanted = member.name in self._busy or member.name == coordinator
                if not everyone and not wanted:
                    continue
                if self.tell_load(member):
                    self._busy.add(member.name)
                else:
                    self._busy.discard(member.name)
        self._calls.shutdown()

    def clear(self, names: list[str], model: str, hold_s: float) -> None:
        """Has all holders of jobs move a model's samples off some targets.

        Args:
            names: The targets, which are about to load weights.
            model: Whose weights; samples of other models run on.
            hold_s: How long they get no new samples unless released.
        """
        call = msgspec.msgpack.encode(_Clear(names, model, hold_s))
        self._tell(CLEAR_METHOD, call, CLEAR_TIMEOUT_S)
        self._serve_clear(call)

    def release(self, name: str, model: str, version: int) -> None:
        """Tells all holders of jobs that a target has loaded weights."""
        call = msgspec.msgpack.encode(_Release(name, model, version))
        self._tell(RELEASE_METHOD, call, RELEASE_TIMEOUT_S)
        self._serve_release(call)

    def _tell(self, method: str, call: bytes, timeout_s: float) -> None:
        futures = [
            self._calls.submit(
                self._peers.call, member.address, method, call, timeout_s
            )
            for member in self._instances.others()
        ]
        for future in futures:
            try:
                future.result()
            except (PeerUnreachableError, HibiscusError) as error:
                _log.info("Holder not told.", extra={"reason": str(error)})

    def tell_load(self, member: Member) -> bool:
        """Tells another instance this one's load, and takes that one's.

        Returns:
            Whether the other instance has open requests as well.
        """
        call = msgspec.msgpack.encode(self._load())
        try:
            body = self._peers.call(
                member.address, LOAD_METHOD, call, LOAD_TIMEOUT_S
            )
        except (PeerUnreachableError, HibiscusError) as error:
            _log.debug("Load not told.", extra={"reason": str(error)})
            return False
        return bool(self._take_load(body).open_by_name)

    def _load(self) -> _Load:
        return _Load(self._instances.member.name, self._targets.open_by_name())

    def _take_load(self, body: bytes) -> _Load:
        load = msgspec.msgpack.decode(body, type=_Load)
        self._targets.take_loads(load.instance, load.open_by_name)
        return load

    def _serve_load(self, body: bytes) -> bytes:
        self._take_load(body)
        return msgspec.msgpack.encode(self._load())

    def _serve_clear(self, body: bytes) -> bytes:
        call = msgspec.msgpack.decode(body, type=_Clear)
        now = self._clock.monotonic()
        self._targets.hold(call.names, call.model, now + call.hold_s)
        for job in self._open_jobs():
            if job.contents.model == call.model:
                job.leave_targets(call.names, now + CLEAR_S)
        return b""

    def _serve_release(self, body: bytes) -> bytes:
        call = msgspec.msgpack.decode(body, type=_Release)
        self._targets.release(call.name, call.model, call.version)
        return b""
