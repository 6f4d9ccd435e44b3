"""Describes the HTTP interfaces as an OpenAPI document.

The document is built from the route tables that an instance serves. Running
this module prints the content of docs/openapi.yaml.
"""

import inspect
import re
import sys
from collections.abc import Sequence
from typing import Any

import msgspec
import yaml

from hibiscuspin.edges.admin import AdminInterface
from hibiscuspin.edges.callers import (
    DEADLINE_MS_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    CallerInterface,
)
from hibiscuspin.edges.operations import OperationsInterface
from hibiscuspin.edges.shared_admin import PeerInterface
from hibiscuspin.edges.trainers import TrainerInterface
from hibiscuspin.edges.wsgi import Route
from hibiscuspin.errors import RESPONSE_BY_KIND, ErrorBody, ErrorKind

__all__ = ["document", "main"]

REF_TEMPLATE = "#/components/schemas/{name}"
ANY_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
PUBLIC_PATHS = ("/healthz", "/readyz", "/metrics")
JSON_CONTENT_TYPE = "application/json"

_SEGMENT = re.compile(r"\{(\w+)\}")


def route_tables() -> dict[str, Sequence[Route]]:
    """Returns the routes of all interfaces, by tag."""
    return {
        "callers": _routes(CallerInterface),
        "trainers": _routes(TrainerInterface),
        "administration": [
            *_routes(AdminInterface),
            *_routes(OperationsInterface),
            *_routes(PeerInterface),
        ],
    }


def _routes(interface: Any) -> Sequence[Route]:
    """Returns an interface's routes; they don't need its collaborators."""
    placeholders = [None] * len(inspect.signature(interface).parameters)
    routes: Sequence[Route] = interface(*placeholders).routes()
    return routes


def document() -> dict[str, Any]:
    """Returns the OpenAPI document."""
    routes_by_tag = route_tables()
    routes = [route for table in routes_by_tag.values() for route in table]
    schemas = _schemas(
        [ErrorBody, *(r.response_type for r in routes if r.response_type)]
    )
    schemas["ErrorDetail"]["properties"]["code"]["enum"] = [
        str(kind) for kind in ErrorKind
    ]
    for name, schema in _schemas(
        [r.body_type for r in routes if r.body_type]
    ).items():
        schemas[name] = {**schema, "additionalProperties": False}
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "hibiscuspin",
            "version": "1",
            "description": "Each tag is served on its own address.",
        },
        "tags": [{"name": tag} for tag in routes_by_tag],
        "paths": _paths(routes_by_tag),
        "components": {
            "schemas": schemas,
            "responses": {"Error": _error_response()},
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


def _schemas(types: Sequence[Any]) -> dict[str, Any]:
    return msgspec.json.schema_components(types, ref_template=REF_TEMPLATE)[1]


def _paths(routes_by_tag: dict[str, Sequence[Route]]) -> dict[str, Any]:
    paths: dict[str, Any] = {}
    for tag, routes in routes_by_tag.items():
        for route in routes:
            methods = ANY_METHODS if route.method == "ANY" else (route.method,)
            item = paths.setdefault(route.pattern, {})
            for method in methods:
                item[method.lower()] = _operation(tag, route)
    return paths


def _operation(tag: str, route: Route) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "tags": [tag],
        "summary": route.summary,
        "parameters": _parameters(tag, route),
        "responses": {
            str(route.success_status): _success_response(route),
            "default": {"$ref": "#/components/responses/Error"},
        },
    }
    if route.pattern not in PUBLIC_PATHS:
        operation["security"] = [{"token": []}]
    if route.body_type is not None:
        content = {JSON_CONTENT_TYPE: {"schema": _reference(route.body_type)}}
        operation["requestBody"] = {"required": True, "content": content}
    return operation


def _parameters(tag: str, route: Route) -> list[dict[str, Any]]:
    headers = ["X-Request-Id"]
    if tag == "callers" and route.pattern not in PUBLIC_PATHS:
        headers.append(DEADLINE_MS_HEADER.title())
    if route.method == "ANY":
        headers.append(IDEMPOTENCY_KEY_HEADER.title())
    return [
        *(_parameter("path", n) for n in _SEGMENT.findall(route.pattern)),
        *(_parameter("query", name) for name in route.query or ()),
        *(_parameter("header", name) for name in headers),
    ]


def _parameter(location: str, name: str) -> dict[str, Any]:
    return {
        "in": location,
        "name": name,
        "required": location == "path",
        "schema": {"type": "string"},
    }


def _success_response(route: Route) -> dict[str, Any]:
    response: dict[str, Any] = {"description": route.summary}
    if route.response_type is not None:
        response["content"] = {
            JSON_CONTENT_TYPE: {"schema": _reference(route.response_type)}
        }
    return response


def _error_response() -> dict[str, Any]:
    statuses = sorted({answer.status for answer in RESPONSE_BY_KIND.values()})
    status_list = ", ".join(str(status) for status in statuses)
    return {
        "description": f"An error; its status is one of {status_list}.",
        "content": {JSON_CONTENT_TYPE: {"schema": _reference(ErrorBody)}},
    }


def _reference(body_type: Any) -> dict[str, str]:
    return {"$ref": REF_TEMPLATE.format(name=body_type.__name__)}


def main() -> None:
    """Prints the OpenAPI document as YAML."""
    yaml.safe_dump(document(), sys.stdout, sort_keys=False, width=78)


if __name__ == "__main__":
    main()
