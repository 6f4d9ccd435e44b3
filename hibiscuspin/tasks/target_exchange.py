"""Exchanges target loads, and notices on targets, between instances.

Load patterns: two steps of a trainer overlap on different instances, each of
which would fill all engines if it counted only its own requests; and an engine
that is about to load weights is running samples of several instances. A target
that is draining says so in its responses, seconds before the list shows it.
"""

import threading
from collections.abc import Callable, Collection, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import holders
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges import TargetError
from hibiscuspin.errors import HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.rpc import (
    PeerCallHandler,
    PeerHttpClient,
    PeerUnreachableError,
)
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.instances import Instances
from hibiscuspin.tasks.job_store import trim_default
from hibiscuspin.tasks.local_job import LocalJob
from hibiscuspin.tasks.scaling.waiting_samples import (
    WaitingSamples,
    no_services,
)
from hibiscuspin.tasks.target_limits import Incarnation

__all__ = ["TargetExchange"]

CLEAR_METHOD = "targets.clear"
DRAINING_METHOD = "targets.draining"
LISTENING_METHOD = "targets.listening"
LOAD_METHOD = "targets.load"
RELEASE_METHOD = "targets.release"

MAX_PARALLEL_CALLS = 8
# A sample's run notices the request to move within 0.1 s.
MOVE_TIMEOUT_S = 0.25
CLEAR_CALL_TIMEOUT_S = 0.5
RELEASE_CALL_TIMEOUT_S = 0.8
LOAD_CALL_TIMEOUT_S = 0.3
DRAINING_CALL_TIMEOUT_S = 0.5
LISTENING_CALL_TIMEOUT_S = 0.4
LISTENING_TIMEOUT_S = 0.2
# How many data centres are asked whether they reach a target.
LISTENING_DATA_CENTRES = 3
# Shorter than the 0.3 s within which short samples end.
EXCHANGE_PERIOD_S = 0.2
# While the holders are unknown, all instances are asked every so many periods.
ASK_ALL_PERIODS = 5
# A coordinator that rejects the waiting samples, such as one of an earlier
# build, gets loads without them for this long.
REJECTION_BACKOFF_S = 3.0

_log = get_logger("targets")


class _ClearCall(NamedTuple):
    """Clears targets of a model's samples before they load its weights.

    The called holder also sends them no new work of the model for `pause_s`.
    """

    names: list[str]
    model: str
    pause_s: float


class _InstanceLoad(NamedTuple):
    """The requests that one instance has in flight on each target.

    A response also names the holders that the responding instance knows. A
    call to the coordinator also has the samples that wait.
    """

    instance: str
    in_flight_by_name: dict[str, int]
    holders: Sequence[str] = ()
    waiting_by_service: Mapping[str, int] = {}

    def encode(self) -> bytes:
        """Returns the message without the last fields that have defaults.

        Builds that do not know them can then decode it.
        """
        if self.waiting_by_service:
            return msgspec.msgpack.encode(self)
        row = trim_default(self)
        return msgspec.msgpack.encode(row if self.holders else row[:-1])


class _ReleaseCall(NamedTuple):
    """Ends the pause of a target and states the version that it serves.

    The version is 0 if the load was not confirmed.
    """

    name: str
    model: str
    version: int


class TargetExchange:
    """Exchanges request counts, and notifies job holders of weight loads."""

    name = "target exchange"

    def __init__(
        self,
        targets: DiscoveredTargets,
        open_jobs: Callable[[], list[LocalJob]],
        instances: Instances,
        peers: PeerHttpClient,
        clock: Clock,
        scaled_services: Callable[[], Collection[str]] = no_services,
    ) -> None:
        """Creates the task.

        Args:
            targets: The targets that the calls are about.
            open_jobs: Returns this instance's jobs that still have samples to
                run.
            instances: The other instances.
            peers: Makes the calls to them.
            clock: The time source.
            scaled_services: Returns the services whose engines are ordered.
        """
        self._targets = targets
        self._open_jobs = open_jobs
        self.waiting = WaitingSamples(open_jobs, scaled_services, clock)
        self._rejected_until_by_name: dict[str, float] = {}
        self._instances = instances
        self._peers = peers
        self._clock = clock
        # When each instance last reported its load here, or was named as a
        # holder by the coordinator.
        self._reported_at_by_name: dict[str, float] = {}
        self._coordinator_answered_at = float("-inf")
        self._executor = ThreadPoolExecutor(
            MAX_PARALLEL_CALLS, thread_name_prefix="tell"
        )
        targets.on_draining = self.report_draining
        targets.is_listening_elsewhere = self._is_listening_elsewhere

    def handlers(self) -> dict[str, PeerCallHandler]:
        """Returns the handlers of calls from other instances, by method."""
        return {
            CLEAR_METHOD: self._serve_clear,
            DRAINING_METHOD: self._serve_draining,
            LISTENING_METHOD: self._serve_listening,
            LOAD_METHOD: self._serve_load,
            RELEASE_METHOD: self._serve_release,
        }

    def run(self, stop: threading.Event) -> None:
        """Exchanges loads while a job is open, until `stop` is set."""
        period = 0
        while not stop.wait(EXCHANGE_PERIOD_S):
            if not self._open_jobs():
                period = 0
                continue
            for member in self._members_to_ask(period % ASK_ALL_PERIODS == 0):
                self.exchange_load(member)
            period += 1
        self._executor.shutdown()

    def _members_to_ask(self, ask_all: bool) -> list[LiveInstance]:
        member_by_name = {m.name: m for m in self._instances.others()}
        coordinator = self._instances.coordinator()
        is_coordinator = coordinator == self._instances.member.name
        age_s = self._clock.monotonic() - self._coordinator_answered_at
        names = holders.instances_to_ask(
            list(member_by_name),
            self._active_holders(),
            coordinator,
            is_coordinator or age_s <= holders.HOLDER_TTL_S,
            ask_all,
        )
        # The coordinator names holders that are asked in the same period.
        names.sort(key=lambda name: name != coordinator)
        return [member_by_name[name] for name in names]

    def _active_holders(self) -> list[str]:
        now = self._clock.monotonic()
        return holders.active_holders(self._reported_at_by_name, now)

    def clear_samples(
        self, names: list[str], model: str, pause_s: float
    ) -> None:
        """Makes all job holders move a model's samples off some targets.

        Args:
            names: The targets, which are about to load weights.
            model: The model whose weights they load; samples of other models
                keep running.
            pause_s: How long the targets get no new samples of the model
                unless they are released earlier.
        """
        call = msgspec.msgpack.encode(_ClearCall(names, model, pause_s))
        self._notify_others(CLEAR_METHOD, call, CLEAR_CALL_TIMEOUT_S)
        self._serve_clear(call)

    def release(self, name: str, model: str, version: int) -> None:
        """Notifies all job holders that a load on a target has ended.

        Args:
            name: The target.
            model: The model.
            version: The version that the target serves now; 0 if unknown.
        """
        call = msgspec.msgpack.encode(_ReleaseCall(name, model, version))
        self._notify_others(RELEASE_METHOD, call, RELEASE_CALL_TIMEOUT_S)
        self._serve_release(call)

    def _notify_others(
        self, method: str, call: bytes, timeout_s: float
    ) -> None:
        """Notifies all known holders, or all instances if none is known."""
        names = self._active_holders()
        others = self._instances.others()
        futures = [
            self._executor.submit(
                self._peers.call, member.address, method, call, timeout_s
            )
            for member in others
            if not names or member.name in names
        ]
        for future in futures:
            try:
                future.result()
            except (PeerUnreachableError, HibiscusError) as error:
                _log.info(
                    "Peer could not be notified of a weight load.",
                    extra={"reason": str(error)},
                )

    def report_draining(self, target: Incarnation) -> None:
        """Notifies others that a target's response said it is draining.

        These are the job holders, which send the most requests, and the
        instances of this data centre; the rest hear it from the target itself
        or from the list. Returns at once.
        """
        names = self._active_holders()
        body = msgspec.msgpack.encode(target)
        for member in self._instances.others():
            if (
                member.name in names
                or member.data_centre == self._instances.member.data_centre
            ):
                try:
                    self._executor.submit(self._send_draining, member, body)
                except RuntimeError:
                    _log.debug("Peers not notified: the instance is stopping.")
                    return

    def _send_draining(self, member: LiveInstance, body: bytes) -> None:
        try:
            self._peers.call(
                member.address, DRAINING_METHOD, body, DRAINING_CALL_TIMEOUT_S
            )
        except (PeerUnreachableError, HibiscusError) as error:
            _log.info(
                "Peer could not be notified of a draining target.",
                extra={"instance": member.name, "reason": str(error)},
            )

    def _is_listening_elsewhere(self, target: Incarnation) -> bool:
        """Returns whether an instance of any data centre reaches a target.

        One of each is asked, since a data centre may have lost its links as a
        whole.
        """
        member_by_data_centre: dict[str, LiveInstance] = {}
        for member in self._instances.others():
            if not self._peers.is_suspect(member.address):
                member_by_data_centre.setdefault(member.data_centre, member)
        members = list(member_by_data_centre.values())[:LISTENING_DATA_CENTRES]
        body = msgspec.msgpack.encode(target)
        answers = self._executor.map(
            lambda member: self._ask_listening(member, body), members
        )
        return any(list(answers))

    def _ask_listening(self, member: LiveInstance, body: bytes) -> bool:
        try:
            answer = self._peers.call(
                member.address, LISTENING_METHOD, body, LISTENING_CALL_TIMEOUT_S
            )
            return msgspec.msgpack.decode(answer, type=bool)
        except (
            PeerUnreachableError,
            HibiscusError,
            msgspec.DecodeError,
        ) as error:
            _log.info(
                "Peer could not be asked whether it reaches a target.",
                extra={"instance": member.name, "reason": str(error)},
            )
            return False

    def _serve_listening(self, body: bytes) -> bytes:
        incarnation = msgspec.msgpack.decode(body, type=Incarnation)
        target = self._targets.get(incarnation.name)
        is_listening = False
        if target is not None and target.incarnation == incarnation:
            deadline = self._clock.monotonic() + LISTENING_TIMEOUT_S
            try:
                is_listening = target.is_listening(deadline)
            except TargetError as error:
                _log.info(
                    "Target not reached for another instance.",
                    extra={"target": target.name, "reason": str(error)},
                )
        return msgspec.msgpack.encode(is_listening)

    def exchange_load(self, member: LiveInstance) -> bool:
        """Sends this instance's load to another one and records the other's.

        Returns:
            Whether the other instance has requests in flight.
        """
        call = self._own_load()
        now = self._clock.monotonic()
        if (
            member.name == self._instances.coordinator()
            and now >= self._rejected_until_by_name.get(member.name, 0.0)
        ):
            call = call._replace(waiting_by_service=self.waiting.own())
        try:
            body = self._peers.call(
                member.address, LOAD_METHOD, call.encode(), LOAD_CALL_TIMEOUT_S
            )
        except (PeerUnreachableError, HibiscusError) as error:
            if call.waiting_by_service and isinstance(error, HibiscusError):
                until = now + REJECTION_BACKOFF_S
                self._rejected_until_by_name[member.name] = until
            _log.debug(
                "Loads could not be exchanged with a peer.",
                extra={"reason": str(error)},
            )
            return False
        load = self._record_peer_load(body)
        now = self._clock.monotonic()
        if member.name == self._instances.coordinator():
            self._coordinator_answered_at = now
            for name in load.holders:
                self._reported_at_by_name[name] = now
        return bool(load.in_flight_by_name)

    def _own_load(self) -> _InstanceLoad:
        return _InstanceLoad(
            self._instances.member.name, self._targets.in_flight_by_name()
        )

    def _record_peer_load(self, body: bytes) -> _InstanceLoad:
        load = msgspec.msgpack.decode(body, type=_InstanceLoad)
        self._targets.record_peer_load(load.instance, load.in_flight_by_name)
        return load

    def _serve_load(self, body: bytes) -> bytes:
        known = self._active_holders()
        load = self._record_peer_load(body)
        self.waiting.record(load.instance, load.waiting_by_service)
        self._reported_at_by_name[load.instance] = self._clock.monotonic()
        if self._open_jobs():
            known.append(self._instances.member.name)
        response = self._own_load()._replace(holders=tuple(known))
        return response.encode()

    def _serve_clear(self, body: bytes) -> bytes:
        call = msgspec.msgpack.decode(body, type=_ClearCall)
        now = self._clock.monotonic()
        self._targets.pause(call.names, call.model, now + call.pause_s)
        # A run that moves costs a second token. Limited targets have few runs,
        # and are ordered to finish them before the load.
        cleared = [n for n in call.names if not self._targets.is_limited(n)]
        for job in self._open_jobs():
            if job.contents.model == call.model:
                job.stop_runs_on_targets(cleared, now + MOVE_TIMEOUT_S)
        return b""

    def _serve_draining(self, body: bytes) -> bytes:
        target = msgspec.msgpack.decode(body, type=Incarnation)
        self._targets.record_draining(target)
        return b""

    def _serve_release(self, body: bytes) -> bytes:
        call = msgspec.msgpack.decode(body, type=_ReleaseCall)
        self._targets.resume(call.name, call.model, call.version)
        return b""
