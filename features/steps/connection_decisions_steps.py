"""Steps on the choice of connections to close."""

import math
import random
from typing import Any

from behave import given, then, when

from hibiscuspin.decisions.connections import (
    SMALL_BYTES,
    Connection,
    ConnectionLimits,
    Phase,
    choose_closed,
    may_receive,
)

KB = 1024
NOW = 10.0
STEP_BYTES = 32 * KB
SMALL_REQUEST_BYTES = 4 * KB


@given("a limit of {memory:d} KB and {connections:d} connections")
def set_limits(context: Any, memory: int, connections: int) -> None:
    context.limits = ConnectionLimits(memory * KB, connections)


@given("these connections")
def set_connections(context: Any) -> None:
    context.connections = [
        parse_connection(number, text)
        for number, text in enumerate(context.text.split(";"))
    ]


def parse_connection(number: int, text: str) -> Connection:
    """Parses phase, held KB, time of the last progress and flags."""
    phase, held, progressed_at, *flags = text.split()
    return Connection(
        number,
        Phase[phase.upper()],
        int(held) * KB,
        float(progressed_at),
        receive_by=NOW if "late" in flags else math.inf,
        abandoned_at=NOW if "abandoned" in flags else math.inf,
        backlogged_at=float(progressed_at)
        if "backlogged" in flags
        else math.inf,
    )


@when("{waiting:d} requests wait for a thread at {now:g} s")
def choose(context: Any, waiting: int, now: float) -> None:
    context.closed = choose_closed(
        context.connections, 0, waiting, context.limits, now
    )


@then("these are closed: {expected}")
def check_closed(context: Any, expected: str) -> None:
    rows = [f"{number} {cause}" for number, cause in context.closed.items()]
    assert (", ".join(rows) or "none") == expected, rows


@then("a body of {declared:d} KB beside {running:d} KB is {outcome}")
def check_declared(
    context: Any, declared: int, running: int, outcome: str
) -> None:
    received = may_receive(declared * KB, running * KB, context.limits)
    assert received == (outcome == "received"), received


class CrowdModel:
    """Connections that send, stall, run and leave responses unread."""

    def __init__(self, seed: int, limits: ConnectionLimits) -> None:
        self.limits = limits
        self.now = 0.0
        self._random = random.Random(seed)
        self._row_by_number: dict[int, Connection] = {}
        self._next_number = 0

    def step(self) -> None:
        """Lets one client act, then closes what must be closed."""
        self.now += 0.1
        rows = list(self._row_by_number.values())
        row = self._random.choice(rows) if rows else None
        if row is None or self._random.random() < 0.3:
            self.connect(0)
        else:
            self._advance(row)
        self.close_chosen()

    def connect(self, held_bytes: int) -> int:
        """Opens a connection; returns its number."""
        number = self._next_number
        self._next_number += 1
        self._row_by_number[number] = Connection(
            number, Phase.RECEIVING, held_bytes, self.now
        )
        return number

    def _advance(self, row: Connection) -> None:
        phase, held = row.phase, row.held_bytes
        if phase is Phase.RECEIVING and self._random.random() < 0.9:
            held += self._random.randrange(STEP_BYTES)
        elif phase is Phase.SENDING:
            del self._row_by_number[row.number]
            return
        else:
            phase = {
                Phase.RECEIVING: Phase.WAITING,
                Phase.WAITING: Phase.RUNNING,
                Phase.RUNNING: Phase.SENDING,
            }[phase]
        self._row_by_number[row.number] = row._replace(
            phase=phase, held_bytes=held, progressed_at=self.now
        )

    def close_chosen(self) -> None:
        """Closes connections; checks that none of them runs."""
        rows = self._row_by_number
        closed = choose_closed(rows.values(), 0, 0, self.limits, self.now)
        for number in closed:
            assert rows[number].phase is not Phase.RUNNING, rows[number]
            del rows[number]

    def check(self) -> None:
        """Checks the sums, and that a small request is taken now."""
        rows = self._row_by_number.values()
        held = [row.held_bytes for row in rows]
        running = [row for row in rows if row.phase is Phase.RUNNING]
        assert sum(held) <= self.limits.memory_bytes, held
        large = sum(size for size in held if size > SMALL_BYTES)
        assert large <= self.limits.large_bytes, held
        # Requests that run end by themselves; none is cut off for another.
        most = max(self.limits.connections, len(running))
        assert len(held) <= most, (len(held), len(running))
        if len(running) < self.limits.connections:
            number = self.connect(SMALL_REQUEST_BYTES)
            self.close_chosen()
            assert self._row_by_number.pop(number, None) is not None


@then(
    "{steps:d} random steps of seed {seed:d} keep within {memory:d} KB and "
    "{connections:d} connections"
)
def check_model(
    context: Any, steps: int, seed: int, memory: int, connections: int
) -> None:
    model = CrowdModel(seed, ConnectionLimits(memory * KB, connections))
    for _ in range(steps):
        model.step()
        model.check()
