"""Commands that check, change and show the configuration."""

import difflib
import getpass
import json
import pathlib
import time
from typing import Any

from hibiscuspin.clock import monotonic
from hibiscuspin.commands.client import AdminClient, RefusedError
from hibiscuspin.commands.outcome import (
    EXIT_DEGRADED,
    CommandError,
    Outcome,
)
from hibiscuspin.config import Config, load_folder
from hibiscuspin.report.formats import get_format
from hibiscuspin.report.table import Column, Table

__all__ = ["ConfigCommands"]

WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2

HISTORY_COLUMNS = (
    Column("revision", "revision", "d"),
    Column("author", "author"),
    Column("change_id", "change"),
)
STATUS_COLUMNS = (
    Column("instance", "instance"),
    Column("data_centre", "data centre"),
    Column("revision", "revision", "d"),
    Column("lagging", "lagging"),
)


class ConfigCommands:
    """Checks, changes and shows the operators' configuration."""

    def check(self, folder: str, json: bool = False) -> Outcome:
        """Validates a folder with base.yaml and sites/*.yaml."""
        load_folder(pathlib.Path(folder))
        return Outcome("The configuration is valid.", {"valid": True}, json)

    def render(self, folder: str, json: bool = False) -> Outcome:
        """Prints the merged configuration of a folder."""
        config = load_folder(pathlib.Path(folder))
        return Outcome(_format_json(config), config, json)

    def apply(
        self,
        folder: str,
        seen: int | None = None,
        wait: bool = False,
        json: bool = False,
    ) -> Outcome:
        """Applies a folder's configuration.

        Args:
            folder: A folder with base.yaml and sites/*.yaml.
            seen: Fail unless this is still the current revision. By default,
                the current revision is read first.
            wait: Whether to wait up to 30 s until all instances have it.
            json: Whether to print JSON.
        """
        config = load_folder(pathlib.Path(folder))
        return _apply(AdminClient.from_environment(), config, seen, wait, json)

    def show(self, json: bool = False) -> Outcome:
        """Prints the current configuration."""
        response = AdminClient.from_environment().get("config")
        return Outcome(_format_json(response), response, json)

    def diff(self, folder: str, json: bool = False) -> Outcome:
        """Shows what applying a folder would change."""
        proposed = load_folder(pathlib.Path(folder))
        client = AdminClient.from_environment()
        current = _fetch_config(client)["config"]
        lines = list(
            difflib.unified_diff(
                _format_json(current).splitlines(),
                _format_json(proposed).splitlines(),
                "in force",
                folder,
                lineterm="",
            )
        )
        text = "\n".join(lines) or "Nothing would change."
        return Outcome(text, {"changes": lines}, json)

    def history(self, json: bool = False) -> Outcome:
        """Lists earlier revisions."""
        response = AdminClient.from_environment().get("config/history")
        table = Table("", HISTORY_COLUMNS, response["history"])
        return Outcome(get_format("table").format([table]), response, json)

    def rollback(
        self, revision: int, wait: bool = False, json: bool = False
    ) -> Outcome:
        """Applies an earlier revision again, as a new revision."""
        client = AdminClient.from_environment()
        body = {"revision": revision, "author": getpass.getuser()}
        accepted = client.call("POST", "config/rollback", body)["revision"]
        return _accepted_outcome(client, int(accepted), wait, json)

    def status(self, json: bool = False) -> Outcome:
        """Shows each instance's revision; exits with code 3 if one lags."""
        client = AdminClient.from_environment()
        return _status_outcome(client, _fetch_config(client)["revision"], json)


def _apply(
    client: AdminClient,
    config: Config,
    seen: int | None,
    wait: bool,
    as_json: bool,
) -> Outcome:
    if seen is None:
        seen = _fetch_config(client)["revision"]
    body = {"config": config, "seen": seen, "author": getpass.getuser()}
    revision = int(client.call("PUT", "config", body)["revision"])
    return _accepted_outcome(client, revision, wait, as_json)


def _accepted_outcome(
    client: AdminClient, revision: int, wait: bool, as_json: bool
) -> Outcome:
    text = f"Revision {revision} is accepted."
    if not wait:
        return Outcome(text, {"revision": revision}, as_json)
    return _wait_for_revision(client, revision, as_json)


def _wait_for_revision(
    client: AdminClient, revision: int, as_json: bool
) -> Outcome:
    deadline = monotonic() + WAIT_TIMEOUT_S
    while True:
        status = _status_outcome(client, revision, as_json)
        if not status.code or monotonic() >= deadline:
            return status
        time.sleep(POLL_INTERVAL_S)


def _status_outcome(
    client: AdminClient, desired: int, as_json: bool
) -> Outcome:
    response = client.get("status")
    rows = [
        {**row, "lagging": "yes" if row["revision"] < desired else "no"}
        for row in response["instances"]
    ]
    lagging = [r["instance"] for r in rows if r["lagging"] == "yes"]
    note = (
        f"Revision {desired}: {len(rows) - len(lagging)} of {len(rows)} "
        "hold it."
    )
    table = Table("", STATUS_COLUMNS, rows, notes=(note,))
    text = get_format("table").format([table])
    value = {"revision": desired, "instances": rows, "lagging": lagging}
    return Outcome(text, value, as_json, EXIT_DEGRADED if lagging else 0)


def _fetch_config(client: AdminClient) -> Any:
    try:
        return client.get("config")
    except RefusedError as error:
        if error.code == "not_configured":
            return {"revision": 0, "config": {}}
        raise CommandError(str(error)) from None


def _format_json(value: object) -> str:
    return json.dumps(value, indent=2, sort_keys=True)
