"""The platform's names, each with what it means here.

Where a name says little or misleads, a comment gives its meaning.
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

# What decoding raises where a body has another form than its page says.
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
# Milliseconds that are left, not a moment.
DEADLINE = "X-Deadline-Ms"
# The name of a target, not of an instance.
EXPECT_INSTANCE = "X-Expect-Instance"
# Stands on refusals; an answer without it may belong to a request that ran.
NOT_EXECUTED = "X-Not-Executed"
# Signs an answer as the target's own.
STAMP = "X-Server-Stamp"
LAST_EVENT_ID = "Last-Event-Id"
MODEL = "X-Model"
# "TOKENS IN,MOST TOKENS OUT", not one count.
TOKEN_COUNT = "X-Token-Count"
# Expected tokens out; right at the median, often far off.
OUTPUT_HINT = "X-Length-Hint"
# From 0 for first to 9; the opposite of a priority that grows.
URGENCY = "X-Request-Urgency"
# One version in spite of its plural; also the name of a line in an event.
VERSION = "X-Weight-Versions"
# How long a read may be held, in milliseconds.
WAIT = "X-Wait-Ms"

KIND_BY_WORD = {
    "idempotent": CallKind.REPEATABLE,
    "non_idempotent": CallKind.ONCE,
    "streaming": CallKind.STREAM,
    "batch": CallKind.JOB,
    "sampling": CallKind.JOB,
}
