"""Targets that were discovered, with what this instance knows of each."""

import threading
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import ejection, ewma
from hibiscuspin.decisions.placement import TargetView
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import TargetCalls, TargetRecord
from hibiscuspin.logs import get_logger

__all__ = ["DiscoveredTargets", "Target"]

# A target that refused has a place again within one short answer.
FULL_REST_S = 0.1
# A day's troubles last seconds, so that a target is tried again early.
MOST_REST_S = 3.0
# Entries of targets that live are back this long after the store's return.
RETURN_S = 2.0
# Holders of jobs tell their loads five times a second.
LOAD_FRESH_S = 0.7
DEFAULT_ANSWER_S = 0.05
DEFAULT_EVENT_S = 0.05
SAME_CENTRE_S = 0.0005
SAME_REGION_S = 0.004
OTHER_REGION_S = 0.02

_log = get_logger("targets")


class _Load(NamedTuple):
    """What another instance has open, and until when that is believed."""

    open_by_name: dict[str, int]
    fresh_until: float


class Target:
    """One incarnation of a target.

    Attributes:
        record: How it describes itself.
        calls: The calls to it.
        gone: Whether its address belongs to another target by now.
    """

    def __init__(self, record: TargetRecord, calls: TargetCalls) -> None:
        self.record = record
        self.calls = calls
        self.gone = False
        self.open_calls = 0
        self.health = ejection.Health()
        self.rests_until = 0.0
        self.held_until_by_model: dict[str, float] = {}
        self.answer: ewma.Mean | None = None
        self.event: ewma.Mean | None = None
        self.least_version_by_model: dict[str, int] = {}

    @property
    def name(self) -> str:
        """The target's name."""
        return self.record.name

    def version(self, model: str) -> int:
        """Returns the weights that it serves, as last heard; 0 if none."""
        listed = self.record.version_by_model.get(model, 0)
        return max(listed, self.least_version_by_model.get(model, 0))


class DiscoveredTargets:
    """All targets in use; safe to use from many threads."""

    def __init__(
        self,
        data_centre: str,
        region_by_data_centre: Mapping[str, str],
        clock: Clock,
        connect: Callable[[TargetRecord], TargetCalls],
    ) -> None:
        self._data_centre = data_centre
        self._region_by_data_centre = region_by_data_centre
        self._clock = clock
        self._connect = connect
        self._lock = threading.Lock()
        self._targets_by_name: dict[str, Target] = {}
        self._load_by_instance: dict[str, _Load] = {}
        self.known = False
        self.read_at = 0.0

    def replace(
        self, records: Iterable[TargetRecord], regained_at: float
    ) -> None:
        """Takes the list of all targets.

        Args:
            records: The targets as the store lists them.
            regained_at: When the store was last reached again after it had
                been lost; targets that are missing soon after may be back.
        """
        now = self._clock.monotonic()
        fresh = {record.name: record for record in records}
        with self._lock:
            self.known = True
            self.read_at = now
            for name in list(self._targets_by_name):
                if name in fresh or now < regained_at + RETURN_S:
                    continue
                target = self._targets_by_name.pop(name)
                target.gone = True
                target.calls.close()
                _log.info("Target gone.", extra={"target": name})
            for record in fresh.values():
                self._take(record)

    def _take(self, record: TargetRecord) -> None:
        known = self._targets_by_name.get(record.name)
        same = (
            known is not None
            and known.record.born_ms == record.born_ms
            and known.record.address == record.address
        )
        if known is not None and same:
            if record.draining and not known.record.draining:
                _log.info("Target drains.", extra={"target": record.name})
            known.record = record
            return
        if known is not None:
            known.gone = True
            known.calls.close()
        target = Target(record, self._connect(record))
        self._targets_by_name[record.name] = target
        _log.info(
            "Target found.",
            extra={
                "target": record.name,
                "service": record.service,
                "address": str(record.address),
                "born_ms": record.born_ms,
            },
        )

    def get(self, name: str) -> Target | None:
        """Returns a target that may take work, or None."""
        target = self._targets_by_name.get(name)
        if target is None or target.gone or target.record.draining:
            return None
        return target

    def of_service(self, service: str) -> list[Target]:
        """Returns the targets of a service that may take work."""
        with self._lock:
            return [
                target
                for target in self._targets_by_name.values()
                if target.record.service == service
                and not target.record.draining
                and not target.gone
            ]

    def all(self) -> list[Target]:
        """Returns all targets, those that leave too."""
        with self._lock:
            return list(self._targets_by_name.values())

    def views(self, service: str, model: str = "") -> list[TargetView]:
        """Returns what decisions know of a service's targets."""
        now = self._clock.monotonic()
        targets = self.of_service(service)
        elsewhere = self._open_elsewhere(now)
        event_s = self._typical(targets, "event", DEFAULT_EVENT_S, now)
        answer_s = self._typical(targets, "answer", DEFAULT_ANSWER_S, now)
        return [
            TargetView(
                name=target.name,
                slots=target.record.slots,
                open_here=target.open_calls,
                open_elsewhere=elsewhere[target.name],
                link_s=self._link_s(target.record.data_centre),
                answer_s=ewma.estimate(target.answer, answer_s, now),
                event_s=ewma.estimate(target.event, event_s, now),
                version=target.version(model) if model else 0,
                rests_until=max(
                    target.rests_until,
                    target.held_until_by_model.get(model, 0.0),
                ),
            )
            for target in targets
        ]

    def _typical(
        self, targets: list[Target], figure: str, default: float, now: float
    ) -> float:
        """Returns the lower median of a figure; slow targets don't move it."""
        means = [getattr(target, figure) for target in targets]
        values = sorted(mean.value for mean in means if mean is not None)
        return values[(len(values) - 1) // 2] if values else default

    def _link_s(self, data_centre: str) -> float:
        if data_centre == self._data_centre:
            return SAME_CENTRE_S
        regions = self._region_by_data_centre
        if regions.get(data_centre) == regions.get(self._data_centre):
            return SAME_REGION_S
        return OTHER_REGION_S

    def open_by_name(self) -> dict[str, int]:
        """Returns how many requests this instance has open on each target."""
        with self._lock:
            return {
                name: target.open_calls
                for name, target in self._targets_by_name.items()
                if target.open_calls
            }

    def open_everywhere(self) -> dict[str, int]:
        """Returns the requests of all instances, as far as they are known."""
        total = self._open_elsewhere(self._clock.monotonic())
        total.update(self.open_by_name())
        return dict(total)

    def take_loads(self, instance: str, open_by_name: dict[str, int]) -> None:
        """Takes how many requests another instance has open."""
        now = self._clock.monotonic()
        with self._lock:
            self._load_by_instance[instance] = _Load(
                open_by_name, now + LOAD_FRESH_S
            )

    def _open_elsewhere(self, now: float) -> Counter[str]:
        total: Counter[str] = Counter()
        for load in list(self._load_by_instance.values()):
            if load.fresh_until > now:
                total.update(load.open_by_name)
        return total

    def begin(self, target: Target) -> None:
        """Counts a request that is sent to a target."""
        with self._lock:
            target.open_calls += 1

    def end(self, target: Target) -> None:
        """Counts the end of a request."""
        with self._lock:
            target.open_calls -= 1

    def succeeded(
        self,
        target: Target,
        *,
        answer_s: float | None = None,
        event_s: float | None = None,
    ) -> None:
        """Records a whole answer, or a stream's pace."""
        now = self._clock.monotonic()
        with self._lock:
            target.health = ejection.after_success(target.health)
            target.rests_until = 0.0
            if answer_s is not None:
                target.answer = ewma.add(target.answer, answer_s, now)
            if event_s is not None:
                target.event = ewma.add(target.event, event_s, now)

    def note(self, target: Target, error: TargetError) -> None:
        """Records what a failed attempt tells of its target."""
        if error.draining:
            self.misdirected(target)
        elif error.refused:
            self.refused(target)
        else:
            self.failed(target, error.silent, str(error))

    def refused(self, target: Target) -> None:
        """Records that a target had no place."""
        now = self._clock.monotonic()
        with self._lock:
            target.rests_until = max(target.rests_until, now + FULL_REST_S)

    def failed(self, target: Target, silent: bool, reason: str) -> None:
        """Records a failed attempt; a target that fails again rests."""
        now = self._clock.monotonic()
        with self._lock:
            target.health = ejection.after_failure(target.health, silent, now)
            rests_until = min(target.health.ejected_until, now + MOST_REST_S)
            rested = target.rests_until
            target.rests_until = max(rested, rests_until)
        _log.info(
            "Target failed.",
            extra={
                "target": target.name,
                "silent": silent,
                "reason": reason,
                "rests_s": round(max(0.0, rests_until - now), 2),
            },
        )

    def hold(self, names: Iterable[str], model: str, until: float) -> None:
        """Keeps a model's new work from targets that are about to load it."""
        for name in names:
            target = self._targets_by_name.get(name)
            if target is not None:
                target.held_until_by_model[model] = until

    def release(self, name: str, model: str, version: int) -> None:
        """Takes a target that has loaded weights into use again."""
        target = self._targets_by_name.get(name)
        if target is not None:
            target.held_until_by_model.pop(model, None)
            known = target.least_version_by_model.get(model, 0)
            target.least_version_by_model[model] = max(known, version)

    def misdirected(self, target: Target) -> None:
        """Takes a target out whose address belongs to another by now."""
        target.gone = True
        target.calls.close()
        _log.info("Target's address has moved.", extra={"target": target.name})
