"""The platform's names of headers, environment variables and route types.

A comment explains each name that is unclear or misleading.
"""

__all__ = [
    "AVOID_HEADER",
    "MAX_ATTEMPTS_HEADER",
    "RELAY_HEADERS",
    "DECODE_ERRORS",
    "JSON_CONTENT_TYPE",
    "BOOT_VARIABLE",
    "DEADLINE_MS_HEADER",
    "AUTHORIZATION_HEADER",
    "EXPECTED_TARGET_HEADER",
    "IDENTITY_HEADERS",
    "FENCING_HEADER",
    "HOLDER_HEADER",
    "KIND_BY_ROUTE_TYPE",
    "LAST_EVENT_ID_HEADER",
    "LEAVING_HEADER",
    "LEAVING_VALUE",
    "LIMIT_HEADER",
    "MODEL_HEADER",
    "NOT_EXECUTED_HEADER",
    "ORGANISATION_HEADER",
    "OUTPUT_TOKENS_HINT_HEADER",
    "REQUEST_ID_HEADER",
    "RESUMES_HEADER",
    "TARGET_STAMP_HEADER",
    "TENANT_HEADER",
    "TOKEN_COUNTS_HEADER",
    "URGENCY_HEADER",
    "VERSION_HEADER",
    "WAIT_MS_HEADER",
]

import binascii

import msgspec

from hibiscuspin.decisions.routes import CallKind

# Exceptions raised by decoding a body that violates its documented format.
DECODE_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
    binascii.Error,
    msgspec.DecodeError,
)

BOOT_VARIABLE = "HIBISCUSPIN_BOOT"
JSON_CONTENT_TYPE = "application/json"

REQUEST_ID_HEADER = "X-Request-Id"
# The remaining milliseconds, not a point in time.
DEADLINE_MS_HEADER = "X-Deadline-Ms"
# The name of a target, not of an instance.
EXPECTED_TARGET_HEADER = "X-Expect-Instance"
# Set on refusals. An error response without it may belong to a request that
# was executed.
NOT_EXECUTED_HEADER = "X-Not-Executed"
# Marks a response as produced by the target itself.
TARGET_STAMP_HEADER = "X-Server-Stamp"
LAST_EVENT_ID_HEADER = "Last-Event-Id"
# The id of the request that brought the stream's first event, which need not be
# the last one that was cut off.
RESUMES_HEADER = "Resumes"
# In every response of a target that is draining.
LEAVING_HEADER = "Server-Leaving"
LEAVING_VALUE = "1"
# Requests a second from all instances together, not from the one that reads it.
# A decimal number.
LIMIT_HEADER = "Server-Limit"
MODEL_HEADER = "X-Model"
# Two numbers, not one: "PROMPT_TOKENS,MAX_OUTPUT_TOKENS".
TOKEN_COUNTS_HEADER = "X-Token-Count"
# The expected number of output tokens; correct at the median, but often far
# off.
OUTPUT_TOKENS_HINT_HEADER = "X-Length-Hint"
# From 0 for the most urgent to 9; unlike a priority, lower is more urgent.
URGENCY_HEADER = "X-Request-Urgency"
# A single version despite the plural; also the name of a field in events.
VERSION_HEADER = "X-Weight-Versions"
# How long a read may wait for results, in milliseconds.
WAIT_MS_HEADER = "X-Wait-Ms"

AUTHORIZATION_HEADER = "Authorization"
# An organisation's name; set by this system, whatever a caller sends.
TENANT_HEADER = "X-Tenant"
# The fencing number of the coordinator's term; an integer.
FENCING_HEADER = "X-Fence-Token"
# The name of the instance that has the duty.
HOLDER_HEADER = "X-Lease-Holder"

# Between instances only.
ORGANISATION_HEADER = "Hibiscuspin-Organisation"
MAX_ATTEMPTS_HEADER = "Hibiscuspin-Max-Attempts"
AVOID_HEADER = "Hibiscuspin-Avoid"
RELAY_HEADERS = frozenset(
    {
        MAX_ATTEMPTS_HEADER.lower(),
        AVOID_HEADER.lower(),
        ORGANISATION_HEADER.lower(),
    }
)
# Headers of callers that are not forwarded where there are organisations.
IDENTITY_HEADERS = frozenset(
    {
        AUTHORIZATION_HEADER.lower(),
        TENANT_HEADER.lower(),
        ORGANISATION_HEADER.lower(),
    }
)

KIND_BY_ROUTE_TYPE = {
    "idempotent": CallKind.REPEATABLE,
    "non_idempotent": CallKind.ONCE,
    "streaming": CallKind.STREAM,
    "batch": CallKind.JOB,
    "sampling": CallKind.JOB,
}
