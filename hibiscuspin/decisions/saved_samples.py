"""Which record of a sample its job's next holder continues with.

Load pattern: a trainer names new weights while a step runs, so that its samples
begin anew, and the step's holder is stopped meanwhile. The records in the store
then belong to beginnings that the holder has abandoned, and may be longer than
those that it hands over.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from hibiscuspin.decisions.samples import SampleEvent

__all__ = ["SavedSample", "merge"]


class SavedSample(NamedTuple):
    """What is known of an unpublished sample.

    Attributes:
        events: The events of its text.
        score: The score of a complete text, empty while it has none; None if
            the text is not complete.
        beginning: How often the text was begun anew.
    """

    events: Sequence[SampleEvent] = ()
    score: str | None = None
    beginning: int = 0


def merge(
    saved_by_name: Mapping[str, SavedSample],
    sent_by_name: Mapping[str, SavedSample],
) -> dict[str, SavedSample]:
    """Returns the newer record of each sample.

    A record is taken whole: its events, its end and its score are those of one
    text.

    Args:
        saved_by_name: Records from the store, by item.
        sent_by_name: Records from the previous holder, by item.
    """
    merged = dict(saved_by_name)
    for name, sent in sent_by_name.items():
        merged[name] = max(merged.get(name, sent), sent, key=_age_key)
    return merged


def _age_key(record: SavedSample) -> tuple[int, bool, bool, int]:
    return (
        record.beginning,
        record.score is not None,
        bool(record.score),
        len(record.events),
    )
