"""The configuration as instances exchange it: a document and a revision."""

from typing import NamedTuple, TypedDict

import msgspec

from hibiscuspin.config.schema import Config

__all__ = ["Document", "ConfigRevision", "StoredDocument"]

_ENCODER = msgspec.json.Encoder(order="sorted")


class ConfigRevision(NamedTuple):
    """Orders configurations; `number` is the store's index, hence unique."""

    number: int
    change_id: str


class StoredDocument(TypedDict):
    """The value stored under the configuration key."""

    change_id: str
    author: str
    config: Config


class Document(NamedTuple):
    """An accepted configuration and its revision."""

    revision: ConfigRevision
    config: Config

    @classmethod
    def from_stored(cls, number: int, value: bytes) -> "Document":
        """Decodes a value read from the store.

        Args:
            number: The store's index of the value's last change.
            value: JSON of a `StoredDocument`.
        """
        stored = msgspec.json.decode(value, type=StoredDocument)
        return cls(
            ConfigRevision(number, stored["change_id"]), stored["config"]
        )

    def encode(self) -> bytes:
        """Encodes the document to JSON, for peers."""
        return _ENCODER.encode(self)

    @classmethod
    def decode(cls, data: bytes) -> "Document":
        """Decodes the result of `encode`."""
        return msgspec.json.decode(data, type=cls)
