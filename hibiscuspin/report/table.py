"""Tables with declared columns, as reports and commands return them."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

__all__ = ["Bar", "Column", "Table"]


class Column(NamedTuple):
    """A column of a table.

    Attributes:
        key: The key of its value in a row.
        title: The heading, with the unit in brackets if there is one.
        spec: A format specification for its values.
    """

    key: str
    title: str
    spec: str = ""

    def text(self, row: Mapping[str, Any]) -> str:
        """Returns the formatted value of a row; empty for None."""
        value = row.get(self.key)
        if value is None:
            return ""
        if isinstance(value, list | tuple):
            return ", ".join(str(item) for item in value)
        return format(value, self.spec)

    @property
    def numeric(self) -> bool:
        """Whether values are numbers, which are aligned to the right."""
        return bool(self.spec)


class Bar(NamedTuple):
    """A bar chart of one column, one bar for each row.

    Attributes:
        label: The key of the column that names each bar.
        value: The key of the column that gives its length.
        limit: The value at which a limit line is drawn; None for no line.
    """

    label: str
    value: str
    limit: float | None = None


class Table(NamedTuple):
    """Rows under declared columns.

    Attributes:
        title: The heading of the table; may be empty.
        columns: The columns, from left to right.
        rows: The rows, each with values by column key.
        bars: Charts of the rows, for formats that support charts.
        notes: Sentences to print below the table.
    """

    title: str
    columns: Sequence[Column]
    rows: Sequence[Mapping[str, Any]]
    bars: Sequence[Bar] = ()
    notes: Sequence[str] = ()
