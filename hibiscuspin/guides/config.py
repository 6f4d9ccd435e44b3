"""The reference of the configuration fields, generated from the schema."""

import typing
from collections.abc import Iterator
from typing import Any

from hibiscuspin.config import schema

__all__ = ["page"]

INTRODUCTION = """# The operators' configuration

One base file, `base.yaml`, and an overlay for each site, `sites/*.yaml`.
Overlays are merged into the base; two overlays must not set the same field to
different values. Validate a folder with `hibiscuspin config check FOLDER` and
apply it with `hibiscuspin config apply FOLDER --wait`. A configuration is
applied as a whole or not at all. Names consist of 1 to 63 characters of a-z,
0-9 and `-`.
"""


DESCRIPTION_BY_PATTERN = {
    typing.get_args(schema.Name)[1].pattern: "name",
    typing.get_args(schema.Digest)[1].pattern: "SHA-256 in hexadecimal",
}


def page() -> str:
    """Returns the complete reference in Markdown."""
    parts = [INTRODUCTION]
    for typed_dict in _referenced_typed_dicts(schema.Config, []):
        title = (
            "The document"
            if typed_dict is schema.Config
            else typed_dict.__name__
        )
        text = (typed_dict.__doc__ or "").strip()
        lines = [f"## {title}", "", _dedent(text), ""]
        lines += ["| field | type | required |", "| --- | --- | --- |"]
        for name, hint in _field_types(typed_dict).items():
            needed = "yes" if name in typed_dict.__required_keys__ else "no"
            lines.append(f"| `{name}` | {_describe_type(hint)} | {needed} |")
        parts.append("\n".join(lines) + "\n")
    return "\n".join(parts)


def _field_types(typed_dict: Any) -> dict[str, Any]:
    return typing.get_type_hints(typed_dict, include_extras=True)


def _referenced_typed_dicts(typed_dict: Any, seen: list[Any]) -> Iterator[Any]:
    """Yields a TypedDict and all that it refers to, each of them once."""
    if typed_dict in seen:
        return
    seen.append(typed_dict)
    yield typed_dict
    for hint in _field_types(typed_dict).values():
        for inner in _nested_types(hint):
            if typing.is_typeddict(inner):
                yield from _referenced_typed_dicts(inner, seen)


def _nested_types(hint: Any) -> Iterator[Any]:
    yield hint
    for inner in typing.get_args(hint):
        yield from _nested_types(inner)


def _describe_type(hint: Any) -> str:
    origin, args = typing.get_origin(hint), typing.get_args(hint)
    if origin in (typing.NotRequired, typing.Required):
        return _describe_type(args[0])
    if origin is typing.Annotated:
        return _describe_annotated(args)
    if origin is dict:
        return f"mapping by name to {_describe_type(args[1])}"
    if origin is list:
        return f"list of {_describe_type(args[0])}"
    if origin is typing.Literal:
        return " or ".join(f"`{value}`" for value in args)
    return str(getattr(hint, "__name__", hint))


def _describe_annotated(args: Any) -> str:
    base, meta = args[0], args[1]
    if meta.pattern in DESCRIPTION_BY_PATTERN:
        return DESCRIPTION_BY_PATTERN[meta.pattern]
    bounds = [
        f"{sign} {bound}"
        for sign, bound in (
            ("from", meta.ge),
            ("above", meta.gt),
            ("to", meta.le),
        )
        if bound is not None
    ]
    return f"{_describe_type(base)} {' '.join(bounds)}".strip()


def _dedent(text: str) -> str:
    return "\n".join(line.strip() for line in text.splitlines())
