"""A simulation of engines and a trainer's steps, to compare policies.

Time advances in ticks. Sample lengths have the heavy tail of the users'
steps: one in thirty reaches the limit of 179 events, and length hints are
right only at the median. A trainer requests a step every four seconds, but
not before it has been trained on the step before the previous one.
"""

import itertools
import math
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from hibiscuspin.decisions import job_order, placement, samples, weight_orders
from hibiscuspin.decisions.job_order import SampleSize
from hibiscuspin.decisions.placement import SampleRequirements, TargetView
from hibiscuspin.decisions.weight_orders import DesiredVersion, EngineView

TICK_S = 0.02
EVENT_S = 0.0365
FULL_LOAD_SLOWDOWN = 0.13
MEDIAN_EVENTS = 20
LENGTH_SIGMA = 1.15
HINT_SIGMA = 0.5
MIN_EVENTS, MAX_EVENTS = 3, 179
STEP_PERIOD_S = 4.0
TRAINING_S = 0.5
RESULT_READ_S = 0.4
STEP_DUE_S = 8.0
STEP_TIMEOUT_S = 12.0
CLEAR_ENGINE_S = 0.15
LOAD_S = 0.95
MAX_CONCURRENT_LOADS = 2
MODEL = "m"

OrderSamples = Callable[[Sequence[SampleSize], float, float], list[int]]
PlaceSample = Callable[
    [Sequence[TargetView], SampleRequirements, float], TargetView | None
]
ChooseLoads = Callable[
    [DesiredVersion, Sequence[EngineView], dict[str, str], float], list[str]
]


class Policy(NamedTuple):
    """The decision functions that a simulation runs with."""

    order: OrderSamples
    place: PlaceSample
    loads: ChooseLoads


class DayResult(NamedTuple):
    """The results of a simulated day.

    Attributes:
        behind_s: How late the last step was requested.
        step_s: The mean duration of a step.
        in_time_share: The share of the required groups that were complete
            by `STEP_DUE_S`.
        load_count: How many loads were started.
    """

    behind_s: float
    step_s: float
    in_time_share: float
    load_count: int


def first_come_first_served(
    rows: Sequence[SampleSize], events_per_s: float, remaining_s: float
) -> list[int]:
    """Starts samples in the order of their job."""
    return [row.sample_index for row in rows]


def round_robin() -> PlaceSample:
    """Returns a placement that takes engines with a free slot in turn."""
    turn = itertools.count()

    def place(
        views: Sequence[TargetView],
        requirements: SampleRequirements,
        now: float,
    ) -> TargetView | None:
        candidates = [
            view
            for view in views
            if view.free_slots > 0
            and view.version >= requirements.oldest_version
            and view.backoff_until <= now
        ]
        return candidates[next(turn) % len(candidates)] if candidates else None

    return place


def load_at_once(
    desired: DesiredVersion,
    engines: Sequence[EngineView],
    loading: dict[str, str],
    now: float,
) -> list[str]:
    """Loads every outdated engine as soon as the load limit allows."""
    outdated = [
        engine.name
        for engine in engines
        if engine.version < desired.version and engine.name not in loading
    ]
    return outdated[: MAX_CONCURRENT_LOADS - len(loading)]


def load_like_product(
    desired: DesiredVersion,
    engines: Sequence[EngineView],
    loading: dict[str, str],
    now: float,
) -> list[str]:
    """Chooses the engines to load as the product does."""
    max_loads = MAX_CONCURRENT_LOADS - len(loading)
    return weight_orders.engines_to_load(
        desired, engines, loading, max_loads, now
    )


PRODUCT = Policy(
    job_order.start_order, placement.place_sample, load_like_product
)


class _Engine:
    def __init__(self, name: str, slots: int, time_factor: float) -> None:
        self.name = name
        self.slots = slots
        self.base_time_factor = self.time_factor = time_factor
        self.version = 1
        self.load_count = 0
        self.loads_from = math.inf
        self.loads_until = math.inf
        self.loading_version = 0
        self.runs: list[_Sample] = []

    @property
    def is_loading(self) -> bool:
        return self.loading_version > self.version

    @property
    def event_s(self) -> float:
        return (
            EVENT_S
            * self.time_factor
            * (1 + FULL_LOAD_SLOWDOWN * len(self.runs) / self.slots)
        )

    def start_load(self, version: int, now: float) -> None:
        self.loading_version = version
        self.load_count += 1
        self.loads_from = now + CLEAR_ENGINE_S
        self.loads_until = self.loads_from + LOAD_S
        for sample in self.runs:
            sample.engine = None
            sample.avoid = {self.name}
        self.runs = []

    def advance(self, now: float) -> list["_Sample"]:
        """Generates the events of a tick; returns the finished samples."""
        if now >= self.loads_until:
            self.version = self.loading_version
            self.loads_until = math.inf
        event_s = self.event_s
        for sample in self.runs:
            sample.generated += TICK_S / event_s
        ended = [s for s in self.runs if s.generated >= s.length]
        self.runs = [s for s in self.runs if s.generated < s.length]
        return ended


class _Sample:
    def __init__(self, group: str, length: int, hint: float) -> None:
        self.group = group
        self.length = length
        self.hint = hint
        self.generated = 0.0
        self.engine: _Engine | None = None
        self.avoid: set[str] = set()

    @property
    def remaining(self) -> float:
        return samples.remaining_events(self.hint, int(self.generated))


class _Step:
    def __init__(
        self,
        number: int,
        now: float,
        unfinished: list[_Sample],
        required_groups: int,
    ) -> None:
        self.number = number
        self.requested_at = now
        self.unfinished = unfinished
        self.required_groups = required_groups
        self.complete_groups = 0
        self.groups_in_time = 0
        self.ended = False
        self.ends_at = now + STEP_TIMEOUT_S
        self.unfinished_by_group: dict[str, int] = {}
        for row in unfinished:
            unfinished_count = self.unfinished_by_group.get(row.group, 0)
            self.unfinished_by_group[row.group] = unfinished_count + 1

    def end_sample(self, sample: _Sample, now: float) -> None:
        self.unfinished.remove(sample)
        self.unfinished_by_group[sample.group] -= 1
        if self.unfinished_by_group[sample.group]:
            return
        self.complete_groups += 1
        if (
            self.complete_groups <= self.required_groups
            and now <= self.requested_at + STEP_DUE_S
        ):
            self.groups_in_time += 1
        if self.complete_groups == self.required_groups:
            self.ends_at = now + RESULT_READ_S


class StepModel:
    """Simulates one day of a trainer and its engines."""

    def __init__(
        self,
        policy: Policy,
        seed: int,
        *,
        engines: int,
        slots: int,
        groups: int,
        group_size: int = 8,
        slow: tuple[float, float] = (math.inf, math.inf),
    ) -> None:
        """Creates the model.

        Args:
            policy: The decision functions.
            seed: Seed for lengths, hints and engine speeds.
            engines: The number of engines.
            slots: How many samples an engine runs at once.
            groups: The groups of a step; the trainer waits for 9 of 10.
            group_size: The samples of a group.
            slow: Start and end, in seconds, of the period in which the
                first engine is 3.5 times slower.
        """
        self._policy = policy
        self._random = random.Random(seed)
        self._groups, self._group_size = groups, group_size
        self._slow = slow
        self._engines = [
            _Engine(f"e{n}", slots, self._random.uniform(0.97, 1.06))
            for n in range(engines)
        ]
        self._steps: list[_Step] = []
        self._announced_at = [0.0, 0.0]
        self._preferred_by_group: dict[str, str] = {}

    def simulate(self, day_s: float) -> DayResult:
        """Simulates a day, and then the steps still in flight to their end."""
        ticks = int((day_s + STEP_TIMEOUT_S) / TICK_S)
        for tick in range(ticks):
            now = tick * TICK_S
            self._request_step(now, day_s)
            self._advance_engines(now)
            self._start_loads(now)
            for step in self._steps:
                self._place_samples(step, now)
        steps = self._steps
        behind_s = steps[-1].requested_at - STEP_PERIOD_S * (len(steps) - 1)
        required = int(day_s / STEP_PERIOD_S) * steps[0].required_groups
        return DayResult(
            behind_s,
            sum(s.ends_at - s.requested_at for s in steps) / len(steps),
            sum(s.groups_in_time for s in steps) / required,
            sum(engine.load_count for engine in self._engines),
        )

    def _request_step(self, now: float, day_s: float) -> None:
        number = len(self._steps)
        if number >= len(self._announced_at) or now >= day_s:
            return
        if now < max(STEP_PERIOD_S * number, self._announced_at[number]):
            return
        rows = []
        for group in range(self._groups):
            for _ in range(self._group_size):
                raw_length = self._random.lognormvariate(
                    math.log(MEDIAN_EVENTS), LENGTH_SIGMA
                )
                length = min(MAX_EVENTS, max(MIN_EVENTS, int(raw_length)))
                hint_error = self._random.lognormvariate(0, HINT_SIGMA)
                group_id = f"{number}/{group}"
                rows.append(
                    _Sample(group_id, length, max(1.0, length * hint_error))
                )
        required = math.ceil(self._groups * 0.9)
        self._steps.append(_Step(number, now, rows, required))

    def _advance_engines(self, now: float) -> None:
        slow_from, slow_until = self._slow
        first = self._engines[0]
        first.time_factor = first.base_time_factor
        if slow_from <= now < slow_until:
            first.time_factor *= 3.5
        step_by_sample = {
            id(row): step for step in self._steps for row in step.unfinished
        }
        for engine in self._engines:
            for sample in engine.advance(now):
                step_by_sample[id(sample)].end_sample(sample, now)
        for step in self._steps:
            if not step.ended and now >= step.ends_at:
                for row in step.unfinished:
                    if row.engine is not None:
                        row.engine.runs.remove(row)
                step.unfinished = []
                step.ended = True
                self._announced_at.append(now + TRAINING_S)

    def _start_loads(self, now: float) -> None:
        versions = [v for v, at in enumerate(self._announced_at) if at <= now]
        desired_version = max(1, *versions)
        desired = DesiredVersion(
            MODEL, desired_version, self._announced_at[desired_version]
        )
        views = [
            EngineView(e.name, e.version, len(e.runs), e.slots)
            for e in self._engines
        ]
        loading = {e.name: MODEL for e in self._engines if e.is_loading}
        names = self._policy.loads(desired, views, loading, now)
        for engine in self._engines:
            if engine.name in names:
                engine.start_load(desired_version, now)

    def _place_samples(self, step: _Step, now: float) -> None:
        waiting = [row for row in step.unfinished if row.engine is None]
        if not waiting:
            return
        engine_by_name = {e.name: e for e in self._engines}
        views = {
            e.name: TargetView(
                e.name,
                e.slots,
                len(e.runs),
                event_s=e.event_s,
                version=e.version,
                backoff_until=math.inf if e.is_loading else 0.0,
            )
            for e in self._engines
        }
        rows = [
            SampleSize(index, row.group, row.remaining)
            for index, row in enumerate(waiting)
        ]
        events_per_s = sum(
            e.slots / e.event_s for e in self._engines if not e.is_loading
        )
        remaining_s = step.requested_at + STEP_DUE_S - now
        order = self._policy.order(rows, events_per_s, remaining_s)
        order.sort(key=lambda index: not waiting[index].generated)
        for index in order:
            row = waiting[index]
            requirements = SampleRequirements(
                max(1, step.number - 1),
                row.remaining,
                self._preferred_by_group.get(row.group, ""),
                avoid=row.avoid,
            )
            view = self._policy.place(list(views.values()), requirements, now)
            if view is None:
                return
            views[view.name] = view._replace(
                in_flight_here=view.in_flight_here + 1
            )
            self._preferred_by_group[row.group] = view.name
            row.engine = engine_by_name[view.name]
            row.engine.runs.append(row)
