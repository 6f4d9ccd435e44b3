"""Steps on the list of targets that instances share, in-process."""

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
from hibiscuspin.decisions.recovery import Member
from hibiscuspin.edges.discovery import TargetRecord
from hibiscuspin.edges.transactions import Put, StoredValue, Transaction
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


class Keeper:
    """One instance's list, and the store as it reaches it."""

    def __init__(self, context: Any, member: Member) -> None:
        self.view = StoreConnection(context.store)
        store: Any = self.view
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
            LIST_METHOD: self._hear
        }
        self.heard: list[bytes] = []

    def _hear(self, body: bytes) -> bytes:
        self.heard.append(body)
        return self.directory.serve_list(body)

    def known(self) -> str:
        """Returns the names of the targets that are known."""
        return " ".join(sorted(target.name for target in self.targets.all()))


@given('instances "{texts}" that keep the list of targets')
def set_instances(context: Any, texts: str) -> None:
    context.store = MemoryStore()
    context.peers = MemoryPeers()
    context.clock = FakeClock()
    context.all_members = []
    for text in texts.split():
        name, _, region = text.partition(":")
        context.all_members.append(Member(name, "1", f"{name}:1", region))
    context.members = {member.name: member for member in context.all_members}
    context.keepers = {
        member.name: Keeper(context, member) for member in context.all_members
    }


@given('the store lists targets "{names}"')
def list_targets(context: Any, names: str) -> None:
    known = context.store.scan(PREFIX, 0.0).values
    puts = [Put(PREFIX + name, b"") for name in names.split()]
    wanted = {put.key for put in puts}
    gone = [value.key for value in known if value.key not in wanted]
    context.store.commit(Transaction({}, puts, gone), 0.0)


@given("b does not answer")
def silence(context: Any) -> None:
    context.peers.unreachable_addresses.add(context.members["b"].address)


@when("a reads the list and tells it")
def read_and_tell(context: Any) -> None:
    directory = context.keepers["a"].directory
    directory._tell(directory.read())


@when('the store lists targets "{names}" and b reads them')
def change_and_read(context: Any, names: str) -> None:
    list_targets(context, names)
    context.keepers["b"].directory.read()


@when("the list that a has read comes to b once more")
def hear_again(context: Any) -> None:
    keeper = context.keepers["b"]
    keeper.directory.serve_list(keeper.heard[0])


@when(
    '{seconds:g} s pass, and the store lists targets "{names}" and a reads them'
)
def pass_and_read(context: Any, seconds: float, names: str) -> None:
    context.clock.sleep(seconds)
    list_targets(context, names)
    context.keepers["a"].directory.read()


@then('a and b know "{names}" after {readings:d} reading')
def check_told(context: Any, names: str, readings: int) -> None:
    keepers = [context.keepers["a"], context.keepers["b"]]
    assert [keeper.known() for keeper in keepers] == [names, names]
    assert sum(keeper.view.call_count for keeper in keepers) == readings


@then('{name} knows "{names}"')
def check_known(context: Any, name: str, names: str) -> None:
    assert context.keepers[name].known() == names


@then("{name} knows nothing")
def check_nothing(context: Any, name: str) -> None:
    assert not context.keepers[name].known()


@then("the turn of b is {least:g} s to {most:g} s later and that of c is now")
def check_turns(context: Any, least: float, most: float) -> None:
    now = context.clock.monotonic()
    turn = context.keepers["b"].directory._turn()
    assert least <= turn - now <= most, turn - now
    assert context.keepers["c"].directory._turn() <= now
