"""Steps that compare docs/openapi.yaml with the code and with responses."""

import json
import pathlib
from typing import Any

import jsonschema
import yaml
from behave import then
from openapi_schema_validator import OAS31Validator

from hibiscuspin.edges import openapi
from hibiscuspin.errors import ErrorKind

PATH = pathlib.Path("docs/openapi.yaml")


def load_description() -> dict[str, Any]:
    """Returns the parsed docs/openapi.yaml."""
    description: dict[str, Any] = yaml.safe_load(PATH.read_text())
    return description


def make_validator(name: str) -> OAS31Validator:
    """Returns a validator of one documented schema."""
    description = load_description()
    schema = {
        "$ref": f"#/components/schemas/{name}",
        "components": description["components"],
    }
    return OAS31Validator(schema)


@then("docs/openapi.yaml equals the description built from the route tables")
def check_up_to_date(context: Any) -> None:
    built = openapi.document()
    description = load_description()
    for path in {*built["paths"], *description["paths"]}:
        assert description["paths"].get(path) == built["paths"].get(path), path
    assert description == built


@then("docs/openapi.yaml lists the codes of the closed list of errors")
def check_codes(context: Any) -> None:
    schema = load_description()["components"]["schemas"]["ErrorDetail"]
    assert schema["properties"]["code"]["enum"] == list(ErrorKind)


@then("each schema of docs/openapi.yaml is valid OpenAPI 3.1")
def check_valid_schemas(context: Any) -> None:
    for schema in load_description()["components"]["schemas"].values():
        OAS31Validator.check_schema(schema)


@then("the schema {name:w} {verdict:w} {value}")
def check_verdict(context: Any, name: str, verdict: str, value: str) -> None:
    errors = list(make_validator(name).iter_errors(json.loads(value)))
    assert bool(errors) == (verdict == "refuses"), errors


@then("the answer fits the documented schema {name:w}")
def check_response(context: Any, name: str) -> None:
    value = json.loads(context.answer.body)
    try:
        make_validator(name).validate(value)
    except jsonschema.ValidationError as error:
        raise AssertionError(error.message) from None
