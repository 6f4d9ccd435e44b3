"""Storage of batch jobs in the platform's store.

A job consists of a small head, its contents, and its results in chunks. The
head's revision fences its holder: every write of results is a compare-and-swap
on this revision, so a replaced holder can't add results. The content of a chunk
is fixed before its first write, so the write can be repeated until its outcome
is known.
"""

import zlib
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, NotRequired, TypedDict, TypeVar

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.recovery import StoredJob
from hibiscuspin.decisions.samples import SampleEvent, software_of
from hibiscuspin.decisions.saved_samples import SavedSample, merge
from hibiscuspin.decisions.software import Software
from hibiscuspin.edges import StoreError
from hibiscuspin.edges.transactions import (
    STORED_VALUE_ERRORS,
    CommitConflict,
    CommitResult,
    PutOperation,
    StoredValue,
    Transaction,
    TransactionStore,
)
from hibiscuspin.logs import get_logger

__all__ = [
    "HEAD_PREFIX",
    "FencedError",
    "ItemResult",
    "JobContents",
    "JobHead",
    "JobItem",
    "JobStore",
    "RewardRequest",
    "SampleRuns",
    "SavedSamples",
    "StoredHead",
    "trim_default",
]

_log = get_logger("rollouts")

HEAD_PREFIX = "hibiscuspin/jobs/"
_PART_PREFIX = "hibiscuspin/job-parts/"
_RESULT_PREFIX = "hibiscuspin/job-results/"
_EVENTS_PREFIX = "hibiscuspin/job-made/"
_SCORES_SUFFIX = "/scores"
_SOFTWARE_SUFFIX = "/software"
_RUNS_SUFFIX = "/runs"
_FAILURES_SUFFIX = "/failures"

# Values are limited to 1 MB on the wire, where base64 adds a third.
MAX_PART_BYTES = 700_000
MAX_PARTS_PER_COMMIT = 4
# The names and headers of an item, and what its run keeps of it.
ITEM_OVERHEAD_BYTES = 2048
MAX_DELETES_PER_COMMIT = 32
CALL_TIMEOUT_S = 2.0

T = TypeVar("T")


class RewardRequest(NamedTuple):
    """The call that scores one complete sample.

    Attributes:
        request_id: The call's id.
        host: The host that selects the route.
        target: Path and query of the call.
        body: The call's body.
    """

    request_id: str
    host: str
    target: str
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query; it selects the route."""
        return self.target.partition("?")[0]


class JobItem(NamedTuple):
    """The request of one sample.

    Attributes:
        name: The id, which the result repeats.
        target: Path and query of the request.
        headers: The request's headers by name.
        body: The request's body.
        group: The group of samples that share the prompt.
        tokens: The expected number of tokens of the result.
        reward: The call that scores the sample; None if it is not scored.
    """

    name: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    group: str
    tokens: float
    reward: RewardRequest | None = None


class JobContents(NamedTuple):
    """A job as its trainer submitted it.

    Attributes:
        job: The job's id.
        host: The host that selects the route.
        path: The path that selects the route.
        model: The model that generates the samples.
        oldest_version: The oldest weight version that may generate them.
        required_groups: How many complete groups the trainer waits for; 0 for
            all.
        items: The samples to generate.
        organisation: The organisation that submitted it; empty for none.
    """

    job: str
    host: str
    path: str
    model: str
    oldest_version: int
    required_groups: int
    items: Sequence[JobItem]
    organisation: str = ""

    @property
    def size_bytes(self) -> int:
        """The approximate memory that the contents take."""
        bodies = sum(len(item.body) for item in self.items)
        rewards = sum(len(i.reward.body) for i in self.items if i.reward)
        return bodies + rewards + ITEM_OVERHEAD_BYTES * len(self.items)


class ItemResult(NamedTuple):
    """The result of one item.

    Attributes:
        name: The item's id.
        done: Whether the text is complete; otherwise the item was given up.
        text: The data of the sample's events, one a line.
        versions: The weight versions that generated it, in ascending order.
        score: The score; an empty string for a sample that is not scored.
    """

    name: str
    done: bool
    text: str
    versions: tuple[int, ...]
    score: str = ""


class SampleRuns(TypedDict, total=False):
    """What is known of a sample beside its text; absent if as at the start.

    Attributes:
        beginning: How often its text was begun anew.
        errors: How many of its runs ended with an error of the engine.
        given_up: True if it is to be listed as failed.
    """

    beginning: int
    errors: int
    given_up: bool


class SavedSamples(NamedTuple):
    """The unpublished samples that a job's next holder continues, by item.

    They are written in parts, of which builds that do not know one read the
    others.
    """

    by_name: Mapping[str, SavedSample] = {}

    @classmethod
    def from_parts(
        cls,
        events_by_name: Mapping[str, Sequence[SampleEvent]],
        score_by_name: Mapping[str, str],
        software_by_name: Mapping[str, Software],
        runs_by_name: Mapping[str, SampleRuns],
    ) -> "SavedSamples":
        """Joins the parts.

        Args:
            events_by_name: The events of each sample.
            score_by_name: The scores of the complete samples; an empty string
                for one that has no score yet.
            software_by_name: What generated the events.
            runs_by_name: What else is known of the samples.
        """
        by_name = {}
        for name in events_by_name.keys() | runs_by_name.keys():
            software = software_by_name.get(name)
            events = [
                event._replace(software=software)
                for event in events_by_name.get(name, ())
            ]
            runs = runs_by_name.get(name, {})
            by_name[name] = SavedSample(
                events,
                score_by_name.get(name) if events else None,
                runs.get("beginning", 0),
                runs.get("errors", 0),
                runs.get("given_up", False),
            )
        return cls(by_name)

    def plain_events_by_name(self) -> dict[str, list[tuple[int, str, int]]]:
        """Returns the events without what generated them."""
        return {
            name: [event[:3] for event in sample.events]
            for name, sample in self.by_name.items()
            if sample.events
        }

    def score_by_name(self) -> dict[str, str]:
        """Returns the scores of the complete samples."""
        return {
            name: sample.score
            for name, sample in self.by_name.items()
            if sample.score is not None
        }

    def software_by_name(self) -> dict[str, Software]:
        """Returns what generated the events of each sample."""
        return {
            name: software
            for name, sample in self.by_name.items()
            if (software := software_of(sample.events)) is not None
        }

    def runs_by_name(self) -> dict[str, SampleRuns]:
        """Returns what else is known of samples that differ from new ones."""
        rows: dict[str, SampleRuns] = {}
        for name, sample in self.by_name.items():
            row: SampleRuns = {}
            if sample.beginning:
                row["beginning"] = sample.beginning
            if sample.errors:
                row["errors"] = sample.errors
            if sample.given_up:
                row["given_up"] = True
            if row:
                rows[name] = row
        return rows


class JobHead(TypedDict):
    """The value of a job's head.

    Attributes:
        holder: The instance that runs the job.
        term: The incarnation of that instance.
        parts: How many parts the contents have.
        total: How many items there are.
        submitted_at: Wall-clock time of its submission.
        ended: Whether its trainer has ended it.
        done: Whether all its results are published.
        organisation: The organisation that submitted it; absent for none.
        public: True if it was submitted on a public route, otherwise absent.
    """

    holder: str
    term: str
    parts: int
    total: int
    submitted_at: float
    ended: bool
    done: bool
    organisation: NotRequired[str]
    public: NotRequired[bool]


class StoredHead(NamedTuple):
    """A job's head and the store's revision of it."""

    head: JobHead
    revision: int


class FencedError(Exception):
    """The job's head is no longer the one that the writer expected.

    Attributes:
        current: The current head; None if the job was deleted.
    """

    def __init__(self, current: StoredHead | None) -> None:
        super().__init__("the job's head has changed in the store")
        self.current = current


class JobStore:
    """Reads and writes jobs in the platform's store."""

    def __init__(self, store: TransactionStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def create(
        self, contents: JobContents, head: JobHead, deadline: float
    ) -> StoredHead:
        """Writes a job unless it exists.

        Returns:
            The stored head: the given one, or that of the existing job.

        Raises:
            StoreError: The store did not respond; `applied` states whether
                the job may exist now or later.
        """
        parts = _encode_parts(contents)
        head = {**head, "parts": len(parts)}
        puts = [
            PutOperation(f"{_PART_PREFIX}{contents.job}/{number:04d}", part)
            for number, part in enumerate(parts)
        ]
        while len(puts) > MAX_PARTS_PER_COMMIT:
            first, puts = (
                puts[:MAX_PARTS_PER_COMMIT],
                puts[MAX_PARTS_PER_COMMIT:],
            )
            self._store.commit(Transaction({}, first), deadline)
        key = HEAD_PREFIX + contents.job
        puts.append(PutOperation(key, msgspec.json.encode(head)))
        outcome = self._store.commit(Transaction({key: 0}, puts), deadline)
        if isinstance(outcome, CommitResult):
            return StoredHead(head, outcome.revision)
        return _decode_head(outcome.values_by_key[key])

    def head(self, job: str, deadline: float) -> StoredHead | None:
        """Reads a job's head; None if there is no such job."""
        value = self._store.read(HEAD_PREFIX + job, deadline)
        return _decode_head(value) if value else None

    def heads(self, deadline: float) -> list[tuple[StoredJob, StoredHead]]:
        """Reads the heads of all jobs."""
        scan = self._store.scan(HEAD_PREFIX, deadline)
        rows = []
        for value in scan.values:
            try:
                stored = _decode_head(value)
            except STORED_VALUE_ERRORS as error:
                _log.warning(
                    "Ignoring a job whose stored head is invalid.",
                    extra={"key": value.key, "reason": str(error)},
                )
                continue
            head = stored.head
            job = StoredJob(
                value.key.removeprefix(HEAD_PREFIX),
                head["holder"],
                head["term"],
                not head["ended"] and not head["done"],
                head["submitted_at"],
            )
            rows.append((job, stored))
        return rows

    def contents(self, job: str, parts: int, deadline: float) -> JobContents:
        """Reads a job's contents.

        Raises:
            StoreError: The store could not be read, or parts are missing.
        """
        scan = self._store.scan(f"{_PART_PREFIX}{job}/", deadline)
        if len(scan.values) < parts:
            raise StoreError(
                f"job {job} has {len(scan.values)} of {parts} parts", False
            )
        packed = b"".join(value.value for value in scan.values)
        return msgspec.msgpack.decode(zlib.decompress(packed), type=JobContents)

    def results(self, job: str, deadline: float) -> list[ItemResult]:
        """Reads all published results, in the order of their publication."""
        scan = self._store.scan(f"{_RESULT_PREFIX}{job}/", deadline)
        results: list[ItemResult] = []
        for value in sorted(scan.values, key=lambda value: value.key):
            results += _decode_results(value.value)
        return results

    def publish_results(
        self,
        job: str,
        stored: StoredHead,
        first: int,
        results: Sequence[ItemResult],
        done: bool,
        deadline: float,
    ) -> StoredHead:
        """Publishes a chunk of results.

        Args:
            job: The job's id.
            stored: The head under which the caller holds the job.
            first: The index of the first result.
            results: The results; the same at each repetition.
            done: Whether these are the job's last results.
            deadline: When to give up, in monotonic time.

        Returns:
            The job's head; a new one if these were the last results.

        Raises:
            FencedError: The job has another head.
            StoreError: The outcome is unknown; repeat the call with the same
                arguments.
        """
        head_key = HEAD_PREFIX + job
        key = f"{_RESULT_PREFIX}{job}/{first:06d}"
        packed = _pack([trim_default(result) for result in results])
        puts = [PutOperation(key, packed)]
        head: JobHead = {**stored.head, "done": done}
        if done:
            puts.append(PutOperation(head_key, msgspec.json.encode(head)))
        expected = {head_key: stored.revision, key: 0}
        outcome = self._store.commit(Transaction(expected, puts), deadline)
        if isinstance(outcome, CommitResult):
            return StoredHead(head, outcome.revision) if done else stored
        return self._after_conflict(stored, outcome, head_key, key, packed)

    def _after_conflict(
        self,
        stored: StoredHead,
        outcome: CommitConflict,
        head_key: str,
        key: str,
        packed: bytes,
    ) -> StoredHead:
        """Returns the head if an earlier attempt of the write took effect.

        Raises:
            FencedError: Another writer changed the job.
        """
        value = outcome.values_by_key.get(head_key)
        current = _decode_head(value) if value else None
        chunk = outcome.values_by_key.get(key)
        if current is None or chunk is None or chunk.value != packed:
            raise FencedError(current)
        same_holder = (
            current.head["holder"] == stored.head["holder"]
            and current.head["term"] == stored.head["term"]
        )
        if not same_holder or current.head["ended"]:
            raise FencedError(current)
        return current

    def save_samples(
        self,
        job: str,
        stored: StoredHead,
        saved: SavedSamples,
        deadline: float,
    ) -> None:
        """Saves unpublished samples for the next holder.

        Raises:
            FencedError: The job has another head.
            StoreError: The outcome is unknown.
        """
        events_key = _EVENTS_PREFIX + job
        optional_parts = {
            events_key + _SCORES_SUFFIX: saved.score_by_name(),
            events_key + _RUNS_SUFFIX: saved.runs_by_name(),
        }
        puts = [
            PutOperation(events_key, _pack(saved.plain_events_by_name())),
            PutOperation(
                events_key + _SOFTWARE_SUFFIX, _pack(saved.software_by_name())
            ),
        ]
        puts += [
            PutOperation(key, _pack(part))
            for key, part in optional_parts.items()
            if part
        ]
        deletes = [key for key, part in optional_parts.items() if not part]
        self._commit_as_holder(job, stored, puts, deletes, deadline)

    def save_failures(
        self,
        job: str,
        stored: StoredHead,
        runs_by_name: Mapping[str, SampleRuns],
        deadline: float,
    ) -> None:
        """Saves how unpublished samples have failed, apart from their events.

        Args:
            job: The job's id.
            stored: The head under which the caller holds the job.
            runs_by_name: The errors of all samples that have any, and which
                samples were given up.
            deadline: When to give up, in monotonic time.

        Raises:
            FencedError: The job has another head.
            StoreError: The outcome is unknown.
        """
        key = _EVENTS_PREFIX + job + _FAILURES_SUFFIX
        puts = [PutOperation(key, _pack(runs_by_name))]
        self._commit_as_holder(job, stored, puts, [], deadline)

    def _commit_as_holder(
        self,
        job: str,
        stored: StoredHead,
        puts: Sequence[PutOperation],
        deletes: Sequence[str],
        deadline: float,
    ) -> None:
        head_key = HEAD_PREFIX + job
        outcome = self._store.commit(
            Transaction({head_key: stored.revision}, puts, deletes), deadline
        )
        if isinstance(outcome, CommitConflict):
            value = outcome.values_by_key.get(head_key)
            raise FencedError(_decode_head(value) if value else None)

    def load_samples(self, job: str, deadline: float) -> SavedSamples:
        """Reads the samples that the previous holder saved."""
        events_key = _EVENTS_PREFIX + job
        scan = self._store.scan(events_key, deadline)
        value_by_key = {value.key: value for value in scan.values}
        events = value_by_key.get(events_key)
        scores = value_by_key.get(events_key + _SCORES_SUFFIX)
        failures = value_by_key.get(events_key + _FAILURES_SUFFIX)
        # A build that does not know a part leaves an earlier one as it is.
        software, runs = (
            part
            if part and events and part.revision == events.revision
            else None
            for part in (
                value_by_key.get(events_key + _SOFTWARE_SUFFIX),
                value_by_key.get(events_key + _RUNS_SUFFIX),
            )
        )
        saved = SavedSamples.from_parts(
            _unpack(events.value, dict[str, list[SampleEvent]])
            if events
            else {},
            _unpack(scores.value, dict[str, str]) if scores else {},
            _unpack(software.value, dict[str, Software]) if software else {},
            _unpack(runs.value, dict[str, SampleRuns]) if runs else {},
        )
        if failures is None:
            return saved
        # Whenever they were recorded: a sample's failures only grow in number.
        rows = _unpack(failures.value, dict[str, SampleRuns])
        failed = SavedSamples.from_parts({}, {}, {}, rows)
        return SavedSamples(merge(saved.by_name, failed.by_name))

    def replace_head(
        self, job: str, stored: StoredHead, head: JobHead, deadline: float
    ) -> StoredHead:
        """Replaces the head that was read, by a compare-and-swap.

        Raises:
            FencedError: The job has another head.
            StoreError: The outcome is unknown.
        """
        key = HEAD_PREFIX + job
        put = PutOperation(key, msgspec.json.encode(head))
        outcome = self._store.commit(
            Transaction({key: stored.revision}, (put,)), deadline
        )
        if isinstance(outcome, CommitResult):
            return StoredHead(head, outcome.revision)
        value = outcome.values_by_key.get(key)
        current = _decode_head(value) if value else None
        if current is not None and current.head == head:
            return current
        raise FencedError(current)

    def delete(self, job: str, deadline: float) -> None:
        """Deletes a job's parts and results, then its events and head."""
        for prefix in (f"{_PART_PREFIX}{job}/", f"{_RESULT_PREFIX}{job}/"):
            keys = [v.key for v in self._store.scan(prefix, deadline).values]
            for start in range(0, len(keys), MAX_DELETES_PER_COMMIT):
                chunk = keys[start : start + MAX_DELETES_PER_COMMIT]
                self._store.commit(Transaction({}, (), chunk), deadline)
        events_key = _EVENTS_PREFIX + job
        rest = [
            events_key,
            events_key + _SCORES_SUFFIX,
            events_key + _SOFTWARE_SUFFIX,
            events_key + _RUNS_SUFFIX,
            events_key + _FAILURES_SUFFIX,
            HEAD_PREFIX + job,
        ]
        self._store.commit(Transaction({}, (), rest), deadline)


def _decode_head(value: StoredValue) -> StoredHead:
    head = msgspec.json.decode(value.value, type=JobHead)
    return StoredHead(head, value.revision)


def _encode_parts(contents: JobContents) -> list[bytes]:
    items = [trim_default(item) for item in contents.items]
    packed = _pack(trim_default(contents._replace(items=items)))
    return [
        packed[start : start + MAX_PART_BYTES]
        for start in range(0, len(packed), MAX_PART_BYTES)
    ]


def trim_default(row: Any) -> Any:
    """Returns a named tuple without its last field if that has its default.

    Builds that do not know the field can then decode the row.
    """
    field, default = next(reversed(row._field_defaults.items()))
    return tuple(row[:-1]) if getattr(row, field) == default else row


def _pack(value: object) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(value), level=1)


def _unpack(value: bytes, kind: type[T]) -> T:
    return msgspec.msgpack.decode(zlib.decompress(value), type=kind)


def _decode_results(value: bytes) -> list[ItemResult]:
    return _unpack(value, list[ItemResult])
