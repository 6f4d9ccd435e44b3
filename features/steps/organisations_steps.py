"""Steps on the keys of organisations, from the adapter to the targets."""

import base64
import io
import json
import logging
import random
import urllib.parse
from collections.abc import Mapping
from typing import Any
from unittest import mock

import msgspec
from behave import given, register_type, then, when
from parse import with_pattern

from features.platform_fakes import SERVICE, MemoryFleet
from features.steps.platform_adapter_steps import CONFIG, stored_value
from features.steps.platform_jobs_steps import wait_until
from hibiscuspin.decisions import crashes
from hibiscuspin.decisions.organisations import keys
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import ProxiedRequest, TargetRecord
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.edges.transactions import (
    PutOperation,
    StoredValue,
    Transaction,
)
from hibiscuspin.memory import MemoryBudget
from hibiscuspin.metrics import Metrics
from hibiscuspin.organisation_counts import OrganisationCounts
from hibiscuspin.platform import operators
from hibiscuspin.platform.callers import ClientInterface, RelayInterface
from hibiscuspin.platform.engines import EngineClient
from hibiscuspin.platform.identity import CallerIdentity
from hibiscuspin.platform.peer_client import PeerClient
from hibiscuspin.settings import Address
from hibiscuspin.tasks.prefix_watcher import PrefixWatcher
from hibiscuspin.tasks.stopping import PlannedStop

KIND_OF_ROUTE = {"call": "idempotent", "stream": "streaming", "job": "batch"}
# The request that callers forge: the key must go, whatever its spelling.
FORGED = {"Authorization": "Bearer k", "x-tenant": "forged"}
ITEM_COUNT = 4


@with_pattern(r"[^\"]*")
def text(value: str) -> str:
    """Parses a parameter that may be empty."""
    return value


register_type(Text=text)


@given('the organisation "{name}" with the keys "{listed:Text}"')
def set_organisation(context: Any, name: str, listed: str) -> None:
    digests = [keys.digest(key) for key in listed.split(",")]
    entry = keys.ListedKeys(keys.Organisation(name), digests)
    context.keys = keys.build_table([entry]).table


@when('the header "{value:Text}" is checked')
def check_header(context: Any, value: str) -> None:
    context.key_check = keys.check_key(context.keys, value)


@when("a header with a key of {count:d} characters is checked")
def check_long_header(context: Any, count: int) -> None:
    check_header(context, "Bearer " + "k" * count)


@then("the key is {status}")
def check_status(context: Any, status: str) -> None:
    assert context.key_check.status.value == status, context.key_check
    assert (context.key_check.organisation is not None) == (status == "valid")


@given('the organisation "{name}" with the priority "{priority:Text}"')
def set_priority(context: Any, name: str, priority: str) -> None:
    own = int(priority) if priority else None
    context.organisation = keys.Organisation(name, own)


@then("its requests on a route of priority {route:d} have priority {used:d}")
def check_priority(context: Any, route: int, used: int) -> None:
    assert keys.effective_priority(context.organisation, route) == used


class LogLines(logging.Handler):
    """Collects the lines of the configuration's logger with all fields."""

    def __init__(self) -> None:
        super().__init__()
        self.text = ""

    def emit(self, record: logging.LogRecord) -> None:
        self.text += f"{record.__dict__}\n"


def decode(context: Any, document: dict[str, Any]) -> Any:
    context.log_lines = LogLines()
    logger = operators._log.logger
    logger.addHandler(context.log_lines)
    try:
        value = stored_value(
            operators.CONFIG_KEY, msgspec.json.encode(document)
        )
        return operators.decode_table({operators.CONFIG_KEY: value})
    finally:
        logger.removeHandler(context.log_lines)


@given("a configuration with the organisations {tenants}")
def set_tenants(context: Any, tenants: str) -> None:
    context.raw_config = {**CONFIG, "tenants": json.loads(tenants)}


@given("a configuration whose field for organisations is {state}")
def set_field(context: Any, state: str) -> None:
    field = {} if state == "absent" else {"tenants": json.loads(state)}
    context.raw_config = {**CONFIG, **field}


@then('the keys of "good" are "{good:Text}" and of "other" "{other:Text}"')
def check_keys(context: Any, good: str, other: str) -> None:
    context.decoded = decode(context, context.raw_config)
    expected = {
        keys.digest(key): name
        for name, listed in (("good", good), ("other", other))
        for key in listed.split(",")
        if key
    }
    found = context.decoded.keys.organisation_by_digest
    assert {k: row.name for k, row in found.items()} == expected, found
    assert all(row.priority is None for row in found.values())


@then('the log names "{texts}" and no key')
def check_log(context: Any, texts: str) -> None:
    for text in texts.split(", "):
        assert text in context.log_lines.text, (text, context.log_lines.text)
    for secret in ("'g1'", "'s'", "'o1'", "'a b'", "'a,b'"):
        assert secret not in context.log_lines.text, context.log_lines.text


@then("requests need {needed}")
def check_needed(context: Any, needed: str) -> None:
    has_keys = context.decoded.keys is not None
    assert has_keys == (needed == "a key")


def document(context: Any, tenants: dict[str, str] | None) -> dict[str, Any]:
    """Returns the next version, with organisations by key or without any."""
    context.version += 1
    routes = [
        {
            **CONFIG["routes"][0],
            "name": f"{kind}-{access}",
            "host": "h",
            "prefix": f"/{kind}/{access}",
            "type": type_,
            "service": SERVICE,
            **({"public": True} if access == "public" else {}),
        }
        for kind, type_ in KIND_OF_ROUTE.items()
        for access in ("private", "public")
    ]
    rows = [{"name": n, "api_keys": [k]} for k, n in (tenants or {}).items()]
    listed = {"tenants": rows} if tenants is not None else {}
    changed = {"version": context.version, "routes": routes, **listed}
    return {**CONFIG, **changed}


def start(context: Any, tenants: dict[str, str] | None) -> None:
    context.version = 9
    context.is_current = True
    context.tenants = tenants
    memory = context.memory = MemoryFleet(2, 8)
    context.add_cleanup(memory.close)
    memory.routes.activate(decode(context, document(context, tenants)))
    context.interface_by_name = {}
    for name in "abc":
        memory.start(name)
        context.interface_by_name[name], context.relay = (
            interface(
                memory.routes,
                lambda: context.is_current,
                memory.forwarder_by_name[name],
                memory.streams_by_name[name],
                memory.jobs_by_name[name],
                Metrics(),
                PlannedStop(memory.clock),
                memory.clock,
                MemoryBudget.from_machine(),
            )
            for interface in (ClientInterface, RelayInterface)
        )


@given('instances with the keys "k1" of "x" and "k2" of "y"')
def start_with_keys(context: Any) -> None:
    start(context, {"k1": "x", "k2": "y"})


@given("instances without organisations")
def start_without(context: Any) -> None:
    start(context, None)


@given("the configuration may be out of date")
def set_stale(context: Any) -> None:
    context.is_current = False


@given("there is no configuration yet")
def remove_configuration(context: Any) -> None:
    context.memory.routes._table = None


@when('the key "{old}" is replaced by "{new}"')
def replace_key(context: Any, old: str, new: str) -> None:
    context.tenants[new] = context.tenants.pop(old)
    table = decode(context, document(context, context.tenants))
    assert context.memory.routes.activate(table)


@when('a watcher reads a configuration with the key "{key}" after an outage')
def watch_configuration(context: Any, key: str) -> None:
    store, routes = context.memory.store, context.memory.routes
    was_current: list[bool] = []

    def on_config(values: Mapping[str, StoredValue]) -> None:
        routes.activate(operators.decode_table(values))
        was_current.append(watcher.is_current)

    watcher = PrefixWatcher(
        operators.CONFIG_KEY,
        store,
        context.memory.clock,
        random.Random(1),
        on_config,
    )
    content = msgspec.json.encode(document(context, {key: "x"}))
    put = PutOperation(operators.CONFIG_KEY, content)
    store.commit(Transaction({}, (put,)), 0.0)
    watcher._scan()
    context.was_current = was_current
    context.watcher = watcher


@then("it counted as possibly out of date until that key was in force")
def check_was_current(context: Any) -> None:
    assert context.was_current == [False], context.was_current
    assert context.watcher.is_current


def send(
    context: Any,
    app: Any,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> None:
    """Sends a request; keeps status, headers and body of the response."""
    sent = {"Host": "h", "X-Tenant": "forged", **headers}
    environ = {
        f"HTTP_{name.upper().replace('-', '_')}": value
        for name, value in sent.items()
        if value
    }
    environ |= {"REQUEST_METHOD": method, "REQUEST_URI": target}
    environ["CONTENT_LENGTH"] = str(len(body))
    stream: Any = {"wsgi.input": io.BytesIO(body)}

    def start_response(status: str, headers: list[tuple[str, str]]) -> None:
        context.status = int(status.split(maxsplit=1)[0])
        context.headers = dict(headers)

    parts = app({**environ, **stream}, start_response)
    context.body = b"".join(parts)


def job_body() -> bytes:
    items = [
        {
            "id": f"i{number}",
            "path": "/job/x",
            "headers": {"X-Model": "m", **FORGED},
            "body": base64.b64encode(b"30").decode(),
        }
        for number in range(ITEM_COUNT)
    ]
    return json.dumps({"model": "m", "items": items}).encode()


def send_kind(
    context: Any, app: Any, kind: str, access: str, headers: dict[str, str]
) -> None:
    body = job_body() if kind == "job" else b"3"
    target = f"/{kind}/{access}"
    table = context.memory.routes.table
    if table is not None and access != "missing":
        path = "/job/public" if access == "public" else "/job/private"
        context.memory.route = next(
            r for r in table.routes_by_host["h"] if r.prefix == path
        )
    send(context, app, "POST", target, {"X-Request-Id": "j1", **headers}, body)


@when('a {kind} with the header "{value:Text}" is sent on a {access} route')
def send_request(context: Any, kind: str, access: str, value: str) -> None:
    app = context.interface_by_name["a"]
    send_kind(context, app, kind, access, {"Authorization": value})


@then('it is answered with {status:d} "{code:Text}"')
def check_answer(context: Any, status: int, code: str) -> None:
    found = (context.status, error_code(context.body))
    assert found == (status, code), (found, context.body)
    challenge = context.headers.get("WWW-Authenticate")
    assert challenge == ("Bearer" if status == 401 else None)


def error_code(body: bytes) -> str:
    try:
        code: str = msgspec.json.decode(body)["error"]["code"]
    except (msgspec.DecodeError, KeyError, TypeError):
        return ""
    return code


def seen_requests(context: Any) -> list[ProxiedRequest]:
    targets = context.memory.target_by_name.values()
    return [request for target in targets for request in target.requests]


@then('the target saw the organisation "{organisation:Text}" and no key')
def check_seen(context: Any, organisation: str) -> None:
    if organisation != "-":
        assert wait_until(lambda: bool(seen_requests(context)), 2.0)
    found = seen_requests(context)
    assert bool(found) == (organisation != "-"), found
    for request in found:
        assert request.organisation == organisation, request
        names = {name.lower() for name in request.headers}
        assert not names & {"authorization", "x-tenant"}, request


@then("the target got the caller's own headers")
def check_own_headers(context: Any) -> None:
    (request,) = seen_requests(context)
    assert request.headers["Authorization"] == "Bearer k9"
    assert request.headers["X-Tenant"] == "forged"
    assert not request.organisation


@given(
    'a job "j1" that was submitted with the header "{value:Text}" on a '
    "{access} route"
)
def submit_job(context: Any, access: str, value: str) -> None:
    send_request(context, "job", access, value)
    assert context.status == 202, context.body
    context.access = access
    # The other calls of the job must be those of a holder and of another.
    assert "j1" in context.memory.jobs_by_name["a"]._job_by_id


@when(
    'it is used at {name} by each call of a job with the header "{value:Text}"'
)
def use_job(context: Any, name: str, value: str) -> None:
    app = context.interface_by_name[name]
    headers = {"Authorization": value}
    context.answers = []
    for method, path in (
        ("GET", "/hibiscuspin/lots/j1?after=0"),
        ("GET", "/hibiscuspin/items/j1?id=i1"),
        ("POST", ""),
        ("DELETE", "/hibiscuspin/lots/j1"),
    ):
        if method == "POST":
            send_kind(context, app, "job", context.access, headers)
        else:
            send(context, app, method, path, headers)
        context.answers.append((context.status, error_code(context.body)))


@then('each call is answered with {status:d} "{code:Text}"')
def check_answers(context: Any, status: int, code: str) -> None:
    submitted = 202 if status == 200 else status
    expected = [(s, code) for s in (status, status, submitted, status)]
    assert context.answers == expected, context.answers


@when('"{job}" is read with the header "{value:Text}"')
def read_job(context: Any, job: str, value: str) -> None:
    read_job_at(context, job, "a", value)


@when('"{job}" is read at {name} with the header "{value:Text}"')
def read_job_at(context: Any, job: str, name: str, value: str) -> None:
    path = f"/hibiscuspin/lots/{urllib.parse.quote(job)}"
    app = context.interface_by_name[name]
    send(context, app, "GET", path, {"Authorization": value})


@when("its holder is lost and b takes it over")
def lose_holder(context: Any) -> None:
    context.memory.kill("a")
    assert context.memory.jobs_by_name["b"].adopt("j1")


@then('all its items ran as "{organisation:Text}"')
def check_items(context: Any, organisation: str) -> None:
    names = {f"i{number}" for number in range(ITEM_COUNT)}

    def all_ran() -> bool:
        return names == {row.request_id for row in seen_requests(context)}

    assert wait_until(all_ran, 5.0), seen_requests(context)
    check_seen(context, organisation)


@when("the calls to the store are counted")
def count_calls(context: Any) -> None:
    local = context.memory.jobs_by_name["a"]._job_by_id["j1"]
    assert wait_until(lambda: bool(local.done), 5.0)
    for connection in context.memory.connection_by_name.values():
        connection.call_count = 0


@then("the instances made {count:d} calls to the store")
def check_calls(context: Any, count: int) -> None:
    connections = context.memory.connection_by_name.values()
    assert sum(row.call_count for row in connections) == count


@then("the stored head and contents have the fields of earlier builds")
def check_records(context: Any) -> None:
    store = context.memory.store
    head = store.read("hibiscuspin/jobs/j1", 0.0)
    assert set(msgspec.json.decode(head.value)) == {
        *("holder", "term", "parts", "total", "submitted_at", "ended", "done")
    }
    local = context.memory.jobs_by_name["a"]._job_by_id["j1"]
    assert local.contents.organisation == ""
    assert local.contents.items[0].headers["Authorization"] == "Bearer k"


@given("a {client} of an instance that has {state}")
def create_client(context: Any, client: str, state: str) -> None:
    def has_organisations() -> bool:
        return state == "organisations"

    clock = MemoryFleet(0).clock
    record = TargetRecord("t", 1, "s", Address("h", 1), "dc", 1, False, {})
    member = LiveInstance("b", "1", "127.0.0.1:1", "dc")
    context.client = (
        EngineClient(record, clock, has_organisations=has_organisations)
        if client == "target"
        else PeerClient(member, clock, has_organisations)
    )


@when('it sends a request of "{organisation:Text}" that carries a key')
def send_forged(context: Any, organisation: str) -> None:
    headers = {**FORGED, "hibiscuspin-organisation": "forged"}
    request = ProxiedRequest(
        "r", "POST", "/", headers, b"", organisation=organisation
    )
    refusal = TargetError("stop", sent=False)
    deadline = 1e9
    with mock.patch.object(HttpClient, "open", side_effect=refusal) as opened:
        try:
            context.client.send(request, deadline, lambda: None)
        except TargetError:
            context.sent = opened.call_args.kwargs["headers"]


@then('the headers that name the caller are "{expected:Text}"')
def check_sent(context: Any, expected: str) -> None:
    found = {
        name.lower(): value
        for name, value in context.sent.items()
        if name.lower() in ("authorization", "x-tenant")
        or (
            name.lower() == "hibiscuspin-organisation"
            and isinstance(context.client, PeerClient)
        )
    }
    pairs = [row.partition(": ") for row in expected.split(", ") if row]
    assert found == {name.lower(): value for name, _, value in pairs}, found


@when('another instance sends on a {kind} of "{organisation:Text}"')
def send_relayed(context: Any, kind: str, organisation: str) -> None:
    headers = {"Hibiscuspin-Organisation": organisation}
    send_kind(context, context.relay, kind, "private", headers)


def fingerprint(context: Any, key: str) -> str:
    authorization = f"Bearer {key}"
    table = context.memory.routes.table
    identity = CallerIdentity.from_key(True, table, authorization)
    assert identity.organisation
    name = identity.caller_name(authorization)
    return crashes.fingerprint("h", "/", name, b"body")


@then('requests with the keys "k1" and "k3" of "x" have the same fingerprint')
def check_same_fingerprint(context: Any) -> None:
    before = fingerprint(context, "k1")
    replace_key(context, "k1", "k3")
    assert fingerprint(context, "k3") == before
    replace_key(context, "k3", "k1")


@then('requests with the keys "k1" and "k2" of "x" and "y" do not')
def check_other_fingerprint(context: Any) -> None:
    assert fingerprint(context, "k1") != fingerprint(context, "k2")


def exposed_counts(counts: OrganisationCounts) -> dict[str, float]:
    return {
        sample.labels["organisation"]: sample.value
        for family in counts.collect()
        for sample in family.samples
    }


@when("{count:d} organisations send requests, number n of them n times")
def count_requests(context: Any, count: int) -> None:
    counts = OrganisationCounts()
    context.exposed = [exposed_counts(counts)]
    for round_ in range(1, count + 1):
        for number in range(round_, count + 1):
            counts.count(f"o{number}", "ok")
        context.exposed.append(exposed_counts(counts))
    context.sent_count = count * (count + 1) // 2


@then(
    "the {count:d} organisations with the most requests have counts of their "
    "own"
)
def check_labels(context: Any, count: int) -> None:
    names = set(context.exposed[-1]) - {"other"}
    assert names == {f"o{n}" for n in range(11, 11 + count)}, names


@then("the counts add up to all requests")
def check_sum(context: Any) -> None:
    assert sum(context.exposed[-1].values()) == context.sent_count


@then("no count has fallen on the way")
def check_monotonic(context: Any) -> None:
    for before, after in zip(
        context.exposed, context.exposed[1:], strict=False
    ):
        for name in before.keys() & after.keys():
            assert before[name] <= after[name], (name, before, after)
