"""The HTML format: a self-contained page with charts as inline SVG."""

import html
from collections.abc import Sequence
from xml.etree import ElementTree as ET

from hibiscuspin.report.table import Bar, Table

__all__ = ["HtmlFormat"]

CHART_WIDTH_PX = 640
LABEL_WIDTH_PX = 220
VALUE_WIDTH_PX = 80
BAR_HEIGHT_PX = 18
GAP_PX = 6

STYLE = """
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: .3em .8em; border-bottom: 1px solid #ccc; }
td.number, th.number { text-align: right; }
rect { fill: #4a7ab5; } rect.over { fill: #b5524a; }
line { stroke: #b5524a; stroke-dasharray: 4; }
text { font-size: 12px; }
"""


class HtmlFormat:
    """Formats tables as a page that does not depend on other files."""

    def format(self, tables: Sequence[Table]) -> str:
        """Returns the text of all tables."""
        parts = [
            "<!doctype html>",
            '<html lang="en"><head><meta charset="utf-8">',
            f"<title>{html.escape(tables[0].title)}</title>",
            f"<style>{STYLE}</style></head><body>",
        ]
        for table in tables:
            parts.append(f"<h2>{html.escape(table.title)}</h2>")
            parts.append(_serialize(_table_element(table)))
            parts.extend(
                _serialize(_chart_element(table, bar)) for bar in table.bars
            )
            parts.extend(f"<p>{html.escape(n)}</p>" for n in table.notes)
        return "\n".join([*parts, "</body></html>"])


def _serialize(element: ET.Element) -> str:
    return ET.tostring(element, encoding="unicode", method="html")


def _table_element(table: Table) -> ET.Element:
    root = ET.Element("table")
    head = ET.SubElement(root, "tr")
    for column in table.columns:
        attributes = {"class": "number"} if column.numeric else {}
        ET.SubElement(head, "th", attributes).text = column.title
    for row in table.rows:
        line = ET.SubElement(root, "tr")
        for column in table.columns:
            attributes = {"class": "number"} if column.numeric else {}
            ET.SubElement(line, "td", attributes).text = column.text(row)
    return root


def _chart_element(table: Table, bar: Bar) -> ET.Element:
    values = [float(row.get(bar.value) or 0) for row in table.rows]
    top = max([*values, bar.limit or 0.0]) or 1.0
    height = len(values) * (BAR_HEIGHT_PX + GAP_PX)
    root = ET.Element("svg", _attributes(width=CHART_WIDTH_PX, height=height))
    scale = (CHART_WIDTH_PX - LABEL_WIDTH_PX - VALUE_WIDTH_PX) / top
    columns = {column.key: column for column in table.columns}
    for index, (row, value) in enumerate(zip(table.rows, values, strict=True)):
        y = index * (BAR_HEIGHT_PX + GAP_PX)
        baseline = y + BAR_HEIGHT_PX - GAP_PX
        width = max(0.0, value) * scale
        label = ET.SubElement(root, "text", _attributes(x=0, y=baseline))
        label.text = columns[bar.label].text(row)
        shape = _attributes(
            x=LABEL_WIDTH_PX, y=y, width=width, height=BAR_HEIGHT_PX
        )
        if bar.limit is not None and value > bar.limit:
            shape["class"] = "over"
        ET.SubElement(root, "rect", shape)
        position = _attributes(x=LABEL_WIDTH_PX + width + GAP_PX, y=baseline)
        ET.SubElement(root, "text", position).text = columns[bar.value].text(
            row
        )
    if bar.limit is not None:
        x = LABEL_WIDTH_PX + bar.limit * scale
        line = _attributes(x1=x, x2=x, y1=0, y2=height)
        ET.SubElement(root, "line", line)
    return root


def _attributes(**values: float) -> dict[str, str]:
    return {name: f"{value:.1f}" for name, value in values.items()}
