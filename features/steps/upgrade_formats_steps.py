"""Steps on the formats that instances announce."""

from typing import Any

import msgspec
from behave import given, then, when

from features.steps.platform_instances_steps import pass_live_keys
from hibiscuspin.decisions import formats
from hibiscuspin.decisions.formats import Announcement, Format
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges.transactions import PutOperation, Transaction
from hibiscuspin.tasks.instances import LIVE_PREFIX


@given('the live instances "{listed:Text}" in their terms')
def set_live(context: Any, listed: str) -> None:
    rows = [row.split(":") for row in listed.split()]
    context.live = [
        LiveInstance(name, term, f"{name}:1", "dc") for name, term in rows
    ]


@given('the announcements "{listed:Text}"')
def set_announced(context: Any, listed: str) -> None:
    rows = [row.split(":") for row in listed.split()]
    context.announced = {
        name: Announcement(term, frozenset(known.split("+")))
        for name, term, known in rows
    }


@then("the format is {outcome} by all")
def check_all_read(context: Any, outcome: str) -> None:
    found = formats.all_read(
        context.live, context.announced, Format.JOB_ORGANISATION
    )
    assert found == (outcome == "read")


@then("each knows the formats of both")
def check_known(context: Any) -> None:
    for instance in context.instances:
        assert formats.all_read(
            instance.members().values(),
            instance.announcements(),
            Format.JOB_ORGANISATION,
        )
        assert set(instance.announcements()) == {"a", "b"}


@then("the registrations are arrays of {count:d} texts")
def check_registrations(context: Any, count: int) -> None:
    scan = context.store.scan(f"{LIVE_PREFIX}instances/", 0.0)
    assert len(scan.values) == len(context.instances)
    for value in scan.values:
        row = msgspec.json.decode(value.value, type=list[str])
        assert len(row) == count, row


@when("the announcement of b is {value}")
def write_announcement(context: Any, value: str) -> None:
    put = PutOperation(f"{LIVE_PREFIX}formats/b", value.encode())
    context.store.commit(Transaction({}, (put,)), 0.0)
    pass_live_keys(context)


@then('a knows the formats of "{listed}" only')
def check_only(context: Any, listed: str) -> None:
    found = context.instances[0].announcements()
    assert set(found) == set(listed.split()), found
