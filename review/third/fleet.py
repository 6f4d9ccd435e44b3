"""Runs a small deployment as separate processes on loopback addresses."""

import base64
import contextlib
import http.client
import itertools
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
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, NamedTuple

ROOT = pathlib.Path(__file__).parent.parent.parent
HOST = "ficu95.example"
# The ports of an instance: clients, readiness, other instances, metrics.
FRONT_PORT, READY_PORT, METRICS_PORT = 8263, 8268, 9464
INTERNAL_PORTS = [7300, 7315]
START_S = 20.0
CALL_S = 10.0
HELD, BROKEN, UNUSABLE = 0, 1, 2
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 33554432,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2500,
    "grace_s": 8,
    "config_apply_ms": 2500,
    "recover_s": 12,
    "finish_s": 10,
    "status_s": 120,
    "cancel_ms": 3000,
    "settle_ms": 1000,
    "fencing_required": False,
    "lease_ms": 3000,
    "thaw_ms": 300,
}


class Answer(NamedTuple):
    """A response; the status is 0 if the connection broke."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Decodes the body."""
        return json.loads(self.body)


class Fleet:
    """The processes of one run, and its record."""

    def __init__(self, folder: str, record_path: pathlib.Path) -> None:
        self._folder = pathlib.Path(folder)
        self._record = record_path.open("w")
        self._lock = threading.Lock()
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._hosts = (
            f"127.0.{os.getpid() % 200 + 20}.{n}" for n in itertools.count(1)
        )
        self._started_at = time.time()
        self._version = 0
        # Bounds that differ from the usual ones.
        self.bounds: dict[str, int] = {}
        self.front_by_name: dict[str, str] = {}
        self._ready_by_name: dict[str, str] = {}
        self.store = self._address()

    @classmethod
    @contextlib.contextmanager
    def running(cls, script: str) -> Iterator["Fleet"]:
        """Yields a fleet with a store; ends all processes afterwards.

        Args:
            script: The script; its record stands beside it.
        """
        record_path = pathlib.Path(script).parent / "record.txt"
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            fleet = cls(folder, record_path)
            try:
                fleet._start_store()
                yield fleet
            finally:
                fleet._end()

    def note(self, text: str) -> None:
        """Writes a line to the record."""
        with self._lock:
            at = time.time() - self._started_at
            self._record.write(f"{at:9.3f} {text}\n")
            self._record.flush()

    def _address(self) -> str:
        host = next(self._hosts)
        with socket.socket() as probe:
            probe.bind((host, 0))
            return f"{host}:{probe.getsockname()[1]}"

    def _spawn(self, name: str, words: Sequence[str], **environ: str) -> None:
        path = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        with (self._folder / f"{name}.log").open("ab") as log:
            self._process_by_name[name] = subprocess.Popen(
                [sys.executable, *words],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": path, **environ},
            )

    def log(self, name: str) -> str:
        """Returns what a process has written."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def pid(self, name: str) -> int:
        """Returns the id of a process."""
        return self._process_by_name[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self._process_by_name[name].send_signal(number)

    def kill(self, *names: str) -> None:
        """Kills processes at the same moment, and waits for their end."""
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            self._process_by_name[name].wait()

    def _end(self) -> None:
        for process in self._process_by_name.values():
            process.kill()
        for process in self._process_by_name.values():
            process.wait()
        self._record.close()

    def _start_store(self) -> None:
        words = ["-m", "standins.platform_store", "--address", self.store]
        self._spawn("store", words)
        wait_for(lambda: self._store_call("GET", "kv-range?prefix=x").status)

    def _store_call(self, method: str, name: str, body: Any = None) -> Answer:
        data = json.dumps(body).encode() if body is not None else None
        return send(self.store, method, f"/hibiscuspin/{name}", data, {})

    def put(self, key: str, value: Any) -> None:
        """Writes a key, as the operator and trainers do."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        body = {"writes": [{"key": key, "value": text}]}
        answer = self._store_call("POST", "kv-txn", body)
        self.note(f"store acknowledged {key}: {answer.status}")

    def holder(self, job: str) -> str:
        """Returns which machine holds a batch job, by its key in the store."""
        answer = self._store_call("GET", f"kv-key?key=hibiscuspin/jobs/{job}")
        value = base64.b64decode(answer.json()["value"])
        return json.loads(value)["holder"]

    def coordinator(self) -> str:
        """Returns which machine orders engines, by its key in the store."""
        path = "kv-key?key=hibiscuspin/live/coordinator"
        answer = self._store_call("GET", path)
        return base64.b64decode(answer.json()["value"]).decode()

    def configure(
        self,
        routes: Sequence[Mapping[str, Any]],
        services: Sequence[Mapping[str, Any]],
    ) -> None:
        """Writes the next configuration."""
        self._version += 3
        self.put(
            "op/config",
            {
                "version": self._version,
                "routes": routes,
                "services": services,
                "limits": LIMITS,
            },
        )

    def start_engine(self, name: str, service: str, zone: str, **flags: Any):
        """Starts an engine."""
        address = self._address()
        words = ["-m", "review.third.engine", "--name", name]
        words += ["--service", service, "--zone", zone, "--address", address]
        words += ["--store", self.store]
        words += ["--record", str(self._folder / "runs.jsonl")]
        for flag, value in flags.items():
            words += [f"--{flag}", str(value)]
        self._spawn(name, words)
        self.note(f"engine {name} of {service} starts at {address}")

    def runs(self) -> list[dict[str, Any]]:
        """Returns what all engines have recorded."""
        path = self._folder / "runs.jsonl"
        text = path.read_text() if path.exists() else ""
        return [json.loads(line) for line in text.splitlines()]

    def wait_registered(self, count: int) -> None:
        """Waits until so many engines are registered."""
        wait_for(lambda: len(self._servers()) >= count)

    def _servers(self) -> list[Any]:
        answer = self._store_call("GET", "kv-range?prefix=servers/")
        return answer.json()["items"] if answer.status == 200 else []

    def start_instance(
        self, name: str, zone: str, zones: Mapping[str, str], **limits: Any
    ) -> None:
        """Starts an edge machine's process, or starts it again."""
        path = self._folder / f"{name}.yaml"
        if name not in self.front_by_name:
            self._write_settings(path, name, zone, zones, limits)
        self._spawn(
            name, ["-m", "hibiscuspin.platform"], HIBISCUSPIN_BOOT=str(path)
        )
        self.note(f"{name} starts; clients call {self.front_by_name[name]}")

    def _write_settings(
        self,
        path: pathlib.Path,
        name: str,
        zone: str,
        zones: Mapping[str, str],
        limits: Mapping[str, Any],
    ) -> None:
        ip = next(host for host in self._hosts if _has_free_ports(host))
        front, ready = f"{ip}:{FRONT_PORT}", f"{ip}:{READY_PORT}"
        self.front_by_name[name] = front
        self._ready_by_name[name] = ready
        settings = {
            "node_name": name,
            "role": "instance",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": zone,
            "region": zones[zone],
            "zones": dict(zones),
            "listen": {"front": front, "readiness": ready},
            "internal_ports": INTERNAL_PORTS,
            "bootstrap": True,
            "limits": {"memory_mb": 300, "max_fds": 4100, **limits},
            "heartbeat_ms": 1200,
            "bounds": {**BOUNDS, **self.bounds},
            "platform": {
                "address": self.store,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        # JSON is YAML.
        path.write_text(json.dumps(settings))

    def wait_ready(self) -> None:
        """Waits until all instances are ready."""
        for address in self._ready_by_name.values():
            wait_for(lambda a=address: self._is_ready(a))

    def _is_ready(self, address: str) -> bool:
        return (
            send(address, "GET", "/hibiscuspin/ready", None, {}).status == 200
        )

    def call(
        self,
        name: str,
        method: str,
        path: str,
        request_id: str,
        body: bytes | None = None,
        **headers: str,
    ) -> Answer:
        """Sends one client's request to an instance, and records it."""
        fields = {"Host": HOST, "X-Request-Id": request_id}
        fields |= {key.replace("_", "-"): v for key, v in headers.items()}
        self.note(f"sent to {name}: {method} {path} {request_id}")
        answer = send(self.front_by_name[name], method, path, body, fields)
        shown = answer.body[:200].decode(errors="replace")
        self.note(f"answered {request_id}: {answer.status} {shown}")
        return answer

    def finish(self, broken: Sequence[str]) -> int:
        """Records the engines' runs and the verdict; returns the exit code."""
        for row in self.runs():
            self.note(f"engine: {json.dumps(row)}")
        for text in broken:
            self.note(f"BROKEN: {text}")
        self.note("broken" if broken else "held")
        return BROKEN if broken else HELD


def _has_free_ports(host: str) -> bool:
    """Returns whether an instance can listen at an address."""
    first = INTERNAL_PORTS[0]
    for port in (FRONT_PORT, READY_PORT, METRICS_PORT, first, first + 1):
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def wait_for(condition: Any, timeout_s: float = START_S) -> None:
    """Waits until a condition is true.

    Raises:
        TimeoutError: It did not become true.
    """
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= until:
            raise TimeoutError("the deployment did not become ready")
        time.sleep(0.05)


def send(
    address: str,
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
    timeout_s: float = CALL_S,
) -> Answer:
    """Sends a request on a new connection."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, dict(headers))
        response = connection.getresponse()
        data = response.read()
        return Answer(response.status, dict(response.headers), data)
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, {}, repr(error).encode())
    finally:
        connection.close()


def has_trouble() -> bool:
    """Returns whether the script brings about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_script(script: str, body: Any) -> None:
    """Runs a script in a fleet and exits with its code."""
    # The processes are ended on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(UNUSABLE))
    try:
        with Fleet.running(script) as fleet:
            code = body(fleet)
    except Exception:
        traceback.print_exc()
        code = UNUSABLE
    sys.exit(code)
