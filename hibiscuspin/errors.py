"""The closed list of error kinds and the default response for each.

Every failure that leaves the process is a `HibiscusError` of one kind.
`RESPONSE_BY_KIND` maps each kind to its HTTP status, whether the request ran
and when to retry.
"""

import enum
from typing import NamedTuple, TypedDict

__all__ = [
    "RESPONSE_BY_KIND",
    "ErrorResponse",
    "ErrorBody",
    "ErrorKind",
    "HibiscusError",
    "ExecutionStatus",
]


class ExecutionStatus(enum.StrEnum):
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
    TARGET_CRASHER = "target_crasher"
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    STORE_UNAVAILABLE = "store_unavailable"
    NOT_CONFIGURED = "not_configured"
    CONFIG_INVALID = "config_invalid"
    CONFIG_CONFLICT = "config_conflict"
    NOT_HOLDER = "not_holder"
    SPEND_EXHAUSTED = "spend_exhausted"
    STOPPING = "stopping"
    CANCELLED = "cancelled"
    UPGRADE_IN_PROGRESS = "upgrade_in_progress"
    INTERNAL = "internal"


class ErrorResponse(NamedTuple):
    """The default response to a caller for one kind of error."""

    status: int
    ran: ExecutionStatus
    retry_after_s: int | None = None


_NO, _YES, _UNKNOWN = (
    ExecutionStatus.NO,
    ExecutionStatus.YES,
    ExecutionStatus.UNKNOWN,
)

RESPONSE_BY_KIND: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_JSON: ErrorResponse(400, _NO),
    ErrorKind.BAD_FIELD: ErrorResponse(400, _NO),
    ErrorKind.BAD_DEADLINE: ErrorResponse(400, _NO),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, _NO),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(431, _NO),
    ErrorKind.MALFORMED_REQUEST: ErrorResponse(400, _NO),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(408, _NO),
    ErrorKind.NO_TOKEN: ErrorResponse(401, _NO),
    ErrorKind.FORBIDDEN: ErrorResponse(403, _NO),
    ErrorKind.NOT_FOUND: ErrorResponse(404, _NO),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(405, _NO),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(404, _NO),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, _NO),
    ErrorKind.UNKNOWN_TRAINER: ErrorResponse(404, _NO),
    ErrorKind.UNKNOWN_STEP: ErrorResponse(404, _NO),
    ErrorKind.BAD_CURSOR: ErrorResponse(409, _NO),
    ErrorKind.KEY_REQUIRED: ErrorResponse(400, _NO),
    ErrorKind.KEY_REUSED: ErrorResponse(422, _NO),
    ErrorKind.KEY_IN_PROGRESS: ErrorResponse(409, _UNKNOWN, 1),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, _UNKNOWN),
    ErrorKind.OVERLOADED: ErrorResponse(429, _NO, 1),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(503, _NO, 1),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, _UNKNOWN),
    ErrorKind.NO_TARGET: ErrorResponse(503, _NO, 1),
    ErrorKind.TARGET_REFUSED: ErrorResponse(503, _NO, 1),
    ErrorKind.TARGET_FAILED: ErrorResponse(502, _UNKNOWN, 1),
    ErrorKind.TARGET_CRASHER: ErrorResponse(400, _YES),
    ErrorKind.STREAM_NOT_RESUMABLE: ErrorResponse(503, _NO),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, _NO, 2),
    ErrorKind.NOT_CONFIGURED: ErrorResponse(503, _NO, 2),
    ErrorKind.CONFIG_INVALID: ErrorResponse(422, _NO),
    ErrorKind.CONFIG_CONFLICT: ErrorResponse(409, _NO),
    ErrorKind.NOT_HOLDER: ErrorResponse(503, _NO, 1),
    ErrorKind.SPEND_EXHAUSTED: ErrorResponse(429, _NO, 60),
    ErrorKind.STOPPING: ErrorResponse(503, _NO, 1),
    ErrorKind.CANCELLED: ErrorResponse(499, _UNKNOWN),
    ErrorKind.UPGRADE_IN_PROGRESS: ErrorResponse(503, _NO, 2),
    ErrorKind.INTERNAL: ErrorResponse(500, _UNKNOWN),
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
        ran: ExecutionStatus | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
        self.ran = ran if ran is not None else RESPONSE_BY_KIND[kind].ran
        self.retry_after_s = (
            retry_after_s
            if retry_after_s is not None
            else RESPONSE_BY_KIND[kind].retry_after_s
        )

    @property
    def response(self) -> ErrorResponse:
        """Returns the default response for this kind of error."""
        return RESPONSE_BY_KIND[self.kind]

    def body(self) -> ErrorBody:
        """Returns the JSON body that the caller receives."""
        return {
            "error": {
                "code": str(self.kind),
                "message": self.detail,
                "ran": str(self.ran),
            }
        }
