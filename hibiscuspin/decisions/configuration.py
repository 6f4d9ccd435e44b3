"""Selects the configuration document with the highest revision."""

from typing import NamedTuple

from hibiscuspin.config import Document

__all__ = ["ConfigState", "apply_if_newer"]


class ConfigState(NamedTuple):
    """The configuration of an instance.

    Attributes:
        document: The document in force, or None before the first one.
    """

    document: Document | None = None

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first document."""
        return self.document.revision.number if self.document else 0


def apply_if_newer(
    state: ConfigState, document: Document
) -> tuple[ConfigState, bool]:
    """Applies a document from the store, a peer or the disk if it is newer.

    Returns:
        The new state, and whether the document came into force.
    """
    if document.revision.number <= state.revision:
        return state, False
    return ConfigState(document), True
