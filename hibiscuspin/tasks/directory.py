"""Keeps the list of targets, read here or by an instance nearby."""

import random
import threading
import zlib
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import readers
from hibiscuspin.decisions.recovery import Member
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.discovery import TargetRecord
from hibiscuspin.edges.transactions import (
    Scan,
    StoredValue,
    TransactionStore,
)
from hibiscuspin.errors import HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.rpc import PeerCalls, PeerUnreachableError
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.instances import Instances

__all__ = ["LIST_METHOD", "TargetDirectory"]

LIST_METHOD = "targets.list"
TICK_S = 0.05
RETRY_S = 0.2
TELL_TIMEOUT_S = 0.25
# Instances that don't answer hold up the others no longer than a period.
TELL_THREADS = 6
CALL_TIMEOUT_S = 2.5

_log = get_logger("targets")


class TargetDirectory:
    """Keeps the discovered targets up to date."""

    name = "directory"

    def __init__(
        self,
        prefix: str,
        decode: Callable[[StoredValue], TargetRecord | None],
        store: TransactionStore,
        targets: DiscoveredTargets,
        clock: Clock,
        draw: random.Random,
        instances: Instances,
        peers: PeerCalls,
        region_by_data_centre: Mapping[str, str],
        drain_s: Callable[[], float],
    ) -> None:
        """Creates the task.

        Args:
            prefix: Where targets register.
            decode: Returns a target's entry, or None for a bad one.
            store: The store.
            targets: The targets, which are told of each list.
            clock: The time.
            draw: Spreads the readings of a fleet.
            instances: The other instances.
            peers: The way to them.
            region_by_data_centre: Instances of a region share readings.
            drain_s: Returns how long a target that leaves still serves.
        """
        self._prefix = prefix
        self._decode = decode
        self._store = store
        self._targets = targets
        self._clock = clock
        self._draw = draw
        self._instances = instances
        self._peers = peers
        self._region_by_data_centre = region_by_data_centre
        self._drain_s = drain_s
        self._tells = ThreadPoolExecutor(
            TELL_THREADS, thread_name_prefix="list"
        )
        self._lock = threading.Lock()
        self._revision = 0
        self._retry_at = 0.0
        # When the list that is known was read; no list is known yet.
        self._read_at = float("-inf")
        self._regained_at = 0.0
        self._bad_keys: set[str] = set()

    def run(self, stop: threading.Event) -> None:
        """Reads when it is this instance's turn until `stop` is set."""
        while not stop.wait(TICK_S * self._draw.uniform(0.8, 1.2)):
            now = self._clock.monotonic()
            if now < max(self._turn(), self._retry_at):
                continue
            try:
                scan = self.read()
            except StoreError as error:
                self._retry_at = self._clock.monotonic() + RETRY_S
                _log.debug("List not read.", extra={"reason": str(error)})
                continue
            self._tell(scan)
        self._tells.shutdown()

    def _turn(self) -> float:
        own = self._instances.member
        names = [
            member.name
            for member in self._instances.members().values()
            if self._is_near(member)
        ]
        region = self._region_by_data_centre.get(own.data_centre, "")
        return readers.read_at(
            own.name, region, names, self._read_at, self._drain_s()
        )

    def _is_near(self, member: Member) -> bool:
        """Tells whether an instance shares the readings of this one."""
        regions = self._region_by_data_centre
        own = self._instances.member.data_centre
        return regions.get(member.data_centre) == regions.get(own)

    def read(self) -> Scan:
        """Reads the list once.

        Raises:
            StoreError: The store could not be reached.
        """
        started = self._clock.monotonic()
        scan = self._store.scan(self._prefix, started + CALL_TIMEOUT_S)
        self._take(scan, started)
        return scan

    def _take(self, scan: Scan, read_at: float) -> None:
        """Takes a list unless a newer one is there."""
        with self._lock:
            if scan.revision < self._revision:
                return
            known = self._revision > 0
            self._revision = scan.revision
            lost_after_s = readers.lost_after_s(self._drain_s())
            if known and read_at - self._read_at > lost_after_s:
                self._regained_at = read_at
            self._read_at = read_at
            records = [self._decoded(value) for value in scan.values]
            self._targets.replace(
                [record for record in records if record is not None],
                self._regained_at,
            )

    def _tell(self, scan: Scan) -> None:
        """Tells the other instances of this region."""
        body = zlib.compress(msgspec.msgpack.encode(scan), level=1)
        futures = [
            self._tells.submit(
                self._peers.call,
                member.address,
                LIST_METHOD,
                body,
                TELL_TIMEOUT_S,
            )
            for member in self._instances.others()
            if self._is_near(member)
        ]
        for future in futures:
            try:
                future.result()
            except (PeerUnreachableError, HibiscusError) as error:
                _log.debug("List not told.", extra={"reason": str(error)})

    def serve_list(self, body: bytes) -> bytes:
        """Takes the list that another instance has read."""
        scan = msgspec.msgpack.decode(zlib.decompress(body), type=Scan)
        self._take(scan, self._clock.monotonic())
        return b""

    def _decoded(self, value: StoredValue) -> TargetRecord | None:
        record = self._decode(value)
        if record is None and value.key not in self._bad_keys:
            _log.warning("Entry ignored.", extra={"key": value.key})
            self._bad_keys.add(value.key)
        return record
