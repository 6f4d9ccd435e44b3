"""In-process steps for the decisions on claims of idempotency keys."""

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
SEND_WINDOW_S = 30.0
MEGABYTE = 1 << 20
KEYS = st.sampled_from(["a", "b", "c"])
OWNERS = st.integers(0, 2)


def make_claim(token: str, body: str, now_s: float) -> Claim:
    return {
        "token": token,
        "body_sha256": body,
        "claimed_at_s": now_s,
        "send_by_s": now_s + SEND_WINDOW_S,
        "outcome": None,
    }


def make_outcome(size: int) -> Outcome:
    return {"status": 200, "content_type": "", "body": b"x" * size}


class Shard:
    """The parts of one shard, as a store would return them."""

    def __init__(self) -> None:
        self.parts: list[StoredPart] = []
        self.revision = 0

    def compare_and_swap(self, write: StoredPart) -> bool:
        """Writes a part if its revision equals the stored one."""
        stored_by_number = {p.number: p for p in self.parts}
        stored = stored_by_number.get(write.number)
        if (stored.revision if stored else 0) != write.revision:
            return False
        self.revision += 1
        stored_by_number[write.number] = write._replace(revision=self.revision)
        self.parts = [stored_by_number[n] for n in sorted(stored_by_number)]
        return True

    def commit(self, changes: list[Any], now_s: float) -> list[Any]:
        """Commits changes; returns a finding or None for each of them."""
        step = plan_write(self.parts, changes, now_s, RETENTION_S)
        if step.write is not None:
            assert self.compare_and_swap(step.write)
        return [step.findings.get(i) for i in range(len(changes))]


@given('a shard that holds a claim "{held}"')
def make_shard(context: Any, held: str) -> None:
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
def submit_claim(context: Any, seconds: int, body: str, token: str) -> None:
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
    """One request, as its entry instance tracks it."""

    def __init__(self, key: str, token: str, now_s: float) -> None:
        self.key = key
        self.claim = make_claim(token, "same", now_s)
        self.status = "new"
        self.write: StoredPart | None = None
        self.parts_read: list[StoredPart] = []

    @property
    def submit(self) -> SubmitClaim:
        """The change that claims the key."""
        return SubmitClaim(self.key, self.claim)


class ClaimsMachine(RuleBasedStateMachine):
    """Random histories of three instances that claim keys in one shard.

    Instances crash and pause; the store loses responses and delays writes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.shard = Shard()
        self.now_s = 0.0
        self.token_count = 0
        self.attempts: dict[int, Attempt] = {}
        self.delayed_writes: list[StoredPart] = []
        self.runs_by_key: dict[str, int] = {}
        self.released_tokens: set[str] = set()

    @rule(owner=OWNERS, key=KEYS)
    def arrive(self, owner: int, key: str) -> None:
        """A request arrives; the instance's previous one ended in a crash."""
        self.token_count += 1
        attempt = Attempt(key, str(self.token_count), self.now_s)
        attempt.parts_read = list(self.shard.parts)
        self.attempts[owner] = attempt

    @rule(owner=OWNERS)
    def read(self, owner: int) -> None:
        """An instance rereads the shard."""
        attempt = self.attempts.get(owner)
        if attempt:
            attempt.parts_read = list(self.shard.parts)

    @rule(owner=OWNERS, fate=st.sampled_from(["done", "lost", "delayed"]))
    def commit(self, owner: int, fate: str) -> None:
        """An instance tries to write its claim."""
        attempt = self.attempts.get(owner)
        if attempt is None or attempt.status != "new":
            return
        step = plan_write(
            attempt.parts_read, [attempt.submit], self.now_s, RETENTION_S
        )
        if step.write is None:
            verdict = step.findings[0].verdict
            attempt.status = "claimed" if verdict is Verdict.RUN else "refused"
        elif fate == "delayed":
            self.delayed_writes.append(step.write)
        elif self.shard.compare_and_swap(step.write) and fate == "done":
            attempt.status = "claimed"

    @rule()
    def land_delayed(self) -> None:
        """A delayed write reaches the store; its instance got no response."""
        if self.delayed_writes:
            self.shard.compare_and_swap(self.delayed_writes.pop(0))

    @rule(owner=OWNERS)
    def give_up(self, owner: int) -> None:
        """An instance refuses a request as not run and releases its claim."""
        attempt = self.attempts.get(owner)
        if attempt is None or attempt.status not in ("new", "claimed"):
            return
        attempt.status = "refused"
        release = ReleaseClaim(attempt.key, attempt.claim["token"])
        self.shard.commit([release], self.now_s)
        self.released_tokens.add(attempt.claim["token"])

    @rule(owner=OWNERS, settles=st.booleans())
    def send(self, owner: int, settles: bool) -> None:
        """An instance sends the call whose key it has claimed."""
        attempt = self.attempts.get(owner)
        if attempt is None or attempt.status != "claimed":
            return
        if self.now_s >= attempt.claim["send_by_s"]:
            return
        attempt.status = "sent"
        runs = self.runs_by_key
        runs[attempt.key] = runs.get(attempt.key, 0) + 1
        if settles:
            token = attempt.claim["token"]
            settle = SettleClaim(attempt.key, token, make_outcome(1))
            self.shard.commit([settle], self.now_s)

    @rule(seconds=st.sampled_from([1.0, 40.0, 600.0]))
    def pass_time(self, seconds: float) -> None:
        """The clock advances, but stays within the retention."""
        if self.now_s + seconds < RETENTION_S:
            self.now_s += seconds

    @invariant()
    def each_key_ran_at_most_once(self) -> None:
        """Checks that no key ran twice."""
        assert all(n <= 1 for n in self.runs_by_key.values()), self.runs_by_key

    @invariant()
    def a_claim_taken_back_never_returns(self) -> None:
        """Checks that no delayed write restores a released claim."""
        stored_tokens = {
            claim["token"]
            for stored in self.shard.parts
            for claim in stored.part["claims_by_key"].values()
        }
        assert not stored_tokens & self.released_tokens, (
            stored_tokens & self.released_tokens
        )


@then("a random search of the claims finds no key that ran twice")
def search_claims(context: Any) -> None:
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
def fill_shard(context: Any, count: int, size: int) -> None:
    context.shard = Shard()
    context.key_count = count
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
    expired_at_s = RETENTION_S + CLOCK_SKEW_S + 1
    assert expired_parts(parts, expired_at_s, RETENTION_S) == parts[:-1]


@then("each of the keys is found while it is retained")
def check_retained(context: Any) -> None:
    for number in range(context.key_count):
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
def check_delayed_write(context: Any) -> None:
    assert not context.shard.compare_and_swap(context.delayed_write)
    claim = make_claim("other", "same", 0.0)
    [finding] = context.shard.commit([SubmitClaim("k", claim)], 0.0)
    assert finding.verdict is Verdict.RUN, finding
