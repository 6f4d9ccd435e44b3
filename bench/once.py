"""Counts how often non-repeatable calls run, under faults of all parts.

Sends each key twice, through entry instances in two data centres, while
instances are killed and started again, the store is out, silent or loses
answers, and replicas lose answers. Compares the answers with the replicas'
own records. Run with `python -m bench.once`.
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

__all__ = ["Reply", "Tally", "drive", "main", "tally"]

FOLDER = "examples/canjea"
SERVICE = "credit-offers"
PATH = f"/v1/services/{SERVICE}/offers"
TOKEN = "counters-token"
DATA_CENTRES = ("cba-a", "cba-b")
INSTANCES_EACH = 2
SENDERS = 96
CALL_TIMEOUT_S = 12.0
MOST_TRIES = 3
RETRY_AFTER_S = 0.7
FAULT_PERIOD_S = 2.0
CALM_S = 1.0
MOST_GAP_S = 0.5
SETTLE_S = 2.0


class Reply(NamedTuple):
    """What one sent request got.

    Attributes:
        offer: The request's own body.
        request_id: Unique to this send.
        code: "ok", the error's code, or "no answer".
        ran: What the answer says of the call: "yes", "no" or "unknown".
        text: The answer's body.
    """

    offer: str
    request_id: str
    code: str
    ran: str
    text: str


class Tally(NamedTuple):
    """The counts of one run."""

    keys: int
    sends: int
    ran_once: int
    ran_twice: int
    never_ran: int
    wrong_not_run: int
    wrong_caller: int
    by_code: Counter[str]


def main(argv: Sequence[str] | None = None) -> int:
    """Runs both kinds of replicas and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keys", type=int, default=1200)
    parser.add_argument("--rate", type=float, default=40.0)
    parser.add_argument("--seed", type=int, default=7)
    args = parser.parse_args(argv)
    worst = 0
    print(f"seed {args.seed}, {args.keys} keys, each sent twice")
    for enforced in (False, True):
        counts = drive(args.keys, args.rate, args.seed, enforced=enforced)
        print(f"replicas enforce keys: {enforced}")
        for name, value in counts._asdict().items():
            print(f"  {name}: {dict(value) if name == 'by_code' else value}")
        worst += counts.ran_twice + counts.wrong_not_run + counts.wrong_caller
    return 1 if worst else 0


def drive(keys: int, rate: float, seed: int, *, enforced: bool) -> Tally:
    """Runs one fleet under faults and counts what happened."""
    with Fleet.running() as fleet:
        config = _start(fleet, enforced)
        replicas = [
            name
            for name, target in config["targets_by_name"].items()
            if target.get("service") == SERVICE
        ]
        stop = threading.Event()
        faults = threading.Thread(
            target=_inject, args=(fleet, replicas, random.Random(seed), stop)
        )
        faults.start()
        replies = _send_all(fleet, keys, rate, random.Random(seed + 1))
        stop.set()
        faults.join()
        time.sleep(SETTLE_S)
        records = [
            record
            for name in replicas
            for record in fleet.get(name, "/records")
        ]
    return tally(keys, replies, records)


def tally(
    keys: int, replies: Sequence[Reply], records: Sequence[dict[str, str]]
) -> Tally:
    """Compares the replies with the replicas' records."""
    runs_by_offer = Counter(
        json.loads(record["body"])["offer"] for record in records
    )
    ids = {record["request_id"] for record in records}
    return Tally(
        keys=keys,
        sends=len(replies),
        ran_once=sum(count == 1 for count in runs_by_offer.values()),
        ran_twice=sum(count > 1 for count in runs_by_offer.values()),
        never_ran=keys - len(runs_by_offer),
        wrong_not_run=sum(
            reply.ran == "no" and reply.request_id in ids for reply in replies
        ),
        wrong_caller=sum(
            reply.code == "ok" and _offer_of(reply.text) != reply.offer
            for reply in replies
        ),
        by_code=Counter(reply.code for reply in replies),
    )


def _offer_of(text: str) -> str:
    return str(json.loads(json.loads(text)["body"])["offer"])


def _start(fleet: Fleet, enforced: bool) -> Config:
    fleet.platform()
    config = fleet.load(FOLDER)
    for target in config["targets_by_name"].values():
        if target.get("service") == SERVICE:
            target["checks_idempotency_keys"] = enforced
    fleet.start_targets(config)
    for data_centre in DATA_CENTRES:
        for number in range(INSTANCES_EACH):
            fleet.daemon(f"{data_centre}-{number}", data_centre)
    fleet.wait_started()
    fleet.publish_instances()
    fleet.wait_configured(fleet.apply(config))
    return config


def _inject(
    fleet: Fleet,
    replicas: Sequence[str],
    draw: random.Random,
    stop: threading.Event,
) -> None:
    """Brings about one fault after another until `stop` is set."""

    def kill() -> None:
        victim = draw.choice(fleet.instances)
        victim.process.kill()
        stop.wait(FAULT_PERIOD_S)
        fleet.daemon(victim.name, victim.data_centre)

    def store_out() -> None:
        fleet.faults("store", status=500)
        stop.wait(FAULT_PERIOD_S)

    def store_silent() -> None:
        fleet.faults("store", silent=True)
        stop.wait(FAULT_PERIOD_S)

    def store_loses() -> None:
        fleet.faults("store", lose_answers=5, only="/v1/txn")
        stop.wait(FAULT_PERIOD_S)

    def replica_loses() -> None:
        fleet.faults(draw.choice(replicas), lose_answers=5, only="/offers")
        stop.wait(FAULT_PERIOD_S)

    def replica_refuses() -> None:
        fleet.faults(draw.choice(replicas), extra={"refuse": 1})
        stop.wait(FAULT_PERIOD_S)

    faults: list[Callable[[], None]] = [
        kill,
        store_out,
        store_loses,
        replica_loses,
        store_silent,
        replica_refuses,
    ]
    while not stop.is_set():
        draw.shuffle(faults)
        for fault in faults:
            if stop.wait(CALM_S):
                break
            fault()
            for name in ("store", *replicas):
                fleet.faults(name)


def _send_all(
    fleet: Fleet, keys: int, rate: float, draw: random.Random
) -> list[Reply]:
    first, second = DATA_CENTRES
    futures = []
    started = monotonic()
    with ThreadPoolExecutor(SENDERS) as executor:
        for number in range(keys):
            pause_s = started + number / rate - monotonic()
            time.sleep(max(0.0, pause_s))
            numbers = [draw.randrange(INSTANCES_EACH) for _ in DATA_CENTRES]
            gap_s = draw.choice([0.0, draw.uniform(0.0, MOST_GAP_S)])
            for name, wait_s in (
                (f"{first}-{numbers[0]}", 0.0),
                (f"{second}-{numbers[1]}", gap_s),
            ):
                futures.append(
                    executor.submit(_send, fleet, name, f"o{number}", wait_s)
                )
    return [reply for future in futures for reply in future.result()]


def _send(fleet: Fleet, name: str, offer: str, wait_s: float) -> list[Reply]:
    """Sends one offer; sends it again where it surely did not run."""
    time.sleep(wait_s)
    replies: list[Reply] = []
    while len(replies) < MOST_TRIES:
        request_id = f"{offer}-{name}-{len(replies)}"
        replies.append(_send_once(fleet, name, offer, request_id))
        if replies[-1].ran != "no":
            break
        time.sleep(RETRY_AFTER_S)
    return replies


def _send_once(fleet: Fleet, name: str, offer: str, request_id: str) -> Reply:
    instance = next(i for i in fleet.instances if i.name == name)
    headers = {"Idempotency-Key": f"key-{offer}", "X-Request-Id": request_id}
    try:
        answer = request(
            instance.caller,
            "POST",
            PATH,
            {"offer": offer},
            token=TOKEN,
            headers=headers,
            timeout_s=CALL_TIMEOUT_S,
        )
    except TargetError as error:
        ran = "unknown" if error.sent else "refused connection"
        return Reply(offer, request_id, "no answer", ran, "")
    text = answer.body.decode()
    if answer.status == 200:
        return Reply(offer, request_id, "ok", "yes", text)
    detail = json.loads(text)["error"]
    return Reply(offer, request_id, detail["code"], detail["ran"], text)


if __name__ == "__main__":
    raise SystemExit(main())
