"""Steps for rendezvous hashing."""

from typing import Any

from behave import given, then, when

from hibiscuspin import rendezvous


@given("{keys:d} keys over {names:d} names")
def spread_keys(context: Any, keys: int, names: int) -> None:
    context.keys = [f"key-{number}" for number in range(keys)]
    context.names = [f"name-{number}" for number in range(names)]
    context.changing_name = f"name-{names}"


@when("one name {change}")
def change_names(context: Any, change: str) -> None:
    context.all_names = [*context.names, context.changing_name]
    if change == "leaves":
        context.names_before, context.names_after = (
            context.all_names,
            context.names,
        )
    else:
        context.names_before, context.names_after = (
            context.names,
            context.all_names,
        )


@then("only keys of that name move")
def check_moves(context: Any) -> None:
    moved = 0
    for key in context.keys:
        owner_before = rendezvous.owner(key, context.names_before)
        owner_after = rendezvous.owner(key, context.names_after)
        if owner_before != owner_after:
            moved += 1
            assert context.changing_name in (owner_before, owner_after), (
                key,
                owner_before,
                owner_after,
            )
    assert 0 < moved < 2 * len(context.keys) / len(context.all_names), moved
