"""Steps on how the instances of a region share the list of targets."""

import random
import threading
import time
import zlib
from collections.abc import Mapping
from typing import Any

import msgspec
from behave import given, then, when

from bench.fleet import free_address
from features.platform_fakes import (
    MemoryInstances,
    MemoryPeers,
    MemoryStore,
    StoreConnection,
    connect_to_new,
)
from features.shared_store import FakeClock
from hibiscuspin.clock import SystemClock, monotonic
from hibiscuspin.decisions import relays
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges.discovery import TargetRecord
from hibiscuspin.edges.transactions import (
    PutOperation,
    StoredValue,
    Transaction,
)
from hibiscuspin.peers.rpc import PeerHttpClient, PeerUnreachableError
from hibiscuspin.settings import Address
from hibiscuspin.tasks.directory import (
    OUTAGE_METHOD,
    RELAY_COPIES_METHOD,
    TargetDirectory,
)
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.prefix_watcher import PrefixWatcher
from hibiscuspin.tasks.relay_feed import RelayFeed

PREFIX = "list/"
CONFIG_PREFIX = "config/"
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
            connect_to_new,
        )
        self.feed = RelayFeed(
            instances, regions, lambda: DRAIN_S, context.clock
        )
        self.config: dict[str, bytes] = {}
        self.watcher = PrefixWatcher(
            CONFIG_PREFIX,
            store,
            context.clock,
            random.Random(1),
            self._set_config,
            must_look=self.feed.must_look_itself,
            is_fed=self.feed.is_fed,
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
            self.feed,
            (self.watcher,),
        )
        context.peers.handlers_by_address[member.address] = {
            RELAY_COPIES_METHOD: self._receive_list,
            OUTAGE_METHOD: self.directory.serve_outage,
        }
        self.received_lists: list[bytes] = []

    def _receive_list(self, body: bytes) -> bytes:
        self.received_lists.append(body)
        return self.directory.serve_copies(body)

    def _set_config(self, values_by_key: Mapping[str, StoredValue]) -> None:
        self.config = {key: v.value for key, v in values_by_key.items()}

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


@given("{name} does not answer")
def silence(context: Any, name: str) -> None:
    context.peers.unreachable_addresses.add(context.members[name].address)


@when("a reads the list and tells it")
def read_and_share(context: Any) -> None:
    directory = context.instances["a"].directory
    directory.share(directory.read())


@when('the store lists targets "{names}" and b reads them')
def change_and_read(context: Any, names: str) -> None:
    list_targets(context, names)
    context.instances["b"].directory.read()


@when("the list that a has read comes to b once more")
def receive_again(context: Any) -> None:
    instance = context.instances["b"]
    instance.directory.serve_copies(instance.received_lists[0])


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


@given('the configuration is "{text}"')
@when('the configuration is "{text}"')
def set_config(context: Any, text: str) -> None:
    put = PutOperation(f"{CONFIG_PREFIX}newest", text.encode())
    context.store.commit(Transaction({}, (put,)), 0.0)


@when("the configuration is removed")
def remove_config(context: Any) -> None:
    key = f"{CONFIG_PREFIX}newest"
    context.store.commit(Transaction({}, (), (key,)), 0.0)


@when("a has read the configuration")
def read_config(context: Any) -> None:
    context.instances["a"].watcher._scan()


@when("{name} has read the configuration and tells it")
def read_config_and_share(context: Any, name: str) -> None:
    instance = context.instances[name]
    instance.watcher._scan()
    instance.directory.share(instance.directory.read())


@then('{name} has the configuration "{text}" and knows that it is current')
def check_config(context: Any, name: str, text: str) -> None:
    instance = context.instances[name]
    assert list(instance.config.values()) == [text.encode()], instance.config
    assert instance.watcher.is_current


@then("{name} has no configuration and knows that it is current")
def check_no_config(context: Any, name: str) -> None:
    instance = context.instances[name]
    assert not instance.config and instance.watcher.is_current


@then('{name} has the configuration "{text}", which may be old')
def check_old_config(context: Any, name: str, text: str) -> None:
    instance = context.instances[name]
    assert list(instance.config.values()) == [text.encode()], instance.config
    assert not instance.watcher.is_current


@then("{name} has made no call to the store")
def check_no_call(context: Any, name: str) -> None:
    assert not context.instances[name].connection.call_count


@then("the values were sent to {name} {count:d} time")
@then("the values were sent to {name} {count:d} times")
def check_sent(context: Any, name: str, count: int) -> None:
    bodies = context.instances[name].received_lists
    decoded = [msgspec.msgpack.decode(zlib.decompress(body)) for body in bodies]
    sent = sum(copy[-1] is not None for _, copies in decoded for copy in copies)
    assert sent == count, sent


@when("{seconds:g} s go by on the clock")
def pass_time(context: Any, seconds: float) -> None:
    context.clock.sleep(seconds)


@when("{name} can't reach the store and says so")
def announce_outage(context: Any, name: str) -> None:
    context.instances[name].directory._handle_outage("store is out")


@then('"{names}" look at the store themselves')
def check_lookers(context: Any, names: str) -> None:
    found = [
        name
        for name, instance in context.instances.items()
        if instance.feed.must_look_itself()
    ]
    assert found == names.split(), found


@then("no more than {count:d} instances read the list now")
def check_reader_count(context: Any, count: int) -> None:
    now = context.clock.monotonic()
    found = [
        name
        for name, instance in context.instances.items()
        if instance.directory._next_read_at() <= now
    ]
    assert len(found) <= count, found


@given("a runs on the system's clock")
def run_directory(context: Any) -> None:
    context.clock = SystemClock()
    context.instances = {
        member.name: DirectoryInstance(context, member)
        for member in context.all_members
    }
    context.instances["a"].watcher._scan()
    context.told = 0
    stop = threading.Event()
    thread = threading.Thread(
        target=context.instances["a"].directory.run, args=(stop,)
    )
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(stop.set)


@when("a is to tell it at once")
def request_share(context: Any) -> None:
    context.instances["a"].directory.request_share()


@then("b is told 1 time within {limit:g} s")
@then("b is told 1 time more within {limit:g} s")
def check_told(context: Any, limit: float) -> None:
    lists = context.instances["b"].received_lists
    context.told += 1
    ends_at = monotonic() + limit
    while len(lists) < context.told and monotonic() < ends_at:
        time.sleep(0.01)
    assert len(lists) >= context.told, len(lists)


@given("a client of instances whose peer does not listen")
def set_peer_client(context: Any) -> None:
    context.peer_client = PeerHttpClient(context.clock)
    context.peer_address = str(free_address())


@when("the client calls the peer in vain")
def call_peer(context: Any) -> None:
    try:
        context.peer_client.call(context.peer_address, "m", b"", 1.0)
    except PeerUnreachableError:
        return
    raise AssertionError("the call did not fail")


@then("the peer is suspect")
def check_suspect(context: Any) -> None:
    assert context.peer_client.is_suspect(context.peer_address)


@then("the peer is not suspect")
def check_not_suspect(context: Any) -> None:
    assert not context.peer_client.is_suspect(context.peer_address)


@then("an instance that starts does not look itself for {seconds:g} s")
def check_grace(context: Any, seconds: float) -> None:
    state = relays.started(10.0)
    before = 10.0 + seconds - 0.01
    assert not relays.must_look_itself(state, relays.UNKNOWN_RANK, before)
    assert relays.must_look_itself(state, relays.UNKNOWN_RANK, 10.0 + seconds)


@then("one that has jobs to resume looks itself at once")
def check_resumed(context: Any) -> None:
    context.feed_state = relays.resumed(relays.started(10.0), 10.1)
    assert relays.must_look_itself(
        context.feed_state, relays.UNKNOWN_RANK, 10.1
    )


@then("once it is fed it does not look itself any more")
def check_fed(context: Any) -> None:
    state = relays.after_feed(DRAIN_S, 10.2)
    assert not relays.must_look_itself(state, relays.UNKNOWN_RANK, 10.3)
    # The view of an earlier moment changes nothing for a fed instance.
    assert relays.resumed(state, 99.0) == state
