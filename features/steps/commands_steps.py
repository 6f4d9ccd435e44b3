"""Steps that run the operators' command-line tool as a process."""

import copy
import os
import pathlib
import shlex
import signal
import subprocess
import sys
import tempfile
from typing import Any

import yaml
from behave import given, then, when

from bench.fleet import request


def run_tool(context: Any, command: str, **environ: str) -> None:
    """Runs the tool and waits until it exits."""
    address = context.fleet.instances[0].addresses_by_flag["admin"]
    context.completed_process = subprocess.run(
        [sys.executable, "-m", "hibiscuspin.cmdline", *shlex.split(command)],
        check=False,
        env={
            **os.environ,
            "HIBISCUSPIN_ADMIN_ADDRESS": str(address),
            "PAGER": "cat",
            **environ,
        },
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=60,
    )


@when('an operator runs "{command}"')
def run_command(context: Any, command: str) -> None:
    folder = getattr(context, "folder", "")
    with tempfile.TemporaryDirectory() as secrets:
        path = pathlib.Path(secrets) / "admin-token"
        path.write_text("fleet-admin-token\n")
        run_tool(
            context,
            command.replace("<folder>", folder),
            HIBISCUSPIN_ADMIN_TOKEN_FILE=str(path),
        )


@when('an operator without a token file runs "{command}"')
def run_without_token(context: Any, command: str) -> None:
    run_tool(context, command, HIBISCUSPIN_ADMIN_TOKEN_FILE="")


@then('the command ends with code {code:d} and shows "{text}"')
def check_command(context: Any, code: int, text: str) -> None:
    shown = context.completed_process.stdout + context.completed_process.stderr
    assert context.completed_process.returncode == code, (
        context.completed_process,
        shown,
    )
    assert text in shown, shown


@given('a completion with request id "{request_id}" through instance {n:d}')
def send_completion(context: Any, request_id: str, n: int) -> None:
    body = {"model": "tasador-lm", "prompt": "console 1", "max_tokens": 8}
    response = request(
        context.fleet.instances[n - 1].caller,
        "POST",
        "/v1/completions",
        body,
        token="counters-token",
        headers={"X-Request-Id": request_id},
    )
    assert response.status == 200, response.body


@given("the fleet's own configuration in a folder")
def write_config_folder(context: Any) -> None:
    shown = context.fleet.admin(context.fleet.instances[0], "GET", "config")
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "base.yaml"
    path.write_text(yaml.safe_dump(shown["config"]))
    context.folder = folder.name


@given("instance {n:d} is paused")
def pause_instance(context: Any, n: int) -> None:
    process = context.fleet.instances[n - 1].process
    process.send(signal.SIGSTOP)
    context.add_cleanup(process.send, signal.SIGCONT)


@given("a change that an operator regrets")
def change_configuration(context: Any) -> None:
    instance = context.fleet.instances[0]
    shown = context.fleet.admin(instance, "GET", "config")
    context.config_before_change = copy.deepcopy(shown)
    shown["config"]["models_by_name"]["tasador-lm"]["max_tokens"] = 77
    context.fleet.apply(shown["config"], shown["revision"])


@when("an operator rolls back to the revision before it")
def roll_back(context: Any) -> None:
    run_command(
        context,
        f"config rollback {context.config_before_change['revision']} --wait",
    )


@then("the configuration before the change is in force")
def check_rolled_back(context: Any) -> None:
    shown = context.fleet.admin(context.fleet.instances[1], "GET", "config")
    assert shown["config"] == context.config_before_change["config"]
    assert shown["revision"] > context.config_before_change["revision"]
