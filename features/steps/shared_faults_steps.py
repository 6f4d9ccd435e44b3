"""Steps for the configuration and duties of a fleet under random faults."""

from typing import Any

from behave import then
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from bench.fleet import ROOT
from features.shared_store import FakeClock, FakeStore, StoreConnection
from hibiscuspin.config import Config, load_folder
from hibiscuspin.config.document import Document
from hibiscuspin.edges import StoreError
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.peers.hub import PeerError, PeerErrorKind, PeerRecord
from hibiscuspin.tasks.configuration import CONFIG_KEY, Configuration
from hibiscuspin.tasks.duties import Duties, HeldDuty

INSTANCES = 3
DUTY = "trainer/tasador"
EXAMPLES = 12
STEPS = 40
CONFIG: Config = load_folder(ROOT / "examples" / "canjea")

_instance_index = st.integers(0, INSTANCES - 1)


class _UnreachablePeers:
    """Peers that can't be called, so that each instance acts alone."""

    def __init__(self, name: str) -> None:
        self._name = name

    def serve(self, method: str, handler: Any) -> None:
        """Ignores the handler, since no peer calls it."""

    def instances(self) -> list[PeerRecord]:
        """Returns this instance only."""
        return [PeerRecord(self._name, "a", "")]

    def call(self, *args: object) -> bytes:
        """Raises `PeerError`: no peer can be reached."""
        raise PeerError(PeerErrorKind.UNREACHABLE, "no peers")


class _Instance:
    """One instance's configuration and duties, and its highest revision."""

    def __init__(self, name: str, store: FakeStore) -> None:
        self.connection = StoreConnection(store)
        self.paused = False
        self.highest_revision = 0
        self.holding: HeldDuty | None = None
        self.configuration = Configuration(
            self.connection, store.clock, sleep=store.clock.sleep
        )
        holder = {"instance": name, "data_centre": "a", "trainer_address": ""}
        self.duties = Duties(
            self.connection,
            store.clock,
            holder,  # type: ignore[arg-type]
            _UnreachablePeers(name),  # type: ignore[arg-type]
        )


class Fleet(RuleBasedStateMachine):
    """Three instances, a store, and the faults that a subclass names."""

    FAULTS: frozenset[str] = frozenset()

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.store = FakeStore(self.clock)
        self.instances = [
            _Instance(f"i-{n}", self.store) for n in range(INSTANCES)
        ]
        self.actor_by_fencing: dict[int, int] = {}
        self.highest_acted = 0
        self.refused_authors: set[str] = set()
        self.revision_by_author: dict[str, int] = {}
        self.changes = 0

    @rule(seconds=st.sampled_from([0.5, 3.0, 9.0, 25.0, 40.0]))
    def advance(self, seconds: float) -> None:
        """Lets time pass; instances that run renew their leases."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.sleep(1.0)
            for instance in self.instances:
                if not instance.paused:
                    instance.duties.tick()

    @rule(who=_instance_index)
    def hold(self, who: int) -> None:
        """Has an instance try to become the holder of the duty."""
        instance = self.instances[who]
        if instance.paused:
            return
        try:
            holding = instance.duties.acquire(DUTY)
        except StoreError:
            return
        instance.holding = holding or instance.holding

    @rule(who=_instance_index)
    def act(self, who: int) -> None:
        """Has an instance act on the duty, if its holding is valid."""
        instance = self.instances[who]
        holding = instance.holding
        if instance.paused or holding is None:
            return
        if instance.duties.is_valid(holding):
            actor = self.actor_by_fencing.setdefault(holding.fencing, who)
            assert actor == who, "two holders acted at one fencing number"
            assert holding.fencing >= self.highest_acted, (
                "a former holder acted"
            )
            self.highest_acted = holding.fencing

    @rule(who=_instance_index)
    def apply(self, who: int) -> None:
        """Has an operator change the configuration through an instance."""
        observed_revision = self.instances[who].configuration.revision
        self._apply(who, observed_revision)

    @precondition(lambda self: "racing_operators" in self.FAULTS)
    @rule(who=_instance_index, back=st.integers(0, 3))
    def apply_stale(self, who: int, back: int) -> None:
        """Has an operator apply a change over a possibly outdated revision."""
        observed_revision = self.instances[who].configuration.revision
        self._apply(who, max(0, observed_revision - back))

    def _apply(self, who: int, observed_revision: int) -> None:
        instance = self.instances[who]
        if instance.paused:
            return
        self.changes += 1
        author = f"operator-{self.changes}"
        try:
            document = instance.configuration.apply(
                CONFIG, author, observed_revision
            )
        except HibiscusError as error:
            assert error.kind in (
                ErrorKind.CONFIG_CONFLICT,
                ErrorKind.STORE_UNAVAILABLE,
            )
            if error.ran is ExecutionStatus.NO:
                self.refused_authors.add(author)
            return
        self.revision_by_author[author] = document.revision.number

    @rule(who=_instance_index)
    def watch(self, who: int) -> None:
        """Has an instance watch the configuration in the store."""
        instance = self.instances[who]
        observed_revision = instance.configuration.revision
        try:
            entry = instance.connection.watch(
                CONFIG_KEY, observed_revision, 4, self.clock.now + 5
            )
        except StoreError:
            return
        if entry is not None and not instance.paused:
            document = Document.from_stored(entry.revision, entry.value)
            instance.configuration.offer(document)

    @rule(who=_instance_index, other=_instance_index)
    def exchange(self, who: int, other: int) -> None:
        """Passes the configuration from one instance to another."""
        source, sink = self.instances[who], self.instances[other]
        apart = source.connection.cut != sink.connection.cut
        if apart or source.paused or sink.paused:
            return
        if source.configuration.revision:
            sink.configuration.offer(source.configuration.document())

    @precondition(lambda self: "outage" in self.FAULTS)
    @rule()
    def toggle_outage(self) -> None:
        """Starts or ends an outage of the store."""
        self.store.faults ^= {"outage"}

    @precondition(lambda self: "slow_store" in self.FAULTS)
    @rule()
    def toggle_slow(self) -> None:
        """Makes the store slow, or fast again."""
        self.store.faults ^= {"slow"}

    @precondition(lambda self: "skipped_watch" in self.FAULTS)
    @rule()
    def toggle_skipped(self) -> None:
        """Makes watches return late, or in time again."""
        self.store.faults ^= {"skipped_watch"}

    @precondition(lambda self: "lost_answer" in self.FAULTS)
    @rule(count=st.integers(1, 4))
    def lose(self, count: int) -> None:
        """Makes the store lose its next responses to writes."""
        self.store.replies_to_lose = count

    @precondition(lambda self: "paused_holder" in self.FAULTS)
    @rule(who=_instance_index)
    def toggle_pause(self, who: int) -> None:
        """Pauses or resumes an instance."""
        self.instances[who].paused ^= True

    @precondition(lambda self: "partition" in self.FAULTS)
    @rule()
    def toggle_partition(self) -> None:
        """Cuts one instance off from store and peers, or reconnects it."""
        self.instances[-1].connection.cut ^= True

    @invariant()
    def revisions_never_fall(self) -> None:
        """Checks that the revision of no instance decreases."""
        for instance in self.instances:
            revision = instance.configuration.revision
            assert revision >= instance.highest_revision, (
                "the revision of an instance decreased"
            )
            instance.highest_revision = revision

    @invariant()
    def one_valid_holder(self) -> None:
        """Checks that at most one instance may act on the duty."""
        valid = [
            instance
            for instance in self.instances
            if instance.holding and instance.duties.is_valid(instance.holding)
        ]
        assert len(valid) <= 1, "two holders may act"

    @invariant()
    def refusals_are_true(self) -> None:
        """Checks that no change refused as not run is in the store."""
        entries = self.store.entries(CONFIG_KEY)
        for author in self.refused_authors:
            quoted_author = f'"{author}"'.encode()
            assert not any(quoted_author in e.value for e in entries), author

    @invariant()
    def acceptances_are_true(self) -> None:
        """Checks that accepted changes have different revisions."""
        revisions = list(self.revision_by_author.values())
        assert len(set(revisions)) == len(revisions), (
            "two changes have the same revision"
        )


@then('no history of "{faults}" breaks what instances share')
def check_histories(context: Any, faults: str) -> None:
    names = frozenset(faults.split(" and "))
    machine = type("FaultyFleet", (Fleet,), {"FAULTS": names})
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
        ),
    )


class _LosingStoreConnection(StoreConnection):
    """Loses the response to the next write of the configuration."""

    lose = False

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        """Writes a key, and loses the response if `lose` is set."""
        if self.lose and key == CONFIG_KEY:
            self.lose = False
            super().compare_and_swap(key, value, revision, deadline)
            raise StoreError("no answer", None)
        return super().compare_and_swap(key, value, revision, deadline)


@then("a lost answer is told from a lost race after another operator's change")
def check_lost_response(context: Any) -> None:
    clock = FakeClock()
    store = FakeStore(clock)
    other = Configuration(StoreConnection(store), clock, sleep=clock.sleep)
    later: list[Document] = []

    def sleep_and_change(seconds: float) -> None:
        clock.sleep(seconds)
        entry = store.read(CONFIG_KEY)
        assert entry is not None
        other.offer(Document.from_stored(entry.revision, entry.value))
        later.append(other.apply(CONFIG, "later", other.revision))

    connection = _LosingStoreConnection(store)
    first = Configuration(connection, clock, sleep=sleep_and_change)
    observed_revision = first.apply(CONFIG, "first", 0).revision.number
    connection.lose = True
    second = first.apply(CONFIG, "second", observed_revision)
    assert len(later) == 1, later
    assert observed_revision < second.revision.number < later[0].revision.number
