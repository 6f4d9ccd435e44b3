"""The weight versions that a stand-in engine stores and serves.

A version is fetched with `GET /v1/weights/{model}/{version}` from the weight
store or from another engine.
"""

import threading
import time
from collections import Counter
from typing import TypedDict

from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.settings import parse_address

__all__ = ["WeightCopies", "CopyState"]

FETCH_TIMEOUT_S = 60.0


class CopyState(TypedDict):
    """The body of an engine's `GET /v1/weights`.

    Attributes:
        current: Version that the engine serves.
        staged: Stored versions, including the current one.
        fetching: Source of the running fetch; empty if none is running.
    """

    current: int
    staged: list[int]
    fetching: str


class CopyRecord(TypedDict):
    """Bytes read per source, and the wall-clock time of the last switch."""

    read_by_source: dict[str, int]
    switched_at_s: float


class WeightCopies:
    """The weight versions stored on one engine; thread-safe."""

    def __init__(self, model: str, reader: str) -> None:
        self._model = model
        self._reader = reader
        self._lock = threading.Lock()
        self._bytes_by_version = {1: 0}
        self._fetching_from = ""
        self._bytes_read_by_source: Counter[str] = Counter()
        self._switched_at_s = 0.0
        self.current = 1

    def fetch(self, version: int, source: str) -> None:
        """Starts a fetch unless the version is stored or a fetch is running."""
        with self._lock:
            if version in self._bytes_by_version or self._fetching_from:
                return
            self._fetching_from = source
        threading.Thread(
            target=self._fetch, args=(version, source), daemon=True
        ).start()

    def switch(self, version: int) -> bool:
        """Makes a stored version current; returns False if it is not stored."""
        with self._lock:
            if version not in self._bytes_by_version:
                return False
            self.current = version
            self._switched_at_s = time.time()
            return True

    def reset_to_image(self) -> None:
        """Drops all versions but 1, the one in the image, as a crash does."""
        with self._lock:
            self._bytes_by_version = {1: 0}
            self.current = 1

    def size_bytes(self, version: int) -> int | None:
        """Returns the size of a version, or None if it is not stored."""
        with self._lock:
            return self._bytes_by_version.get(version)

    def state(self) -> CopyState:
        """Returns the body of `GET /v1/weights`."""
        with self._lock:
            return {
                "current": self.current,
                "staged": sorted(self._bytes_by_version),
                "fetching": self._fetching_from,
            }

    def record(self) -> CopyRecord:
        """Returns the transfer record that tests check."""
        with self._lock:
            return {
                "read_by_source": dict(self._bytes_read_by_source),
                "switched_at_s": self._switched_at_s,
            }

    def _fetch(self, version: int, source: str) -> None:
        path = f"/v1/weights/{self._model}/{version}?reader={self._reader}"
        deadline = monotonic() + FETCH_TIMEOUT_S
        size: int | None = None
        try:
            client = HttpClient(parse_address(source))
            response = client.request("GET", path, deadline)
            if response.status == 200:
                size = int(response.json()["bytes"])  # type: ignore[index]
        except (TargetError, ValueError):
            size = None
        with self._lock:
            self._fetching_from = ""
            if size is not None:
                self._bytes_by_version[version] = size
                self._bytes_read_by_source[source] += size
