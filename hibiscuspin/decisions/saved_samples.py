"""Which record of a sample its job's next holder continues with.

Load pattern: a trainer names new weights while a step runs, so that its samples
begin anew, and the step's holder is stopped meanwhile. The records in the store
then belong to beginnings that the holder has abandoned, and may be longer than
those that it hands over.

Load pattern: instances are stopped one after the other while some items fail at
each run. A holder that does not know how often an item has failed runs it anew.
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
        errors: How many of its runs ended with an error of the engine.
        given_up: Whether it is to be listed as failed.
    """

    events: Sequence[SampleEvent] = ()
    score: str | None = None
    beginning: int = 0
    errors: int = 0
    given_up: bool = False


def merge(
    saved_by_name: Mapping[str, SavedSample],
    sent_by_name: Mapping[str, SavedSample],
) -> dict[str, SavedSample]:
    """Returns the newer record of each sample.

    A record is taken whole: its events, its end and its score are those of one
    text. Errors count whatever the text, so the larger number stays.

    Args:
        saved_by_name: Records from the store, by item.
        sent_by_name: Records from the previous holder, by item.
    """
    merged = dict(saved_by_name)
    for name, sent in sent_by_name.items():
        saved = merged.get(name, sent)
        newer = max(saved, sent, key=_age_key)
        errors = max(saved.errors, sent.errors)
        merged[name] = newer._replace(errors=errors)
    return merged


def _age_key(record: SavedSample) -> tuple[bool, int, bool, bool, int]:
    return (
        record.given_up,
        record.beginning,
        record.score is not None,
        bool(record.score),
        len(record.events),
    )
