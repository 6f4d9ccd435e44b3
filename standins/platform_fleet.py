"""Runs instances and the platform's stand-ins as processes on loopback."""

import base64
import contextlib
import os
import pathlib
import time
from collections.abc import Collection, Iterator, Mapping, Sequence
from typing import Any, NamedTuple

import msgspec
import yaml

from bench.fleet import ROOT, Fleet, Process, free_address, wait_for
from hibiscuspin.clock import monotonic
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient, HttpResponse, HttpStream
from hibiscuspin.settings import Address
from soak.proxy import Proxy
from standins.builds import unpack_build

__all__ = [
    "CALLS_PREFIX",
    "HOST",
    "MODEL",
    "PlatformFleet",
    "PlatformInstance",
    "reward_id",
]

HOST = "h.example"
MODEL = "m1"
JOBS_PREFIX = "/jobs/"
CALLS_PREFIX = "/calls/"
STREAMS_PREFIX = "/streams/"
REWARD_PATH = f"{CALLS_PREFIX}reward"
FAILING_REWARD_PATH = f"{CALLS_PREFIX}reward/fails"
GRACE_S = 8
CALL_TIMEOUT_S = 10.0
START_TIMEOUT_S = 20.0
# Length of the log's end that is shown if an instance does not start.
LOG_TAIL_CHARS = 4000
DATA_CENTRES = ("cba-a", "cba-b")


class PlatformInstance(NamedTuple):
    """One instance process with clients for its listeners."""

    name: str
    process: Process
    caller_client: HttpClient
    readiness_client: HttpClient
    boot_path: pathlib.Path


class PlatformFleet:
    """A store, targets and instances as processes."""

    def __init__(
        self, fleet: Fleet, folder: str, proxied: bool = False
    ) -> None:
        self._fleet = fleet
        self._folder = pathlib.Path(folder)
        self._config_version = 0
        # The limits on requests in the configuration.
        self.request_limits: dict[str, int] = dict(_REQUEST_LIMITS)
        # What the settings file says of the machine; empty for nothing.
        self.machine_limits: dict[str, int] = {}
        # The organisations of the configuration; None for a deployment
        # without any.
        # The key that callers send; empty for none.
        self.key = ""
        self.tenants: Sequence[Mapping[str, Any]] | None = None
        self.instance_by_name: dict[str, PlatformInstance] = {}
        self._address_by_key: dict[str, Address] = {}
        self._proxied = proxied
        self._proxy_by_key: dict[str, Proxy] = {}
        self._target_names: set[str] = set()
        self.software_by_target: dict[str, str] = {}
        self.store = self._fleet.standin("platform_store", "store")
        self._store_client = HttpClient(self.store)

    @classmethod
    @contextlib.contextmanager
    def running(
        cls,
        folder: str,
        engines: int = 3,
        instances: int = 2,
        proxied: bool = False,
        request_limits: Mapping[str, int] | None = None,
        machine_limits: Mapping[str, int] | None = None,
        slots: int = 0,
    ) -> Iterator["PlatformFleet"]:
        """Yields a fleet that serves calls, and ends its processes afterwards.

        Args:
            folder: Folder for the settings files of the instances.
            engines: Number of model engines.
            instances: Number of instances.
            proxied: Whether connections to the store and to targets go through
                proxies that can inject faults.
            request_limits: Limits in the configuration that differ from the
                usual ones, by name.
            machine_limits: What the settings file says of the machine, by
                name.
            slots: The calls that a target runs at once; 0 for the default.
        """
        with Fleet.running() as fleet:
            platform = cls(fleet, folder, proxied)
            platform.request_limits |= request_limits or {}
            platform.machine_limits |= machine_limits or {}
            platform.wait_store()
            for number in range(engines):
                platform.start_target(f"e-{number}", "llm", MODEL, slots=slots)
            for number in range(2):
                platform.start_target(f"p-{number}", "app", "", slots=slots)
            platform.configure()
            for number in range(instances):
                platform.start_instance(f"edge-{number}")
            platform.wait_ready()
            platform.wait_registered()
            yield platform

    def log_tails(self, max_chars: int) -> dict[str, str]:
        """Returns the ends of the logs of all processes, by process name."""
        return self._fleet.log_tails(max_chars)

    def wait_store(self) -> None:
        """Waits until the store responds."""
        wait_for(self._store_responds, START_TIMEOUT_S, "the store's start")

    def _store_responds(self) -> bool:
        try:
            path = "/hibiscuspin/kv-range?prefix=x"
            self._store_client.request("GET", path, monotonic() + 1.0)
        except TargetError:
            return False
        return True

    def read_key(self, key: str) -> bytes | None:
        """Reads a key from the store; None if it does not exist."""
        path = f"/hibiscuspin/kv-range?prefix={key}"
        response = self._store_client.request(
            "GET", path, monotonic() + CALL_TIMEOUT_S
        )
        for item in msgspec.json.decode(response.body)["items"]:
            if item["key"] == key:
                return base64.b64decode(item["value"])
        return None

    def put_key(self, key: str, value: object) -> None:
        """Writes a key to the store, as an operator does."""
        self.put_bytes(key, msgspec.json.encode(value))

    def put_bytes(self, key: str, value: bytes) -> None:
        """Writes any bytes to a key of the store."""
        encoded = base64.b64encode(value).decode()
        body = {"writes": [{"key": key, "value": encoded}]}
        self._store_client.request(
            "POST",
            "/hibiscuspin/kv-txn",
            monotonic() + CALL_TIMEOUT_S,
            body=msgspec.json.encode(body),
        )

    def set_faults(self, name: str, **faults: Any) -> None:
        """Sets the faults of a stand-in; without any it is healthy again."""
        address = self._fleet.addresses_by_name[name]
        body = msgspec.json.encode(faults)
        HttpClient(address).request(
            "PUT", "/faults", monotonic() + CALL_TIMEOUT_S, body=body
        )

    def start_target(
        self,
        name: str,
        service: str,
        model: str,
        version: int = 1,
        software: str = "v1",
        slots: int = 0,
    ) -> None:
        """Starts a model engine, or a plain service if `model` is empty.

        Args:
            name: The target's name.
            service: Its service.
            model: The model whose weights it serves.
            version: The version of these weights.
            software: The version of the target's own software.
            slots: The calls that it runs at once; 0 for the default.
        """
        self._target_names.add(name)
        self.software_by_target[name] = software
        flags = ["--name", name, "--service", service, "--zone", "cba-a"]
        flags += ["--store", str(self.store), "--model", model]
        flags += ["--version", str(version), "--software", software]
        if slots:
            flags += ["--slots", str(slots), "--threads", str(slots + 1)]
        if self._proxied:
            address = self._fleet.address(name)
            proxy = self._proxy(f"{name} link", address)
            flags += ["--advertised", str(proxy.address)]
        self._fleet.standin("platform_engine", name, *flags)

    def _proxy(self, key: str, address: Address) -> Proxy:
        if key not in self._proxy_by_key:
            self._proxy_by_key[key] = Proxy(address)
        return self._proxy_by_key[key]

    def target_proxy(self, name: str) -> Proxy:
        """Returns the proxy between all instances and a target."""
        return self._proxy(f"{name} link", self._fleet.address(name))

    def store_proxy(self, name: str) -> Proxy:
        """Returns the proxy between one instance and the store."""
        return self._proxy(f"{name} store", self.store)

    def target_names(self) -> list[str]:
        """Returns the names of all targets."""
        return sorted(self._target_names)

    def compact_store(self) -> None:
        """Drops the store's change history, as a compaction does."""
        self._store_client.request(
            "POST", "/compact", monotonic() + CALL_TIMEOUT_S
        )

    def kill_target(self, name: str) -> None:
        """Kills a target's process."""
        self._fleet.standins_by_name[name].kill()

    def is_target_running(self, name: str) -> bool:
        """Returns whether a target's process runs."""
        return self._fleet.standins_by_name[name].running()

    def target_records(self, name: str) -> list[dict[str, Any]]:
        """Returns the calls and orders that a target has executed."""
        client = HttpClient(self._fleet.addresses_by_name[name])
        response = client.request("GET", "/runs", monotonic() + CALL_TIMEOUT_S)
        runs: list[dict[str, Any]] = msgspec.json.decode(response.body)
        return runs

    def drain_target(self, name: str) -> None:
        """Makes a target report that it is draining."""
        client = HttpClient(self._fleet.addresses_by_name[name])
        client.request("POST", "/drain", monotonic() + CALL_TIMEOUT_S)

    def configure(self, **extra_routes: str) -> int:
        """Writes the next configuration; returns its version.

        Args:
            extra_routes: Service of each additional route, by route name.
        """
        self._config_version += 3
        calls = {"calls": "app", **extra_routes}
        routes = [_call_route(name, service) for name, service in calls.items()]
        tenants = {} if self.tenants is None else {"tenants": self.tenants}
        self.put_key(
            "op/config",
            {
                "version": self._config_version,
                **tenants,
                "routes": [_JOB_ROUTE, _STREAM_ROUTE, *routes],
                "services": [
                    {"name": "llm", "engine": {"stride": 1}},
                    {"name": "app"},
                ],
                "limits": self.request_limits,
            },
        )
        return self._config_version

    def start_instance(self, name: str, commit: str = "") -> PlatformInstance:
        """Starts an instance; one that ran before gets its old addresses.

        Args:
            name: The instance's name.
            commit: The commit whose build it runs; empty for the working
                tree.
        """
        root = unpack_build(commit, self._folder) if commit else ROOT
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._boot_settings(name)))
        process = self._spawn(name, path, root)
        instance = PlatformInstance(
            name,
            process,
            HttpClient(self._address(name, "front")),
            HttpClient(self._address(name, "ready")),
            path,
        )
        self.instance_by_name[name] = instance
        return instance

    def _spawn(
        self, name: str, path: pathlib.Path, root: pathlib.Path
    ) -> Process:
        environ = {
            "HIBISCUSPIN_BOOT": str(path),
            "HIBISCUSPIN_METRICS_PORT": str(self.metrics_address(name).port),
        }
        os.environ.update(environ)
        try:
            argv = ["-m", "hibiscuspin.platform"]
            return self._fleet.spawn(name, argv, root)
        finally:
            for variable in environ:
                del os.environ[variable]

    def metrics_address(self, name: str) -> Address:
        """Returns the address of an instance's metrics endpoint."""
        return self._address(name, "metrics")

    def caller_address(self, name: str) -> Address:
        """Returns the address at which an instance serves callers."""
        return self._address(name, "front")

    def _address(self, name: str, purpose: str) -> Address:
        key = f"{name} {purpose}"
        if key not in self._address_by_key:
            address = free_address()
            while purpose == "peer" and not self._has_next_port(address):
                address = free_address()
            self._address_by_key[key] = address
        return self._address_by_key[key]

    def _has_next_port(self, address: Address) -> bool:
        """Reserves a further port; returns whether it is the next one."""
        return free_address().port == address.port + 1

    def _boot_settings(self, name: str) -> dict[str, Any]:
        number = int(name.rpartition("-")[2])
        peer = self._address(name, "peer")
        store = self.store_proxy(name).address if self._proxied else self.store
        return {
            "node_name": name,
            "ip": peer.host,
            "zone": DATA_CENTRES[number % len(DATA_CENTRES)],
            "zones": dict.fromkeys(DATA_CENTRES, "ar-centro"),
            "listen": {
                "front": str(self._address(name, "front")),
                "readiness": str(self._address(name, "ready")),
            },
            "internal_ports": [peer.port, peer.port + 1],
            "limits": self.machine_limits,
            "bounds": {
                "drain_ms": 2500,
                "grace_s": GRACE_S,
                "status_s": 120,
                "lease_ms": 1000,
            },
            "platform": {"address": str(store)},
        }

    def wait_ready(self) -> None:
        """Waits until all instances are ready.

        Raises:
            TimeoutError: An instance is not ready in time; the message shows
                the end of its log.
        """
        for instance in self.instance_by_name.values():
            try:
                wait_for(
                    lambda instance=instance: self.is_ready(instance),  # type: ignore[misc]
                    START_TIMEOUT_S,
                    f"{instance.name} being ready",
                )
            except TimeoutError as error:
                log = instance.process.log_tail(LOG_TAIL_CHARS)
                raise TimeoutError(f"{error}\n{log}") from error

    def wait_registered(self) -> None:
        """Waits until all targets are registered and instances serve calls."""
        wait_for(
            lambda: self._registered_count() >= len(self._target_names),
            START_TIMEOUT_S,
            "the targets' registration",
        )
        # They register before they listen.
        self._fleet.wait_ready(sorted(self._target_names))
        for name in self.instance_by_name:
            wait_for(
                lambda name=name: self._serves_calls(name),  # type: ignore[misc]
                START_TIMEOUT_S,
                f"the first call at {name}",
            )

    def wait_discovered(self, targets: Collection[str]) -> None:
        """Waits until all instances have logged that they know some targets."""
        for instance in self.instance_by_name.values():
            log_path = instance.process.log_path
            wait_for(
                lambda path=log_path: _names_all(path.read_text(), targets),  # type: ignore[misc]
                START_TIMEOUT_S,
                f"the discovery of targets by {instance.name}",
            )

    def _serves_calls(self, name: str) -> bool:
        try:
            response = self.call(name, "POST", f"{CALLS_PREFIX}x", "start")
        except TargetError:
            return False
        return response.status == 200

    def _registered_count(self) -> int:
        path = "/hibiscuspin/kv-range?prefix=servers/"
        response = self._store_client.request(
            "GET", path, monotonic() + CALL_TIMEOUT_S
        )
        return len(msgspec.json.decode(response.body)["items"])

    def is_ready(self, instance: PlatformInstance) -> bool:
        """Returns whether the readiness endpoint of an instance returns 200."""
        try:
            response = instance.readiness_client.request(
                "GET", "/hibiscuspin/ready", monotonic() + 1.0
            )
        except TargetError:
            return False
        return response.status == 200

    def call(
        self,
        name: str,
        method: str,
        path: str,
        request_id: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpResponse:
        """Sends one caller's request to an instance."""
        return self.instance_by_name[name].caller_client.request(
            method,
            path,
            monotonic() + CALL_TIMEOUT_S,
            body=body,
            headers={
                "Host": HOST,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "5000",
                **({"Authorization": f"Bearer {self.key}"} if self.key else {}),
                **(headers or {}),
            },
        )

    def open_stream(
        self, name: str, request_id: str, events: int, resumes: str, after: int
    ) -> HttpStream:
        """Opens or resumes a caller's stream at an instance.

        Args:
            name: Name of the instance.
            request_id: Id of this request.
            events: Number of the stream's events.
            resumes: Id of the request that brought the first event; empty for
                a new stream.
            after: Number of the last event that the caller has.
        """
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "8000",
            "X-Model": MODEL,
            "X-Token-Count": f"9,{events}",
        }
        if after:
            headers |= {"Resumes": resumes, "Last-Event-Id": str(after)}
        return self.instance_by_name[name].caller_client.open(
            "POST",
            f"{STREAMS_PREFIX}x",
            monotonic() + CALL_TIMEOUT_S,
            body=b"prompt",
            headers=headers,
            fresh=True,
        )

    def submit_job(
        self,
        name: str,
        job: str,
        groups: int,
        size: int,
        events: int,
        unscorable: Sequence[str] = (),
    ) -> int:
        """Submits a batch job; returns the status of the response.

        Args:
            name: Name of the instance.
            job: Id of the job.
            groups: Number of groups.
            size: Number of samples per group.
            events: Number of events per sample.
            unscorable: Ids of the items whose reward call always fails.
        """
        items: list[dict[str, Any]] = [
            {
                "id": f"{job}-{group}-{item}",
                "path": f"{JOBS_PREFIX}x",
                "headers": {"X-Model": MODEL, "X-Token-Count": f"9,{events}"},
                "body": base64.b64encode(b"prompt").decode(),
                "tokens": 9 + events,
                "group": f"g{group}",
            }
            for group in range(groups)
            for item in range(size)
        ]
        for row in items:
            fails = row["id"] in unscorable
            row["scorer"] = {
                "id": reward_id(row["id"]),
                "host": HOST,
                "path": FAILING_REWARD_PATH if fails else REWARD_PATH,
                "body": base64.b64encode(b"reward").decode(),
            }
        body = msgspec.json.encode(
            {
                "step": 0,
                "model": MODEL,
                "min_version": 1,
                "group_count": groups,
                "items": items,
            }
        )
        return self.call(name, "POST", f"{JOBS_PREFIX}x", job, body).status

    def read_results(
        self, name: str, job: str, after: int = 0, wait_ms: int = 500
    ) -> dict[str, Any]:
        """Reads a page of a job's results.

        Returns:
            The body of the response; for a status other than 200, the status
            and an empty list of results.
        """
        path = f"/hibiscuspin/lots/{job}?after={after}"
        headers = {"X-Wait-Ms": str(wait_ms)}
        response = self.call(name, "GET", path, "r", None, headers)
        if response.status != 200:
            return {"status": response.status, "results": []}
        body: dict[str, Any] = msgspec.json.decode(response.body)
        return body

    def read_all_results(
        self, name: str, job: str, timeout_s: float
    ) -> list[dict[str, Any]]:
        """Reads a job's results until all are read or the timeout expires."""
        rows: list[dict[str, Any]] = []
        deadline = monotonic() + timeout_s
        while monotonic() < deadline:
            try:
                page = self.read_results(name, job, len(rows))
            except TargetError:
                time.sleep(0.1)
                continue
            rows += page["results"]
            if len(rows) == page.get("total"):
                break
            if not page["results"]:
                time.sleep(0.05)
        return rows


def _names_all(log: str, targets: Collection[str]) -> bool:
    return all(f'"target": "{name}"' in log for name in targets)


def reward_id(item: str) -> str:
    """Returns the id of an item's reward call."""
    return f"r-{item}"


_REQUEST_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1 << 25,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


_JOB_ROUTE = {
    "name": "jobs",
    "host": HOST,
    "prefix": JOBS_PREFIX,
    "type": "sampling",
    "timeout_ms": 10000,
    "slo_ms": 500,
    "service": "llm",
    "max_attempts": 3,
    "queue_ttl_s": 40,
    "due_ms": 7500,
    "single_version": False,
    "resumable": True,
}


_STREAM_ROUTE = {
    "name": "streams",
    "host": HOST,
    "prefix": STREAMS_PREFIX,
    "type": "streaming",
    "timeout_ms": 10000,
    "slo_ms": 500,
    "service": "llm",
    "max_attempts": 3,
    "resumable": True,
}


def _call_route(name: str, service: str) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": "idempotent",
        "timeout_ms": 2500,
        "slo_ms": 300,
        "service": service,
        "max_attempts": 2,
    }
