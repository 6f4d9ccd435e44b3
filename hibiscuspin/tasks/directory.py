"""Keeps the list of targets current.

The list is read from the store by this instance or by another one of the same
region, which shares it.
"""

import random
import threading
import zlib
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import readers
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.discovery import TargetRecord
from hibiscuspin.edges.transactions import (
    ScanResult,
    StoredValue,
    TransactionStore,
)
from hibiscuspin.errors import HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.peers.rpc import PeerHttpClient, PeerUnreachableError
from hibiscuspin.tasks.discovered import DiscoveredTargets
from hibiscuspin.tasks.instances import Instances

__all__ = ["LIST_METHOD", "TargetDirectory"]

LIST_METHOD = "targets.list"
TICK_S = 0.05
RETRY_DELAY_S = 0.2
SHARE_TIMEOUT_S = 0.25
# Enough that instances that don't respond delay the others by no more than a
# reading period.
MAX_PARALLEL_CALLS = 6
SCAN_TIMEOUT_S = 2.5

_log = get_logger("targets")


class TargetDirectory:
    """Updates the discovered targets from the store or from a peer."""

    name = "directory"

    def __init__(
        self,
        prefix: str,
        decode: Callable[[StoredValue], TargetRecord | None],
        store: TransactionStore,
        targets: DiscoveredTargets,
        clock: Clock,
        rng: random.Random,
        instances: Instances,
        peers: PeerHttpClient,
        region_by_data_centre: Mapping[str, str],
        drain_s: Callable[[], float],
    ) -> None:
        """Creates the task.

        Args:
            prefix: The key prefix under which targets register.
            decode: Decodes a target's entry; returns None for an invalid one.
            store: The store.
            targets: The targets to update with each list.
            clock: The time source.
            rng: Adds jitter, so that a fleet's reads spread out.
            instances: The other instances.
            peers: Makes the calls to them.
            region_by_data_centre: The region of each data centre; instances
                of one region share the lists that they read.
            drain_s: Returns how long a draining target still serves.
        """
        self._prefix = prefix
        self._decode = decode
        self._store = store
        self._targets = targets
        self._clock = clock
        self._rng = rng
        self._instances = instances
        self._peers = peers
        self._region_by_data_centre = region_by_data_centre
        self._drain_s = drain_s
        self._executor = ThreadPoolExecutor(
            MAX_PARALLEL_CALLS, thread_name_prefix="list"
        )
        self._lock = threading.Lock()
        self._revision = 0
        self._retry_at = 0.0
        # Monotonic time at which the current list was read.
        self._read_at = float("-inf")
        self._reconnected_at = 0.0
        self._invalid_keys: set[str] = set()

    def run(self, stop: threading.Event) -> None:
        """Reads and shares the list when due, until `stop` is set."""
        while not stop.wait(TICK_S * self._rng.uniform(0.8, 1.2)):
            now = self._clock.monotonic()
            if now < max(self._next_read_at(), self._retry_at):
                continue
            try:
                scan = self.read()
            except StoreError as error:
                self._retry_at = self._clock.monotonic() + RETRY_DELAY_S
                _log.debug(
                    "Target list could not be read from the store.",
                    extra={"reason": str(error)},
                )
                continue
            self._share(scan)
        self._executor.shutdown()

    def _next_read_at(self) -> float:
        own = self._instances.member
        names = [
            member.name
            for member in self._instances.members().values()
            if self._shares_region(member)
        ]
        region = self._region_by_data_centre.get(own.data_centre, "")
        return readers.next_read_at(
            own.name, region, names, self._read_at, self._drain_s()
        )

    def _shares_region(self, member: LiveInstance) -> bool:
        """Returns whether an instance is in this instance's region."""
        regions = self._region_by_data_centre
        own = self._instances.member.data_centre
        return regions.get(member.data_centre) == regions.get(own)

    def read(self) -> ScanResult:
        """Reads the list from the store and applies it.

        Raises:
            StoreError: The store could not be reached.
        """
        started = self._clock.monotonic()
        scan = self._store.scan(self._prefix, started + SCAN_TIMEOUT_S)
        self._apply(scan, started)
        return scan

    def _apply(self, scan: ScanResult, read_at: float) -> None:
        """Applies a list unless a newer one has been applied."""
        with self._lock:
            if scan.revision < self._revision:
                return
            had_list = self._revision > 0
            self._revision = scan.revision
            lost_age_s = readers.lost_age_s(self._drain_s())
            if had_list and read_at - self._read_at > lost_age_s:
                self._reconnected_at = read_at
            self._read_at = read_at
            records = [self._decode_entry(value) for value in scan.values]
            self._targets.replace(
                [record for record in records if record is not None],
                self._reconnected_at,
            )

    def _share(self, scan: ScanResult) -> None:
        """Sends a list to the other instances of this region."""
        body = zlib.compress(msgspec.msgpack.encode(scan), level=1)
        futures = [
            self._executor.submit(
                self._peers.call,
                member.address,
                LIST_METHOD,
                body,
                SHARE_TIMEOUT_S,
            )
            for member in self._instances.others()
            if self._shares_region(member)
            and not self._peers.is_suspect(member.address)
        ]
        for future in futures:
            try:
                future.result()
            except (PeerUnreachableError, HibiscusError) as error:
                _log.debug(
                    "Target list could not be sent to a peer.",
                    extra={"reason": str(error)},
                )

    def serve_list(self, body: bytes) -> bytes:
        """Handles a call with a list that another instance has read."""
        scan = msgspec.msgpack.decode(zlib.decompress(body), type=ScanResult)
        self._apply(scan, self._clock.monotonic())
        return b""

    def _decode_entry(self, value: StoredValue) -> TargetRecord | None:
        record = self._decode(value)
        if record is None and value.key not in self._invalid_keys:
            _log.warning(
                "Ignoring a target's invalid entry in the store.",
                extra={"key": value.key},
            )
            self._invalid_keys.add(value.key)
        return record
