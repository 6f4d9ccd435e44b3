"""The settings file that the platform writes for each process."""

import math
import pathlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import yaml

from hibiscuspin.memory import BYTES_PER_MB
from hibiscuspin.settings import Address, SettingsError, parse_address

__all__ = [
    "DutySettings",
    "PlatformSettings",
    "read_settings_file",
    "relay_address",
]

MS_PER_S = 1000.0
USAGE_DUTY = "usage_report"
SCALING_DUTY = "autoscale"


class DutySettings(NamedTuple):
    """The calls to the platform that one instance at a time makes.

    Attributes:
        address: Where they go.
        reports_usage: Whether the platform wants reports of usage.
        orders_engines: Whether engines can be ordered.
        window_s: The length of the windows of usage reports; 0 without them.
        report_due_s: How long after its window's end a report is due.
    """

    address: Address
    reports_usage: bool
    orders_engines: bool
    window_s: float
    report_due_s: float


class PlatformSettings(NamedTuple):
    """Settings of one instance, under this project's names.

    Attributes:
        instance: The instance's name.
        data_centre: The instance's data centre.
        region_by_data_centre: The region of each data centre.
        caller_address: Where callers connect; None if it serves no callers.
        ready_address: Where readiness checks connect; None for no checks.
        peer_address: Where other instances connect.
        relay_address: Where they send on requests while they reach no target,
            at the port after that; None if there is no such port.
        store_address: The address of the platform's store.
        drain_s: How long a draining target continues to serve requests.
        grace_s: The time from the stop signal until the process must end.
        keep_s: How long results can be read after a job's submission.
        takeover_s: How long a new coordinator waits before its first order,
            so that engines don't receive orders from two coordinators.
        first_start: Whether this is the system's first start, with an empty
            store.
        duties: The calls that one instance at a time makes; None if there are
            none.
        memory_bytes: The machine's memory; None if it is not named.
        max_descriptors: The descriptors of a process; None if not named.
    """

    instance: str
    data_centre: str
    region_by_data_centre: Mapping[str, str]
    caller_address: Address | None
    ready_address: Address | None
    peer_address: Address
    relay_address: Address | None
    store_address: Address
    drain_s: float
    grace_s: float
    keep_s: float
    takeover_s: float
    first_start: bool
    duties: DutySettings | None = None
    memory_bytes: int | None = None
    max_descriptors: int | None = None


def read_settings_file(path: pathlib.Path) -> PlatformSettings:
    """Reads and validates a settings file; ignores unknown fields.

    Raises:
        SettingsError: The file can't be read, or fields are missing or
            invalid; the error lists all of them.
    """
    try:
        raw = yaml.safe_load(path.read_text())
    except (OSError, yaml.YAMLError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    if not isinstance(raw, dict):
        raise SettingsError([f"{path}: expected a table of fields"])
    reader = _FieldReader(raw)
    # These ports are free on every machine; the first two are used.
    ports = reader.value("internal_ports", list)
    first_port = ports[0] if ports and isinstance(ports[0], int) else 0
    last_port = ports[-1] if ports and isinstance(ports[-1], int) else 0
    peer_address = Address(reader.value("ip", str), first_port)
    settings = PlatformSettings(
        instance=reader.value("node_name", str),
        data_centre=reader.value("zone", str),
        region_by_data_centre=reader.value("zones", dict),
        caller_address=reader.optional_address("listen", "front"),
        ready_address=reader.optional_address("listen", "readiness"),
        peer_address=peer_address,
        relay_address=relay_address(peer_address)
        if last_port > first_port
        else None,
        store_address=reader.address("platform", "address"),
        drain_s=reader.number("bounds", "drain_ms") / MS_PER_S,
        grace_s=reader.number("bounds", "grace_s"),
        keep_s=reader.number("bounds", "status_s"),
        # `lease_ms` concerns orders to engines, not leases of the store.
        takeover_s=reader.number("bounds", "lease_ms") / MS_PER_S,
        first_start=raw.get("bootstrap") is True,
        duties=_read_duties(reader),
        memory_bytes=reader.optional_count("limits", "memory_mb", BYTES_PER_MB),
        max_descriptors=reader.optional_count("limits", "max_fds"),
    )
    if reader.problems:
        raise SettingsError([f"{path}: {text}" for text in reader.problems])
    return settings


def _read_duties(reader: "_FieldReader") -> DutySettings | None:
    names = reader.optional_list("cloud", "duties")
    if not names:
        return None
    reports_usage = USAGE_DUTY in names
    return DutySettings(
        address=reader.address("cloud", "address"),
        reports_usage=reports_usage,
        orders_engines=SCALING_DUTY in names,
        window_s=reader.number("bounds", "report_window_s")
        if reports_usage
        else 0.0,
        report_due_s=reader.number("bounds", "usage_late_s")
        if reports_usage
        else 0.0,
    )


def relay_address(peer_address: Address) -> Address:
    """Returns where an instance accepts requests of other instances."""
    return peer_address._replace(port=peer_address.port + 1)


class _FieldReader:
    """Reads fields and collects the problems with them."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self._raw = raw
        self.problems: list[str] = []

    def value(self, name: str, kind: type) -> Any:
        found = self._raw.get(name)
        if isinstance(found, kind) and found:
            return found
        self.problems.append(
            f"{name}: expected {kind.__name__}, found {found!r}"
        )
        return kind()

    def number(self, table: str, name: str) -> float:
        found = self._nested_value(table, name)
        if isinstance(found, int | float) and not isinstance(found, bool):
            return float(found)
        self.problems.append(f"{table}.{name}: expected a number")
        return 0.0

    def optional_count(
        self, table: str, name: str, unit: int = 1
    ) -> int | None:
        """Returns a positive number times its unit; None if there is none."""
        found = self._nested_value(table, name)
        if found is None:
            return None
        if (
            isinstance(found, int | float)
            and not isinstance(found, bool)
            and 0 < found < math.inf
        ):
            return int(found * unit)
        self.problems.append(f"{table}.{name}: expected a positive number")
        return None

    def optional_list(self, table: str, name: str) -> list[Any]:
        found = self._nested_value(table, name)
        if found is None:
            return []
        if isinstance(found, list):
            return found
        self.problems.append(f"{table}.{name}: expected a list")
        return []

    def address(self, table: str, name: str) -> Address:
        found = self.optional_address(table, name)
        if found is None:
            self.problems.append(f"{table}.{name}: expected HOST:PORT")
            return Address("", 0)
        return found

    def optional_address(self, table: str, name: str) -> Address | None:
        found = self._nested_value(table, name)
        if found is None:
            return None
        try:
            return parse_address(str(found))
        except ValueError as error:
            self.problems.append(f"{table}.{name}: {error}, found {found!r}")
            return None

    def _nested_value(self, table: str, name: str) -> Any:
        rows = self._raw.get(table)
        return rows.get(name) if isinstance(rows, dict) else None
