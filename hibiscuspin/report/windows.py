"""Counts over sliding windows, stored in slices of fixed length."""

from collections import Counter, OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["SlidingCounts"]

K = TypeVar("K", bound=Hashable)


class SlidingCounts(Generic[K]):
    """Counts by key in the newest slices.

    Args:
        slice_s: The length of a slice, in seconds.
        max_slices: The number of slices to retain.
    """

    def __init__(self, slice_s: int, max_slices: int) -> None:
        self._slice_s = slice_s
        self._max_slices = max_slices
        self._counts_by_slice: OrderedDict[int, Counter[K]] = OrderedDict()

    def add(self, key: K, at_s: float, count: int = 1) -> None:
        """Adds to the count of `key` at a wall-clock time."""
        number = int(at_s // self._slice_s)
        counts = self._counts_by_slice.setdefault(number, Counter())
        counts[key] += count
        while len(self._counts_by_slice) > self._max_slices:
            self._counts_by_slice.popitem(last=False)

    def counts_within(self, window_s: float, now_s: float) -> Counter[K]:
        """Returns the counts of all slices that overlap the window."""
        first = int((now_s - window_s) // self._slice_s)
        total: Counter[K] = Counter()
        for number, counts in self._counts_by_slice.items():
            if number >= first:
                total.update(counts)
        return total
