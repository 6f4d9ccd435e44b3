"""The platform's names of headers, variables and route types.

A comment explains each name that is unclear or misleading.
"""

__all__ = [
    "BAD_SHAPE",
    "BODY_TYPE",
    "BOOT_VARIABLE",
    "DEADLINE",
    "EXPECT_INSTANCE",
    "KIND_BY_WORD",
    "LAST_EVENT_ID",
    "MODEL",
    "NOT_EXECUTED",
    "OUTPUT_HINT",
    "REQUEST_ID",
    "STAMP",
    "TOKEN_COUNT",
    "URGENCY",
    "VERSION",
    "WAIT",
]

import binascii

import msgspec

from hibiscuspin.decisions.routes import CallKind

# Exceptions raised by decoding a body that violates its documented format.
BAD_SHAPE = (
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
    binascii.Error,
    msgspec.DecodeError,
)

BOOT_VARIABLE = "HIBISCUSPIN_BOOT"
BODY_TYPE = "application/json"

REQUEST_ID = "X-Request-Id"
# The remaining milliseconds, not a point in time.
DEADLINE = "X-Deadline-Ms"
# The name of a target, not of an instance.
EXPECT_INSTANCE = "X-Expect-Instance"
# Set on refusals. An error response without it may belong to a request that
# was executed.
NOT_EXECUTED = "X-Not-Executed"
# Marks a response as produced by the target itself.
STAMP = "X-Server-Stamp"
LAST_EVENT_ID = "Last-Event-Id"
MODEL = "X-Model"
# Two numbers, not one: "PROMPT_TOKENS,MAX_OUTPUT_TOKENS".
TOKEN_COUNT = "X-Token-Count"
# The expected number of output tokens; correct at the median, but often far
# off.
OUTPUT_HINT = "X-Length-Hint"
# From 0 for the most urgent to 9; unlike a priority, lower is more urgent.
URGENCY = "X-Request-Urgency"
# A single version despite the plural; also the name of a field in events.
VERSION = "X-Weight-Versions"
# How long a read may wait for results, in milliseconds.
WAIT = "X-Wait-Ms"

KIND_BY_WORD = {
    "idempotent": CallKind.REPEATABLE,
    "non_idempotent": CallKind.ONCE,
    "streaming": CallKind.STREAM,
    "batch": CallKind.JOB,
    "sampling": CallKind.JOB,
}
