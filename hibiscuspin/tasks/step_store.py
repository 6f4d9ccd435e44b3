"""Storage of a trainer's steps in the platform's store.

`hibiscuspin/steps/TRAINER/state/NUMBER` contains the cursor and the names of
the prompt chunks. Every change of a step is one compare-and-swap of this key,
so a holder that lost the duty can't change it.
`hibiscuspin/steps/TRAINER/prompts/NUMBER/NAME` contains one chunk, which is
written once, before the state refers to it.
"""

import zlib
from collections.abc import Iterable, Sequence
from typing import NamedTuple, TypedDict

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.delivery import CursorState
from hibiscuspin.edges import PlatformStore, StoreEntry, StoreError
from hibiscuspin.tasks.samples import Prompt

__all__ = [
    "WriteConflictError",
    "StepRecord",
    "StepStore",
    "StoredStep",
    "stored_step",
]

STEP_PREFIX = "hibiscuspin/steps/"
STORE_TIMEOUT_S = 2.0
MAX_CHUNK_BYTES = 512 * 1024
MAX_CHUNK_PROMPTS = 4096
ZLIB_LEVEL = 1


class WriteConflictError(Exception):
    """Another write changed the step first."""


class StoredStep(TypedDict):
    """The state of one step; `token` is unique to each write."""

    token: str
    fencing: int
    cursor: int
    acknowledged: bytes
    pending: list[int]
    done: bool
    chunks: list[str]
    final: bool


class StepRecord(NamedTuple):
    """A stored step and the store's revision of it."""

    stored: StoredStep
    revision: int

    def cursor_state(self) -> CursorState:
        """Returns the state of the step's hand-over."""
        stored = self.stored
        return CursorState(
            stored["cursor"],
            int.from_bytes(stored["acknowledged"], "little"),
            tuple(stored["pending"]),
            stored["done"],
        )


class StepStore:
    """Reads and writes steps; thread-safe."""

    def __init__(self, store: PlatformStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def load_all(self, trainer: str) -> dict[int, StepRecord]:
        """Reads the state of all steps of a trainer.

        Raises:
            StoreError: The store did not respond.
        """
        prefix = _state_key(trainer, "")
        entries = self._store.list_prefix(prefix, self._call_deadline())
        return {
            int(entry.key.removeprefix(prefix)): _decode_record(entry)
            for entry in entries
        }

    def load(self, trainer: str, number: int) -> StepRecord | None:
        """Reads the state of one step; None if it is not stored."""
        key = _state_key(trainer, number)
        entry = self._store.get(key, self._call_deadline())
        return _decode_record(entry) if entry else None

    def commit_state(
        self, trainer: str, number: int, stored: StoredStep, revision: int
    ) -> int:
        """Writes a step's state by a compare-and-swap on its revision.

        If the response is lost, the state is read back: the token shows
        whether the write took effect.

        Returns:
            The new revision.

        Raises:
            StoreError: The write did not take effect, or this is unknown.
            WriteConflictError: Another write changed the step first.
        """
        key = _state_key(trainer, number)
        try:
            new_revision = self._store.compare_and_swap(
                key, _encode(stored), revision, self._call_deadline()
            )
            if new_revision is not None:
                return new_revision
        except StoreError as error:
            if error.applied is False:
                raise
        entry = self._read_unconfirmed(key)
        if entry and _decode_record(entry).stored["token"] == stored["token"]:
            return entry.revision
        if (entry.revision if entry else 0) == revision:
            raise StoreError("the write may still take effect", None)
        raise WriteConflictError(key)

    def write_prompts(
        self, trainer: str, number: int, token: str, prompts: Sequence[Prompt]
    ) -> dict[str, Sequence[Prompt]]:
        """Writes prompts as chunks and returns them by the chunks' names.

        Raises:
            StoreError: Not all chunks were written.
            ValueError: A prompt is too large for the store.
        """
        written: dict[str, Sequence[Prompt]] = {}
        for index, chunk in enumerate(_encode_chunks(prompts)):
            name = f"{token}-{index}"
            self._write_once(_chunk_key(trainer, number, name), chunk.value)
            written[name] = chunk.prompts
        return written

    def load_prompts(
        self, trainer: str, number: int
    ) -> dict[str, list[Prompt]]:
        """Reads the prompts of a step, by the names of their chunks."""
        prefix = _chunk_key(trainer, number, "")
        entries = self._store.list_prefix(prefix, self._call_deadline())
        return {
            entry.key.removeprefix(prefix): msgspec.msgpack.decode(
                zlib.decompress(entry.value), type=list[Prompt]
            )
            for entry in entries
        }

    def delete_prompts(self, trainer: str, number: int) -> None:
        """Deletes all chunks of a step."""
        prefix = _chunk_key(trainer, number, "")
        for entry in self._store.list_prefix(prefix, self._call_deadline()):
            self._store.delete(entry.key, entry.revision, self._call_deadline())

    def delete_state(self, trainer: str, number: int, revision: int) -> None:
        """Deletes the state of a step."""
        key = _state_key(trainer, number)
        self._store.delete(key, revision, self._call_deadline())

    def _write_once(self, key: str, value: bytes) -> None:
        try:
            new_revision = self._store.compare_and_swap(
                key, value, 0, self._call_deadline()
            )
            if new_revision is not None:
                return
        except StoreError as error:
            if error.applied is False:
                raise
        if self._read_unconfirmed(key) is None:
            raise StoreError("the chunk may still be written", None)

    def _read_unconfirmed(self, key: str) -> StoreEntry | None:
        """Reads a key whose write the store has not confirmed.

        Raises:
            StoreError: The store did not respond; the write may take effect.
        """
        try:
            return self._store.get(key, self._call_deadline())
        except StoreError as error:
            raise StoreError(str(error), None) from error

    def _call_deadline(self) -> float:
        return self._clock.monotonic() + STORE_TIMEOUT_S


def stored_step(
    token: str,
    fencing: int,
    state: CursorState,
    chunks: Sequence[str],
    final: bool,
) -> StoredStep:
    """Returns the stored value for the given state of a step."""
    length = (state.acknowledged.bit_length() + 7) // 8
    return {
        "token": token,
        "fencing": fencing,
        "cursor": state.cursor,
        "acknowledged": state.acknowledged.to_bytes(length, "little"),
        "pending": list(state.pending),
        "done": state.done,
        "chunks": list(chunks),
        "final": final,
    }


def _state_key(trainer: str, number: int | str) -> str:
    return f"{STEP_PREFIX}{trainer}/state/{number}"


def _chunk_key(trainer: str, number: int, name: str) -> str:
    return f"{STEP_PREFIX}{trainer}/prompts/{number}/{name}"


def _encode(value: object) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(value), ZLIB_LEVEL)


def _decode_record(entry: StoreEntry) -> StepRecord:
    raw = zlib.decompress(entry.value)
    stored = msgspec.msgpack.decode(raw, type=StoredStep)
    return StepRecord(stored, entry.revision)


class _Chunk(NamedTuple):
    value: bytes
    prompts: Sequence[Prompt]


def _encode_chunks(prompts: Sequence[Prompt]) -> Iterable[_Chunk]:
    """Yields encoded chunks of prompts, halved until each is small enough."""
    for start in range(0, len(prompts), MAX_CHUNK_PROMPTS):
        yield from _split_to_fit(prompts[start : start + MAX_CHUNK_PROMPTS])


def _split_to_fit(prompts: Sequence[Prompt]) -> Iterable[_Chunk]:
    value = _encode(list(prompts))
    if len(value) <= MAX_CHUNK_BYTES:
        yield _Chunk(value, prompts)
        return
    if len(prompts) == 1:
        raise ValueError(f"a prompt exceeds {MAX_CHUNK_BYTES} compressed bytes")
    middle = len(prompts) // 2
    yield from _split_to_fit(prompts[:middle])
    yield from _split_to_fit(prompts[middle:])
