"""Writes docs/FAULTS.md; run with `python -m features.faults_page`.

With `--check` it writes nothing and fails where the page is out of date.
"""

import pathlib
import sys
from collections.abc import Sequence

from features.matrix_cells import PATHS, Cell, cells

__all__ = ["PAGE", "main", "rendered"]

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "FAULTS.md"

HEAD = """# Fault matrix

Every fault at every step of each path: what must be seen and the scenario
that brings it about, or why it can't occur. Written by
`python -m features.faults_page` from `features/matrix_cells.py`.
"""


def rendered() -> str:
    """Returns the whole page."""
    found = cells()
    tested = sum(bool(cell.scenario) for cell in found)
    reasoned = sum(bool(cell.reason) for cell in found)
    uncovered = sum(not cell.covered for cell in found)
    lines = [
        HEAD,
        f"{len(found)} cells: {tested} tested, {reasoned} with a reason, "
        f"{uncovered} neither.",
    ]
    for path in PATHS:
        lines += ["", f"## {path}", ""]
        lines += _table([cell for cell in found if cell.path == path])
    return "\n".join(lines) + "\n"


def _table(found: Sequence[Cell]) -> list[str]:
    lines = ["| step | fault | must be seen | test or reason |"]
    lines.append("| --- | --- | --- | --- |")
    for cell in sorted(found, key=_order):
        proof = f"`{cell.scenario}`" if cell.scenario else cell.reason
        row = (cell.step, cell.fault, cell.expected, proof or "**none yet**")
        lines.append("| " + " | ".join(row) + " |")
    return lines


def _order(cell: Cell) -> int:
    return PATHS[cell.path].index(cell.step)


def main(argv: Sequence[str]) -> int:
    """Writes or checks the page; returns 1 where a check fails."""
    page = rendered()
    if "--check" in argv:
        return 0 if PAGE.exists() and PAGE.read_text() == page else 1
    PAGE.write_text(page)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
