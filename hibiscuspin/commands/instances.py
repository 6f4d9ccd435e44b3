"""Commands on instances: status, duties, self-checks, request attempts."""

from typing import Any

from fire import decorators

from hibiscuspin.commands.client import AdminClient
from hibiscuspin.commands.outcome import EXIT_DEGRADED, Outcome
from hibiscuspin.report.formats import get_format
from hibiscuspin.report.table import Column, Table

__all__ = ["doctor", "duties", "explain", "status"]

STATUS_COLUMNS = (
    Column("instance", "instance"),
    Column("data_centre", "data centre"),
    Column("state", "state"),
    Column("revision", "revision", "d"),
)
DUTY_COLUMNS = (
    Column("duty", "duty"),
    Column("fencing", "fencing number", "d"),
)
CHECK_COLUMNS = (
    Column("check", "check"),
    Column("passed", "passed"),
    Column("seen", "seen"),
)
ATTEMPT_COLUMNS = (
    Column("instance", "instance"),
    Column("path", "path"),
    Column("cause", "cause"),
    Column("target", "target"),
    Column("started_at_s", "started at (s)", ".3f"),
    Column("seconds", "took (s)", ".3f"),
    Column("tokens", "tokens", "d"),
    Column("error", "error"),
)


def status(json: bool = False) -> Outcome:
    """Shows all instances; exits with code 3 if one is not ready or lags."""
    response = AdminClient.from_environment().get("status")
    rows = response["instances"]
    newest = max((row["revision"] for row in rows), default=0)
    healthy = bool(newest) and all(
        row["state"] == "ready" and row["revision"] == newest for row in rows
    )
    return _table_outcome(STATUS_COLUMNS, rows, response, json, healthy)


def duties(json: bool = False) -> Outcome:
    """Lists the duties that the instance holds."""
    response = AdminClient.from_environment().get("duties")
    return _table_outcome(DUTY_COLUMNS, response["duties"], response, json)


def doctor(json: bool = False) -> Outcome:
    """Checks settings, clock and reachability; exits with code 3 on failure."""
    response = AdminClient.from_environment().get("doctor")
    rows = response["checks"]
    healthy = all(row["passed"] for row in rows)
    return _table_outcome(CHECK_COLUMNS, rows, response, json, healthy)


@decorators.SetParseFn(str, "request_id")  # type: ignore[untyped-decorator]
def explain(request_id: str, json: bool = False) -> Outcome:
    """Lists the attempts of a request: target, cause, duration and tokens."""
    path = f"requests/{request_id}"
    response = AdminClient.from_environment().get(path)
    return _table_outcome(ATTEMPT_COLUMNS, response["attempts"], response, json)


def _table_outcome(
    columns: tuple[Column, ...],
    rows: list[dict[str, Any]],
    response: Any,
    as_json: bool,
    healthy: bool = True,
) -> Outcome:
    text = get_format("table").format([Table("", columns, rows)])
    return Outcome(text, response, as_json, 0 if healthy else EXIT_DEGRADED)
