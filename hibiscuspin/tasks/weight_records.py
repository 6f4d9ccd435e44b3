"""Records of desired weight versions in the platform's store, one per model."""

from typing import TypedDict

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.weights import DesiredWeights, Phase
from hibiscuspin.edges import PlatformStore, StoreEntry

__all__ = ["WeightRecords"]

WEIGHTS_PREFIX = "hibiscuspin/weights/"
STORE_TIMEOUT_S = 2.0


class _StoredRecord(TypedDict):
    version: int
    source: str
    phase: str
    switch_at_s: float


class WeightRecords:
    """Reads and writes the records.

    A record's revision in the store is its fencing number.
    """

    def __init__(self, store: PlatformStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def read(self, model: str) -> DesiredWeights | None:
        """Returns a model's record, or None if there is none.

        Raises:
            StoreError: The store did not respond.
        """
        deadline = self._clock.monotonic() + STORE_TIMEOUT_S
        entry = self._store.get(WEIGHTS_PREFIX + model, deadline)
        return _decode(model, entry) if entry else None

    def write(
        self, desired: DesiredWeights, revision: int
    ) -> DesiredWeights | None:
        """Compare-and-swaps a record over the one at `revision`.

        Returns:
            The record with its fencing number, or None if another write came
            first.

        Raises:
            StoreError: The store did not respond.
        """
        stored: _StoredRecord = {
            "version": desired.version,
            "source": desired.source,
            "phase": str(desired.phase),
            "switch_at_s": desired.switch_at_s,
        }
        deadline = self._clock.monotonic() + STORE_TIMEOUT_S
        fencing = self._store.compare_and_swap(
            WEIGHTS_PREFIX + desired.model,
            msgspec.json.encode(stored),
            revision,
            deadline,
        )
        if fencing is None:
            return None
        return desired._replace(fencing=fencing)


def _decode(model: str, entry: StoreEntry) -> DesiredWeights:
    stored = msgspec.json.decode(entry.value, type=_StoredRecord)
    return DesiredWeights(
        model=model,
        version=stored["version"],
        source=stored["source"],
        phase=Phase(stored["phase"]),
        fencing=entry.revision,
        switch_at_s=stored["switch_at_s"],
    )
