"""Starts a small deployment on loopback addresses for one script.

Instances run with the command of the deploy file and a settings file like
those of the users' small deployments. Store and targets are the project's
stand-ins. All processes end with the `with` block.
"""

import base64
import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

ROOT = pathlib.Path(__file__).parent.parent.parent
HOST = "h.example"
MODEL = "m1"
START_TIMEOUT_S = 20.0
FIRST_PORT = 12_000
LAST_PORT = 31_000
# Scripts that run at the same time begin at other ports.
PORTS_PER_RUN = 100


class Record:
    """What was sent, answered and run; written to `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def add(self, text: str) -> None:
        """Writes a line with the time since the start."""
        with self._lock:
            took_s = time.monotonic() - self._started
            print(f"{took_s:8.3f} {text}", file=self._file, flush=True)


class Deployment:
    """The processes of one run."""

    def __init__(self, record: Record, folder: str) -> None:
        self.record = record
        self._folder = pathlib.Path(folder)
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._port_by_key: dict[str, int] = {}
        self._next_port = FIRST_PORT + os.getpid() * PORTS_PER_RUN % (
            LAST_PORT - FIRST_PORT
        )
        self._config_version = 0
        self._lock = threading.Lock()
        self._is_closed = False

    @classmethod
    @contextlib.contextmanager
    def running(cls, record: Record) -> Iterator["Deployment"]:
        """Yields a deployment without processes; ends them afterwards."""
        with tempfile.TemporaryDirectory(prefix="hibiscuspin-") as folder:
            deployment = cls(record, folder)
            try:
                yield deployment
            finally:
                deployment.close()

    def close(self) -> None:
        """Ends all processes that this run started."""
        with self._lock:
            self._is_closed = True
        for process in self._process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def port(self, key: str, adjacent: int = 1) -> int:
        """Returns a free port for a purpose, with free ones behind it."""
        while key not in self._port_by_key:
            first = self._next_port
            self._next_port += adjacent
            if self._next_port >= LAST_PORT:
                self._next_port = FIRST_PORT
            if all(_is_free(first + n) for n in range(adjacent)):
                self._port_by_key[key] = first
        return self._port_by_key[key]

    def address(self, key: str) -> str:
        """Returns the loopback address of a purpose."""
        return f"127.0.0.1:{self.port(key)}"

    def spawn(
        self, name: str, *argv: str, env: Mapping[str, str] | None = None
    ) -> None:
        """Starts a Python program of this repository.

        Raises:
            RuntimeError: The run has ended.
        """
        with self._lock:
            if self._is_closed:
                raise RuntimeError("the run has ended")
            self._spawn(name, argv, env or {})

    def _spawn(
        self, name: str, argv: Sequence[str], env: Mapping[str, str]
    ) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self._process_by_name[name] = subprocess.Popen(
                [sys.executable, *argv],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    **os.environ,
                    "PYTHONPATH": f"{ROOT}/target/deps:{ROOT}",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    **env,
                },
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this run started."""
        self.record.add(f"{number.name} to {name}")
        self._process_by_name[name].send_signal(number)

    def wait_ended(self, name: str) -> int:
        """Waits for the end of a process; returns its exit code."""
        return self._process_by_name[name].wait()

    def is_running(self, name: str) -> bool:
        """Returns whether a process runs."""
        return self._process_by_name[name].poll() is None

    def log_lines(self, name: str) -> list[dict[str, Any]]:
        """Returns the log of an instance."""
        text = (self._folder / f"{name}.log").read_text(errors="replace")
        rows = []
        for line in text.splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows

    def start_store(self, *, gate: bool = False) -> None:
        """Starts the store, and a relay that can lose its answers."""
        argv = ("-m", "standins.platform_store", "--address")
        self.spawn("store", *argv, self.address("store"))
        self.wait(lambda: self.is_listening("store"), "the store")
        if gate:
            argv = ("-m", "review.second.store_gate", "--address")
            store = ("--store", self.address("store"))
            self.spawn("gate", *argv, self.address("gate"), *store)
            self.wait(lambda: self.is_listening("gate"), "the relay")

    def start_target(
        self,
        name: str,
        service: str,
        model: str = "",
        slots: int = 16,
        module: str = "standins.platform_engine",
        advertised: str = "",
    ) -> None:
        """Starts a model engine, or a plain service without a model.

        Its registration names the address of `advertised`, if that is given.
        """
        flags = ["--name", name, "--service", service, "--zone", "zone-a"]
        flags += ["--store", self.address("store"), "--model", model]
        flags += ["--slots", str(slots)]
        if advertised:
            flags += ["--advertised", self.address(advertised)]
        argv = ("-m", module, "--address")
        self.spawn(name, *argv, self.address(name), *flags)

    def start_instance(
        self, name: str, zone: str, *, bootstrap: bool, store: str = "store"
    ) -> None:
        """Starts an instance with the command of the deploy file."""
        path = self._folder / f"{name}.yaml"
        # JSON is YAML.
        settings = self._settings(name, zone, bootstrap, store)
        path.write_text(json.dumps(settings))
        env = {
            "HIBISCUSPIN_BOOT": str(path),
            "HIBISCUSPIN_METRICS_PORT": str(self.port(f"{name} metrics")),
        }
        self.spawn(name, "-m", "hibiscuspin.platform", env=env)

    def _settings(
        self, name: str, zone: str, bootstrap: bool, store: str
    ) -> dict[str, Any]:
        first = self.port(f"{name} peers", adjacent=4)
        return {
            "node_name": name,
            "role": "instance",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "region-a",
            "zones": {"zone-a": "region-a", "zone-b": "region-a"},
            "listen": {
                "front": self.address(f"{name} front"),
                "readiness": self.address(f"{name} ready"),
            },
            "internal_ports": [first, first + 3],
            "bootstrap": bootstrap,
            "limits": {"memory_mb": 300, "max_fds": 4100},
            "bounds": {
                "contact_ms": 3000,
                "drain_ms": 2500,
                "grace_s": 8,
                "status_s": 120,
                "settle_ms": 1000,
                "lease_ms": 3000,
            },
            "platform": {"address": self.address(store)},
        }

    def configure(self, rows: list[dict[str, Any]]) -> None:
        """Writes the next configuration to the store."""
        self._config_version += 3
        self.put_key(
            "op/config",
            {
                "version": self._config_version,
                "routes": rows,
                "services": [
                    {"name": "llm", "engine": {"stride": 1}},
                    {"name": "app"},
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 1 << 25,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
            },
        )

    def put_key(self, key: str, value: object) -> None:
        """Writes a key to the store, as an operator does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        body = {"writes": [{"key": key, "value": encoded}]}
        self.request("store", "POST", "/hibiscuspin/kv-txn", body)

    def read_key(self, key: str) -> bytes | None:
        """Reads a key from the store; None if it does not exist."""
        path = f"/hibiscuspin/kv-key?key={key}"
        status, body = self.request("store", "GET", path)
        return base64.b64decode(body["value"]) if status == 200 else None

    def request(
        self,
        key: str,
        method: str,
        path: str,
        body: object = None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> tuple[int, Any]:
        """Sends a request; returns status and decoded body.

        Raises:
            OSError: There was no complete response.
        """
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.port(key), timeout=timeout_s
        )
        encoded = None if body is None else json.dumps(body).encode()
        try:
            connection.request(method, path, encoded, dict(headers or {}))
            response = connection.getresponse()
            data = response.read()
        except http.client.HTTPException as error:
            raise OSError(f"no complete response: {error!r}") from error
        finally:
            connection.close()
        try:
            return response.status, json.loads(data or b"null")
        except ValueError:
            return response.status, data

    def wait(
        self, condition: Any, what: str, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Waits for a condition.

        Raises:
            TimeoutError: It did not hold in time.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                if condition():
                    return
            time.sleep(0.02)
        raise TimeoutError(f"no {what} within {timeout_s} s")

    def is_listening(self, key: str) -> bool:
        """Returns whether an address accepts connections."""
        with contextlib.suppress(OSError):
            target = ("127.0.0.1", self.port(key))
            socket.create_connection(target, 1.0).close()
            return True
        return False

    def is_ready(self, name: str) -> bool:
        """Returns whether an instance reports itself ready."""
        return (
            self.request(f"{name} ready", "GET", "/hibiscuspin/ready")[0] == 200
        )

    def submit(
        self,
        name: str,
        job: str,
        items: list[dict[str, Any]],
        groups: int,
        model: str = MODEL,
    ) -> int:
        """Submits a batch job at an instance; returns the status."""
        body = {
            "step": 0,
            "model": model,
            "min_version": 1,
            "group_count": groups,
            "items": items,
        }
        headers = {
            "Host": HOST,
            "X-Request-Id": job,
            "Content-Type": "application/json",
            "X-Deadline-Ms": "4000",
        }
        status, _ = self.request(
            f"{name} front", "POST", "/jobs/x", body, headers
        )
        self.record.add(f"job {job} at {name}: {status}")
        return status

    def results(self, name: str, job: str, after: int) -> tuple[int, Any]:
        """Reads a batch job's results from a position on."""
        path = f"/hibiscuspin/lots/{job}?after={after}"
        headers = {"Host": HOST, "X-Wait-Ms": "1000"}
        return self.request(
            f"{name} front", "GET", path, None, headers, timeout_s=2.5
        )

    def runs(self, name: str) -> list[dict[str, Any]]:
        """Returns what a target has run."""
        rows: list[dict[str, Any]] = self.request(name, "GET", "/runs")[1]
        return rows


def run_case(
    folder: pathlib.Path, play: Callable[[Deployment, Record], int]
) -> int:
    """Runs a case; returns its exit code.

    Args:
        folder: The case's folder, where the record is written.
        play: Starts the processes and plays the case; returns 1 if the rule
            was broken, else 0.
    """
    record = Record(folder / "record.txt")
    # A time limit then ends the processes too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        with Deployment.running(record) as deployment:
            return play(deployment, record)
    except (Exception, KeyboardInterrupt):
        record.add(f"the case couldn't run:\n{traceback.format_exc()}")
        return 2


def job_route(**fields: Any) -> dict[str, Any]:
    """Returns the route of batch jobs."""
    return {
        "name": "jobs",
        "host": HOST,
        "prefix": "/jobs/",
        "type": "sampling",
        "timeout_ms": 10000,
        "slo_ms": 500,
        "service": "llm",
        "max_attempts": 3,
        "queue_ttl_s": 40,
        "due_ms": 7500,
        "single_version": False,
        "resumable": True,
        **fields,
    }


def item(
    job: str, group: int, number: int, events: int, model: str = MODEL
) -> dict[str, Any]:
    """Returns an item of a batch job."""
    return {
        "id": f"{job}-{group}-{number}",
        "path": "/jobs/x",
        "headers": {"X-Model": model, "X-Token-Count": f"9,{events}"},
        "body": base64.b64encode(b"prompt").decode(),
        "tokens": 9 + events,
        "group": f"{job}-{group}",
    }


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
