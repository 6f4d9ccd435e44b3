"""Generates the reference pages under docs/."""

import pathlib

from hibiscuspin.errors import ErrorKind
from hibiscuspin.guides import config, errors

__all__ = ["pages"]

DOCS = pathlib.Path("docs")


def pages() -> dict[pathlib.Path, str]:
    """Returns the text of each page by its path."""
    texts = {DOCS / "errors" / f"{k}.md": errors.page(k) for k in ErrorKind}
    texts[DOCS / "errors" / "README.md"] = errors.index()
    texts[DOCS / "CONFIG.md"] = config.page()
    return texts


def main() -> None:
    """Writes all pages."""
    for path, text in pages().items():
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
