"""Steps for the pages of the docs and for errors in a configuration."""

import pathlib
import shutil
import tempfile
from typing import Any

import yaml
from behave import given, then, when

from bench.fleet import ROOT
from hibiscuspin.commands import COMMANDS
from hibiscuspin.config import ConfigError, load_folder
from hibiscuspin.errors import ErrorKind
from hibiscuspin.guides.__main__ import pages

ALERTS = (
    "HibiscuspinNotReady",
    "HibiscuspinBurnFast",
    "HibiscuspinBurnSlow",
    "HibiscuspinSpendNearLimit",
    "HibiscuspinStaleSamples",
    "HibiscuspinConfigLagging",
)


@then("the pages under docs/errors are those of the closed list of errors")
def check_error_pages(context: Any) -> None:
    page_names = {path.stem for path in (ROOT / "docs/errors").glob("*.md")}
    assert page_names == {*map(str, ErrorKind), "README"}, page_names


@then("each generated page equals what the code's tables give")
def check_generated_pages(context: Any) -> None:
    for path, text in pages().items():
        current_text = (ROOT / path).read_text(encoding="utf-8")
        assert current_text == text, (
            f"{path} is out of date: run python -m hibiscuspin.guides"
        )


@then("docs/{page:S} names each of the {what:w}")
def check_names(context: Any, page: str, what: str) -> None:
    text = (ROOT / "docs" / page).read_text(encoding="utf-8")
    names = COMMANDS if what == "commands" else ALERTS
    missing = [name for name in names if name not in text]
    assert not missing, missing


def inject_fault(path: pathlib.Path, case: str) -> None:
    """Injects the fault of a case into a file of a configuration folder."""
    raw = yaml.safe_load(path.read_text())
    if case == "a tab":
        path.write_text("\tuser: canjea\n")
        return
    if case == "two unknown fields":
        raw |= {"colour": "red", "size": 3}
    elif case == "a wrong type":
        raw["sites_by_name"]["ar-sur"]["spend"]["tokens"] = "many"
    elif case == "a missing team":
        raw["trainers_by_name"]["appraiser"]["team"] = "none"
    elif case == "another value":
        raw["sites_by_name"]["ar-centro"] = {"region": "elsewhere"}
    elif case == "four faults":
        raw["teams_by_name"]["counters"]["share"] = 0
        del raw["trainers_by_name"]["appraiser"]["team"]
        raw["services_by_name"]["cotizador"]["timeout_s"] = "long"
        raw["service_levels_by_name"]["live-answers"]["objective"] = 2
    elif case == "a bad name":
        raw["teams_by_name"]["No Name"] = raw["teams_by_name"]["counters"]
    path.write_text(yaml.safe_dump(raw))


@given("a configuration folder whose {file:S} has {case}")
def make_faulty_folder(context: Any, file: str, case: str) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = pathlib.Path(folder.name) / "config"
    shutil.copytree(ROOT / "examples/canjea", context.folder)
    inject_fault(context.folder / file, case)


@when("the folder is loaded")
def load_faulty_folder(context: Any) -> None:
    context.problems = []
    try:
        load_folder(context.folder)
    except ConfigError as error:
        context.problems = [str(problem) for problem in error.problems]


@then("it is refused with {count:d} problems that name {words}")
def check_problems(context: Any, count: int, words: str) -> None:
    assert len(context.problems) == count, context.problems
    text = "\n".join(context.problems)
    missing = [word for word in words.split(", ") if word not in text]
    assert not missing, (missing, text)
