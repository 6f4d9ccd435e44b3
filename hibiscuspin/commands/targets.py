"""Commands on targets: list, drain and undrain."""

from hibiscuspin.commands.client import AdminClient
from hibiscuspin.commands.outcome import Outcome
from hibiscuspin.report.formats import get_format
from hibiscuspin.report.table import Column, Table

__all__ = ["drain", "targets", "undrain"]

TARGET_COLUMNS = (
    Column("name", "target"),
    Column("kind", "kind"),
    Column("data_centre", "data centre"),
    Column("draining", "draining"),
    Column("in_flight", "open requests", "d"),
)


def targets(json: bool = False) -> Outcome:
    """Lists the targets and their states."""
    response = AdminClient.from_environment().get("targets")
    table = Table("", TARGET_COLUMNS, response["targets"])
    return Outcome(get_format("table").format([table]), response, json)


def drain(target: str, json: bool = False) -> Outcome:
    """Drains a target: it gets no new work."""
    return _send_order(target, "drain", json)


def undrain(target: str, json: bool = False) -> Outcome:
    """Cancels the drain of a target: it gets new work again."""
    return _send_order(target, "undrain", json)


def _send_order(target: str, order: str, as_json: bool) -> Outcome:
    client = AdminClient.from_environment()
    response = client.call("POST", f"targets/{target}/{order}")
    state = "is draining" if response["draining"] else "takes work"
    return Outcome(f"Target {target} {state}.", response, as_json)
