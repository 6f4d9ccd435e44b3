"""The closed list of error kinds and the default response for each.

Every failure that leaves the process is a `HibiscusError` of one kind.
`RESPONSE_BY_KIND` maps each kind to its HTTP status, whether the request ran
and when to retry.
"""

import enum
from typing import NamedTuple, TypedDict

__all__ = [
    "ANSWERS",
    "Answer",
    "ErrorBody",
    "ErrorKind",
    "HibiscusError",
    "Ran",
]


class Ran(enum.StrEnum):
    """Whether a target executed a request that ended with an error."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(enum.StrEnum):
    """Stable error codes, as they appear in responses, logs and metrics."""

    BAD_JSON = "bad_json"
    BAD_FIELD = "bad_field"
    BAD_DEADLINE = "bad_deadline"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    MALFORMED_REQUEST = "malformed_request"
    REQUEST_TIMEOUT = "request_timeout"
    NO_TOKEN = "no_token"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_TRAINER = "unknown_trainer"
    UNKNOWN_STEP = "unknown_step"
    BAD_CURSOR = "bad_cursor"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_TARGET = "no_target"
    TARGET_REFUSED = "target_refused"
    TARGET_FAILED = "target_failed"
    STORE_UNAVAILABLE = "store_unavailable"
    NOT_CONFIGURED = "not_configured"
    CONFIG_INVALID = "config_invalid"
    CONFIG_CONFLICT = "config_conflict"
    NOT_HOLDER = "not_holder"
    SPEND_EXHAUSTED = "spend_exhausted"
    STOPPING = "stopping"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """The default response to a caller for one kind of error."""

    status: int
    ran: Ran
    retry_after_s: int | None = None


_NO, _YES, _UNKNOWN = Ran.NO, Ran.YES, Ran.UNKNOWN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_JSON: Answer(400, _NO),
    ErrorKind.BAD_FIELD: Answer(400, _NO),
    ErrorKind.BAD_DEADLINE: Answer(400, _NO),
    ErrorKind.BODY_TOO_LARGE: Answer(413, _NO),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, _NO),
    ErrorKind.MALFORMED_REQUEST: Answer(400, _NO),
    ErrorKind.REQUEST_TIMEOUT: Answer(408, _NO),
    ErrorKind.NO_TOKEN: Answer(401, _NO),
    ErrorKind.FORBIDDEN: Answer(403, _NO),
    ErrorKind.NOT_FOUND: Answer(404, _NO),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, _NO),
    ErrorKind.UNKNOWN_MODEL: Answer(404, _NO),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, _NO),
    ErrorKind.UNKNOWN_TRAINER: Answer(404, _NO),
    ErrorKind.UNKNOWN_STEP: Answer(404, _NO),
    ErrorKind.BAD_CURSOR: Answer(409, _NO),
    ErrorKind.KEY_REQUIRED: Answer(400, _NO),
    ErrorKind.KEY_REUSED: Answer(422, _NO),
    ErrorKind.KEY_IN_PROGRESS: Answer(409, _UNKNOWN, 1),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, _UNKNOWN),
    ErrorKind.OVERLOADED: Answer(429, _NO, 1),
    ErrorKind.DEADLINE_UNREACHABLE: Answer(503, _NO, 1),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, _UNKNOWN),
    ErrorKind.NO_TARGET: Answer(503, _NO, 1),
    ErrorKind.TARGET_REFUSED: Answer(503, _NO, 1),
    ErrorKind.TARGET_FAILED: Answer(502, _UNKNOWN, 1),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, _NO, 2),
    ErrorKind.NOT_CONFIGURED: Answer(503, _NO, 2),
    ErrorKind.CONFIG_INVALID: Answer(422, _NO),
    ErrorKind.CONFIG_CONFLICT: Answer(409, _NO),
    ErrorKind.NOT_HOLDER: Answer(503, _NO, 1),
    ErrorKind.SPEND_EXHAUSTED: Answer(429, _NO, 60),
    ErrorKind.STOPPING: Answer(503, _NO, 1),
    ErrorKind.CANCELLED: Answer(499, _UNKNOWN),
    ErrorKind.INTERNAL: Answer(500, _UNKNOWN),
}


class ErrorDetail(TypedDict):
    """The inner object of an error response."""

    code: str
    message: str
    ran: str


class ErrorBody(TypedDict):
    """The JSON body of an error response."""

    error: ErrorDetail


class HibiscusError(Exception):
    """A failure with a stable code.

    Attributes:
        kind: The kind of error; its value is the error code.
        detail: One sentence for the caller, without prompt text or tokens.
        ran: Whether the request ran; the default depends on the kind.
        retry_after_s: The time after which the caller may retry, in seconds;
            the default depends on the kind.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        ran: Ran | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
        self.ran = ran if ran is not None else ANSWERS[kind].ran
        self.retry_after_s = (
            retry_after_s
            if retry_after_s is not None
            else ANSWERS[kind].retry_after_s
        )

    @property
    def answer(self) -> Answer:
        """Returns the default response for this kind of error."""
        return ANSWERS[self.kind]

    def body(self) -> ErrorBody:
        """Returns the JSON body that the caller receives."""
        return {
            "error": {
                "code": str(self.kind),
                "message": self.detail,
                "ran": str(self.ran),
            }
        }
