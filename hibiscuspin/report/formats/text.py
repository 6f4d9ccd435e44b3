"""The plain-text format, for terminals."""

from collections.abc import Sequence

from hibiscuspin.report.table import Column, Table

__all__ = ["TextFormat"]

GAP = "  "


class TextFormat:
    """Formats tables as aligned columns."""

    def format(self, tables: Sequence[Table]) -> str:
        """Returns the text of all tables."""
        return "\n\n".join(_format_table(table) for table in tables)


def _format_table(table: Table) -> str:
    cells_by_column = {
        column: [column.text(row) for row in table.rows]
        for column in table.columns
    }
    widths = {
        column: max(len(text) for text in [column.title, *cells])
        for column, cells in cells_by_column.items()
    }
    lines = [table.title] if table.title else []
    lines.append(_format_row(widths, {c: c.title for c in widths}))
    for index in range(len(table.rows)):
        row = {c: cells[index] for c, cells in cells_by_column.items()}
        lines.append(_format_row(widths, row))
    if not table.rows:
        lines.append("(none)")
    lines.extend(table.notes)
    return "\n".join(lines)


def _format_row(widths: dict[Column, int], cells: dict[Column, str]) -> str:
    texts = [
        cells[column].rjust(width)
        if column.numeric
        else cells[column].ljust(width)
        for column, width in widths.items()
    ]
    return GAP.join(texts).rstrip()
