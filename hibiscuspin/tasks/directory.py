"""Keeps the list of targets and the copies of watched prefixes current.

They are read from the store by this instance, or by a relay of the same
region, which sends them to the others. `decisions/relays.py` and
`decisions/readers.py` decide who reads.
"""

import random
import threading
import zlib
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import readers, relays
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.discovery import InvalidRecordError, TargetRecord
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
from hibiscuspin.tasks.prefix_watcher import (
    CopyState,
    PrefixCopy,
    PrefixWatcher,
)
from hibiscuspin.tasks.relay_feed import RelayFeed

__all__ = ["OUTAGE_METHOD", "RELAY_COPIES_METHOD", "TargetDirectory"]

RELAY_COPIES_METHOD = "relay.copies"
OUTAGE_METHOD = "relay.outage"
TICK_S = 0.05
RETRY_DELAY_S = 0.2
# While the store is out, a reader tries again this often.
OUTAGE_RETRY_S = 0.8
SHARE_TIMEOUT_S = 0.25
# Enough that instances that don't respond delay the others by no more than a
# reading period.
MAX_PARALLEL_CALLS = 6
SCAN_TIMEOUT_S = 2.5

_log = get_logger("targets")


class _RelayedCopies(NamedTuple):
    """A list of targets and copies of watched prefixes, from a relay."""

    scan: ScanResult
    copies: tuple[PrefixCopy, ...]


class TargetDirectory:
    """Updates targets and watched prefixes from the store or from a relay."""

    name = "directory"

    def __init__(
        self,
        prefix: str,
        decode: Callable[[StoredValue], TargetRecord],
        store: TransactionStore,
        targets: DiscoveredTargets,
        clock: Clock,
        rng: random.Random,
        instances: Instances,
        peers: PeerHttpClient,
        feed: RelayFeed,
        watchers: Sequence[PrefixWatcher] = (),
    ) -> None:
        """Creates the task.

        Args:
            prefix: The key prefix under which targets register.
            decode: Decodes a target's entry; raises `InvalidRecordError`.
            store: The store.
            targets: The targets to update with each list.
            clock: The time source.
            rng: Adds jitter, so that a fleet's reads spread out.
            instances: The other instances.
            peers: Makes the calls to them.
            feed: What this instance hears from relays.
            watchers: The watched prefixes that a region shares.
        """
        self._prefix = prefix
        self._decode = decode
        self._store = store
        self._targets = targets
        self._clock = clock
        self._rng = rng
        self._instances = instances
        self._peers = peers
        self._feed = feed
        self._watcher_by_prefix = {w.prefix: w for w in watchers}
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
        self._states_by_address: dict[str, dict[str, CopyState]] = {}
        self._share_requested = threading.Event()
        # Whether the others were ever sent a copy of each watched prefix.
        self._shared_all = False

    def run(self, stop: threading.Event) -> None:
        """Reads and shares the list when due, until `stop` is set."""
        while not stop.wait(TICK_S * self._rng.uniform(0.8, 1.2)):
            now = self._clock.monotonic()
            if now < self._next_read_at() or now < self._retry_at:
                continue
            self._share_requested.clear()
            try:
                scan = self.read()
            except StoreError as error:
                self._handle_outage(str(error))
                continue
            self.share(scan)
        self._executor.shutdown()

    def request_share(self) -> None:
        """Sends the copies to the region at once if this is a relay.

        All relays do, since the first one may not see a change for seconds.
        """
        if self._feed.rank() < relays.RELAYS_PER_REGION:
            self._share_requested.set()

    def _next_read_at(self) -> float:
        if self._share_requested.is_set():
            return float("-inf")
        if not self._shared_all and self._feed.rank() == 0:
            return self._read_at + RETRY_DELAY_S
        return self._feed.next_read_at(self._read_at)

    def _handle_outage(self, reason: str) -> None:
        """Makes the instances that are no relays wait for the store's return.

        One of the relays may be cut off alone, so they all keep trying.
        """
        self._retry_at = self._clock.monotonic() + RETRY_DELAY_S
        _log.debug(
            "Target list could not be read from the store.",
            extra={"reason": reason},
        )
        if self._feed.rank() < relays.RELAYS_PER_REGION:
            self._retry_at = self._clock.monotonic() + OUTAGE_RETRY_S
            self._call_region(OUTAGE_METHOD, lambda member: b"")

    def serve_outage(self, body: bytes) -> bytes:
        """Handles a relay's notice that it can't reach the store."""
        self._feed.record_outage()
        return b""

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
            lost_age_s = readers.lost_age_s(self._feed.drain_s())
            if had_list and read_at - self._read_at > lost_age_s:
                self._reconnected_at = read_at
            self._read_at = read_at
            self._invalid_keys.intersection_update(
                value.key for value in scan.values
            )
            records = [self._decode_entry(value) for value in scan.values]
            self._targets.replace(
                [record for record in records if record is not None],
                self._reconnected_at,
            )

    def share(self, scan: ScanResult) -> None:
        """Sends a list and the own copies to the others of this region."""
        copies = [w.copy() for w in self._watcher_by_prefix.values()]
        current = [copy for copy in copies if copy is not None]
        self._shared_all |= len(current) == len(copies)
        body_by_missing: dict[frozenset[str], bytes] = {}

        def body(member: LiveInstance) -> bytes:
            missing = self._missing_prefixes(member.address, current)
            if missing not in body_by_missing:
                body_by_missing[missing] = _encode_copies(
                    scan, current, missing
                )
            return body_by_missing[missing]

        responses = self._call_region(RELAY_COPIES_METHOD, body)
        for address, response in responses.items():
            self._states_by_address[address] = msgspec.msgpack.decode(
                response, type=dict[str, CopyState]
            )
        # Some were expected to have values that they don't have.
        behind = [a for a in responses if self._missing_prefixes(a, current)]
        if behind:
            self._call_region(RELAY_COPIES_METHOD, body, behind)

    def _missing_prefixes(
        self, address: str, copies: Sequence[PrefixCopy]
    ) -> frozenset[str]:
        """Returns the prefixes whose values an instance may not have."""
        states = self._states_by_address.get(address, {})
        return frozenset(
            copy.prefix
            for copy in copies
            if states.get(copy.prefix) != copy.state
        )

    def _call_region(
        self,
        method: str,
        body: Callable[[LiveInstance], bytes],
        addresses: Sequence[str] | None = None,
    ) -> dict[str, bytes]:
        """Calls the other instances of this region, or some of them.

        Returns:
            The responses by address.
        """
        members = [
            member
            for member in self._instances.others()
            if self._feed.shares_region(member)
            and not self._peers.is_suspect(member.address)
            and (addresses is None or member.address in addresses)
        ]
        futures = {
            member.address: self._executor.submit(
                self._peers.call,
                member.address,
                method,
                body(member),
                SHARE_TIMEOUT_S,
            )
            for member in members
        }
        responses = {}
        for address, future in futures.items():
            try:
                responses[address] = future.result()
            except (PeerUnreachableError, HibiscusError) as error:
                self._states_by_address.pop(address, None)
                _log.debug(
                    "Copies could not be sent to a peer.",
                    extra={"reason": str(error)},
                )
        return responses

    def serve_copies(self, body: bytes) -> bytes:
        """Handles a call with the list and the copies of a relay."""
        relayed = msgspec.msgpack.decode(
            zlib.decompress(body), type=_RelayedCopies
        )
        self._apply(relayed.scan, self._clock.monotonic())
        watchers = self._watcher_by_prefix
        accepted = [
            copy.prefix
            for copy in relayed.copies
            if copy.prefix in watchers and watchers[copy.prefix].accept(copy)
        ]
        if len(accepted) == len(watchers):
            self._feed.record_copies()
        states = {prefix: w.state for prefix, w in watchers.items()}
        return msgspec.msgpack.encode(states)

    def _decode_entry(self, value: StoredValue) -> TargetRecord | None:
        try:
            record = self._decode(value)
        except InvalidRecordError as error:
            if value.key not in self._invalid_keys:
                _log.warning(
                    "Ignoring a target's invalid entry in the store.",
                    extra={"key": value.key, "reason": str(error)},
                )
                self._invalid_keys.add(value.key)
            return None
        self._invalid_keys.discard(value.key)
        return record


def _encode_copies(
    scan: ScanResult, copies: Sequence[PrefixCopy], missing: frozenset[str]
) -> bytes:
    """Encodes a list and copies, with the values of the missing ones only."""
    sent = tuple(
        copy if copy.prefix in missing else copy._replace(values=None)
        for copy in copies
    )
    packed = msgspec.msgpack.encode(_RelayedCopies(scan, sent))
    return zlib.compress(packed, level=1)
