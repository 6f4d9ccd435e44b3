"""Steps on the tables of played days, with a program in the bench's place."""

import math
import pathlib
import stat
import tempfile
from typing import Any

import msgspec
from behave import given, then, when

from bench.paired import difference, loss_table
from bench.plays import Play, PlayError, play

PROGRAM = """#!/bin/sh
why=""
while [ $# -gt 0 ]; do
  if [ "$1" = --why ]; then why="$2"; fi
  shift
done
sed "s/WHY/$why/" entry.txt > journal/1.json
"""


def numbers(text: str) -> list[float]:
    return [float(word) for word in text.split()]


@given("the worths {before} before and {after} after")
def set_worths(context: Any, before: str, after: str) -> None:
    context.difference = difference(numbers(before), numbers(after))


@then("the mean difference is {mean:g} with a standard error of {error}")
def check_difference(context: Any, mean: float, error: str) -> None:
    found = context.difference
    assert math.isclose(found.mean, mean, abs_tol=1e-9), found
    expected = float(error)
    is_equal = found.standard_error == expected
    assert is_equal or abs(found.standard_error - expected) < 1e-4, found


@then("the difference is {clear}")
def check_clear(context: Any, clear: str) -> None:
    assert context.difference.is_clear == (clear == "clear")


@then("the worths {before} before and {after} after can't be compared")
def check_refused(context: Any, before: str, after: str) -> None:
    try:
        difference(numbers(before), numbers(after))
    except ValueError:
        return
    raise AssertionError("pairs of different numbers were compared")


def set_bench(context: Any, days: list[Any]) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    tree = pathlib.Path(folder.name)
    (tree / "journal").mkdir()
    entry = {"id": "e1", "why": "WHY", "error": "given up", "days": days}
    (tree / "entry.txt").write_bytes(msgspec.json.encode(entry))
    context.program = tree / "bench"
    context.program.write_text(PROGRAM)
    context.program.chmod(stat.S_IRWXU)
    context.day = Play(tree, tree / "site.toml", "quiet-1", 1)


@given("a bench whose journal entry has a worth of {worth:g}")
def set_entry(context: Any, worth: float) -> None:
    parts = [["whole day", 0.6, 0.9], ["worst windows", 0.4, 0.6]]
    prices = [["calls", 500.0, 0.05], ["machines", 10.0, 0.03], ["none", 0, 0]]
    day = {"G": worth, "rules": {}, "parts": parts, "prices": prices}
    set_bench(context, [day])


@given("a bench that leaves an entry without days")
def set_empty_entry(context: Any) -> None:
    set_bench(context, [])


@when("the day is played")
def play_day(context: Any) -> None:
    context.result = play(context.program, context.day, "A test")


@then("the losses of the play sum up to {missing:g}")
def check_losses(context: Any, missing: float) -> None:
    losses = context.result.losses
    assert math.isclose(sum(loss.worth for loss in losses), missing), losses
    assert "none" not in [loss.name for loss in losses]


@then("the table of losses ends with what is missing")
def check_table(context: Any) -> None:
    lines = loss_table([context.result])
    assert lines[2].startswith("| worst windows | 0.1600"), lines
    assert lines[-2:] == ["| sum | 0.3000 |", "| missing to 1.0 | 0.3000 |"]


@then('playing the day fails with "{text}"')
def check_error(context: Any, text: str) -> None:
    try:
        play(context.program, context.day, "A test")
    except PlayError as error:
        assert text in str(error), error
        return
    raise AssertionError("the play did not fail")
