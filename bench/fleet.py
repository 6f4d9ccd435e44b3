"""Runs daemons and stand-ins as child processes on the loopback interface.

The demo, the benchmarks and the tests with real processes use it. Each
target of a configuration is replaced by one stand-in on a free port.
"""

import contextlib
import fcntl
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from hibiscuspin.clock import monotonic
from hibiscuspin.config import Config, load_folder
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient, HttpResponse
from hibiscuspin.settings import Address, parse_address

__all__ = ["Fleet", "Instance", "Process", "free_address", "wait_for"]

ROOT = pathlib.Path(__file__).parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORT_LOCKS_PATH = pathlib.Path(tempfile.gettempdir()) / "hibiscuspin-ports.lock"
ADMIN_TOKEN = "fleet-admin-token"
PEER_SECRET = "fleet-peer-secret"


_port_locks_file = PORT_LOCKS_PATH.open("ab")
_reserved_ports: set[int] = set()


def free_address() -> Address:
    """Reserves a free loopback port until this process ends.

    The ports lie below the system's ephemeral range, so outgoing connections
    can't use them. Other processes see the reservation as a lock on the byte
    of a shared file whose offset is the port number.
    """
    first = max(_reserved_ports, default=FIRST_PORT - 1) + 1
    for port in range(first, LAST_PORT):
        with contextlib.suppress(OSError), socket.socket() as probe:
            fcntl.lockf(
                _port_locks_file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port
            )
            _reserved_ports.add(port)
            probe.bind(("127.0.0.1", port))
            return Address("127.0.0.1", port)
    raise RuntimeError(f"no free port between {first} and {LAST_PORT - 1}")


def wait_for(
    condition: Callable[[], bool], timeout_s: float, description: str
) -> float:
    """Polls a condition until it is true.

    Args:
        condition: The condition.
        timeout_s: How long to wait.
        description: The awaited event, for the error message.

    Returns:
        The seconds waited.

    Raises:
        TimeoutError: The condition was still false after `timeout_s`.
    """
    start = monotonic()
    while monotonic() - start < timeout_s:
        if condition():
            return monotonic() - start
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{description} did not happen within {timeout_s} s")


class Process:
    """A child process whose output goes to a log file."""

    def __init__(
        self,
        name: str,
        argv: Sequence[str],
        folder: str,
        root: pathlib.Path = ROOT,
    ) -> None:
        """Starts the process.

        Args:
            name: The process's name.
            argv: The arguments of the interpreter.
            folder: The folder of the log file.
            root: The folder whose packages it runs.
        """
        self.name = name
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        environ = {**os.environ, "PYTHONPATH": str(root)}
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *argv],
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
                env=environ,
                cwd=root,
            )

    @property
    def pid(self) -> int:
        """The process ID."""
        return self._process.pid

    def running(self) -> bool:
        """Returns whether the process is still running."""
        return self._process.poll() is None

    def log_tail(self, max_chars: int) -> str:
        """Returns the end of the process's log."""
        return self.log_path.read_text(errors="replace")[-max_chars:]

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.running():
            self._process.send_signal(number)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Sends SIGTERM, and SIGKILL if the process outlives the timeout.

        Returns:
            The exit code, or the negated signal number if a signal ended it.
        """
        self.send(signal.SIGTERM)
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """Sends SIGKILL and returns the exit code."""
        self.send(signal.SIGKILL)
        return self._process.wait()


class Instance(NamedTuple):
    """One daemon, with HTTP clients of its interfaces.

    Attributes:
        name: The instance's name.
        data_centre: The instance's data centre.
        process: The daemon's process.
        caller: A client of the caller interface.
        trainer: A client of the trainer interface.
        admin: A client of the administration interface.
        addresses_by_flag: Addresses by interface: "caller", "trainer",
            "admin" and "peer", which are also the prefixes of the flags.
    """

    name: str
    data_centre: str
    process: Process
    caller: HttpClient
    trainer: HttpClient
    admin: HttpClient
    addresses_by_flag: dict[str, Address]


class Fleet:
    """The daemons, stand-ins and other processes of one run."""

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self._processes: list[Process] = []
        self.instances: list[Instance] = []
        self.standins_by_name: dict[str, Process] = {}
        self.addresses_by_name: dict[str, Address] = {}
        self._paths_by_name = {
            "admin-token": self._write_file("admin-token", ADMIN_TOKEN),
            "peer-secret": self._write_file("peer-secret", PEER_SECRET),
        }

    @classmethod
    @contextlib.contextmanager
    def running(cls):  # type: ignore[no-untyped-def]
        """Yields an empty fleet and stops its processes on exit."""
        with tempfile.TemporaryDirectory(prefix="hibiscuspin-") as folder:
            fleet = cls(folder)
            try:
                yield fleet
            finally:
                fleet.close()

    def close(self) -> None:
        """Stops all processes in reverse order of their start."""
        for process in reversed(self._processes):
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        for process in reversed(self._processes):
            process.stop(timeout_s=3.0)

    def log_tails(self, max_chars: int) -> dict[str, str]:
        """Returns the ends of the logs of all processes, by process name."""
        return {p.name: p.log_tail(max_chars) for p in self._processes}

    def standin(self, module: str, name: str, *flags: str) -> Address:
        """Starts a stand-in and returns its address."""
        address = self.address(name)
        argv = ["-m", f"standins.{module}", "--address", str(address), *flags]
        self.standins_by_name[name] = self.spawn(name, argv)
        self.addresses_by_name[name] = address
        return address

    def address(self, name: str) -> Address:
        """Returns a stand-in's address; reserves one at the first call."""
        if name not in self.addresses_by_name:
            self.addresses_by_name[name] = free_address()
        return self.addresses_by_name[name]

    def platform(self, lag_s: float = 0.5) -> None:
        """Starts the stand-ins for the store and the instance list."""
        self.standin("store", "store")
        self.standin("instances", "instances", "--lag-s", str(lag_s))
        self.wait_ready(["store", "instances"])

    def targets(self, folder: str, token_s: float = 0.005) -> Config:
        """Loads a configuration folder and starts its targets' stand-ins.

        Returns:
            The configuration with the addresses of the stand-ins.
        """
        return self.start_targets(self.load(folder), token_s)

    @staticmethod
    def load(folder: str) -> Config:
        """Loads a configuration folder, relative to the repository root."""
        return load_folder(ROOT / folder)

    def start_targets(
        self, config: Config, token_s: float = 0.005, threads: int = 0
    ) -> Config:
        """Starts a stand-in for each target and sets the target's address.

        Args:
            config: The configuration; its targets are updated in place.
            token_s: Seconds that an engine takes to generate a token.
            threads: Number of threads of each stand-in, 0 for the stand-in's
                default. Many stand-ins with the default number together
                reach the system's limit.
        """
        for name, target in config["targets_by_name"].items():
            if target["kind"] == "engine":
                flags = ["--model", target["model"]]
                flags += ["--slots", str(target.get("slots", 8))]
                flags += ["--token-s", str(token_s)]
                if not target.get("tags_versions", False):
                    flags.append("--untagged")
                if not target.get("checks_fencing", False):
                    flags.append("--ignores-fencing")
            else:
                checks = target.get("checks_idempotency_keys", False)
                flags = ["--checks-keys"] if checks else []
            if threads:
                flags += ["--threads", str(threads)]
            module = target["kind"]
            target["address"] = str(self.standin(module, name, *flags))
        self.wait_ready(list(config["targets_by_name"]))
        return config

    def daemon(self, name: str, data_centre: str, *flags: str) -> Instance:
        """Starts a daemon; a restarted one reuses its earlier addresses."""
        interfaces = ("caller", "trainer", "admin", "peer")
        existing = next((i for i in self.instances if i.name == name), None)
        addresses = (
            existing.addresses_by_flag
            if existing
            else {kind: free_address() for kind in interfaces}
        )
        argv = ["-m", "hibiscuspin.daemon", "--instance", name]
        argv += ["--data-centre", data_centre]
        for kind, address in addresses.items():
            argv += [f"--{kind}-address", str(address)]
        argv += ["--store-address", str(self.addresses_by_name["store"])]
        list_address = str(self.addresses_by_name["instances"])
        argv += ["--instance-list-address", list_address]
        argv += ["--admin-token-file", self._paths_by_name["admin-token"]]
        argv += ["--peer-secret-file", self._paths_by_name["peer-secret"]]
        instance = Instance(
            name,
            data_centre,
            self.spawn(name, [*argv, *flags]),
            HttpClient(addresses["caller"]),
            HttpClient(addresses["trainer"]),
            HttpClient(addresses["admin"]),
            addresses,
        )
        self.instances = [i for i in self.instances if i.name != name]
        self.instances.append(instance)
        return instance

    def publish_instances(self, leaving_targets: Sequence[str] = ()) -> None:
        """Replaces the instance list with the daemons that are running."""
        records = [
            {
                "name": instance.name,
                "data_centre": instance.data_centre,
                "peer_address": str(instance.addresses_by_flag["peer"]),
                "leaving": False,
            }
            for instance in self.instances
            if instance.process.running()
        ]
        body = {"instances": records, "leaving_targets": list(leaving_targets)}
        self.put("instances", "/v1/instances", body)

    def apply(self, config: Config, seen: int = 0) -> int:
        """Applies a configuration through the first instance.

        Args:
            config: The new configuration.
            seen: The revision that the new configuration is based on.

        Returns:
            The new revision.
        """
        body = {"config": config, "seen": seen, "author": "fleet"}
        response = self.admin(self.instances[0], "PUT", "config", body)
        return int(response["revision"])

    def admin(
        self, instance: Instance, method: str, path: str, body: object = None
    ) -> Any:
        """Calls the administration interface; returns the decoded body.

        Raises:
            RuntimeError: The response's status is 300 or above.
        """
        response = request(
            instance.admin,
            method,
            f"/admin/v1/{path}",
            body,
            token=ADMIN_TOKEN,
        )
        decoded = json.loads(response.body)
        if response.status >= 300:
            raise RuntimeError(
                f"{method} {path} on {instance.name} failed with status "
                f"{response.status}: {decoded}"
            )
        return decoded

    def wait_configured(self, revision: int, timeout_s: float = 20.0) -> float:
        """Waits until a revision is in force on all instances.

        Returns:
            The seconds waited.
        """
        return wait_for(
            lambda: all(
                self.revision_of(instance) >= revision
                for instance in self.instances
            ),
            timeout_s,
            f"revision {revision} on all instances",
        )

    def wait_joined(self, timeout_s: float = 20.0) -> None:
        """Waits until each instance knows the status of all others."""
        names = {instance.name for instance in self.instances}
        wait_for(
            lambda: all(
                self._known_instances(instance) == names
                for instance in self.instances
            ),
            timeout_s,
            "all instances knowing one another",
        )

    def _known_instances(self, instance: Instance) -> set[str]:
        rows = self.admin(instance, "GET", "status")["instances"]
        return {row["instance"] for row in rows}

    def revision_of(self, instance: Instance) -> int:
        """Returns an instance's revision in force; 0 if it can't be read."""
        try:
            return int(self.admin(instance, "GET", "config")["revision"])
        except (RuntimeError, TargetError):
            return 0

    def faults(self, name: str, **faults: object) -> None:
        """Replaces the active faults of a stand-in; no arguments clear them."""
        self.put(name, "/faults", faults)

    def put(self, name: str, path: str, body: object) -> Any:
        """Sends a PUT request to a stand-in; returns the decoded body."""
        client = HttpClient(self.addresses_by_name[name])
        return json.loads(request(client, "PUT", path, body).body)

    def post(self, name: str, path: str, body: object) -> Any:
        """Sends a POST request to a stand-in; returns the decoded body."""
        client = HttpClient(self.addresses_by_name[name])
        return json.loads(request(client, "POST", path, body).body)

    def get(self, name: str, path: str) -> Any:
        """Sends a GET request to a stand-in; returns the decoded body."""
        client = HttpClient(self.addresses_by_name[name])
        return json.loads(request(client, "GET", path).body)

    def wait_ready(self, names: Sequence[str]) -> None:
        """Waits until stand-ins accept connections."""
        for name in names:
            address = self.addresses_by_name[name]
            wait_for(
                lambda address=address: _accepts_connections(address),  # type: ignore[misc]
                START_TIMEOUT_S,
                f"start of {name}",
            )

    def wait_started(self) -> None:
        """Waits until all daemons accept requests on all interfaces."""
        for instance in self.instances:
            for kind, address in instance.addresses_by_flag.items():
                wait_for(
                    lambda address=address: _accepts_connections(address),  # type: ignore[misc]
                    START_TIMEOUT_S,
                    f"start of {instance.name}'s {kind} interface",
                )

    def spawn(
        self, name: str, argv: Sequence[str], root: pathlib.Path = ROOT
    ) -> Process:
        """Starts a Python process that is stopped with the fleet."""
        process = Process(name, argv, self._folder, root)
        self._processes.append(process)
        return process

    def _write_file(self, name: str, text: str) -> str:
        path = pathlib.Path(self._folder) / name
        path.write_text(text)
        return str(path)


def request(
    client: HttpClient,
    method: str,
    path: str,
    body: object = None,
    *,
    token: str = "",
    headers: dict[str, str] | None = None,
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> HttpResponse:
    """Sends a request with an optional JSON body."""
    sent_headers = dict(headers or {})
    if token:
        sent_headers["Authorization"] = f"Bearer {token}"
    data = None
    if body is not None:
        data = json.dumps(body).encode()
        sent_headers["Content-Type"] = "application/json"
    deadline = monotonic() + timeout_s
    return client.request(
        method, path, deadline, body=data, headers=sent_headers
    )


def _accepts_connections(address: Address) -> bool:
    try:
        with socket.create_connection(address, timeout=1.0):
            return True
    except OSError:
        return False


def client_of(address: str) -> HttpClient:
    """Returns an HTTP client for an address of the form `HOST:PORT`."""
    return HttpClient(parse_address(address))
