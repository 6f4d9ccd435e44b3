"""Validates plain data against its type, and references in a configuration.

msgspec stops at the first error in a document; these functions yield all.
"""

import functools
import typing
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from hibiscuspin.config.schema import Config

__all__ = [
    "Reference",
    "dangling_references",
    "schema_problems",
    "unknown_fields",
]


class Reference(NamedTuple):
    """A field whose value must be a key of another section."""

    section: str
    field: str
    referenced_section: str


REFERENCES = (
    Reference("trainers_by_name", "team", "teams_by_name"),
    Reference("trainers_by_name", "model", "models_by_name"),
    Reference("targets_by_name", "model", "models_by_name"),
    Reference("targets_by_name", "service", "services_by_name"),
)

REQUIRED_FIELD_BY_KIND = {"engine": "model", "service": "service"}


def unknown_fields(
    hint: Any, value: object, path: str = "$"
) -> Iterator[tuple[str, str]]:
    """Yields the path of each field that the schema does not declare.

    Args:
        hint: The expected type of `value`.
        value: Plain data, as read from YAML or JSON.
        path: The path of `value` in the document.

    Yields:
        The path, and the list of field names that are declared there.
    """
    hint = _unwrap(hint)
    if isinstance(value, list) and typing.get_origin(hint) is list:
        for index, item in enumerate(value):
            item_hint = typing.get_args(hint)[0]
            yield from unknown_fields(item_hint, item, f"{path}[{index}]")
    if not isinstance(value, dict):
        return
    if typing.is_typeddict(hint):
        hints = _field_types(hint)
        known = ", ".join(sorted(hints))
        for key, item in value.items():
            if key in hints:
                yield from unknown_fields(hints[key], item, f"{path}.{key}")
            else:
                yield f"{path}.{key}", f"one of {known}"
    elif typing.get_origin(hint) is dict:
        item_hint = typing.get_args(hint)[1]
        for key, item in value.items():
            yield from unknown_fields(item_hint, item, f"{path}.{key}")


@functools.cache
def _field_types(typed_dict: Any) -> dict[str, Any]:
    return typing.get_type_hints(typed_dict, include_extras=True)


def _unwrap(hint: Any) -> Any:
    wrappers = (typing.Annotated, typing.NotRequired, typing.Required)
    while typing.get_origin(hint) in wrappers:
        hint = typing.get_args(hint)[0]
    return hint


def schema_problems(
    hint: Any, value: object, path: str = "$"
) -> Iterator[tuple[str, str, str]]:
    """Yields path, value and expectation of each violation of the schema.

    Args:
        hint: The expected type of `value`.
        value: Plain data, as read from YAML or JSON.
        path: The path of `value` in the document.
    """
    unwrapped = _unwrap(hint)
    if typing.is_typeddict(unwrapped) and isinstance(value, dict):
        yield from _field_problems(unwrapped, value, path)
    elif typing.get_origin(unwrapped) is dict and isinstance(value, dict):
        key_hint, item_hint = typing.get_args(unwrapped)
        for key, item in value.items():
            yield from _value_problems(key_hint, key, f"{path}.{key}")
            yield from schema_problems(item_hint, item, f"{path}.{key}")
    else:
        yield from _value_problems(hint, value, path)


def _field_problems(
    typed_dict: Any, value: dict[str, Any], path: str
) -> Iterator[tuple[str, str, str]]:
    fields = _field_types(typed_dict)
    known = ", ".join(sorted(fields))
    for key, item in value.items():
        if key in fields:
            yield from schema_problems(fields[key], item, f"{path}.{key}")
        else:
            yield f"{path}.{key}", "an unknown field", f"one of {known}"
    for key in sorted(typed_dict.__required_keys__ - value.keys()):
        yield f"{path}.{key}", "nothing", "a value"


def _value_problems(
    hint: Any, value: object, path: str
) -> Iterator[tuple[str, str, str]]:
    while typing.get_origin(hint) in (typing.NotRequired, typing.Required):
        hint = typing.get_args(hint)[0]
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        expected, _, inner = str(error).partition(" - at `$")
        yield path + inner.rstrip("`"), repr(value), expected


def dangling_references(config: Config) -> Iterator[tuple[str, object, str]]:
    """Yields path, value and expectation of each dangling reference.

    Also yields targets without the model or service that their kind requires.
    """
    sections: dict[str, dict[str, Any]] = dict(config)  # type: ignore[arg-type]
    for section, field, referenced_section in REFERENCES:
        for name, entry in sections[section].items():
            value = entry.get(field)
            if value is not None and value not in sections[referenced_section]:
                yield (
                    f"$.{section}.{name}.{field}",
                    value,
                    f"a name in {referenced_section}",
                )
    yield from _target_problems(config)


def _target_problems(config: Config) -> Iterator[tuple[str, object, str]]:
    data_centres = {
        data_centre
        for site in config["sites_by_name"].values()
        for data_centre in site["data_centres"]
    }
    for name, target in config["targets_by_name"].items():
        path = f"$.targets_by_name.{name}"
        if target["data_centre"] not in data_centres:
            yield (
                f"{path}.data_centre",
                target["data_centre"],
                "a data centre of a site",
            )
        required = REQUIRED_FIELD_BY_KIND[target["kind"]]
        if required not in target:
            yield path, "no " + required, f"{required} for this kind"
