"""Fakes that inject the faults of a matrix cell at one step of a request."""

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

__all__ = ["Crash", "FakeService", "FakeStore", "FaultScript", "ShiftedClock"]

SLOW_CALL_S = 0.2
PAUSE_S = 60.0


class Crash(BaseException):
    """Simulates the death of the process: nothing after this point runs."""


class ShiftedClock:
    """The system clocks plus a shift, which simulates pauses.

    With `speed`, the monotonic clock runs that many times faster.

    Attributes:
        shift_s: Seconds added to both clocks.
    """

    def __init__(self, speed: float = 1.0) -> None:
        self._speed = speed
        self.shift_s = 0.0

    def monotonic(self) -> float:
        """Returns the shifted monotonic clock."""
        return monotonic() * self._speed + self.shift_s

    def wall(self) -> float:
        """Returns the shifted wall clock."""
        return time.time() + self.shift_s


class FaultScript:
    """Injects the faults of one matrix cell when its step is reached.

    Attributes:
        pending: Faults of the cell that have not been injected yet.
        active: Faults in force until `heal`.
    """

    def __init__(self, step: str, faults: list[str], clock: ShiftedClock):
        self.step = step
        self.pending = list(faults)
        self.active: set[str] = set()
        self.clock = clock
        self.reconfigure: Callable[[], None] = lambda: None
        self.failing_replica = ""
        self.slow_call_s = SLOW_CALL_S
        self._lock = threading.Lock()

    def reach_step(self, step: str) -> None:
        """Injects the pending faults if this is the step of the cell."""
        if step != self.step:
            return
        for fault in ("store_down", "store_slow", "partition"):
            if self.consume(fault):
                self.active.add(fault)
        if self.consume("racing_operators"):
            self.reconfigure()
        if self.consume("paused_holder"):
            self.clock.shift_s += PAUSE_S
        if "lost_answer" not in self.pending and self.consume("process_death"):
            self.active.add("dead")
            raise Crash

    def consume(self, fault: str) -> bool:
        """Removes a fault from `pending`; returns whether it was there."""
        with self._lock:
            if fault not in self.pending:
                return False
            self.pending.remove(fault)
            return True

    def heal(self) -> None:
        """Ends all faults."""
        self.pending = []
        self.active = set()


def _no_step(key: str, value: bytes) -> str:
    return ""


class FakeStore:
    """One instance's connection to an in-memory `PlatformStore`."""

    def __init__(
        self, entries: dict[str, StoreEntry], script: FaultScript
    ) -> None:
        self._entries = entries
        self._script = script
        self.step_for_write: Callable[[str, bytes], str] = _no_step

    def get(self, key: str, deadline: float) -> StoreEntry | None:
        """Reads one key."""
        self._check_faults(deadline)
        return self._entries.get(key)

    def list_prefix(self, prefix: str, deadline: float) -> list[StoreEntry]:
        """Reads all keys under a prefix."""
        self._check_faults(deadline)
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return [self._entries[key] for key in keys]

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        """Writes a key, and injects the faults of the write's step."""
        script = self._script
        step = self.step_for_write(key, value)
        at_step = step == script.step
        if at_step and script.consume("lost_answer"):
            self._write(key, value, revision)
            script.reach_step(step)
            raise StoreError("reply lost", None)
        if at_step and script.consume("silent_connection"):
            raise StoreError("no reply", None)
        script.reach_step(step)
        self._check_faults(deadline)
        return self._write(key, value, revision)

    def delete(self, key: str, revision: int, deadline: float) -> bool:
        """Deletes a key; returns whether it existed."""
        self._check_faults(deadline)
        return self._entries.pop(key, None) is not None

    def _write(self, key: str, value: bytes, revision: int) -> int | None:
        entry = self._entries.get(key)
        if (entry.revision if entry else 0) != revision:
            return None
        new_revision = 1 + max(
            (e.revision for e in self._entries.values()), default=0
        )
        self._entries[key] = StoreEntry(key, value, new_revision)
        return new_revision

    def _check_faults(self, deadline: float) -> None:
        active = self._script.active
        if "dead" in active:
            raise Crash
        if active & {"store_down", "partition"}:
            raise StoreError("store is unavailable", False)
        if "store_slow" in active:
            self._script.clock.shift_s += self._script.slow_call_s
        if self._script.clock.monotonic() >= deadline:
            raise StoreError("deadline passed", False)


class FakeService:
    """One replica of a service that stores no idempotency keys."""

    def __init__(
        self, name: str, runs: list[ServiceRequest], script: FaultScript
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
        """Executes a request and echoes its body."""
        script = self._script
        if script.step in ("accept", "choose"):
            self._refuse_connection()
        if script.clock.monotonic() >= deadline:
            raise TargetError("deadline passed", sent=False)
        script.reach_step("send")
        if script.step == "send":
            self._lose_connection(
                {"engine_crash", "silent_connection"}, ran=False
            )
        self._runs.append(call)
        if script.step == "answer":
            self._lose_connection(
                {"engine_crash", "silent_connection"}, ran=True
            )
            if script.consume("lost_answer"):
                script.reach_step("answer")
                raise TargetError("response lost", sent=True, silent=True)
        script.reach_step("answer")
        if script.step == "send" and script.clock.shift_s:
            raise TargetError("deadline passed", sent=True, silent=True)
        return ServiceResponse(200, "text/plain", call.body)

    def fetch_outcome(
        self, key: str, deadline: float
    ) -> ServiceResponse | None:
        """Returns None: no idempotency keys are stored."""
        return None

    def _refuse_connection(self) -> None:
        script = self._script
        is_cut_off = script.step == "choose" and "partition" in script.active
        if script.consume("engine_crash"):
            script.active.add("engine_crash")
        if "engine_crash" in script.active or is_cut_off:
            script.failing_replica = script.failing_replica or self._name
            if script.failing_replica == self._name:
                raise TargetError("connection refused", sent=False)

    def _lose_connection(self, faults: set[str], *, ran: bool) -> None:
        script = self._script
        injected = [script.consume(fault) for fault in sorted(faults)]
        if any(injected):
            raise TargetError("connection lost", sent=True, silent=True)
        if script.consume("partition"):
            script.active.add("partition")
        if "partition" in script.active:
            raise TargetError("connection lost", sent=True, silent=True)
