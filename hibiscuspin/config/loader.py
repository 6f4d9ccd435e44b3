"""Reads a base file and its site overlays, merges and validates them.

A folder contains `base.yaml` and `sites/*.yaml`. Overlays are merged into the
base in the order of their names. Two overlays must not set the same field to
different values.
"""

import pathlib
from typing import Any, NamedTuple

import msgspec
import yaml

from hibiscuspin.config import checks
from hibiscuspin.config.schema import Config

__all__ = ["ConfigError", "Problem", "check_config", "load_folder"]


class Problem(NamedTuple):
    """One error in the configuration."""

    source: str
    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.source}: {self.path}: found {self.found}, "
            f"expected {self.expected}"
        )


class ConfigError(Exception):
    """The configuration is invalid and is rejected as a whole."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def load_folder(folder: pathlib.Path) -> Config:
    """Loads, merges and validates the configuration in a folder.

    Raises:
        ConfigError: A file is missing or malformed, or a value is invalid.
    """
    merged = _read_yaml(folder / "base.yaml")
    source_by_path: dict[str, str] = {}
    for path in sorted((folder / "sites").glob("*.yaml")):
        _merge(merged, _read_yaml(path), path.name, "$", source_by_path)
    return check_config(merged, "merged configuration", source_by_path)


def check_config(
    raw: object,
    source: str = "document",
    source_by_path: dict[str, str] | None = None,
) -> Config:
    """Validates a merged document against the schema, then its references.

    Raises:
        ConfigError: A value is invalid; the whole document is rejected.
    """
    sources = source_by_path or {}
    invalid = [
        Problem(_source_of(path, sources, source), path, found, expected)
        for path, found, expected in checks.schema_problems(Config, raw)
    ]
    if invalid:
        raise ConfigError(invalid)
    config = msgspec.convert(raw, Config)
    dangling = [
        Problem(_source_of(path, sources, source), path, repr(found), expected)
        for path, found, expected in checks.dangling_references(config)
    ]
    if dangling:
        raise ConfigError(dangling)
    return config


def _source_of(path: str, sources: dict[str, str], default: str) -> str:
    while path:
        if path in sources:
            return sources[path]
        path = path.rpartition(".")[0]
    return default


def _read_yaml(path: pathlib.Path) -> dict[str, Any]:
    try:
        raw = yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(
            [Problem(str(path), "$", error.strerror or "", "a readable file")]
        ) from None
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = f"line {mark.line + 1}" if mark else "$"
        raise ConfigError(
            [Problem(str(path), line, str(error).split("\n")[0], "valid YAML")]
        ) from None
    if not isinstance(raw, dict):
        raise ConfigError(
            [Problem(str(path), "$", type(raw).__name__, "a mapping")]
        )
    return raw


def _merge(
    merged: dict[str, Any],
    overlay: dict[str, Any],
    source: str,
    path: str,
    source_by_path: dict[str, str],
) -> None:
    for key, value in overlay.items():
        value_path = f"{path}.{key}"
        current = merged.get(key)
        if isinstance(value, dict) and (
            current is None or isinstance(current, dict)
        ):
            if current is None:
                current = merged[key] = {}
                source_by_path[value_path] = source
            _merge(current, value, source, value_path, source_by_path)
            continue
        other = source_by_path.get(value_path)
        if other is not None and current != value:
            raise ConfigError(
                [
                    Problem(
                        source,
                        value_path,
                        repr(value),
                        f"{current!r} as in {other}",
                    )
                ]
            )
        merged[key] = value
        source_by_path[value_path] = source
