"""Steps on how the instances of a region share the list of targets."""

import random
from typing import Any

from behave import given, then, when

from features.platform_fakes import (
    MemoryInstances,
    MemoryPeers,
    MemoryStore,
    MemoryTarget,
    StoreConnection,
)
from features.shared_store import FakeClock
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges.discovery import TargetRecord
from hibiscuspin.edges.transactions import (
    PutOperation,
    StoredValue,
    Transaction,
)
from hibiscuspin.settings import Address
from hibiscuspin.tasks.directory import LIST_METHOD, TargetDirectory
from hibiscuspin.tasks.discovered import DiscoveredTargets

PREFIX = "list/"
DRAIN_S = 2.5


def decode(value: StoredValue) -> TargetRecord:
    name = value.key.removeprefix(PREFIX)
    return TargetRecord(
        name, 1, "llm", Address("127.0.0.1", 1), "dc", 8, False, {}
    )


class DirectoryInstance:
    """One instance with its list of targets and its connection to the store.

    Attributes:
        received_lists: Encoded lists that other instances sent.
    """

    def __init__(self, context: Any, member: LiveInstance) -> None:
        self.connection = StoreConnection(context.store)
        store: Any = self.connection
        instances: Any = MemoryInstances(member, context.members, {})
        peers: Any = context.peers
        regions = {m.data_centre: m.data_centre for m in context.all_members}
        self.targets = DiscoveredTargets(
            member.data_centre,
            regions,
            context.clock,
            lambda record: MemoryTarget(record.name),
        )
        self.directory = TargetDirectory(
            PREFIX,
            decode,
            store,
            self.targets,
            context.clock,
            random.Random(1),
            instances,
            peers,
            regions,
            lambda: DRAIN_S,
        )
        context.peers.handlers_by_address[member.address] = {
            LIST_METHOD: self._receive_list
        }
        self.received_lists: list[bytes] = []

    def _receive_list(self, body: bytes) -> bytes:
        self.received_lists.append(body)
        return self.directory.serve_list(body)

    def known_names(self) -> str:
        """Returns the names of the known targets."""
        return " ".join(sorted(target.name for target in self.targets.all()))


@given('instances "{texts}" that keep the list of targets')
def set_instances(context: Any, texts: str) -> None:
    context.store = MemoryStore()
    context.peers = MemoryPeers()
    context.clock = FakeClock()
    context.all_members = []
    for text in texts.split():
        name, _, region = text.partition(":")
        context.all_members.append(LiveInstance(name, "1", f"{name}:1", region))
    context.members = {member.name: member for member in context.all_members}
    context.instances = {
        member.name: DirectoryInstance(context, member)
        for member in context.all_members
    }


@given('the store lists targets "{names}"')
def list_targets(context: Any, names: str) -> None:
    stored = context.store.scan(PREFIX, 0.0).values
    puts = [PutOperation(PREFIX + name, b"") for name in names.split()]
    put_keys = {put.key for put in puts}
    outdated = [value.key for value in stored if value.key not in put_keys]
    context.store.commit(Transaction({}, puts, outdated), 0.0)


@given("b does not answer")
def silence(context: Any) -> None:
    context.peers.unreachable_addresses.add(context.members["b"].address)


@when("a reads the list and tells it")
def read_and_share(context: Any) -> None:
    directory = context.instances["a"].directory
    directory._share(directory.read())


@when('the store lists targets "{names}" and b reads them')
def change_and_read(context: Any, names: str) -> None:
    list_targets(context, names)
    context.instances["b"].directory.read()


@when("the list that a has read comes to b once more")
def receive_again(context: Any) -> None:
    instance = context.instances["b"]
    instance.directory.serve_list(instance.received_lists[0])


@when(
    '{seconds:g} s pass, and the store lists targets "{names}" and a reads them'
)
def pass_and_read(context: Any, seconds: float, names: str) -> None:
    context.clock.sleep(seconds)
    list_targets(context, names)
    context.instances["a"].directory.read()


@then('a and b know "{names}" after {readings:d} reading')
def check_shared(context: Any, names: str, readings: int) -> None:
    instances = [context.instances["a"], context.instances["b"]]
    assert [instance.known_names() for instance in instances] == [names, names]
    assert (
        sum(instance.connection.call_count for instance in instances)
        == readings
    )


@then('{name} knows "{names}"')
def check_known(context: Any, name: str, names: str) -> None:
    assert context.instances[name].known_names() == names


@then("{name} knows nothing")
def check_nothing(context: Any, name: str) -> None:
    assert not context.instances[name].known_names()


@then("the turn of b is {least:g} s to {most:g} s later and that of c is now")
def check_turns(context: Any, least: float, most: float) -> None:
    now = context.clock.monotonic()
    next_read_at = context.instances["b"].directory._next_read_at()
    assert least <= next_read_at - now <= most, next_read_at - now
    assert context.instances["c"].directory._next_read_at() <= now
