"""Steps for the exchange of loads between job holders."""

from collections import Counter
from typing import Any

from behave import given, then, when

from features.platform_fakes import MemoryPeers, connect_to_new, job_contents
from features.shared_store import FakeClock
from hibiscuspin.decisions import holders
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges.discovery import TargetRecord
from hibiscuspin.settings import Address
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.target_exchange import CLEAR_METHOD, TargetExchange
from hibiscuspin.tasks.target_limits import Purpose, Send

COORDINATOR = "i-7"
HOLDERS = ("i-20", "i-90", "i-150")


def names_in(text: str) -> list[str]:
    return [] if text == "none" else text.split()


@given('instances "{names}" besides the holder a')
def set_others(context: Any, names: str) -> None:
    context.others = names.split()


@given('the holders "{names}" and the coordinator "{coordinator}"')
def set_holders(context: Any, names: str, coordinator: str) -> None:
    context.known_holders = names_in(names)
    context.coordinator = "" if coordinator == "none" else coordinator


@when("a is to ask {whom} and the coordinator {answers}")
def choose(context: Any, whom: str, answers: str) -> None:
    context.asked = holders.instances_to_ask(
        context.others,
        context.known_holders,
        context.coordinator,
        answers == "has answered",
        whom == "all",
    )


@then('it asks "{names}"')
def check_asked(context: Any, names: str) -> None:
    assert context.asked == names_in(names), context.asked


@given('holders that reported "{texts}"')
def set_reports(context: Any, texts: str) -> None:
    pairs = (text.split(":") for text in texts.split())
    context.reported_at = {name: float(at) for name, at in pairs}


@then('the active holders at {now:g} are "{names}"')
def check_active(context: Any, now: float, names: str) -> None:
    found = holders.active_holders(context.reported_at, now)
    assert found == names_in(names), found


class FleetView:
    """One instance's view of a fleet that does not change."""

    def __init__(self, member: LiveInstance, all_: list[LiveInstance]) -> None:
        self.member = member
        self._all = all_

    def coordinator(self) -> str:
        return COORDINATOR

    def others(self) -> list[LiveInstance]:
        return [member for member in self._all if member != self.member]


class CountingPeers(MemoryPeers):
    """Counts the calls by method and by called address."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: Counter[tuple[str, str]] = Counter()

    def call(
        self, address: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        self.calls[method, address] += 1
        return super().call(address, method, body, timeout_s)


@given("{count:d} instances, one of which coordinates")
def set_fleet(context: Any, count: int) -> None:
    context.clock = FakeClock()
    context.peers = CountingPeers()
    members = [
        LiveInstance(f"i-{n}", "1", f"i-{n}", "dc") for n in range(count)
    ]
    context.jobs_by_name = {member.name: [] for member in members}
    context.exchange_by_name = {}
    context.targets_by_name = {}
    for member in members:
        targets = DiscoveredTargets(
            "dc", {"dc": "r"}, context.clock, connect_to_new
        )
        record = TargetRecord(
            "t", 1, "llm", Address("127.0.0.1", 1), "dc", 90, False, {"m": 1}
        )
        targets.replace([record], 0.0)
        view: Any = FleetView(member, members)
        peers: Any = context.peers
        jobs = context.jobs_by_name[member.name]
        exchange = TargetExchange(
            targets, jobs.copy, view, peers, context.clock
        )
        context.peers.handlers_by_address[member.address] = exchange.handlers()
        context.exchange_by_name[member.name] = exchange
        context.targets_by_name[member.name] = targets


class JobOfModel:
    """A job of another model, so that no runs need to stop."""

    contents = job_contents("j", 1, 1, 1)._replace(model="other")


@given("3 of them hold jobs")
def start_jobs(context: Any) -> None:
    for name in HOLDERS:
        context.jobs_by_name[name].append(JobOfModel())
        targets = context.targets_by_name[name]
        targets.try_start(targets.get("t"), Send("r", Purpose.SAMPLE))


@when("the holders exchange their loads for {periods:d} periods")
def exchange_loads(context: Any, periods: int) -> None:
    for _ in range(periods):
        context.clock.sleep(0.2)
        for name in HOLDERS:
            exchange = context.exchange_by_name[name]
            for member in exchange._members_to_ask(False):
                exchange.exchange_load(member)


@then("each holder knows the loads of the other {count:d}")
def check_known(context: Any, count: int) -> None:
    for name in HOLDERS:
        (view,) = context.targets_by_name[name].views("llm", "m")
        assert view.in_flight_elsewhere == count, (name, view)


@then("the holders made no more than {count:d} calls")
def check_calls(context: Any, count: int) -> None:
    assert context.peers.calls.total() <= count, context.peers.calls


@when("the coordinator clears an engine of samples")
def clear(context: Any) -> None:
    exchange = context.exchange_by_name[COORDINATOR]
    exchange.clear_samples(["t"], "m", 1.0)


@then("only the 3 holders were told")
def check_told(context: Any) -> None:
    told = {a for m, a in context.peers.calls if m == CLEAR_METHOD}
    assert told == set(HOLDERS), told


@given("ended jobs of {sizes} bytes, each submitted after the one before")
def set_ended(context: Any, sizes: str) -> None:
    context.ended = [
        holders.EndedJob(str(number), float(number), int(size))
        for number, size in enumerate(sizes.split())
    ]


@when("a further job lacks {excess:d} bytes")
def decide_dropped(context: Any, excess: int) -> None:
    newest_first = context.ended[::-1]
    context.dropped = holders.jobs_to_drop(newest_first, excess)


@then('the ended jobs "{dropped}" are dropped')
def check_dropped(context: Any, dropped: str) -> None:
    assert context.dropped == dropped.replace("none", "").split()
