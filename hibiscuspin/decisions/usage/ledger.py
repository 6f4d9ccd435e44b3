"""The requests of each organisation by window, each counted once.

Load pattern: every instance sends its records to two others, sends all of them
again when the coordinator changes, and callers repeat a request at another
instance under the same id. A window usually has one to three requests of an
organisation, so a record that is lost or counted twice makes it wrong.

A request is identified by its organisation and id. This also recognises a
record that arrives again, whichever instance sends it and after any restart.
"""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["UsageLedger", "UsageRecord"]


class UsageRecord(NamedTuple):
    """A request that a target began to run.

    Attributes:
        request_id: The caller's id of the request.
        organisation: The organisation that sent it.
        window: The window in which it began.
    """

    request_id: str
    organisation: str
    window: int


class UsageLedger:
    """The records that one instance knows; a value without a clock."""

    def __init__(self) -> None:
        self._window_by_request: dict[tuple[str, str], int] = {}
        self._fixed_windows: set[int] = set()

    def add(self, records: Iterable[UsageRecord]) -> list[UsageRecord]:
        """Adds records; of two with one request, the earlier window counts.

        Returns:
            The new records that are too late: their window's counts are fixed.
        """
        late = []
        for record in records:
            key = (record.organisation, record.request_id)
            known = self._window_by_request.get(key)
            if known is not None and known <= record.window:
                continue
            if {known, record.window} & self._fixed_windows:
                # A report that stands can't be changed.
                if known is not None:
                    continue
                late.append(record)
            self._window_by_request[key] = record.window
        return late

    def counts(self, window: int) -> dict[str, int]:
        """Returns the requests of each organisation in a window."""
        counts: dict[str, int] = {}
        for (organisation, _), found in self._window_by_request.items():
            if found == window:
                counts[organisation] = counts.get(organisation, 0) + 1
        return dict(sorted(counts.items()))

    def fix(self, window: int) -> None:
        """Makes later records of a window late, because it is reported."""
        self._fixed_windows.add(window)

    def records(self) -> list[UsageRecord]:
        """Returns all records."""
        return [
            UsageRecord(request_id, organisation, window)
            for (organisation, request_id), window in (
                self._window_by_request.items()
            )
        ]

    def drop_before(self, window: int) -> None:
        """Drops the records of earlier windows."""
        self._window_by_request = {
            request: found
            for request, found in self._window_by_request.items()
            if found >= window
        }
        self._fixed_windows = {w for w in self._fixed_windows if w >= window}
