"""Fakes at the interfaces, which show one fault at one step of a path."""

import threading
import time
from collections.abc import Callable

from hibiscuspin.clock import monotonic
from hibiscuspin.edges import (
    ServiceRequest,
    ServiceResponse,
    StoreEntry,
    StoreError,
    TargetError,
)

__all__ = ["Crash", "FakeService", "FakeStore", "Script", "ShiftedClock"]

SLOW_S = 0.2
PAUSE_S = 60.0


class Crash(BaseException):
    """The process dies here; nothing after this point happens."""


class ShiftedClock:
    """The machine's clocks, made faster, which a pause moves on."""

    def __init__(self, speed: float = 1.0) -> None:
        self._speed = speed
        self.shift_s = 0.0

    def monotonic(self) -> float:
        """Returns the shifted monotonic clock."""
        return monotonic() * self._speed + self.shift_s

    def wall(self) -> float:
        """Returns the shifted wall clock."""
        return time.time() + self.shift_s


class Script:
    """Strikes the faults of one cell when its step is reached.

    Attributes:
        pending: Faults of the cell that have not struck yet.
        standing: Faults in force until `heal`.
    """

    def __init__(self, step: str, faults: list[str], clock: ShiftedClock):
        self.step = step
        self.pending = list(faults)
        self.standing: set[str] = set()
        self.clock = clock
        self.reconfigure: Callable[[], None] = lambda: None
        self.victim = ""
        self.slow_s = SLOW_S
        self._lock = threading.Lock()

    def reach(self, step: str) -> None:
        """Starts the standing faults of a step, and dies or pauses at it."""
        if step != self.step:
            return
        for fault in ("store_down", "store_slow", "partition"):
            if self.take(fault):
                self.standing.add(fault)
        if self.take("racing_operators"):
            self.reconfigure()
        if self.take("paused_holder"):
            self.clock.shift_s += PAUSE_S
        if "lost_answer" not in self.pending and self.take("process_death"):
            self.standing.add("dead")
            raise Crash

    def take(self, fault: str) -> bool:
        """Tells whether a fault is still to strike, once."""
        with self._lock:
            if fault not in self.pending:
                return False
            self.pending.remove(fault)
            return True

    def heal(self) -> None:
        """Ends all faults."""
        self.pending = []
        self.standing = set()


def _no_step(key: str, value: bytes) -> str:
    return ""


class FakeStore:
    """A `PlatformStore` in memory, as one instance reaches it."""

    def __init__(self, entries: dict[str, StoreEntry], script: Script) -> None:
        self._entries = entries
        self._script = script
        self.step_of_write: Callable[[str, bytes], str] = _no_step

    def get(self, key: str, deadline: float) -> StoreEntry | None:
        """Reads one key."""
        self._meet(deadline)
        return self._entries.get(key)

    def list_prefix(self, prefix: str, deadline: float) -> list[StoreEntry]:
        """Reads all keys under a prefix."""
        self._meet(deadline)
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return [self._entries[key] for key in keys]

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        """Writes a key, and shows the faults of the write's step."""
        script = self._script
        step = self.step_of_write(key, value)
        at_step = step == script.step
        if at_step and script.take("lost_answer"):
            self._write(key, value, revision)
            script.reach(step)
            raise StoreError("answer lost", None)
        if at_step and script.take("silent_connection"):
            raise StoreError("silent", None)
        script.reach(step)
        self._meet(deadline)
        return self._write(key, value, revision)

    def delete(self, key: str, revision: int, deadline: float) -> bool:
        """Deletes a key."""
        self._meet(deadline)
        return self._entries.pop(key, None) is not None

    def _write(self, key: str, value: bytes, revision: int) -> int | None:
        held = self._entries.get(key)
        if (held.revision if held else 0) != revision:
            return None
        number = 1 + max(
            (e.revision for e in self._entries.values()), default=0
        )
        self._entries[key] = StoreEntry(key, value, number)
        return number

    def _meet(self, deadline: float) -> None:
        standing = self._script.standing
        if "dead" in standing:
            raise Crash
        if standing & {"store_down", "partition"}:
            raise StoreError("store is out", False)
        if "store_slow" in standing:
            self._script.clock.shift_s += self._script.slow_s
        if self._script.clock.monotonic() >= deadline:
            raise StoreError("deadline passed", False)


class FakeService:
    """One replica of a service that keeps no keys."""

    def __init__(
        self, name: str, runs: list[ServiceRequest], script: Script
    ) -> None:
        self._name = name
        self._runs = runs
        self._script = script

    def call(
        self,
        call: ServiceRequest,
        deadline: float,
        check: Callable[[], None] | None = None,
    ) -> ServiceResponse:
        """Runs one call."""
        script = self._script
        if script.step in ("accept", "choose"):
            self._refuse_connection()
        if script.clock.monotonic() >= deadline:
            raise TargetError("deadline passed", sent=False)
        script.reach("send")
        if script.step == "send":
            self._cut({"engine_crash", "silent_connection"}, ran=False)
        self._runs.append(call)
        if script.step == "answer":
            self._cut({"engine_crash", "silent_connection"}, ran=True)
            if script.take("lost_answer"):
                script.reach("answer")
                raise TargetError("answer lost", sent=True, silent=True)
        script.reach("answer")
        if script.step == "send" and script.clock.shift_s:
            raise TargetError("deadline passed", sent=True, silent=True)
        return ServiceResponse(200, "text/plain", call.body)

    def fetch_outcome(
        self, key: str, deadline: float
    ) -> ServiceResponse | None:
        """Knows no key."""
        return None

    def _refuse_connection(self) -> None:
        script = self._script
        cut = script.step == "choose" and "partition" in script.standing
        if script.take("engine_crash"):
            script.standing.add("engine_crash")
        if "engine_crash" in script.standing or cut:
            script.victim = script.victim or self._name
            if script.victim == self._name:
                raise TargetError("connection refused", sent=False)

    def _cut(self, faults: set[str], *, ran: bool) -> None:
        script = self._script
        struck = [script.take(fault) for fault in sorted(faults)]
        if any(struck):
            raise TargetError("connection lost", sent=True, silent=True)
        if script.take("partition"):
            script.standing.add("partition")
        if "partition" in script.standing:
            raise TargetError("connection lost", sent=True, silent=True)
