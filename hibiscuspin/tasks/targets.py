"""Tracks the configured targets and chooses one for each request.

Holds, for each target, its client, the requests in flight, its reported load,
its health, and whether it is draining.
"""

import random
import threading
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.config import Document
from hibiscuspin.config.schema import Target
from hibiscuspin.decisions import admission, ejection, ewma
from hibiscuspin.decisions.routing import (
    Candidate,
    RoutingRequest,
    router_by_name,
)
from hibiscuspin.edges import (
    Engine,
    EngineLoad,
    PlainService,
    TargetError,
)
from hibiscuspin.logs import get_logger
from hibiscuspin.rendezvous import owner
from hibiscuspin.tasks.choices import (
    INITIAL_FIRST_TOKEN_S,
    INITIAL_TOKEN_INTERVAL_S,
    Choice,
    build_candidate,
)
from hibiscuspin.tasks.clients import Clients
from hibiscuspin.tasks.places import Topology
from hibiscuspin.tasks.target_state import (
    PREFIX_CHARS,
    LoadSnapshot,
    TargetState,
)

__all__ = ["TargetStatus", "Targets"]

# How long a draining target gets no work after it has refused a request.
REFUSAL_BACKOFF_S = 120.0
# Expected length of a response before any has been measured.
INITIAL_RESPONSE_TOKENS = 64.0
DEFAULT_SLOTS = 8
# A first-token time counts only while at most this share of slots is in use.
UNCONTENDED_SLOT_SHARE = 0.5

_log = get_logger("targets")


class TargetStatus(NamedTuple):
    """The state of one target, as reported to operators."""

    name: str
    kind: str
    data_centre: str
    draining: bool
    in_flight: int


class Targets:
    """The targets of the current configuration; thread-safe."""

    def __init__(
        self,
        instance: str,
        data_centre: str,
        clock: Clock,
        rng: random.Random,
        router: str,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._router = router_by_name(router)
        self._lock = threading.Lock()
        self._targets_by_name: dict[str, Target] = {}
        self._topology = Topology(data_centre, {}, {})
        self._clients = Clients()
        self._states_by_name: dict[str, TargetState] = {}
        self._tokens_by_model: dict[str, ewma.Mean] = {}
        self._choice_count = 0
        self._drained_by_order: set[str] = set()
        self._listed_as_leaving: set[str] = set()
        self._backoff_until_by_name: dict[str, float] = {}
        self.on_refusal: Callable[[str], object] = self.back_off

    def configure(self, document: Document) -> None:
        """Replaces the targets with those of a new configuration."""
        targets = document.config["targets_by_name"]
        topology = Topology.from_config(
            self._instance, self._data_centre, document.config
        )
        with self._lock:
            self._targets_by_name = dict(targets)
            self._topology = topology
            for name in set(self._states_by_name) - set(targets):
                del self._states_by_name[name]

    def engine(self, name: str) -> Engine:
        """Returns the client of one engine.

        Raises:
            TargetError: The configuration no longer contains the engine.
        """
        return self._clients.engine(self._address(name))

    def service(self, name: str) -> PlainService:
        """Returns the client of one service replica.

        Raises:
            TargetError: The configuration no longer contains the replica.
        """
        return self._clients.service(self._address(name))

    def target(self, name: str) -> Target:
        """Returns the configuration of one target."""
        return self._targets_by_name[name]

    def engines_of(self, model: str) -> list[str]:
        """Returns the names of the engines that serve a model."""
        return self._names_by_field("model", model)

    def services_of(self, service: str) -> list[str]:
        """Returns the names of a service's replicas, sorted."""
        return self._names_by_field("service", service)

    def key_checking_services_of(self, service: str) -> list[str]:
        """Returns the replicas of a service that check idempotency keys."""
        return [
            name
            for name in self._names_by_field("service", service)
            if self._checks_idempotency_keys(name)
        ]

    def available_services_of(self, service: str) -> list[str]:
        """Returns the replicas of a service that are not leaving."""
        names = self.services_of(service)
        with self._lock:
            return [name for name in names if not self._is_leaving(name)]

    def _checks_idempotency_keys(self, name: str) -> bool:
        target = self._targets_by_name.get(name)
        return bool(target and target.get("checks_idempotency_keys", False))

    def _names_by_field(self, field: str, value: str) -> list[str]:
        """Returns the targets whose `field` equals `value`, sorted by name."""
        with self._lock:
            return sorted(
                name
                for name, target in self._targets_by_name.items()
                if target.get(field) == value
            )

    def choose_engine(
        self,
        model: str,
        excluded: Collection[str],
        prompt: str = "",
        max_tokens: int = 0,
    ) -> Choice | None:
        """Chooses an engine of a model; None if no engine is eligible."""
        now = self._clock.monotonic()
        with self._lock:
            names = self._eligible_names(model, excluded, now)
            chosen = self._route(model, names, prompt, now)
            if chosen is None:
                return None
            self._state(chosen.name).record_prefix(prompt)
            return Choice.from_candidate(
                chosen, self._mean_tokens(model, now), max_tokens
            )

    def choose_rollout_engine(
        self, model: str, excluded: Collection[str], prompt: str = ""
    ) -> str | None:
        """Chooses an engine for a rollout.

        Returns:
            An engine that still has slots reserved for live requests after
            taking the rollout, or None.
        """
        now = self._clock.monotonic()
        with self._lock:
            names = self._eligible_names(model, excluded, now)
            names = [
                name for name in names if self._has_rollout_capacity(name, now)
            ]
            chosen = self._route(model, names, prompt, now)
            if chosen is None:
                return None
            self._state(chosen.name).record_prefix(prompt)
            return chosen.name

    def choose_service(
        self, service: str, excluded: Collection[str]
    ) -> str | None:
        """Chooses a replica of a plain service; None if none is eligible."""
        now = self._clock.monotonic()
        with self._lock:
            names = self._eligible_names(service, excluded, now)
            chosen = self._route(service, names, "", now)
            return chosen.name if chosen else None

    @contextmanager
    def track_request(self, name: str) -> Iterator[None]:
        """Counts a live request as in flight; may preempt rollouts."""
        now = self._clock.monotonic()
        with self._track_in_flight(name):
            with self._lock:
                self._preempt_rollouts(name, now)
            yield

    @contextmanager
    def track_rollout(self, name: str, move: threading.Event) -> Iterator[None]:
        """Counts a rollout as in flight on a target.

        Args:
            name: The target's name.
            move: Set when the rollout must move to another target, to free a
                slot for live requests.
        """
        with self._track_in_flight(name) as state:
            with self._lock:
                state.rollouts.append(move)
            try:
                yield
            finally:
                with self._lock:
                    state.rollouts.remove(move)

    @contextmanager
    def _track_in_flight(self, name: str) -> Iterator[TargetState]:
        """Counts a request as in flight; reports a draining refusal."""
        with self._lock:
            state = self._state(name)
            state.in_flight += 1
        try:
            yield state
        except TargetError as error:
            if error.draining:
                self.on_refusal(name)
            raise
        finally:
            with self._lock:
                state.in_flight -= 1

    def token_interval_s(self, name: str) -> float:
        """Returns the expected token interval of an engine."""
        now = self._clock.monotonic()
        with self._lock:
            return ewma.estimate(
                self._state(name).token_interval, INITIAL_TOKEN_INTERVAL_S, now
            )

    def expected_response_s(self, service: str) -> float:
        """Returns the expected response time of the fastest replica."""
        now = self._clock.monotonic()
        with self._lock:
            means = [
                self._state(name).first_token_time
                for name in self._topology.members(service)
            ]
            return (
                min(
                    ewma.estimate(mean, INITIAL_FIRST_TOKEN_S, now)
                    for mean in means
                )
                if means
                else INITIAL_FIRST_TOKEN_S
            )

    def record_first_token(self, name: str, seconds: float) -> None:
        """Records the time to a first token, unless the target is busy.

        For a service, it is the time of the complete response.
        """
        now = self._clock.monotonic()
        with self._lock:
            state = self._state(name)
            if (
                state.total_in_flight(now)
                <= self._slots(name) * UNCONTENDED_SLOT_SHARE
            ):
                state.record_first_token(seconds, now)

    def record_token_interval(self, name: str, seconds: float) -> None:
        """Records an engine's token interval."""
        now = self._clock.monotonic()
        with self._lock:
            self._state(name).record_token_interval(seconds, now)

    def record_response_length(self, model: str, tokens: int) -> None:
        """Records the length of a complete response."""
        now = self._clock.monotonic()
        with self._lock:
            mean = self._tokens_by_model.get(model)
            self._tokens_by_model[model] = ewma.add(mean, tokens, now)

    def record_success(self, name: str) -> None:
        """Records a complete response, which resets the target's health."""
        with self._lock:
            state = self._state(name)
            state.health = ejection.after_success(state.health)

    def record_failure(self, name: str, *, silent: bool) -> None:
        """Records a failed attempt; may eject the target."""
        now = self._clock.monotonic()
        with self._lock:
            state = self._state(name)
            before = state.health
            state.health = ejection.after_failure(before, silent, now)
            ejected = state.health.ejections > before.ejections
        if ejected:
            _log.warning(
                "Target ejected after failed attempts.", extra={"target": name}
            )

    def set_draining(self, name: str, draining: bool) -> None:
        """Applies or withdraws a drain order."""
        with self._lock:
            if draining:
                self._drained_by_order.add(name)
            else:
                self._drained_by_order.discard(name)
                self._backoff_until_by_name.pop(name, None)
        _log.info(
            "Drain order applied.", extra={"target": name, "draining": draining}
        )

    def back_off(self, name: str) -> bool:
        """Sends no work to a draining target for `REFUSAL_BACKOFF_S`.

        Returns:
            Whether the target was not backing off already.
        """
        now = self._clock.monotonic()
        with self._lock:
            was_backing_off = self._backoff_until_by_name.get(name, 0.0) > now
            self._backoff_until_by_name[name] = now + REFUSAL_BACKOFF_S
        return not was_backing_off

    def set_listed_leaving(self, names: Collection[str]) -> None:
        """Replaces the targets that the platform lists as leaving."""
        with self._lock:
            self._listed_as_leaving = set(names)

    def record_load(self, name: str, load: EngineLoad) -> None:
        """Records a load report; may preempt rollouts.

        The report is dated by the wall clock time that it carries.
        """
        age_s = max(0.0, self._clock.wall() - load.at_s)
        taken_at = self._clock.monotonic() - age_s
        with self._lock:
            state = self._state(name)
            state.load_snapshot = LoadSnapshot(load, state.in_flight, taken_at)
            self._preempt_rollouts(name, self._clock.monotonic())

    def engines_in_use(self, data_centre: str, inside: bool) -> list[str]:
        """Returns the engines of this instance's subset.

        Args:
            data_centre: The data centre to compare with.
            inside: Whether to return the engines inside that data centre or
                those outside it.
        """
        with self._lock:
            return [
                name
                for members in self._topology.members_by_group.values()
                for name in members
                if self._targets_by_name[name]["kind"] == "engine"
                and (self._targets_by_name[name]["data_centre"] == data_centre)
                == inside
            ]

    def engines_in(self, data_centre: str) -> list[str]:
        """Returns all engines of a data centre."""
        with self._lock:
            return [
                name
                for name, target in self._targets_by_name.items()
                if target["kind"] == "engine"
                and target["data_centre"] == data_centre
            ]

    def statuses(self) -> list[TargetStatus]:
        """Returns the state of all targets, sorted by name."""
        with self._lock:
            return [
                TargetStatus(
                    name,
                    target["kind"],
                    target["data_centre"],
                    self._is_leaving(name),
                    self._state(name).in_flight,
                )
                for name, target in sorted(self._targets_by_name.items())
            ]

    def _address(self, name: str) -> str:
        target = self._targets_by_name.get(name)
        if target is None:
            raise TargetError(
                f"target {name!r} is not in the configuration", sent=False
            )
        return target["address"]

    def _is_leaving(self, name: str) -> bool:
        if name in self._drained_by_order or name in self._listed_as_leaving:
            return True
        backoff_until = self._backoff_until_by_name.get(name, 0.0)
        return backoff_until > self._clock.monotonic()

    def _eligible_names(
        self, group: str, excluded: Collection[str], now: float
    ) -> list[str]:
        names = [
            name
            for name in sorted(self._topology.members(group))
            if name not in excluded and not self._is_leaving(name)
        ]
        states = {name: self._state(name) for name in names}
        return ejection.eligible_targets(
            names,
            {name: state.health for name, state in states.items()},
            {name: state.in_flight for name, state in states.items()},
            now,
        )

    def _route(
        self, group: str, names: list[str], prompt: str, now: float
    ) -> Candidate | None:
        if not names:
            return None
        preferred = owner(prompt[:PREFIX_CHARS], names) if prompt else ""
        candidates = [
            self._candidate(name, prompt, name == preferred, now)
            for name in names
        ]
        request = RoutingRequest(
            self._choice_count, self._mean_tokens(group, now)
        )
        self._choice_count += 1
        return self._router.choose(request, candidates, self._rng)

    def _mean_tokens(self, group: str, now: float) -> float:
        mean = self._tokens_by_model.get(group)
        return ewma.estimate(mean, INITIAL_RESPONSE_TOKENS, now)

    def _has_rollout_capacity(self, name: str, now: float) -> bool:
        in_flight = self._state(name).total_in_flight(now)
        return admission.leaves_reserve_free(in_flight, self._slots(name))

    def _preempt_rollouts(self, name: str, now: float) -> None:
        state = self._state(name)
        running = sum(not event.is_set() for event in state.rollouts)
        preempted = len(state.rollouts) - running
        in_flight = state.total_in_flight(now) - preempted
        state.preempt(
            admission.rollouts_to_preempt(in_flight, self._slots(name), running)
        )

    def _candidate(
        self, name: str, prompt: str, preferred: bool, now: float
    ) -> Candidate:
        return build_candidate(
            name,
            self._state(name),
            self._slots(name),
            self._topology.link_s(self._targets_by_name[name]),
            prompt,
            preferred,
            now,
        )

    def _state(self, name: str) -> TargetState:
        return self._states_by_name.setdefault(name, TargetState())

    def _slots(self, name: str) -> int:
        target = self._targets_by_name.get(name)
        return target.get("slots", DEFAULT_SLOTS) if target else DEFAULT_SLOTS
