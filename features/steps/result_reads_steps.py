"""Steps on reads of results through the narrow link of a holder."""

import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor, TimeoutError
from typing import Any

from behave import given, then, when

from bench.fleet import free_address
from features.narrow_link import NarrowLink
from features.platform_fakes import MemoryFleet, PeerConnection, job_contents
from features.steps.http_server_steps import is_listening
from features.steps.platform_jobs_steps import wait_until
from hibiscuspin.clock import SystemClock, monotonic
from hibiscuspin.decisions import result_reads
from hibiscuspin.edges import StoreError
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.peers.rpc import PeerHttpClient, peer_app
from hibiscuspin.tasks.http_server import HttpServer
from hibiscuspin.tasks.job_store import ItemResult, JobHead, JobStore
from hibiscuspin.tasks.jobs import Jobs

TEXT_BYTES = 40_000
PUBLISHED_ITEMS = 8
CLIENTS_PER_JOB = 2
CLIENT_PATIENCE_S = 1.5
DEADLINE_S = 15.0
READ_LIMIT_S = 12.0
LINK_BUFFER_BYTES = 400_000


class LinkedPeers:
    """Calls the holder through its link, and the others in memory."""

    def __init__(
        self, peers: PeerConnection, holder: str, link: NarrowLink
    ) -> None:
        self._peers = peers
        self._holder = holder
        self._link_address = str(link.address)
        self._client = PeerHttpClient(SystemClock())

    def is_suspect(self, address: str) -> bool:
        """Returns whether the last call to an instance failed."""
        return False

    def call(self, address: str, *args: Any, **options: Any) -> bytes:
        """Calls an instance."""
        if address == self._holder:
            return self._client.call(self._link_address, *args, **options)
        return self._peers.call(address, *args, **options)


def publish_job(context: Any, job: str) -> None:
    """Stores an open job of a with many results and one unfinished item."""
    memory = context.memory
    contents = job_contents(job, 1, PUBLISHED_ITEMS + 1, 5)
    head: JobHead = {
        "holder": "a",
        "term": "1",
        "parts": 0,
        "total": len(contents.items),
        "submitted_at": SystemClock().wall(),
        "ended": False,
        "done": False,
    }
    store = JobStore(memory.store, SystemClock())
    deadline = monotonic() + DEADLINE_S
    stored = store.create(contents, head, deadline)
    rows = [
        ItemResult(item.name, True, "x" * TEXT_BYTES, (1,))
        for item in contents.items[:PUBLISHED_ITEMS]
    ]
    store.publish_results(job, stored, 0, rows, False, deadline)
    assert memory.jobs_by_name["a"].adopt(job)


def serve_holder(context: Any, size_bytes: int, seconds: float) -> None:
    address = free_address()
    app = peer_app(context.memory.jobs_by_name["a"].handlers())
    server = HttpServer("test", app, address, 32)
    stop = threading.Event()
    thread = threading.Thread(target=server.run, args=(stop,))
    thread.start()
    assert wait_until(lambda: is_listening(address.port), 5.0)
    context.link = NarrowLink(address, size_bytes / seconds)

    def stop_server() -> None:
        context.link.close()
        stop.set()
        thread.join()

    context.add_cleanup(stop_server)


@given("{count:d} jobs of a that its link carries in {seconds:g} s")
@given("{count:d} job of a that its link carries in {seconds:g} s")
def start_jobs(context: Any, count: int, seconds: float) -> None:
    context.memory = MemoryFleet(1, 8)
    context.add_cleanup(context.memory.close)
    context.memory.target_by_name["t0"].fault = "silent"
    for name in "abc":
        context.memory.start(name)
    context.job_ids = [f"j{number}" for number in range(count)]
    for job in context.job_ids:
        publish_job(context, job)
    context.size_bytes = count * PUBLISHED_ITEMS * TEXT_BYTES
    serve_holder(context, context.size_bytes, seconds)
    for name in "bc":
        jobs: Any = context.memory.jobs_by_name[name]
        jobs._reader._peers = LinkedPeers(
            context.memory.peers_by_name[name], "a/1", context.link
        )


@given("b and c know who holds them")
def find_jobs(context: Any) -> None:
    for name in "bc":
        for job in context.job_ids:
            jobs: Jobs = context.memory.jobs_by_name[name]
            assert not jobs.results(job, PUBLISHED_ITEMS, 0.0).results


@when("a ends them")
def end_jobs(context: Any) -> None:
    for job in context.job_ids:
        context.memory.jobs_by_name["a"].end(job)


@when("the store is out")
def take_store_out(context: Any) -> None:
    context.memory.store.down = True


def start_read(pool: ThreadPoolExecutor, jobs: Jobs, job: str) -> Future[int]:
    def read() -> int:
        return len(jobs.results(job, 0, 0.0).results)

    return pool.submit(read)


def read_until_whole(
    context: Any, pool: ThreadPoolExecutor, job: str, first: int
) -> float:
    """Reads a job as a client does; returns how long that took."""
    started = monotonic()
    attempt = first
    while monotonic() < started + READ_LIMIT_S:
        jobs = context.memory.jobs_by_name["bc"[attempt % 2]]
        attempt += 1
        try:
            count = start_read(pool, jobs, job).result(CLIENT_PATIENCE_S)
        except TimeoutError:
            continue
        except (HibiscusError, StoreError):
            time.sleep(0.1)
            continue
        if count == PUBLISHED_ITEMS:
            return monotonic() - started
    return READ_LIMIT_S


@when("two clients of each job read it at b and c, in attempts of 1.5 s")
def read_jobs(context: Any) -> None:
    clients = [
        (job, first)
        for job in context.job_ids
        for first in range(CLIENTS_PER_JOB)
    ]
    # Reads that their clients have left go on in threads of the server.
    with ThreadPoolExecutor(256) as pool, ThreadPoolExecutor(64) as client_pool:
        futures = [
            client_pool.submit(read_until_whole, context, pool, job, first)
            for job, first in clients
        ]
        context.read_times = [future.result() for future in futures]


@then("each client has read all results within {limit:g} s")
def check_read_times(context: Any, limit: float) -> None:
    assert max(context.read_times) <= limit, sorted(context.read_times)


@then("the link of a has carried less than a tenth of the results")
def check_link(context: Any) -> None:
    sent_bytes = context.link.sent_bytes
    assert sent_bytes < context.size_bytes / 10, sent_bytes


@given("a answers no calls, and b believes that the store is out of reach")
def silence_holder(context: Any) -> None:
    context.link.is_silent = True
    context.memory.jobs_by_name["b"]._reader._store_is_reachable = lambda: False


@then("b reads all of them within {limit:g} s")
def check_reads_at_b(context: Any, limit: float) -> None:
    for job in context.job_ids:
        started = monotonic()
        results = context.memory.jobs_by_name["b"].results(job, 0, 0.0)
        assert len(results.results) == PUBLISHED_ITEMS
        assert monotonic() - started <= limit


@when("its client leaves {seconds:g} s after it began to read at b")
def leave_read(context: Any, seconds: float) -> None:
    started = monotonic()
    jobs: Jobs = context.memory.jobs_by_name["b"]
    context.read_error = None
    try:
        jobs.results(
            context.job_ids[0],
            0,
            0.0,
            client_left=lambda: monotonic() > started + seconds,
        )
    except HibiscusError as error:
        context.read_error = error
    context.read_took_s = monotonic() - started


@then("the read ends within {limit:g} s, and the link of a carries little more")
def check_left(context: Any, limit: float) -> None:
    assert context.read_error is not None
    assert context.read_took_s <= limit, context.read_took_s
    sent_bytes = context.link.sent_bytes
    time.sleep(limit)
    more = context.link.sent_bytes - sent_bytes
    assert more < context.size_bytes / 10, more


@when("the jobs are deleted")
def delete_jobs(context: Any) -> None:
    store = JobStore(context.memory.store, SystemClock())
    for job in context.job_ids:
        store.delete(job, monotonic() + DEADLINE_S)


@then("the holder is not suspected")
def check_not_suspected(context: Any) -> None:
    reader = context.memory.jobs_by_name["b"]._reader
    address = str(context.link.address)
    assert not reader._peers._client.is_suspect(address)


@then("b finds none of them")
def check_not_found(context: Any) -> None:
    for job in context.job_ids:
        try:
            context.memory.jobs_by_name["b"].results(job, 0, 0.0)
        except HibiscusError as error:
            assert error.kind is ErrorKind.NOT_FOUND, error
        else:
            raise AssertionError(f"job {job} was read")


@when("a holder {answers} and the store is {store}")
def order_sources(context: Any, answers: str, store: str) -> None:
    context.sources = result_reads.sources(
        answers == "answers", store == "reachable"
    )


@then("ended results are read from {order}")
def check_order(context: Any, order: str) -> None:
    assert ", ".join(context.sources) == order, context.sources


@when(
    "a reader asks for {size:d} bytes of a job that {state}, and the store is "
    "{store}"
)
def ask_for_results(context: Any, size: int, state: str, store: str) -> None:
    context.sends = result_reads.sends_results(
        state == "has ended", size, store == "reachable"
    )


@then("the holder {does}")
def check_sends(context: Any, does: str) -> None:
    assert context.sends is (does == "sends them")
