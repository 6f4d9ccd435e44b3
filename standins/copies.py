"""The weight copies of a stand-in engine: fetched, held, served, counted.

A fetch reads `GET /v1/weights/{model}/{version}` of its source, which is
the weight store or another engine, so that copies can pass between engines.
"""

import threading
import time
from collections import Counter
from typing import TypedDict

from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.settings import parse_address

__all__ = ["Copies", "CopyState"]

FETCH_TIMEOUT_S = 60.0


class CopyState(TypedDict):
    """What an engine tells of its weights."""

    current: int
    staged: list[int]
    fetching: str


class CopyRecord(TypedDict):
    """Bytes read from each source, and when the last switch took effect."""

    read_by_source: dict[str, int]
    switched_at_s: float


class Copies:
    """The versions that one engine holds; safe for many threads."""

    def __init__(self, model: str, reader: str) -> None:
        self._model = model
        self._reader = reader
        self._lock = threading.Lock()
        self._bytes_by_version = {1: 0}
        self._fetching = ""
        self._read_by_source: Counter[str] = Counter()
        self._switched_at_s = 0.0
        self.current = 1

    def fetch(self, version: int, source: str) -> None:
        """Starts to fetch a version unless it is held or being fetched."""
        with self._lock:
            if version in self._bytes_by_version or self._fetching:
                return
            self._fetching = source
        threading.Thread(
            target=self._fetch, args=(version, source), daemon=True
        ).start()

    def switch(self, version: int) -> bool:
        """Serves a version; returns whether it is held."""
        with self._lock:
            if version not in self._bytes_by_version:
                return False
            self.current = version
            self._switched_at_s = time.time()
            return True

    def lose(self) -> None:
        """Falls back to the weights of the image, as after a crash."""
        with self._lock:
            self._bytes_by_version = {1: 0}
            self.current = 1

    def size(self, version: int) -> int | None:
        """Returns the bytes of a version, or None where it is not held."""
        with self._lock:
            return self._bytes_by_version.get(version)

    def state(self) -> CopyState:
        """Returns what the engine tells of its weights."""
        with self._lock:
            return {
                "current": self.current,
                "staged": sorted(self._bytes_by_version),
                "fetching": self._fetching,
            }

    def record(self) -> CopyRecord:
        """Returns the engine's own record, for checks."""
        with self._lock:
            return {
                "read_by_source": dict(self._read_by_source),
                "switched_at_s": self._switched_at_s,
            }

    def _fetch(self, version: int, source: str) -> None:
        path = f"/v1/weights/{self._model}/{version}?reader={self._reader}"
        deadline = monotonic() + FETCH_TIMEOUT_S
        size: int | None = None
        try:
            client = HttpClient(parse_address(source))
            answer = client.request("GET", path, deadline)
            if answer.status == 200:
                size = int(answer.json()["bytes"])  # type: ignore[index]
        except (TargetError, ValueError):
            size = None
        with self._lock:
            self._fetching = ""
            if size is not None:
                self._bytes_by_version[version] = size
                self._read_by_source[source] += size
