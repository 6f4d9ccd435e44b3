"""Steps for two real instances of one data centre."""

import json
import signal
import time
from typing import Any

from behave import given, then, when

from bench.fleet import ROOT, Fleet, wait_for
from hibiscuspin.config import load_folder

WAIT_S = 20.0
NAMES = ("pair-1", "pair-2")
STATE_MESSAGE = "MEMBER: Instance state changed."


@given("two configured instances of one data centre")
def start_pair(context: Any) -> None:
    manager = Fleet.running()
    fleet = context.pair = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    fleet.platform()
    for name in NAMES:
        fleet.daemon(name, "dc-a")
    fleet.wait_started()
    fleet.publish_instances()
    context.pair_config = load_folder(ROOT / "examples" / "canjea")
    context.first_revision = fleet.apply(context.pair_config)
    fleet.wait_configured(context.first_revision, WAIT_S)
    wait_for(
        lambda: _are_linked(fleet), WAIT_S, "the link between the instances"
    )


def _are_linked(fleet: Fleet) -> bool:
    peer_views = [fleet.admin(i, "GET", "peers") for i in fleet.instances]
    return all(p["neighbours"] and len(p["instances"]) == 2 for p in peer_views)


def _first_instance(fleet: Fleet) -> Any:
    return next(i for i in fleet.instances if i.name == NAMES[0])


def _second_instance(fleet: Fleet) -> Any:
    return next(i for i in fleet.instances if i.name == NAMES[1])


@given("the shared store is out")
def fail_store(context: Any) -> None:
    context.pair.faults("store", status=500)


@when("one shared instance is killed")
def kill_second(context: Any) -> None:
    _second_instance(context.pair).process.kill()


@then("the other shared instance lists only itself within {seconds:g} s")
def check_alone(context: Any, seconds: float) -> None:
    def lists_only_itself() -> bool:
        peers = context.pair.admin(
            _first_instance(context.pair), "GET", "peers"
        )
        return [r["name"] for r in peers["instances"]] == [NAMES[0]]

    wait_for(lists_only_itself, seconds, "the removal of the killed peer")


@when("one shared instance is paused for {seconds:g} s")
def pause_second(context: Any, seconds: float) -> None:
    process = _second_instance(context.pair).process
    process.send(signal.SIGSTOP)
    time.sleep(seconds)
    process.send(signal.SIGCONT)


@then("the other shared instance saw it paused, then alive, and never dead")
def check_states(context: Any) -> None:
    log = _first_instance(context.pair).process.log_path

    def states() -> list[str]:
        return _logged_states(log.read_text(), NAMES[1])

    wait_for(
        lambda: states()[-1:] == ["alive"],
        WAIT_S,
        "the return of the paused peer",
    )
    assert "paused" in states(), states()
    assert "dead" not in states(), states()


def _logged_states(log: str, peer: str) -> list[str]:
    """Returns the states of a peer in order; each whole line must be JSON."""
    whole_lines = log[: log.rfind("\n") + 1].splitlines()
    entries = [json.loads(line) for line in whole_lines]
    return [
        entry["state"]
        for entry in entries
        if entry["message"] == STATE_MESSAGE and entry["peer"] == peer
    ]


@when("it is started again")
def restart_second(context: Any) -> None:
    context.pair.daemon(NAMES[1], "dc-a")


@then("it holds the same revision within {seconds:g} s")
def check_same_revision(context: Any, seconds: float) -> None:
    context.pair.wait_started()
    context.pair.wait_configured(context.first_revision, seconds)


@when("the store loses the answer to a change")
def apply_with_lost_response(context: Any) -> None:
    fleet = context.pair
    fleet.faults("store", lose_answers=2, only="/v1/txn")
    context.second_revision = fleet.apply(
        context.pair_config, context.first_revision
    )


@then("the change is in force on both shared instances")
def check_second_revision(context: Any) -> None:
    assert context.second_revision > context.first_revision
    context.pair.wait_configured(context.second_revision, WAIT_S)


@when("an operator rolls back to the first revision")
def roll_back(context: Any) -> None:
    body = {"revision": context.first_revision, "author": "operator"}
    response = context.pair.admin(
        _first_instance(context.pair), "POST", "config/rollback", body
    )
    context.third_revision = int(response["revision"])


@then("a higher revision is in force with the history of both")
def check_rolled_back(context: Any) -> None:
    fleet = context.pair
    assert context.third_revision > context.second_revision
    fleet.wait_configured(context.third_revision, WAIT_S)
    history = fleet.admin(_first_instance(fleet), "GET", "config/history")[
        "history"
    ]
    past_revisions = [entry["revision"] for entry in history]
    assert past_revisions == [
        context.first_revision,
        context.second_revision,
    ], past_revisions
