"""Starts daemons and stand-ins as processes on loopback, and ends them.

Used by the demo, the benchmarks and the process tests. Each target of a
configuration becomes one stand-in on a free port.
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
CALL_TIMEOUT_S = 10.0
POLL_S = 0.05
FIRST_PORT = 10_000
LAST_PORT = 32_000
PORTS_FILE = pathlib.Path(tempfile.gettempdir()) / "hibiscuspin-ports.lock"
ADMIN_TOKEN = "fleet-admin-token"
PEER_SECRET = "fleet-peer-secret"


_ports = PORTS_FILE.open("ab")
_reserved: set[int] = set()


def free_address() -> Address:
    """Reserves a loopback port that is free now, until this process ends.

    Ports lie below those that the system gives to outgoing connections. The
    reservation is a lock on one byte of a file, at the port's offset.
    """
    first = max(_reserved, default=FIRST_PORT - 1) + 1
    for port in range(first, LAST_PORT):
        with contextlib.suppress(OSError), socket.socket() as probe:
            fcntl.lockf(_ports, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
            _reserved.add(port)
            probe.bind(("127.0.0.1", port))
            return Address("127.0.0.1", port)
    raise RuntimeError("no port is free")


def wait_for(
    condition: Callable[[], bool], timeout_s: float, what: str
) -> float:
    """Waits until a condition holds; returns the seconds it took.

    Raises:
        TimeoutError: It did not hold in time.
    """
    start = monotonic()
    while monotonic() - start < timeout_s:
        if condition():
            return monotonic() - start
        time.sleep(POLL_S)
    raise TimeoutError(f"{what} did not happen within {timeout_s} s")


class Process:
    """One process that the fleet started."""

    def __init__(self, name: str, argv: Sequence[str], folder: str) -> None:
        self.name = name
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        environ = {**os.environ, "PYTHONPATH": str(ROOT)}
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *argv],
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
                env=environ,
                cwd=ROOT,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def running(self) -> bool:
        """Tells whether the process has not ended."""
        return self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal."""
        if self.running():
            self._process.send_signal(number)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Asks the process to end, and kills it if it does not.

        Returns:
            The exit code; negative if a signal ended it.
        """
        self.send(signal.SIGTERM)
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """Kills the process."""
        self.send(signal.SIGKILL)
        return self._process.wait()


class Instance(NamedTuple):
    """One daemon and its addresses."""

    name: str
    data_centre: str
    process: Process
    caller: HttpClient
    trainer: HttpClient
    admin: HttpClient
    addresses_by_flag: dict[str, Address]


class Fleet:
    """All processes of one run; a context manager that ends them."""

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self._processes: list[Process] = []
        self.instances: list[Instance] = []
        self.standins_by_name: dict[str, Process] = {}
        self.addresses_by_name: dict[str, Address] = {}
        self._files_by_name = {
            "admin-token": self._file("admin-token", ADMIN_TOKEN),
            "peer-secret": self._file("peer-secret", PEER_SECRET),
        }

    @classmethod
    @contextlib.contextmanager
    def running(cls):  # type: ignore[no-untyped-def]
        """Yields an empty fleet and ends its processes afterwards."""
        with tempfile.TemporaryDirectory(prefix="hibiscuspin-") as folder:
            fleet = cls(folder)
            try:
                yield fleet
            finally:
                fleet.close()

    def close(self) -> None:
        """Ends all processes, the newest first."""
        for process in reversed(self._processes):
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        for process in reversed(self._processes):
            process.stop(timeout_s=3.0)

    def standin(self, module: str, name: str, *flags: str) -> Address:
        """Starts a stand-in and returns its address."""
        address = self.address(name)
        argv = ["-m", f"standins.{module}", "--address", str(address), *flags]
        self.standins_by_name[name] = self.spawn(name, argv)
        self.addresses_by_name[name] = address
        return address

    def address(self, name: str) -> Address:
        """Returns a stand-in's address, which is reserved if it is new."""
        if name not in self.addresses_by_name:
            self.addresses_by_name[name] = free_address()
        return self.addresses_by_name[name]

    def platform(self, lag_s: float = 0.5) -> None:
        """Starts the store and the instance list."""
        self.standin("store", "store")
        self.standin("instances", "instances", "--lag-s", str(lag_s))
        self.wait_ready(["store", "instances"])

    def targets(self, folder: str, token_s: float = 0.005) -> Config:
        """Starts a stand-in for each target of a configuration folder.

        Returns:
            The configuration with the stand-ins' addresses.
        """
        return self.start_targets(self.load(folder), token_s)

    @staticmethod
    def load(folder: str) -> Config:
        """Reads a configuration folder."""
        return load_folder(ROOT / folder)

    def start_targets(
        self, config: Config, token_s: float = 0.005, threads: int = 0
    ) -> Config:
        """Starts a stand-in for each target, and sets its address.

        Args:
            config: The targets to stand in for; changed in place.
            token_s: Seconds that an engine takes for a token.
            threads: Threads of each stand-in; 0 for its default. Many
                stand-ins with the default meet the system's limit.
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
        """Starts one daemon."""
        listening = ("caller", "trainer", "admin", "peer")
        known = next((i for i in self.instances if i.name == name), None)
        addresses = (
            known.addresses_by_flag
            if known
            else {kind: free_address() for kind in listening}
        )
        argv = ["-m", "hibiscuspin.daemon", "--instance", name]
        argv += ["--data-centre", data_centre]
        for kind, address in addresses.items():
            argv += [f"--{kind}-address", str(address)]
        argv += ["--store-address", str(self.addresses_by_name["store"])]
        listing = str(self.addresses_by_name["instances"])
        argv += ["--instance-list-address", listing]
        argv += ["--admin-token-file", self._files_by_name["admin-token"]]
        argv += ["--peer-secret-file", self._files_by_name["peer-secret"]]
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
        """Writes the running daemons into the instance list."""
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
        """Applies a configuration through the first instance."""
        body = {"config": config, "seen": seen, "author": "fleet"}
        answer = self.admin(self.instances[0], "PUT", "config", body)
        return int(answer["revision"])

    def admin(
        self, instance: Instance, method: str, path: str, body: object = None
    ) -> Any:
        """Calls the administration interface; returns the decoded answer."""
        answer = request(
            instance.admin,
            method,
            f"/admin/v1/{path}",
            body,
            token=ADMIN_TOKEN,
        )
        decoded = json.loads(answer.body)
        if answer.status >= 300:
            raise RuntimeError(f"{path}: {decoded}")
        return decoded

    def wait_configured(self, revision: int, timeout_s: float = 20.0) -> float:
        """Waits until all instances hold a revision; returns the seconds."""
        return wait_for(
            lambda: all(
                self.revision_of(instance) >= revision
                for instance in self.instances
            ),
            timeout_s,
            f"revision {revision} on all instances",
        )

    def revision_of(self, instance: Instance) -> int:
        """Returns the revision in force on an instance, or 0."""
        try:
            return int(self.admin(instance, "GET", "config")["revision"])
        except (RuntimeError, TargetError):
            return 0

    def faults(self, name: str, **faults: object) -> None:
        """Switches the faults of a stand-in; none means healthy."""
        self.put(name, "/faults", faults)

    def put(self, name: str, path: str, body: object) -> Any:
        """Sends a stand-in a PUT and returns the decoded answer."""
        client = HttpClient(self.addresses_by_name[name])
        return json.loads(request(client, "PUT", path, body).body)

    def post(self, name: str, path: str, body: object) -> Any:
        """Sends a stand-in a POST and returns the decoded answer."""
        client = HttpClient(self.addresses_by_name[name])
        return json.loads(request(client, "POST", path, body).body)

    def get(self, name: str, path: str) -> Any:
        """Reads a path of a stand-in."""
        client = HttpClient(self.addresses_by_name[name])
        return json.loads(request(client, "GET", path).body)

    def wait_ready(self, names: Sequence[str]) -> None:
        """Waits until stand-ins accept connections."""
        for name in names:
            address = self.addresses_by_name[name]
            wait_for(
                lambda address=address: _accepts(address),  # type: ignore[misc]
                START_TIMEOUT_S,
                f"start of {name}",
            )

    def wait_started(self) -> None:
        """Waits until all daemons accept requests on all interfaces."""
        for instance in self.instances:
            for kind, address in instance.addresses_by_flag.items():
                wait_for(
                    lambda address=address: _accepts(address),  # type: ignore[misc]
                    START_TIMEOUT_S,
                    f"start of {instance.name}'s {kind} interface",
                )

    def spawn(self, name: str, argv: Sequence[str]) -> Process:
        """Starts a process that ends with the fleet."""
        process = Process(name, argv, self._folder)
        self._processes.append(process)
        return process

    def _file(self, name: str, text: str) -> str:
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
    timeout_s: float = CALL_TIMEOUT_S,
) -> HttpResponse:
    """Sends a JSON request and returns the whole answer."""
    sent = dict(headers or {})
    if token:
        sent["Authorization"] = f"Bearer {token}"
    data = None
    if body is not None:
        data = json.dumps(body).encode()
        sent["Content-Type"] = "application/json"
    deadline = monotonic() + timeout_s
    return client.request(method, path, deadline, body=data, headers=sent)


def _accepts(address: Address) -> bool:
    try:
        with socket.create_connection(address, timeout=1.0):
            return True
    except OSError:
        return False


def client_of(address: str) -> HttpClient:
    """Returns a client of `HOST:PORT`."""
    return HttpClient(parse_address(address))
