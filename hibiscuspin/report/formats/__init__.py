"""Output formats of tables by name, each in its own module."""

import importlib
from collections.abc import Sequence
from typing import Protocol, cast

from hibiscuspin.report.table import Table

__all__ = ["FORMATS", "Format", "get_format"]

FORMATS = {
    "table": ("hibiscuspin.report.formats.text", "TextFormat"),
    "json": ("hibiscuspin.report.formats.json", "JsonFormat"),
    "html": ("hibiscuspin.report.formats.html", "HtmlFormat"),
}


class Format(Protocol):
    """Formats tables as text."""

    def format(self, tables: Sequence[Table]) -> str:
        """Returns the text of all tables."""


def get_format(name: str) -> Format:
    """Returns a format by its name.

    Raises:
        KeyError: No format has this name.
    """
    module, attribute = FORMATS[name]
    return cast(Format, getattr(importlib.import_module(module), attribute)())
