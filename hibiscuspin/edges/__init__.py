"""Adapters to the outside: callers, targets, trainers and the platform.

Each outside interface is one `Protocol` here. An adapter module knows one
wire format; nothing else in the package does. All deadlines are seconds on
the monotonic clock.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import NamedTuple, Protocol

__all__ = [
    "Chunk",
    "Engine",
    "EngineLoad",
    "Entry",
    "GenerateRequest",
    "InstanceList",
    "InstanceRecord",
    "PlatformStore",
    "PlainService",
    "RequestState",
    "Scorer",
    "ServiceAnswer",
    "ServiceCall",
    "StoreError",
    "TargetError",
    "Wait",
    "WeightState",
]


class StoreError(Exception):
    """A store call failed.

    Attributes:
        applied: False if the call surely had no effect, None if unknown.
    """

    def __init__(self, message: str, applied: bool | None) -> None:
        super().__init__(message)
        self.applied = applied


class Entry(NamedTuple):
    """One key of the platform's store.

    Attributes:
        key: The key.
        value: The value, at most a megabyte.
        revision: The store's index at the last change of this key.
        lock_index: How often a lease has taken this key.
        lease: The lease that holds the key, or an empty string.
    """

    key: str
    value: bytes
    revision: int
    lock_index: int = 0
    lease: str = ""


class PlatformStore(Protocol):
    """The platform's key-value service."""

    def get(self, key: str, deadline: float) -> Entry | None:
        """Reads one key."""

    def list_prefix(self, prefix: str, deadline: float) -> list[Entry]:
        """Reads all keys under a prefix."""

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        """Writes a key if its revision is as given; 0 means absent.

        Returns:
            The new revision, or None where another write came first.

        Raises:
            StoreError: The store gave no answer; `applied` is None.
        """

    def acquire(
        self, key: str, value: bytes, lease: str, deadline: float
    ) -> int | None:
        """Takes a key for a lease.

        Returns:
            The new revision, which serves as fencing number, or None where
            another lease holds the key.
        """

    def release(self, key: str, lease: str, deadline: float) -> bool:
        """Gives a key back; returns whether the lease held it."""

    def delete(self, key: str, revision: int, deadline: float) -> bool:
        """Deletes a key if its revision is as given."""

    def watch(
        self, key: str, revision: int, wait_s: float, deadline: float
    ) -> Entry | None:
        """Waits until the key is newer than `revision`, or `wait_s` ends."""

    def grant_lease(self, ttl_s: float, deadline: float) -> str:
        """Creates a lease and returns its id."""

    def renew_lease(self, lease: str, deadline: float) -> bool:
        """Renews a lease; returns False where it has lapsed."""

    def revoke_lease(self, lease: str, deadline: float) -> None:
        """Ends a lease and frees its keys."""

    def abort(self) -> None:
        """Ends all calls in progress and refuses further ones."""


class InstanceRecord(NamedTuple):
    """One instance or target in the platform's list."""

    name: str
    data_centre: str
    peer_address: str
    leaving: bool


class InstanceList(Protocol):
    """The platform's lagging list of live and leaving instances."""

    def instances(self, deadline: float) -> list[InstanceRecord]:
        """Returns the instances of this system."""

    def leaving_targets(self, deadline: float) -> list[str]:
        """Returns the names of targets that are leaving."""


class TargetError(Exception):
    """A call to a target failed.

    Attributes:
        sent: Whether any byte of the request may have reached the target.
        refused: Whether the target itself said that it did not run it.
        silent: Whether the connection stalled without an answer.
        draining: Whether the target refused because it is leaving.
        status: The status of its answer, 0 without one.
    """

    def __init__(
        self,
        message: str,
        *,
        sent: bool,
        refused: bool = False,
        silent: bool = False,
        draining: bool = False,
        status: int = 0,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.sent = sent
        self.refused = refused
        self.silent = silent
        self.draining = draining


class GenerateRequest(NamedTuple):
    """One generation on an engine.

    Attributes:
        request_id: Echoed by the engine on every chunk.
        model: The model's name.
        adapter: The adapter's name, or an empty string.
        prompt: The prompt's text.
        max_tokens: Most tokens to generate, those in `prefix` included.
        priority: Higher is served first.
        seed: Seed of the sampling.
        prefix: Tokens that were generated before, on resume.
        temperature: Sampling temperature; None for the engine's own.
        top_p: Share of the probability to sample from; None likewise.
        stop: Texts that end the generation.
        user: The caller's own name for its end user.
    """

    request_id: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    seed: int
    prefix: tuple[str, ...] = ()
    temperature: float | None = None
    top_p: float | None = None
    stop: tuple[str, ...] = ()
    user: str = ""


class Chunk(NamedTuple):
    """One token of a stream; `version` is None on engines without tags."""

    position: int
    token: str
    version: int | None


def _no_check() -> None:
    """Lets a wait go on."""


class Wait(NamedTuple):
    """How long to wait for the parts of a stream.

    Attributes:
        deadline: When to give up in any case.
        stall_s: Longest time without a byte.
        check: Called while waiting; may raise to end the wait.
    """

    deadline: float
    stall_s: float
    check: Callable[[], None] = _no_check


class RequestState(NamedTuple):
    """What an engine says of one request.

    Attributes:
        state: One of queued, running, finished, cancelled.
        tokens: Tokens that exist, those of its prefix included.
    """

    state: str
    tokens: int


class EngineLoad(NamedTuple):
    """A load report; `at_s` is the engine's wall clock when it was taken."""

    running: int
    queued: int
    slots: int
    version: int
    at_s: float


class WeightState(NamedTuple):
    """Which weights an engine serves, holds and is fetching.

    Attributes:
        current: The version that it serves.
        staged: Versions that it holds.
        fetching: The address that it fetches from, or an empty string.
    """

    current: int
    staged: tuple[int, ...]
    fetching: str = ""


class Engine(Protocol):
    """A model engine."""

    def generate(
        self, request: GenerateRequest, wait: Wait
    ) -> Iterator[Sequence[Chunk]]:
        """Streams tokens, as many at once as have come.

        A whole stream ends without an error.

        Raises:
            TargetError: The engine refused, failed or went silent.
        """

    def resume(
        self, request_id: str, offset: int, wait: Wait
    ) -> Iterator[Sequence[Chunk]]:
        """Streams the tokens of a known request from an offset."""

    def state_of(self, request_id: str, deadline: float) -> RequestState | None:
        """Asks for a request over a new connection; None if it is unknown."""

    def cancel(self, request_id: str, deadline: float) -> None:
        """Cancels a request."""

    def load(self, deadline: float) -> EngineLoad:
        """Reads the load report."""

    def weights(self, deadline: float) -> WeightState:
        """Reads which weights are served and staged."""

    def stage_weights(
        self, version: int, source: str, fencing: int, deadline: float
    ) -> None:
        """Orders the engine to fetch weights from a source address."""

    def switch_weights(
        self, version: int, fencing: int, deadline: float
    ) -> None:
        """Orders the engine to serve weights that it holds."""


class ServiceCall(NamedTuple):
    """A call to a plain service."""

    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: str


class ServiceAnswer(NamedTuple):
    """The whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainService(Protocol):
    """One replica of a plain service."""

    def call(
        self,
        call: ServiceCall,
        deadline: float,
        check: Callable[[], None] | None = None,
    ) -> ServiceAnswer:
        """Runs one call; `check` is called while waiting and may raise.

        Raises:
            TargetError: Tells whether the call may have run.
        """

    def outcome(self, key: str, deadline: float) -> ServiceAnswer | None:
        """Asks for the outcome of an earlier call by its key."""


class Scorer(Protocol):
    """A scoring service."""

    def score(
        self, request_id: str, prompt: str, text: str, deadline: float
    ) -> float:
        """Returns the reward of one sample."""


Headers = Mapping[str, str]
