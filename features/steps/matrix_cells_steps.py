"""Steps for the completeness of the fault matrix and its page."""

from typing import Any

from behave import then

from features.faults_page import PAGE_PATH, render_page
from features.matrix_cells import STEPS_BY_PATH, build_cells


@then('no cell of "{path}" lacks a test and a reason')
def check_cells(context: Any, path: str) -> None:
    assert path in STEPS_BY_PATH
    uncovered = [
        f"{cell.step}, {cell.fault}"
        for cell in build_cells()
        if cell.path == path and not cell.covered
    ]
    assert not uncovered, f"{len(uncovered)} uncovered cells: {uncovered}"


@then("the page of faults is what the matrix renders")
def check_page(context: Any) -> None:
    assert PAGE_PATH.read_text() == render_page()
