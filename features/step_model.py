"""A model of engines, a trainer and its steps, to compare decisions by.

Time goes on in ticks. Samples have lengths with the heavy tail that the
users' steps have: one in thirty reaches the limit of 179 events, and hints
are right at the median only. A trainer asks for a step each four seconds,
once the step before the last has ended and was trained on.
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
FULL_PACE = 0.13
MEDIAN_EVENTS = 20
LENGTH_SPREAD = 1.15
HINT_SPREAD = 0.5
LEAST_EVENTS, MOST_EVENTS = 3, 179
STEP_PERIOD_S = 4.0
TRAINING_S = 0.5
READ_S = 0.4
DUE_S = 8.0
GIVEN_UP_S = 12.0
CLEAR_S = 0.15
LOAD_S = 0.95
LOADS_AT_ONCE = 2
MODEL = "m"

Order = Callable[[Sequence[SampleSize], float, float], list[int]]
Place = Callable[
    [Sequence[TargetView], SampleRequirements, float], TargetView | None
]
Loads = Callable[
    [DesiredVersion, Sequence[EngineView], dict[str, str], float], list[str]
]


class Policy(NamedTuple):
    """The decisions that are played."""

    order: Order
    place: Place
    loads: Loads


class Outcome(NamedTuple):
    """What came of a day.

    Attributes:
        behind_s: How late the last step was asked for.
        step_s: The mean time of a step.
        in_time: The share of the wanted groups that were whole when due.
        loads: How many loads were made.
    """

    behind_s: float
    step_s: float
    in_time: float
    loads: int


def first_come(
    rows: Sequence[SampleSize], rate: float, left_s: float
) -> list[int]:
    """Starts samples in the order of their job."""
    return [row.sample_index for row in rows]


def round_robin() -> Place:
    """Returns a placement that goes round all engines with a place."""
    turn = itertools.count()

    def place(
        views: Sequence[TargetView], need: SampleRequirements, now: float
    ) -> TargetView | None:
        fit = [
            view
            for view in views
            if view.free_slots > 0
            and view.version >= need.oldest_version
            and view.backoff_until <= now
        ]
        return fit[next(turn) % len(fit)] if fit else None

    return place


def load_at_once(
    need: DesiredVersion,
    engines: Sequence[EngineView],
    loading: dict[str, str],
    now: float,
) -> list[str]:
    """Loads whatever lags as soon as there is room."""
    lagging = [
        engine.name
        for engine in engines
        if engine.version < need.version and engine.name not in loading
    ]
    return lagging[: LOADS_AT_ONCE - len(loading)]


def load_when_calm(
    need: DesiredVersion,
    engines: Sequence[EngineView],
    loading: dict[str, str],
    now: float,
) -> list[str]:
    """Loads as the product does."""
    room = LOADS_AT_ONCE - len(loading)
    return weight_orders.engines_to_load(need, engines, loading, room, now)


PRODUCT = Policy(job_order.start_order, placement.place_sample, load_when_calm)


class _Engine:
    def __init__(self, name: str, slots: int, speed: float) -> None:
        self.name = name
        self.slots = slots
        self.usual_speed = self.speed = speed
        self.version = 1
        self.loads = 0
        self.loads_from = math.inf
        self.loads_until = math.inf
        self.loading_version = 0
        self.runs: list[_Sample] = []

    @property
    def held(self) -> bool:
        return self.loading_version > self.version

    @property
    def event_s(self) -> float:
        return (
            EVENT_S * self.speed * (1 + FULL_PACE * len(self.runs) / self.slots)
        )

    def load(self, version: int, now: float) -> None:
        self.loading_version = version
        self.loads += 1
        self.loads_from = now + CLEAR_S
        self.loads_until = self.loads_from + LOAD_S
        for sample in self.runs:
            sample.engine = None
            sample.avoid = {self.name}
        self.runs = []

    def advance(self, now: float) -> list["_Sample"]:
        """Makes the events of a tick; returns the samples that end."""
        if now >= self.loads_until:
            self.version = self.loading_version
            self.loads_until = math.inf
        event_s = self.event_s
        for sample in self.runs:
            sample.made += TICK_S / event_s
        ended = [s for s in self.runs if s.made >= s.length]
        self.runs = [s for s in self.runs if s.made < s.length]
        return ended


class _Sample:
    def __init__(self, group: str, length: int, hint: float) -> None:
        self.group = group
        self.length = length
        self.hint = hint
        self.made = 0.0
        self.engine: _Engine | None = None
        self.avoid: set[str] = set()

    @property
    def left(self) -> float:
        return samples.remaining_events(self.hint, int(self.made))


class _Step:
    def __init__(
        self, number: int, now: float, rows: list[_Sample], wanted: int
    ) -> None:
        self.number = number
        self.asked_at = now
        self.rows = rows
        self.wanted = wanted
        self.whole = 0
        self.in_time = 0
        self.ended = False
        self.ends_at = now + GIVEN_UP_S
        self.left_by_group: dict[str, int] = {}
        for row in rows:
            left = self.left_by_group.get(row.group, 0)
            self.left_by_group[row.group] = left + 1

    def end_sample(self, sample: _Sample, now: float) -> None:
        self.rows.remove(sample)
        self.left_by_group[sample.group] -= 1
        if self.left_by_group[sample.group]:
            return
        self.whole += 1
        if self.whole <= self.wanted and now <= self.asked_at + DUE_S:
            self.in_time += 1
        if self.whole == self.wanted:
            self.ends_at = now + READ_S


class StepModel:
    """One day of a trainer before its engines."""

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
            policy: The decisions.
            seed: Decides lengths, hints and speeds.
            engines: How many engines there are.
            slots: How many samples each runs at once.
            groups: The groups of a step; 9 of 10 are waited for.
            group_size: Samples of a group.
            slow: From when to when the first engine is 3.5 times slower.
        """
        self._policy = policy
        self._draw = random.Random(seed)
        self._groups, self._group_size = groups, group_size
        self._slow = slow
        self._engines = [
            _Engine(f"e{n}", slots, self._draw.uniform(0.97, 1.06))
            for n in range(engines)
        ]
        self._steps: list[_Step] = []
        self._named_at = [0.0, 0.0]
        self._home_by_group: dict[str, str] = {}

    def play(self, seconds: float) -> Outcome:
        """Plays a day; steps that run at its end are played to theirs."""
        ticks = int((seconds + GIVEN_UP_S) / TICK_S)
        for tick in range(ticks):
            now = tick * TICK_S
            self._ask(now, seconds)
            self._advance(now)
            self._load(now)
            for step in self._steps:
                self._place(step, now)
        steps = self._steps
        behind = steps[-1].asked_at - STEP_PERIOD_S * (len(steps) - 1)
        due = int(seconds / STEP_PERIOD_S) * steps[0].wanted
        return Outcome(
            behind,
            sum(s.ends_at - s.asked_at for s in steps) / len(steps),
            sum(s.in_time for s in steps) / due,
            sum(engine.loads for engine in self._engines),
        )

    def _ask(self, now: float, seconds: float) -> None:
        number = len(self._steps)
        if number >= len(self._named_at) or now >= seconds:
            return
        if now < max(STEP_PERIOD_S * number, self._named_at[number]):
            return
        rows = []
        for group in range(self._groups):
            for _ in range(self._group_size):
                drawn = self._draw.lognormvariate(
                    math.log(MEDIAN_EVENTS), LENGTH_SPREAD
                )
                length = min(MOST_EVENTS, max(LEAST_EVENTS, int(drawn)))
                error = self._draw.lognormvariate(0, HINT_SPREAD)
                name = f"{number}/{group}"
                rows.append(_Sample(name, length, max(1.0, length * error)))
        wanted = math.ceil(self._groups * 0.9)
        self._steps.append(_Step(number, now, rows, wanted))

    def _advance(self, now: float) -> None:
        slow_from, slow_until = self._slow
        first = self._engines[0]
        first.speed = first.usual_speed
        if slow_from <= now < slow_until:
            first.speed *= 3.5
        step_by_sample = {
            id(row): step for step in self._steps for row in step.rows
        }
        for engine in self._engines:
            for sample in engine.advance(now):
                step_by_sample[id(sample)].end_sample(sample, now)
        for step in self._steps:
            if not step.ended and now >= step.ends_at:
                for row in step.rows:
                    if row.engine is not None:
                        row.engine.runs.remove(row)
                step.rows = []
                step.ended = True
                self._named_at.append(now + TRAINING_S)

    def _load(self, now: float) -> None:
        versions = [v for v, at in enumerate(self._named_at) if at <= now]
        wanted = max(1, *versions)
        need = DesiredVersion(MODEL, wanted, self._named_at[wanted])
        views = [
            EngineView(e.name, e.version, len(e.runs), e.slots)
            for e in self._engines
        ]
        loading = {e.name: MODEL for e in self._engines if e.held}
        names = self._policy.loads(need, views, loading, now)
        for engine in self._engines:
            if engine.name in names:
                engine.load(wanted, now)

    def _place(self, step: _Step, now: float) -> None:
        waiting = [row for row in step.rows if row.engine is None]
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
                backoff_until=math.inf if e.held else 0.0,
            )
            for e in self._engines
        }
        rows = [
            SampleSize(place, row.group, row.left)
            for place, row in enumerate(waiting)
        ]
        rate = sum(e.slots / e.event_s for e in self._engines if not e.held)
        left_s = step.asked_at + DUE_S - now
        order = self._policy.order(rows, rate, left_s)
        order.sort(key=lambda place: not waiting[place].made)
        for place in order:
            row = waiting[place]
            need = SampleRequirements(
                max(1, step.number - 1),
                row.left,
                self._home_by_group.get(row.group, ""),
                avoid=row.avoid,
            )
            view = self._policy.place(list(views.values()), need, now)
            if view is None:
                return
            views[view.name] = view._replace(
                in_flight_here=view.in_flight_here + 1
            )
            self._home_by_group[row.group] = view.name
            row.engine = engine_by_name[view.name]
            row.engine.runs.append(row)
