"""Steps for the `trace` command, which collects log lines."""

import pathlib
import tempfile
from typing import Any

from behave import given, then, when

from hibiscuspin.commands import CommandError
from hibiscuspin.commands.trace import trace

FIRST_LOG = """\
12.1 edge-1 {"asctime": "2026-01-01 00:00:02", "instance": "edge-1", \
"message": "second", "request_id": "r1", "targets": ["t8", "t9"]}
no json about r1
{"asctime": "2026-01-01 00:00:04", "message": "other", "request_id": "r11"}
{broken r1
{"asctime": "2026-01-01 00:00:08", "message": "refused", \
"request_id": "r8", "organisation": "hule930"}
"""
SECOND_LOG = """\
{"asctime": "2026-01-01 00:00:03", "message": "third", "job": "r1"}
{"asctime": "2026-01-01 00:00:01", "message": "first", "request_id": "r1"}
{"asctime": "2026-01-01 00:00:06", "message": "scored", "request_id": "i7", \
"score_id": "c7", "targets": ["t8"]}
{"asctime": "2026-01-01 00:00:07", "message": "called", "request_id": "c7"}
{"asctime": "2026-01-01 00:00:05", "message": "made", "request_id": "i7"}
"""


@given("log files of two instances")
def write_logs(context: Any) -> None:
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.log_files = []
    for name, text in (("one", FIRST_LOG), ("two", SECOND_LOG)):
        path = pathlib.Path(context.folder.name) / name
        path.write_text(text)
        context.log_files.append(str(path))


@when('an operator traces "{identifier}"')
def run_trace(context: Any, identifier: str) -> None:
    context.trace_error = context.trace_result = None
    try:
        context.trace_result = trace(identifier, *context.log_files)
    except CommandError as error:
        context.trace_error = error


@then('lines "{messages}" are shown in this order')
def check_lines(context: Any, messages: str) -> None:
    found_messages = [
        fields["message"] for fields in context.trace_result.value
    ]
    assert found_messages == messages.split(), found_messages
    shown = context.trace_result.text.splitlines()
    assert (
        len(shown) == len(found_messages) and found_messages[0] in shown[0]
    ), shown


@then('the trace fails and names "{text}"')
def check_error(context: Any, text: str) -> None:
    assert context.trace_error is not None
    assert repr(text) in str(context.trace_error), context.trace_error


@then('"{text}" is shown')
def check_shown(context: Any, text: str) -> None:
    assert text in context.trace_result.text, context.trace_result.text
