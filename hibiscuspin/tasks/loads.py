"""Polls engines for load reports and shares them inside a data centre.

Each engine is polled by one instance of its data centre, chosen by rendezvous
hashing, which publishes the report to the others when it has changed. Two
instances of each data centre read the platform's list of leaving targets and
publish it in the same way.
"""

import threading
from concurrent.futures import ThreadPoolExecutor

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import polling
from hibiscuspin.edges import EngineLoad, InstanceList, TargetError
from hibiscuspin.peers.hub import PeerHub
from hibiscuspin.tasks.targets import Targets

__all__ = ["LoadPoller"]

TICK_S = 0.5
CALL_TIMEOUT_S = 1.0
REMOTE_PERIOD_S = 5.0
REPUBLISH_PERIOD_S = 10.0
MAX_PARALLEL_POLLS = 8
LOADS_TOPIC = "loads"
LEAVING_TOPIC = "leaving"


class LoadPoller:
    """Polls engines and shares their load reports; a supervised task."""

    name = "load-poller"

    def __init__(
        self,
        instance: str,
        data_centre: str,
        targets: Targets,
        instances: InstanceList,
        hub: PeerHub,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._targets = targets
        self._instances = instances
        self._hub = hub
        self._clock = clock
        self._next_local_poll_at = 0.0
        self._next_remote_poll_at = 0.0
        self._next_loads_publish_at = 0.0
        self._next_leaving_publish_at = 0.0
        self._published_loads: dict[str, tuple[int, int, int]] = {}
        self._published_leaving: list[str] | None = None
        hub.subscribe(LOADS_TOPIC, self._on_loads)
        hub.subscribe(LEAVING_TOPIC, self._on_leaving)

    def run(self, stop: threading.Event) -> None:
        """Polls until `stop` is set."""
        with ThreadPoolExecutor(MAX_PARALLEL_POLLS, "load") as executor:
            while not stop.wait(TICK_S):
                self._tick(executor, self._clock.monotonic())

    def _tick(self, executor: ThreadPoolExecutor, now: float) -> None:
        names = self._local_instances()
        if self._instance in polling.list_readers(names):
            self._read_leaving(now)
        if now >= self._next_remote_poll_at:
            self._next_remote_poll_at = now + REMOTE_PERIOD_S
            elsewhere = self._targets.engines_in_use(self._data_centre, False)
            list(executor.map(self._read_load, elsewhere))
        if now >= self._next_local_poll_at:
            local = self._targets.engines_in(self._data_centre)
            owned = polling.owned_engines(self._instance, local, names)
            self._next_local_poll_at = now + polling.poll_period_s(len(owned))
            loads = zip(
                owned, executor.map(self._read_load, owned), strict=True
            )
            self._publish_loads({n: load for n, load in loads if load}, now)

    def _local_instances(self) -> set[str]:
        """Returns the names of the live instances of this data centre."""
        return {
            record.name
            for record in self._hub.instances()
            if record.data_centre == self._data_centre
        }

    def _read_leaving(self, now: float) -> None:
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        try:
            leaving = sorted(self._instances.leaving_targets(deadline))
        except TargetError:
            return
        self._targets.set_listed_leaving(leaving)
        if (
            leaving != self._published_leaving
            or now >= self._next_leaving_publish_at
        ):
            self._published_leaving = leaving
            self._next_leaving_publish_at = now + REPUBLISH_PERIOD_S
            self._hub.publish(LEAVING_TOPIC, msgspec.msgpack.encode(leaving))

    def _read_load(self, name: str) -> EngineLoad | None:
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        try:
            load = self._targets.engine(name).fetch_load(deadline)
        except (TargetError, KeyError):
            return None
        self._targets.record_load(name, load)
        return load

    def _publish_loads(self, loads: dict[str, EngineLoad], now: float) -> None:
        figures_by_name = {
            name: (load.running, load.queued, load.version)
            for name, load in loads.items()
        }
        unchanged = not polling.loads_changed(
            figures_by_name, self._published_loads
        )
        if not loads or (unchanged and now < self._next_loads_publish_at):
            return
        self._published_loads = figures_by_name
        self._next_loads_publish_at = now + REPUBLISH_PERIOD_S
        self._hub.publish(LOADS_TOPIC, msgspec.msgpack.encode(loads))

    def _on_loads(self, origin: str, body: bytes) -> None:
        loads = msgspec.msgpack.decode(body, type=dict[str, EngineLoad])
        used = set(self._targets.engines_in_use(self._data_centre, True))
        for name, load in loads.items():
            if name in used:
                self._targets.record_load(name, load)

    def _on_leaving(self, origin: str, body: bytes) -> None:
        if origin not in polling.list_readers(self._local_instances()):
            return
        leaving = msgspec.msgpack.decode(body, type=list[str])
        self._targets.set_listed_leaving(leaving)
