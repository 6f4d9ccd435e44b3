"""The operators' configuration: base file, site overlays, schema, document."""

from hibiscuspin.config.document import ConfigRevision, Document
from hibiscuspin.config.loader import ConfigError, load_folder
from hibiscuspin.config.schema import Config

__all__ = ["Config", "ConfigError", "Document", "ConfigRevision", "load_folder"]
