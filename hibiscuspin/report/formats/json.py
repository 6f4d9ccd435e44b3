"""The JSON format, for programs: rows with their keys."""

import json
from collections.abc import Sequence

from hibiscuspin.report.table import Table

__all__ = ["JsonFormat"]


class JsonFormat:
    """Formats tables as one JSON object."""

    def format(self, tables: Sequence[Table]) -> str:
        """Returns the text of all tables."""
        value = {
            "tables": [
                {
                    "title": table.title,
                    "rows": [dict(row) for row in table.rows],
                    "notes": list(table.notes),
                }
                for table in tables
            ]
        }
        return json.dumps(value, indent=2)
