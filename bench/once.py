"""Counts how often non-repeatable calls are executed under faults.

Sends each idempotency key twice, through entry instances in two data
centres, while instances are killed and restarted, the store fails, does not
respond or loses responses, and replicas lose responses or refuse requests.
Compares the responses with the replicas' own records. Run it with
`python -m bench.once`.
"""

import argparse
import json
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from bench.fleet import Fleet, request
from hibiscuspin.clock import monotonic
from hibiscuspin.config import Config
from hibiscuspin.edges import TargetError

__all__ = ["SendOutcome", "Tally", "run_under_faults", "main", "tally"]

CONFIG_FOLDER = "examples/canjea"
SERVICE = "credit-offers"
PATH = f"/v1/services/{SERVICE}/offers"
CALLER_TOKEN = "counters-token"
DATA_CENTRES = ("cba-a", "cba-b")
INSTANCES_PER_DATA_CENTRE = 2
SENDER_THREADS = 96
REQUEST_TIMEOUT_S = 12.0
MAX_TRIES = 3
RETRY_DELAY_S = 0.7
FAULT_DURATION_S = 2.0
FAULT_GAP_S = 1.0
MAX_DUPLICATE_DELAY_S = 0.5
SETTLE_S = 2.0


class SendOutcome(NamedTuple):
    """The outcome of one sent request.

    Attributes:
        offer: The offer in the request's body.
        request_id: The ID of this request; each retry has its own.
        code: "ok", the error code, or "no answer".
        ran: Whether the call was executed: "yes", "no" or "unknown" by the
            response; without a response "unknown", or "refused connection"
            if the request was not sent.
        body: The response's body.
    """

    offer: str
    request_id: str
    code: str
    ran: str
    body: str


class Tally(NamedTuple):
    """The counts of one run, which are printed under the fields' names.

    Attributes:
        keys: Number of idempotency keys.
        sends: Number of requests, with retries.
        ran_once: Number of offers that the replicas executed once.
        ran_twice: Number of offers that they executed more than once.
        never_ran: Number of offers that they never executed.
        wrong_not_run: Number of requests with the response "not run" that
            a replica did execute.
        wrong_caller: Number of successful responses with another offer.
        by_code: Number of requests by code.
    """

    keys: int
    sends: int
    ran_once: int
    ran_twice: int
    never_ran: int
    wrong_not_run: int
    wrong_caller: int
    by_code: Counter[str]


def main(argv: Sequence[str] | None = None) -> int:
    """Measures replicas that enforce keys and ones that don't; prints counts.

    Returns:
        1 if a call ran twice, was wrongly reported as not run, or got the
        response of another offer; otherwise 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keys", type=int, default=1200)
    parser.add_argument("--rate", type=float, default=40.0)
    parser.add_argument("--seed", type=int, default=7)
    args = parser.parse_args(argv)
    violations = 0
    print(f"seed {args.seed}, {args.keys} keys, each sent twice")
    for enforced in (False, True):
        counts = run_under_faults(
            args.keys, args.rate, args.seed, enforced=enforced
        )
        print(f"replicas enforce keys: {enforced}")
        for name, value in counts._asdict().items():
            print(f"  {name}: {dict(value) if name == 'by_code' else value}")
        violations += (
            counts.ran_twice + counts.wrong_not_run + counts.wrong_caller
        )
    return 1 if violations else 0


def run_under_faults(
    keys: int, rate: float, seed: int, *, enforced: bool
) -> Tally:
    """Sends all keys to a fleet under faults and counts the outcomes."""
    with Fleet.running() as fleet:
        config = _start_fleet(fleet, enforced)
        replicas = [
            name
            for name, target in config["targets_by_name"].items()
            if target.get("service") == SERVICE
        ]
        stop = threading.Event()
        faults = threading.Thread(
            target=_inject_faults,
            args=(fleet, replicas, random.Random(seed), stop),
        )
        faults.start()
        outcomes = _send_all(fleet, keys, rate, random.Random(seed + 1))
        stop.set()
        faults.join()
        time.sleep(SETTLE_S)
        records = [
            record
            for name in replicas
            for record in fleet.get(name, "/records")
        ]
    return tally(keys, outcomes, records)


def tally(
    keys: int,
    outcomes: Sequence[SendOutcome],
    records: Sequence[dict[str, str]],
) -> Tally:
    """Compares the outcomes that senders saw with the replicas' records."""
    runs_by_offer = Counter(
        json.loads(record["body"])["offer"] for record in records
    )
    ids = {record["request_id"] for record in records}
    return Tally(
        keys=keys,
        sends=len(outcomes),
        ran_once=sum(count == 1 for count in runs_by_offer.values()),
        ran_twice=sum(count > 1 for count in runs_by_offer.values()),
        never_ran=keys - len(runs_by_offer),
        wrong_not_run=sum(
            outcome.ran == "no" and outcome.request_id in ids
            for outcome in outcomes
        ),
        wrong_caller=sum(
            outcome.code == "ok" and _offer_of(outcome.body) != outcome.offer
            for outcome in outcomes
        ),
        by_code=Counter(outcome.code for outcome in outcomes),
    )


def _offer_of(text: str) -> str:
    return str(json.loads(json.loads(text)["body"])["offer"])


def _start_fleet(fleet: Fleet, enforced: bool) -> Config:
    fleet.platform()
    config = fleet.load(CONFIG_FOLDER)
    for target in config["targets_by_name"].values():
        if target.get("service") == SERVICE:
            target["checks_idempotency_keys"] = enforced
    fleet.start_targets(config)
    for data_centre in DATA_CENTRES:
        for number in range(INSTANCES_PER_DATA_CENTRE):
            fleet.daemon(f"{data_centre}-{number}", data_centre)
    fleet.wait_started()
    fleet.publish_instances()
    fleet.wait_configured(fleet.apply(config))
    return config


def _inject_faults(
    fleet: Fleet,
    replicas: Sequence[str],
    draw: random.Random,
    stop: threading.Event,
) -> None:
    """Injects one fault after another in random order until `stop` is set."""

    def kill_instance() -> None:
        victim = draw.choice(fleet.instances)
        victim.process.kill()
        stop.wait(FAULT_DURATION_S)
        fleet.daemon(victim.name, victim.data_centre)

    def fail_store() -> None:
        fleet.faults("store", status=500)
        stop.wait(FAULT_DURATION_S)

    def silence_store() -> None:
        fleet.faults("store", silent=True)
        stop.wait(FAULT_DURATION_S)

    def lose_store_responses() -> None:
        fleet.faults("store", lose_answers=5, only="/v1/txn")
        stop.wait(FAULT_DURATION_S)

    def lose_replica_responses() -> None:
        fleet.faults(draw.choice(replicas), lose_answers=5, only="/offers")
        stop.wait(FAULT_DURATION_S)

    def refuse_at_replica() -> None:
        fleet.faults(draw.choice(replicas), extra={"refuse": 1})
        stop.wait(FAULT_DURATION_S)

    faults: list[Callable[[], None]] = [
        kill_instance,
        fail_store,
        lose_store_responses,
        lose_replica_responses,
        silence_store,
        refuse_at_replica,
    ]
    while not stop.is_set():
        draw.shuffle(faults)
        for fault in faults:
            if stop.wait(FAULT_GAP_S):
                break
            fault()
            for name in ("store", *replicas):
                fleet.faults(name)


def _send_all(
    fleet: Fleet, keys: int, rate: float, draw: random.Random
) -> list[SendOutcome]:
    first, second = DATA_CENTRES
    futures = []
    started = monotonic()
    with ThreadPoolExecutor(SENDER_THREADS) as executor:
        for number in range(keys):
            pause_s = started + number / rate - monotonic()
            time.sleep(max(0.0, pause_s))
            numbers = [
                draw.randrange(INSTANCES_PER_DATA_CENTRE) for _ in DATA_CENTRES
            ]
            duplicate_delay_s = draw.choice(
                [0.0, draw.uniform(0.0, MAX_DUPLICATE_DELAY_S)]
            )
            for name, delay_s in (
                (f"{first}-{numbers[0]}", 0.0),
                (f"{second}-{numbers[1]}", duplicate_delay_s),
            ):
                futures.append(
                    executor.submit(
                        _send_with_retries, fleet, name, f"o{number}", delay_s
                    )
                )
    return [outcome for future in futures for outcome in future.result()]


def _send_with_retries(
    fleet: Fleet, name: str, offer: str, delay_s: float
) -> list[SendOutcome]:
    """Sends one offer; retries it while responses say that it did not run."""
    time.sleep(delay_s)
    outcomes: list[SendOutcome] = []
    while len(outcomes) < MAX_TRIES:
        request_id = f"{offer}-{name}-{len(outcomes)}"
        outcomes.append(_send_once(fleet, name, offer, request_id))
        if outcomes[-1].ran != "no":
            break
        time.sleep(RETRY_DELAY_S)
    return outcomes


def _send_once(
    fleet: Fleet, name: str, offer: str, request_id: str
) -> SendOutcome:
    instance = next(i for i in fleet.instances if i.name == name)
    headers = {"Idempotency-Key": f"key-{offer}", "X-Request-Id": request_id}
    try:
        response = request(
            instance.caller,
            "POST",
            PATH,
            {"offer": offer},
            token=CALLER_TOKEN,
            headers=headers,
            timeout_s=REQUEST_TIMEOUT_S,
        )
    except TargetError as error:
        ran = "unknown" if error.sent else "refused connection"
        return SendOutcome(offer, request_id, "no answer", ran, "")
    text = response.body.decode()
    if response.status == 200:
        return SendOutcome(offer, request_id, "ok", "yes", text)
    detail = json.loads(text)["error"]
    return SendOutcome(offer, request_id, detail["code"], detail["ran"], text)


if __name__ == "__main__":
    raise SystemExit(main())
