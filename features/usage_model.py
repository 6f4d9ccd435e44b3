"""A model of instances that report usage while they and the store fail."""

import random
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any

from features.platform_fakes import MemoryPeers, MemoryStore, StoreConnection
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.decisions.usage.windows import WindowTimes
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.duty_calls import DutyCallError, DutyHolder
from hibiscuspin.metrics import Metrics
from hibiscuspin.tasks.instances import LIVE_PREFIX, Instances
from hibiscuspin.tasks.usage.exchange import UsageExchange
from hibiscuspin.tasks.usage.reporter import UsageReporter
from hibiscuspin.tasks.usage.true_clock import TrueClock
from standins.platform_control import DutyRules, RuleBrokenError

TICK_S = 0.2
TAKEOVER_S = 3.0
LEASE_S = 2.0
WINDOW_S = 5.0
START_S = 1_000_000.0
IN_FLIGHT_POLL_S = 0.0002


class ModelClock:
    """The clock of one machine; true time is the monotonic time."""

    def __init__(self, model: "UsageModel") -> None:
        self._model = model
        self.step_s = 0.0

    def monotonic(self) -> float:
        """Returns the model's time."""
        return self._model.now

    def wall(self) -> float:
        """Returns the model's time with this machine's error."""
        return self._model.now + self.step_s


class ModelInstance:
    """One incarnation of an instance; `is_frozen` stops its progress."""

    def __init__(self, model: "UsageModel", name: str, term: int) -> None:
        self.clock = ModelClock(model)
        self.is_frozen = False
        self.store = StoreConnection(model.store)
        store: Any = self.store
        peers: Any = model.peers
        metrics = Metrics()
        member = LiveInstance(name, str(term), f"{name}/{term}", "dc")
        self.instances = Instances(
            member, store, self.clock, random.Random(1), TAKEOVER_S
        )
        self.exchange = UsageExchange(
            TrueClock(self.clock),
            WINDOW_S,
            self.instances,
            peers,
            self.clock,
            metrics,
        )
        self.reporter = UsageReporter(
            self.instances,
            self.exchange,
            self.exchange.true_clock,
            WindowTimes(WINDOW_S, 10.0),
            model,
            store,
            self.clock,
            random.Random(1),
            metrics,
        )
        model.peers.handlers_by_address[member.address] = (
            self.exchange.handlers()
        )

    def tick(self, values: Mapping[str, Any] | None) -> None:
        """Does what the instance's tasks do in one tick."""
        # Its thread may be the first to run after a freeze.
        self.reporter.step()
        if values is not None and not self.store.cut:
            self.instances.on_values(values)
        try:
            self.instances._renew_or_register()
            self.instances._compete_for_duty()
        except StoreError:
            pass
        if not self.exchange.true_clock.is_settled:
            self.exchange._vote()
            self.exchange.true_clock.is_settled = True
        self.exchange._exchange.send()
        # The model's time must not pass while its calls are in flight.
        while self.exchange._exchange._being_told:
            time.sleep(IN_FLIGHT_POLL_S)
        self.exchange._follow_time()


class UsageModel:
    """Instances before one store and one control address; a `DutyCalls`.

    Attributes:
        true_counts: The requests of each organisation, by window.
        late_calls: Calls that get to the address when their holder's lease
            has ended.
    """

    def __init__(self, names: str = "abc") -> None:
        self.now = START_S
        self.store = MemoryStore()
        self.peers = MemoryPeers()
        self.rules = DutyRules(TAKEOVER_S)
        self.broken: list[str] = []
        self.late_calls: list[DutyHolder] = []
        self.answers_to_lose = 0
        self.true_counts: dict[int, Counter[str]] = {}
        self._numbers = 0
        self._renewed_at: dict[int, float] = {}
        self.instance_by_name: dict[str, ModelInstance] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts an instance, or kills it and starts it again."""
        self._numbers += 1
        old = self.instance_by_name.get(name)
        if old is not None:
            self.peers.handlers_by_address.pop(
                old.instances.member.address, None
            )
            self.close_instance(old)
        self.instance_by_name[name] = ModelInstance(self, name, self._numbers)

    def request(self, name: str, organisation: str) -> None:
        """Has a target run a request that an instance forwards now."""
        instance = self.instance_by_name[name]
        if instance.is_frozen:
            return
        self._numbers += 1
        window = int(self.now // WINDOW_S)
        self.true_counts.setdefault(window, Counter())[organisation] += 1
        instance.exchange.records.record(
            f"r{self._numbers}", organisation, self.now
        )

    def advance(self, seconds: float) -> None:
        """Passes time."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self._end_leases()
            values = None
            if not self.store.down:
                scan = self.store.scan(LIVE_PREFIX, 0.0)
                values = {value.key: value for value in scan.values}
            for instance in list(self.instance_by_name.values()):
                if not instance.is_frozen:
                    instance.tick(values)
                    self._note_renewal(instance)

    def _note_renewal(self, instance: ModelInstance) -> None:
        registration = instance.instances._registration
        if registration.lease:
            self._renewed_at[registration.lease] = registration.renewed_at

    def _end_leases(self) -> None:
        for lease, renewed_at in list(self._renewed_at.items()):
            if self.now > renewed_at + LEASE_S + 6.0 * self._is_idle(lease):
                self.store.revoke_lease(lease, 0.0)
                del self._renewed_at[lease]

    def _is_idle(self, lease: int) -> bool:
        plans = [
            instance.instances._registration
            for instance in self.instance_by_name.values()
        ]
        return any(p.lease == lease and p.plan.ttl_s > LEASE_S for p in plans)

    def report_usage(
        self,
        holder: DutyHolder,
        window: int,
        count_by_organisation: Mapping[str, int],
        deadline: float,
    ) -> None:
        """Accepts a report as the control address does."""
        instances = self.instance_by_name[holder.name].instances
        if instances._registration.lease not in self.store._live_leases:
            self.late_calls.append(holder)
        try:
            self.rules.act("usage", holder.name, holder.fencing, self.now)
            self.rules.report(window, count_by_organisation)
        except RuleBrokenError as error:
            self.broken.append(str(error))
            raise DutyCallError(
                str(error), applied=False, is_final=True
            ) from None
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise DutyCallError("no response", applied=None)

    def set_engine_count(self, *args: Any) -> Any:
        """Fails: no test orders engines here."""
        raise DutyCallError("not expected", applied=False)

    def close_instance(self, instance: ModelInstance) -> None:
        """Ends an instance's threads."""
        instance.exchange._exchange.shutdown()
        instance.exchange._executor.shutdown()

    def close(self) -> None:
        """Ends all threads."""
        for instance in self.instance_by_name.values():
            self.close_instance(instance)
