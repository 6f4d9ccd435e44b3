"""The settings of one process, read from flags and environment variables.

`OPTIONS` declares each setting once. A flag takes precedence over its
environment variable, which takes precedence over the default. All invalid
settings are reported together.
"""

import argparse
import os
import pathlib
import re
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple, NoReturn

from hibiscuspin.decisions.routing import ROUTERS

__all__ = ["OPTIONS", "Address", "Option", "Settings", "SettingsError"]

ENV_PREFIX = "HIBISCUSPIN_"
USAGE_EXIT_CODE = 2

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class SettingsError(Exception):
    """One or more settings are missing or invalid.

    Attributes:
        problems: One message for each of these settings.
    """

    def __init__(self, problems: Sequence[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = tuple(problems)


def parse_address(text: str) -> Address:
    """Parses `HOST:PORT`.

    Raises:
        ValueError: The text is malformed, or the port is out of range.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError("expected HOST:PORT")
    return Address(host, int(port))


def parse_name(text: str) -> str:
    """Validates a name of lower-case letters, digits and hyphens."""
    if not _NAME.fullmatch(text):
        raise ValueError("expected 1 to 63 characters of a-z, 0-9 and '-'")
    return text


def parse_count(text: str) -> int:
    """Parses an integer of at least 1."""
    if not text.isdigit() or int(text) < 1:
        raise ValueError("expected an integer of at least 1")
    return int(text)


def parse_seconds(text: str) -> float:
    """Parses a positive number of seconds."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value < float("inf"):
        raise ValueError("expected a number of seconds above 0")
    return value


def parse_level(text: str) -> str:
    """Validates the name of a log level."""
    if text not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        raise ValueError("expected DEBUG, INFO, WARNING or ERROR")
    return text


def parse_router(text: str) -> str:
    """Validates the name of a router."""
    if text not in ROUTERS:
        raise ValueError(f"expected one of {', '.join(ROUTERS)}")
    return text


def parse_file(text: str) -> pathlib.Path:
    """Parses the path of an existing file."""
    path = pathlib.Path(text)
    if not path.is_file():
        raise ValueError("expected an existing file")
    return path


def parse_folder(text: str) -> pathlib.Path:
    """Parses the path of an existing folder."""
    path = pathlib.Path(text)
    if not path.is_dir():
        raise ValueError("expected an existing folder")
    return path


class Option(NamedTuple):
    """The declaration of one setting.

    Attributes:
        name: The field of `Settings`, from which the names of the flag and
            of the environment variable are derived.
        parse: Converts text into the value, or raises `ValueError`.
        default: The text to parse if the setting is not set; None for no
            default.
        unit: The unit, for the help text; empty for none.
        help: The help text, one sentence.
        optional: Whether a setting without a default may be omitted.
    """

    name: str
    parse: Callable[[str], Any]
    default: str | None
    unit: str
    help: str
    optional: bool = False

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable."""
        return ENV_PREFIX + self.name.upper()


OPTIONS = (
    Option("instance", parse_name, None, "", "Name of this instance."),
    Option(
        "data_centre", parse_name, None, "", "Data centre of this instance."
    ),
    Option(
        "caller_address",
        parse_address,
        "127.0.0.1:8080",
        "",
        "Address for callers.",
    ),
    Option(
        "trainer_address",
        parse_address,
        "127.0.0.1:8081",
        "",
        "Address for trainers.",
    ),
    Option(
        "admin_address",
        parse_address,
        "127.0.0.1:8082",
        "",
        "Address for operators.",
    ),
    Option(
        "peer_address",
        parse_address,
        "127.0.0.1:8083",
        "",
        "Address for peers.",
    ),
    Option(
        "store_address",
        parse_address,
        None,
        "",
        "Address of the platform's store.",
    ),
    Option(
        "instance_list_address",
        parse_address,
        None,
        "",
        "Address of the platform's list of instances.",
    ),
    Option(
        "admin_token_file",
        parse_file,
        None,
        "",
        "File with the operators' token.",
    ),
    Option(
        "peer_secret_file",
        parse_file,
        None,
        "",
        "File with the secret that instances share.",
    ),
    Option(
        "data_folder",
        parse_folder,
        None,
        "",
        "Folder for bulk data, on instances that have a disk.",
        optional=True,
    ),
    Option(
        "live_threads",
        parse_count,
        "64",
        "threads",
        "Number of threads for live requests.",
    ),
    Option(
        "rollout_threads",
        parse_count,
        "64",
        "threads",
        "Number of threads for rollouts.",
    ),
    Option(
        "memory_mb",
        parse_count,
        None,
        "MB",
        "Memory of the machine, a share of which requests may take; by "
        "default what the system reports.",
        optional=True,
    ),
    Option(
        "router",
        parse_router,
        "expected_finish",
        "",
        "Routing strategy that chooses targets.",
    ),
    Option(
        "stop_timeout",
        parse_seconds,
        "120",
        "s",
        "Time limit of a graceful shutdown.",
    ),
    Option(
        "log_level",
        parse_level,
        "INFO",
        "",
        "Lowest log level that is written.",
    ),
)


class Settings(NamedTuple):
    """The validated settings of one daemon; `OPTIONS` describes each."""

    instance: str
    data_centre: str
    caller_address: Address
    trainer_address: Address
    admin_address: Address
    peer_address: Address
    store_address: Address
    instance_list_address: Address
    admin_token_file: pathlib.Path
    peer_secret_file: pathlib.Path
    data_folder: pathlib.Path | None
    live_threads: int
    rollout_threads: int
    memory_mb: int | None
    router: str
    stop_timeout: float
    log_level: str

    @classmethod
    def from_args(
        cls, argv: Sequence[str], environ: Mapping[str, str]
    ) -> "Settings":
        """Reads all settings.

        Args:
            argv: Flags, without the program's name.
            environ: The environment variables.

        Raises:
            SettingsError: Settings are missing or invalid; lists all of them.
        """
        flags = _parse_flags(argv)
        values: dict[str, Any] = {}
        problems: list[str] = []
        for option in OPTIONS:
            text = flags.get(option.name) or environ.get(option.variable)
            if text is None:
                text = option.default
            if text is None:
                if not option.optional:
                    problems.append(
                        f"{option.flag} ({option.variable}) is not set"
                    )
                values[option.name] = None
                continue
            try:
                values[option.name] = option.parse(text)
            except ValueError as error:
                problems.append(
                    f"{option.flag} ({option.variable}) is {text!r}: {error}"
                )
        if problems:
            raise SettingsError(problems)
        return cls(**values)

    @classmethod
    def from_environment(cls) -> "Settings":
        """Reads the settings of this process, or exits with code 2."""
        try:
            return cls.from_args(sys.argv[1:], os.environ)
        except SettingsError as error:
            exit_with_problems("hibiscuspind", error.problems)


def exit_with_problems(program: str, problems: Sequence[str]) -> NoReturn:
    """Prints each problem on its own line and exits with code 2."""
    for problem in problems:
        print(f"{program}: {problem}", file=sys.stderr)
    sys.exit(USAGE_EXIT_CODE)


def _parse_flags(argv: Sequence[str]) -> dict[str, str | None]:
    parser = argparse.ArgumentParser(
        prog="hibiscuspind",
        description="Runs one instance of the rollout service.",
        allow_abbrev=False,
    )
    for option in OPTIONS:
        unit = f" {option.unit}" if option.unit else ""
        default = option.default or ("none" if option.optional else "required")
        parser.add_argument(
            option.flag,
            dest=option.name,
            metavar=option.unit.upper() or None,
            help=f"{option.help} Unit:{unit or ' none'}. Default: {default}. "
            f"Variable: {option.variable}.",
        )
    return vars(parser.parse_args(argv))
