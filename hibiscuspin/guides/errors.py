"""One page for each error code: its cause and what to do about it."""

from typing import NamedTuple

from hibiscuspin.errors import RESPONSE_BY_KIND, ErrorKind, ExecutionStatus

__all__ = ["GUIDES", "Guide", "index", "page"]


class Guide(NamedTuple):
    """The hand-written part of a page.

    Attributes:
        cause: Why the error occurs.
        caller: What the caller should do.
        operator: What the operator should do.
    """

    cause: str
    caller: str
    operator: str


_CORRECT_REQUEST = (
    "Correct the request; sending it again unchanged gives the same error."
)
_RETRY_LATER = "Retry after the time in the Retry-After header."
_NO_ACTION = (
    "None, unless many callers get this error after a change on their side."
)
_EXPLAIN = "`hibiscuspin explain REQUEST_ID` shows each attempt and its target."

GUIDES: dict[ErrorKind, Guide] = {
    ErrorKind.BAD_JSON: Guide(
        "The body is not JSON.", _CORRECT_REQUEST, _NO_ACTION
    ),
    ErrorKind.BAD_FIELD: Guide(
        "A field or query parameter is unknown, missing, of the wrong type or "
        "out of range; the message names it.",
        _CORRECT_REQUEST,
        _NO_ACTION,
    ),
    ErrorKind.BAD_DEADLINE: Guide(
        "The X-Deadline-Ms header is not an integer from 1 to 600000.",
        _CORRECT_REQUEST,
        _NO_ACTION,
    ),
    ErrorKind.BODY_TOO_LARGE: Guide(
        "The body is larger than the interface accepts.",
        "Send a smaller body, for example fewer prompts per call.",
        _NO_ACTION,
    ),
    ErrorKind.HEADERS_TOO_LARGE: Guide(
        "The headers are larger than 64 KiB.",
        "Send fewer or shorter headers.",
        _NO_ACTION,
    ),
    ErrorKind.MALFORMED_REQUEST: Guide(
        "The data received is not an HTTP request.",
        _CORRECT_REQUEST,
        "Look for a client or load balancer that uses another protocol.",
    ),
    ErrorKind.REQUEST_TIMEOUT: Guide(
        "The request was not received completely within 30 s.",
        "Send it again over a faster connection.",
        "Many of these errors indicate a poor network or a slow-sender attack.",
    ),
    ErrorKind.NO_TOKEN: Guide(
        "The request has no bearer token, or one that is not valid.",
        "Send `Authorization: Bearer TOKEN`.",
        'For the keys of organisations, see "A refused key" in '
        "docs/operations/platform.md.",
    ),
    ErrorKind.FORBIDDEN: Guide(
        "The token is not that of a team or, where required, of the operators.",
        "Use the token of your team.",
        "Compare the token's SHA-256 with the team's `token_sha256`.",
    ),
    ErrorKind.NOT_FOUND: Guide(
        "The path, target, report, revision or request does not exist.",
        _CORRECT_REQUEST,
        "`hibiscuspin targets` and `hibiscuspin config history` list existing "
        "ones.",
    ),
    ErrorKind.METHOD_NOT_ALLOWED: Guide(
        "The path does not support this method.", _CORRECT_REQUEST, _NO_ACTION
    ),
    ErrorKind.UNKNOWN_MODEL: Guide(
        "The current configuration does not declare the model.",
        _CORRECT_REQUEST,
        "Check `hibiscuspin config show`; add the model if it is missing.",
    ),
    ErrorKind.UNKNOWN_SERVICE: Guide(
        "The current configuration does not declare the service.",
        _CORRECT_REQUEST,
        "Check `hibiscuspin config show`; add the service if it is missing.",
    ),
    ErrorKind.UNKNOWN_TRAINER: Guide(
        "The trainer does not exist, or it belongs to another team.",
        "Check the trainer's name and the team's token.",
        "`hibiscuspin config show` shows the trainer's team.",
    ),
    ErrorKind.UNKNOWN_STEP: Guide(
        "No prompts were submitted for this step.",
        "Submit the step's prompts first, then pull.",
        "If they were submitted, check the log of the duty's holder.",
    ),
    ErrorKind.BAD_CURSOR: Guide(
        "The cursor was never issued, or a later pull has advanced beyond it.",
        "Continue with the newest cursor that you received.",
        "Check whether two processes pull for one trainer.",
    ),
    ErrorKind.KEY_REQUIRED: Guide(
        "Calls of this service must not be repeated, and the request has no "
        "Idempotency-Key header of 1 to 255 characters.",
        "Send a unique key for each intended call and the same key on retries.",
        _NO_ACTION,
    ),
    ErrorKind.KEY_REUSED: Guide(
        "The key was already used with another body, method or path.",
        "Use a new key for a new call.",
        _NO_ACTION,
    ),
    ErrorKind.KEY_IN_PROGRESS: Guide(
        "The first call with this key is still in flight.",
        "Retry with the same key to get the outcome of the first call.",
        _EXPLAIN,
    ),
    ErrorKind.OUTCOME_UNKNOWN: Guide(
        "The call was sent but no response arrived; it may have run. It will "
        "not run again.",
        "Send the same key again, or check with the service itself.",
        "Search the target's own log for the key; `hibiscuspin explain` shows "
        "the target.",
    ),
    ErrorKind.OVERLOADED: Guide(
        "More work arrived than can be completed before its deadline.",
        _RETRY_LATER,
        "Check `hibiscuspin targets`; add targets, or lower the trainers' "
        "shares.",
    ),
    ErrorKind.DEADLINE_UNREACHABLE: Guide(
        "No target is expected to respond before the deadline.",
        "Set a later deadline, or retry after the time in the Retry-After "
        "header.",
        "Check `hibiscuspin targets`; add targets, or lower the trainers' "
        "shares.",
    ),
    ErrorKind.DEADLINE_EXCEEDED: Guide(
        "The deadline passed before the response was complete.",
        "Set a later deadline. If the call must run at most once, retry with "
        "the same key.",
        _EXPLAIN,
    ),
    ErrorKind.NO_TARGET: Guide(
        "No target that can serve this request accepts work.",
        _RETRY_LATER,
        "`hibiscuspin targets` shows draining targets; undrain or repair them.",
    ),
    ErrorKind.TARGET_REFUSED: Guide(
        "The targets themselves refused the request.",
        _RETRY_LATER,
        _EXPLAIN,
    ),
    ErrorKind.TARGET_FAILED: Guide(
        "The targets failed before the response was complete.",
        "Retry, unless the request must run at most once.",
        _EXPLAIN,
    ),
    ErrorKind.TARGET_CRASHER: Guide(
        "Several targets ran this request, and each of them crashed.",
        "Do not send it again; change it, or ask the operators.",
        "Search the logs for its `fingerprint`: they name the targets and the "
        "time of each crash. Repair the targets; an hour after it was last "
        "sent it is accepted again.",
    ),
    ErrorKind.STREAM_NOT_RESUMABLE: Guide(
        "The stream can't go on after the event that the caller has: no "
        "target of the software version that began it is left, or no "
        "instance that answers knows which version that was.",
        "Begin the stream anew, without Last-Event-Id.",
        "Search the logs for the id in its `Resumes` header: the line "
        "'Stream opened.' of that request names target and version. Under a "
        "release, drain the targets of the old version slowly enough for "
        "their streams to end.",
    ),
    ErrorKind.STORE_UNAVAILABLE: Guide(
        "The platform's store did not respond, and this request needs it.",
        _RETRY_LATER,
        "Run `hibiscuspin doctor`; notify the operators of the store.",
    ),
    ErrorKind.NOT_CONFIGURED: Guide(
        "The instance has no configuration, or its configuration may be out "
        "of date and does not have the request's path or key.",
        _RETRY_LATER,
        "Run `hibiscuspin doctor`; apply a configuration if there is none.",
    ),
    ErrorKind.UPGRADE_IN_PROGRESS: Guide(
        "A live instance runs an earlier build that can't decode what this "
        "request would store.",
        _RETRY_LATER,
        "Finish the upgrade, or remove `tenants` until it is finished.",
    ),
    ErrorKind.CONFIG_INVALID: Guide(
        "The configuration violates its schema or refers to undeclared names. "
        "No part of it is applied.",
        "Correct the fields that the message names.",
        "`hibiscuspin config check FOLDER` shows file, path and expectation.",
    ),
    ErrorKind.CONFIG_CONFLICT: Guide(
        "Another change was accepted after the revision that you read.",
        "Read the configuration, merge your change and apply it again.",
        "`hibiscuspin config history` shows the author of the other change.",
    ),
    ErrorKind.NOT_HOLDER: Guide(
        "This instance does not hold the trainer's duty, and the holder is "
        "unknown or did not respond.",
        _RETRY_LATER,
        "Run `hibiscuspin duties` on the instances and `hibiscuspin doctor` to "
        "check the store.",
    ),
    ErrorKind.SPEND_EXHAUSTED: Guide(
        "The site's budget for the current period is used up, or the store is "
        "unavailable and the instance has spent its grant.",
        "Wait for the next period, or request less.",
        "Check `hibiscuspin report spend`; raise the site's budget if the "
        "spend is justified.",
    ),
    ErrorKind.STOPPING: Guide(
        "The instance is shutting down and accepts no new jobs, and no request "
        "that would not end before.",
        "Retry on a new connection; the load balancer sends the request to "
        "another instance.",
        "If the load balancer keeps sending requests, check that it polls "
        "/readyz.",
    ),
    ErrorKind.CANCELLED: Guide(
        "The caller disconnected; the work was cancelled.",
        "None.",
        "Many of these errors indicate that callers give up before the "
        "response arrives.",
    ),
    ErrorKind.INTERNAL: Guide(
        "The instance failed with an unexpected error.",
        "Retry, unless the request must run at most once.",
        "Search the log for the request id; the line contains a traceback.",
    ),
}

EXECUTION_TEXTS = {
    ExecutionStatus.NO: "The request did not run.",
    ExecutionStatus.YES: "The request ran.",
    ExecutionStatus.UNKNOWN: "The request may have run.",
}


def page(kind: ErrorKind) -> str:
    """Returns the page of one error code in Markdown."""
    response, guide = RESPONSE_BY_KIND[kind], GUIDES[kind]
    lines = [
        f"# {kind}",
        "",
        f"Status {response.status}. {EXECUTION_TEXTS[response.ran]} "
        "The response's\nfield `ran` states this for the individual request.",
    ]
    if response.retry_after_s is not None:
        lines[-1] += f" Retry-After: {response.retry_after_s} s."
    lines += [
        "",
        f"**Cause.** {guide.cause}",
        "",
        f"**Caller.** {guide.caller}",
        "",
        f"**Operator.** {guide.operator}",
    ]
    return "\n".join(lines) + "\n"


def index() -> str:
    """Returns the page that lists all codes in Markdown."""
    lines = [
        "# Error codes",
        "",
        "| code | status | ran | cause |",
        "| --- | --- | --- | --- |",
    ]
    for kind, guide in GUIDES.items():
        response = RESPONSE_BY_KIND[kind]
        lines.append(
            f"| [{kind}]({kind}.md) | {response.status} | {response.ran} | "
            f"{guide.cause} |"
        )
    return "\n".join(lines) + "\n"
