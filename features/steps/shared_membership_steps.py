"""In-process steps for membership, overlay and snapshot decisions."""

from typing import Any

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from hibiscuspin.decisions.membership import (
    Evidence,
    Member,
    MemberState,
    Report,
    judge_members,
)
from hibiscuspin.decisions.overlay import Node, bridges, edges, edges_of
from hibiscuspin.decisions.snapshots import (
    Key,
    Revision,
    Snapshot,
    SnapshotTable,
)

TICK_S = 0.5
REVISION = Revision(1, 1)
MAX_STREAMS = 14


@given('a data centre "{a}" of {m:d} members and a data centre "{b}" of {n:d}')
def make_members(context: Any, a: str, m: int, b: str, n: int) -> None:
    names = [f"{a}-{i + 1}" for i in range(m)]
    names += [f"{b}-{i + 1}" for i in range(n)]
    context.members = {
        name: Member(name, name[0], "", REVISION) for name in names
    }
    context.reports = []
    context.unlisted = set()
    context.verdicts = {}
    context.now = 0.0


def _judge(context: Any, own: str, seconds: float) -> None:
    end = context.now + seconds
    while context.now <= end:
        context.verdicts = judge_members(
            context.members[own].node,
            context.members,
            context.reports,
            context.verdicts,
            context.unlisted,
            context.now,
        )
        context.now += TICK_S


@when('the members report "{text}" for {seconds:g} s')
@when('the members report "" for {seconds:g} s')
def report_evidence(context: Any, seconds: float, text: str = "") -> None:
    for words in filter(None, text.split(", ")):
        observer, subject, *rest = words.split()
        if observer == "list":
            context.unlisted.add(subject)
            continue
        revision = Revision(0, 9) if "old" in rest else REVISION
        context.reports.append(
            Report(observer, subject, revision, Evidence(rest[0]))
        )
    _judge(context, "a-4", seconds)


@when('every stream from "{a}" into "{b}" is silent for {seconds:g} s')
def silence_all_streams(context: Any, a: str, b: str, seconds: float) -> None:
    _silence_streams(context, b, 2, seconds)


@when('one of two streams from "{a}" into "{b}" is silent for {seconds:g} s')
def silence_one_stream(context: Any, a: str, b: str, seconds: float) -> None:
    _silence_streams(context, b, 1, seconds)


def _silence_streams(
    context: Any, centre: str, count: int, seconds: float
) -> None:
    nodes = [member.node for member in context.members.values()]
    bridge_edges = sorted(bridges(centre, nodes))
    assert len(bridge_edges) == 2, bridge_edges
    for edge in bridge_edges[:count]:
        near, far = sorted(edge)
        context.reports.append(Report(near, far, REVISION, Evidence.SILENT))
    _judge(context, "a-1", seconds)


@when("the reports end")
def end_reports(context: Any) -> None:
    context.reports = []
    _judge(context, "a-4", TICK_S)


@when('member "{name}" publishes a higher revision')
def publish_higher_revision(context: Any, name: str) -> None:
    member = context.members[name]
    context.members[name] = member._replace(revision=Revision(1, 2))
    _judge(context, "a-4", TICK_S)


@then('member "{name}" is judged "{state}" from "{own}"')
def check_member(context: Any, name: str, state: str, own: str) -> None:
    assert context.verdicts[name].state == MemberState(state), context.verdicts


@then('all of "{centre}" are judged "{state}" from "{own}"')
def check_data_centre(context: Any, centre: str, state: str, own: str) -> None:
    states = {
        verdict.state
        for name, verdict in context.verdicts.items()
        if name[0] == centre
    }
    assert states == {MemberState(state)}, states


@then(
    "overlays of {least:d} to {most:d} instances are connected with few streams"
)
def check_overlays(context: Any, least: int, most: int) -> None:
    for size in [*range(least, most + 1, 7), most]:
        for centres in {1, 2, 3, max(1, size // 10)}:
            _check_overlay(size, centres)


def _check_overlay(size: int, centres: int) -> None:
    nodes = [Node(f"n-{i}", f"dc-{i % centres}") for i in range(size)]
    overlay_edges = edges(nodes)
    neighbours: dict[str, set[str]] = {node.name: set() for node in nodes}
    for a, b in overlay_edges:
        neighbours[a].add(b)
        neighbours[b].add(a)
    reached, frontier = {nodes[0].name}, [nodes[0].name]
    while frontier:
        for name in neighbours[frontier.pop()] - reached:
            reached.add(name)
            frontier.append(name)
    assert len(reached) == size
    assert max(map(len, neighbours.values())) <= MAX_STREAMS
    for node in nodes:
        edges_at_node = {edge for edge in overlay_edges if node.name in edge}
        assert edges_of(node, reversed(nodes)) == edges_at_node


_snapshots = st.lists(
    st.builds(
        Snapshot,
        st.builds(
            Key, st.sampled_from(["members", "loads"]), st.sampled_from("abcd")
        ),
        st.builds(Revision, st.integers(0, 2), st.integers(0, 3)),
        st.just(b""),
    ),
    max_size=20,
)


@then("any two snapshot tables that exchange digests hold the newest of both")
def check_snapshot_tables(context: Any) -> None:
    _check_tables()


@settings(derandomize=True, database=None, max_examples=300)
@for_all(_snapshots, _snapshots)
def _check_tables(left: list[Snapshot], right: list[Snapshot]) -> None:
    tables = [SnapshotTable(), SnapshotTable()]
    newest: dict[Key, Revision] = {}
    for table, snapshots in zip(tables, (left, right), strict=True):
        for snapshot in snapshots:
            table.add_if_newer(snapshot)
            held = newest.get(snapshot.key, Revision(-1, -1))
            newest[snapshot.key] = max(held, snapshot.revision)
    a, b = tables
    buckets = a.differing_buckets(b.bucket_hashes(local=True))
    to_b = a.newer_than(buckets, b.revisions(buckets))
    to_a = b.newer_than(buckets, a.revisions(buckets))
    assert all(b.add_if_newer(snapshot) for snapshot in to_b)
    assert all(a.add_if_newer(snapshot) for snapshot in to_a)
    for table in tables:
        assert {s.key: s.revision for s in table.all()} == newest
    assert a.bucket_hashes(local=True) == b.bucket_hashes(local=True)
