"""Steps on the decisions about claims."""

from typing import Any

import msgspec
from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from hibiscuspin.decisions.claims import (
    CLOCK_SKEW_S,
    Claim,
    Outcome,
    Part,
    ReleaseClaim,
    SettleClaim,
    StoredPart,
    SubmitClaim,
    Verdict,
    expired_parts,
    plan_write,
)

RETENTION_S = 3600.0
SEND_FOR_S = 30.0
MEGABYTE = 1 << 20
KEYS = st.sampled_from(["a", "b", "c"])
OWNERS = st.integers(0, 2)


def make_claim(token: str, body: str, now_s: float) -> Claim:
    return {
        "token": token,
        "body_sha256": body,
        "claimed_at_s": now_s,
        "send_by_s": now_s + SEND_FOR_S,
        "outcome": None,
    }


def make_outcome(size: int) -> Outcome:
    return {"status": 200, "content_type": "", "body": b"x" * size}


class Shard:
    """The parts of one shard, as a store would hold them."""

    def __init__(self) -> None:
        self.parts: list[StoredPart] = []
        self.revision = 0

    def swap(self, write: StoredPart) -> bool:
        """Writes a part if its revision is the one in the store."""
        held = {p.number: p for p in self.parts}
        known = held.get(write.number)
        if (known.revision if known else 0) != write.revision:
            return False
        self.revision += 1
        held[write.number] = write._replace(revision=self.revision)
        self.parts = [held[number] for number in sorted(held)]
        return True

    def commit(self, changes: list[Any], now_s: float) -> list[Any]:
        """Commits changes and returns their findings."""
        step = plan_write(self.parts, changes, now_s, RETENTION_S)
        if step.write is not None:
            assert self.swap(step.write)
        return [step.findings.get(i) for i in range(len(changes))]


@given('a shard that holds a claim "{held}"')
def hold(context: Any, held: str) -> None:
    context.shard = Shard()
    if held == "none":
        return
    context.shard.commit(
        [SubmitClaim("k", make_claim("own", "same", 0.0))], 0.0
    )
    if held == "settled":
        context.shard.commit([SettleClaim("k", "own", make_outcome(2))], 0.0)
    if held == "freed":
        context.shard.commit([ReleaseClaim("k", "own")], 0.0)


@when(
    'an attempt asks {seconds:d} s later with the "{body}" body '
    'and the "{token}" token'
)
def ask(context: Any, seconds: int, body: str, token: str) -> None:
    claim = make_claim(token, body, float(seconds))
    [context.finding] = context.shard.commit(
        [SubmitClaim("k", claim)], float(seconds)
    )


@then('the claim\'s verdict is "{verdict}"')
def check_verdict(context: Any, verdict: str) -> None:
    finding = context.finding
    assert finding.verdict is Verdict(verdict), finding
    assert (finding.outcome is not None) == (verdict == "replay")


class Attempt:
    """One request as its entry instance sees it."""

    def __init__(self, key: str, token: str, now_s: float) -> None:
        self.key = key
        self.claim = make_claim(token, "same", now_s)
        self.state = "new"
        self.write: StoredPart | None = None
        self.view: list[StoredPart] = []

    @property
    def submit(self) -> SubmitClaim:
        """The change that claims the key."""
        return SubmitClaim(self.key, self.claim)


class ClaimsMachine(RuleBasedStateMachine):
    """Three instances, a store that loses and delays, crashes and pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.shard = Shard()
        self.now_s = 0.0
        self.tokens = 0
        self.attempts: dict[int, Attempt] = {}
        self.delayed: list[StoredPart] = []
        self.runs_by_key: dict[str, int] = {}
        self.taken_back: set[str] = set()

    @rule(owner=OWNERS, key=KEYS)
    def arrive(self, owner: int, key: str) -> None:
        """A request arrives; a former one of the instance has crashed."""
        self.tokens += 1
        attempt = Attempt(key, str(self.tokens), self.now_s)
        attempt.view = list(self.shard.parts)
        self.attempts[owner] = attempt

    @rule(owner=OWNERS)
    def read(self, owner: int) -> None:
        """An instance reads the shard again."""
        attempt = self.attempts.get(owner)
        if attempt:
            attempt.view = list(self.shard.parts)

    @rule(owner=OWNERS, fate=st.sampled_from(["done", "lost", "delayed"]))
    def commit(self, owner: int, fate: str) -> None:
        """An instance tries to write its claim."""
        attempt = self.attempts.get(owner)
        if attempt is None or attempt.state != "new":
            return
        step = plan_write(
            attempt.view, [attempt.submit], self.now_s, RETENTION_S
        )
        if step.write is None:
            verdict = step.findings[0].verdict
            attempt.state = "held" if verdict is Verdict.RUN else "refused"
        elif fate == "delayed":
            self.delayed.append(step.write)
        elif self.shard.swap(step.write) and fate == "done":
            attempt.state = "held"

    @rule()
    def land_delayed(self) -> None:
        """A write whose answer was awaited in vain takes effect at last."""
        if self.delayed:
            self.shard.swap(self.delayed.pop(0))

    @rule(owner=OWNERS)
    def give_up(self, owner: int) -> None:
        """An instance refuses with "not run" and takes its claim back."""
        attempt = self.attempts.get(owner)
        if attempt is None or attempt.state not in ("new", "held"):
            return
        attempt.state = "refused"
        release = ReleaseClaim(attempt.key, attempt.claim["token"])
        self.shard.commit([release], self.now_s)
        self.taken_back.add(attempt.claim["token"])

    @rule(owner=OWNERS, settles=st.booleans())
    def send(self, owner: int, settles: bool) -> None:
        """An instance sends the call that it holds a claim for."""
        attempt = self.attempts.get(owner)
        if attempt is None or attempt.state != "held":
            return
        if self.now_s >= attempt.claim["send_by_s"]:
            return
        attempt.state = "sent"
        runs = self.runs_by_key
        runs[attempt.key] = runs.get(attempt.key, 0) + 1
        if settles:
            token = attempt.claim["token"]
            settle = SettleClaim(attempt.key, token, make_outcome(1))
            self.shard.commit([settle], self.now_s)

    @rule(seconds=st.sampled_from([1.0, 40.0, 600.0]))
    def pass_time(self, seconds: float) -> None:
        """Time passes, within the retention."""
        if self.now_s + seconds < RETENTION_S:
            self.now_s += seconds

    @invariant()
    def each_key_ran_at_most_once(self) -> None:
        """No key ran twice."""
        assert all(n <= 1 for n in self.runs_by_key.values()), self.runs_by_key

    @invariant()
    def a_claim_taken_back_never_returns(self) -> None:
        """A delayed write of a claim that was taken back has no effect."""
        held = {
            claim["token"]
            for stored in self.shard.parts
            for claim in stored.part["claims_by_key"].values()
        }
        assert not held & self.taken_back, held & self.taken_back


@then("a random search of the claims finds no key that ran twice")
def search(context: Any) -> None:
    run_state_machine_as_test(
        ClaimsMachine,
        settings=settings(
            derandomize=True,
            database=None,
            max_examples=600,
            stateful_step_count=30,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@when("{count:d} keys are claimed with outcomes of {size:d} bytes")
def fill(context: Any, count: int, size: int) -> None:
    context.shard = Shard()
    context.count = count
    for number in range(count):
        key = f"k{number}"
        claim = make_claim(key, "same", 0.0)
        context.shard.commit([SubmitClaim(key, claim)], 0.0)
        settle = SettleClaim(key, key, make_outcome(size))
        context.shard.commit([settle], 0.0)


@then("the shard has several parts, each below a megabyte")
def check_parts(context: Any) -> None:
    parts: list[Part] = [stored.part for stored in context.shard.parts]
    assert len(parts) > 1
    assert all(len(msgspec.json.encode(part)) < MEGABYTE for part in parts)


@then("all parts but the last expire after the retention")
def check_expiry(context: Any) -> None:
    parts = context.shard.parts
    assert expired_parts(parts, RETENTION_S, RETENTION_S) == []
    late_s = RETENTION_S + CLOCK_SKEW_S + 1
    assert expired_parts(parts, late_s, RETENTION_S) == parts[:-1]


@then("each of the keys is found while it is retained")
def check_found(context: Any) -> None:
    for number in range(context.count):
        key = f"k{number}"
        claim = make_claim("other", "same", RETENTION_S)
        [finding] = context.shard.commit([SubmitClaim(key, claim)], RETENTION_S)
        assert finding.verdict is Verdict.REPLAY, (key, finding)


@when("a write of a claim is delayed and its attempt takes the claim back")
def delay_write(context: Any) -> None:
    submit = SubmitClaim("k", make_claim("own", "same", 0.0))
    context.delayed_write = plan_write([], [submit], 0.0, RETENTION_S).write
    context.shard.commit([ReleaseClaim("k", "own")], 0.0)


@then("the delayed write has no effect and the key is free")
def check_delayed(context: Any) -> None:
    assert not context.shard.swap(context.delayed_write)
    claim = make_claim("other", "same", 0.0)
    [finding] = context.shard.commit([SubmitClaim("k", claim)], 0.0)
    assert finding.verdict is Verdict.RUN, finding
