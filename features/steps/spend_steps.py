"""Steps for spend: grants of the ledger, random histories, partitions."""

import contextlib
import threading
from collections import Counter
from typing import Any

import hypothesis
from behave import given, then, when
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bench.fleet import ROOT
from features.shared_store import FakeClock
from hibiscuspin.config import ConfigRevision, Document, load_folder
from hibiscuspin.decisions import spend
from hibiscuspin.decisions.spend import ZERO_AMOUNT, Amount, Ledger, Wallet
from hibiscuspin.edges import StoreEntry, StoreError
from hibiscuspin.errors import HibiscusError
from hibiscuspin.tasks.spend import Purpose, Spend

HOUR_START_S = 1_000_800.0
BUDGET = Amount(100.0, 100, 100)
INSTANCES = st.integers(0, 3)
FAULTS = st.sampled_from(["none", "dropped", "lost answer", "delayed"])
AMOUNTS = st.builds(
    Amount,
    st.integers(0, 30).map(float),
    st.integers(0, 30),
    st.integers(0, 30),
)


def tokens(count: int) -> Amount:
    return Amount(0.0, count, 0)


@given("a ledger with a budget of {budget:d} tokens of which {left:d} are left")
def make_ledger(context: Any, budget: int, left: int) -> None:
    context.budget = tokens(budget)
    context.ledger = Ledger(settled=tokens(budget - left))


@when("an instance asks it for {asked:d} tokens")
def request_grant(context: Any, asked: int) -> None:
    context.ledger = spend.raise_grant(
        context.ledger, context.budget, "account", "a", tokens(asked)
    )


@then("it is granted {granted:d} tokens")
def check_granted(context: Any, granted: int) -> None:
    account = context.ledger.accounts_by_id["account"]
    assert account.granted == tokens(granted), account


@when(
    "an instance is granted {granted:d} tokens and closes its account "
    "with {spent:d} spent, {times:d} times"
)
def grant_and_close(context: Any, granted: int, spent: int, times: int) -> None:
    request_grant(context, granted)
    for _ in range(times):
        context.ledger = spend.close_account(
            context.ledger, "account", tokens(spent)
        )


@when("an instance is granted {granted:d} tokens and is lost")
def grant_to_lost_instance(context: Any, granted: int) -> None:
    request_grant(context, granted)


@then("the ledger has {left:d} tokens left")
def check_left(context: Any, left: int) -> None:
    assert context.budget.minus(context.ledger.committed()) == tokens(left)


class Instances(RuleBasedStateMachine):
    """Random histories of four instances, with one ledger per period.

    Instances crash; the store drops or delays writes, or loses responses.
    """

    def __init__(self) -> None:
        super().__init__()
        self.period = 0
        self.accounts = 0
        self.ledger_by_period: dict[int, Ledger] = {}
        self.revision_by_period: Counter[int] = Counter()
        self.delayed_writes: list[tuple[int, int, Ledger]] = []
        self.spent_by_period: dict[int, Amount] = {}
        self.wallets = [self.open_wallet() for _ in range(4)]
        self.reservations: list[list[Amount]] = [[] for _ in range(4)]

    def open_wallet(self) -> Wallet:
        self.accounts += 1
        return Wallet(f"account-{self.accounts}", self.period)

    def compare_and_swap(
        self, period: int, revision: int, ledger: Ledger
    ) -> bool:
        if self.revision_by_period[period] != revision:
            return False
        self.revision_by_period[period] += 1
        self.ledger_by_period[period] = ledger
        return True

    def write_with_fault(self, period: int, ledger: Ledger, fault: str) -> bool:
        """Writes a ledger under a fault; returns whether a response arrived."""
        revision = self.revision_by_period[period]
        if fault == "delayed":
            self.delayed_writes.append((period, revision, ledger))
        elif fault != "dropped":
            self.compare_and_swap(period, revision, ledger)
        return fault == "none"

    @rule(i=INSTANCES, wanted=AMOUNTS, fault=FAULTS)
    def refill(self, i: int, wanted: Amount, fault: str) -> None:
        wallet = self.wallets[i]
        ledger = self.ledger_by_period.get(wallet.period, Ledger())
        account = ledger.accounts_by_id.get(wallet.account)
        if account is not None and account.granted != wallet.granted:
            self.wallets[i] = wallet._replace(granted=account.granted)
            return
        default = spend.default_grant(ledger, BUDGET)
        asked = spend.amount_to_request(wallet, wanted, default)
        ledger = spend.raise_grant(
            ledger, BUDGET, wallet.account, str(i), asked
        )
        if self.write_with_fault(wallet.period, ledger, fault):
            granted = ledger.accounts_by_id[wallet.account].granted
            self.wallets[i] = wallet._replace(granted=granted)

    @rule(i=INSTANCES, amount=AMOUNTS)
    def reserve(self, i: int, amount: Amount) -> None:
        wallet = spend.reserve(self.wallets[i], amount)
        if wallet is not None:
            self.wallets[i] = wallet
            self.reservations[i].append(amount)

    @rule(i=INSTANCES, share=st.integers(0, 4))
    def settle(self, i: int, share: int) -> None:
        if not self.reservations[i]:
            return
        reserved = self.reservations[i].pop()
        spent = Amount(
            reserved.engine_seconds * share / 4,
            reserved.tokens * share // 4,
            reserved.cross_region_bytes * share // 4,
        )
        self.wallets[i] = spend.settle_reservation(
            self.wallets[i], reserved, spent
        )
        self.add_spent(self.wallets[i].period, spent)

    @rule(i=INSTANCES)
    def crash(self, i: int) -> None:
        for reserved in self.reservations[i]:
            self.add_spent(self.wallets[i].period, reserved)
        self.reservations[i] = []
        self.wallets[i] = self.open_wallet()

    @rule(i=INSTANCES, fault=FAULTS)
    def close(self, i: int, fault: str) -> None:
        wallet = self.wallets[i]
        if wallet.open_reservations:
            return
        ledger = self.ledger_by_period.get(wallet.period, Ledger())
        closed = spend.close_account(ledger, wallet.account, wallet.spent)
        response_arrived = self.write_with_fault(wallet.period, closed, fault)
        # The instance retries until it observes that the account is closed.
        if not response_arrived:
            ledger = self.ledger_by_period.get(wallet.period, Ledger())
            closed = spend.close_account(ledger, wallet.account, wallet.spent)
            self.write_with_fault(wallet.period, closed, "none")
        self.wallets[i] = self.open_wallet()

    @rule()
    def deliver(self) -> None:
        if self.delayed_writes:
            self.compare_and_swap(*self.delayed_writes.pop(0))

    @rule()
    def next_period(self) -> None:
        self.period += 1

    def add_spent(self, period: int, spent: Amount) -> None:
        total = self.spent_by_period.get(period, ZERO_AMOUNT)
        self.spent_by_period[period] = total.plus(spent)

    @invariant()
    def never_overspends(self) -> None:
        for period, spent in self.spent_by_period.items():
            assert BUDGET.covers(spent), (period, spent)

    @invariant()
    def never_grants_too_much(self) -> None:
        for ledger in self.ledger_by_period.values():
            assert BUDGET.covers(ledger.committed()), ledger


@then("{runs:d} seeded runs of {steps:d} steps on 4 instances never overspend")
def check_runs(context: Any, runs: int, steps: int) -> None:
    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        max_examples=runs,
        stateful_step_count=steps,
        deadline=None,
    )
    run_state_machine_as_test(Instances, settings=settings)


class InMemoryStore:
    """An in-memory store that may be cut off or lose responses."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.entries: dict[str, StoreEntry] = {}
        self.cut_off_instances: set[int] = set()
        self.lost_responses = 0

    def for_instance(self, number: int) -> "InstanceStore":
        return InstanceStore(self, number)


class InstanceStore:
    """The store as one instance reaches it."""

    def __init__(self, store: InMemoryStore, number: int) -> None:
        self.store = store
        self.number = number

    def get(self, key: str, deadline: float) -> StoreEntry | None:
        if self.number in self.store.cut_off_instances:
            raise StoreError("cut off", applied=False)
        return self.store.entries.get(key)

    def compare_and_swap(
        self, key: str, value: bytes, revision: int, deadline: float
    ) -> int | None:
        if self.number in self.store.cut_off_instances:
            raise StoreError("cut off", applied=None)
        with self.store.lock:
            stored = self.store.entries.get(key)
            if (stored.revision if stored else 0) != revision:
                return None
            self.store.entries[key] = StoreEntry(key, value, revision + 1)
            if self.store.lost_responses:
                self.store.lost_responses -= 1
                raise StoreError("lost", applied=None)
        return revision + 1


@given("{n:d} instances of one site with a budget of {budget:d} tokens an hour")
@given("{n:d} instance of one site with a budget of {budget:d} tokens an hour")
def start_instances(
    context: Any, n: int, budget: int, engine_seconds: float = 14400
) -> None:
    config = load_folder(ROOT / "examples/canjea")
    budget_config = config["sites_by_name"]["ar-centro"]["spend"]
    budget_config["tokens"] = budget
    budget_config["engine_seconds"] = engine_seconds
    document = Document(ConfigRevision(1, "a"), config)
    context.clock, context.store = FakeClock(), InMemoryStore()
    context.clock.now = HOUR_START_S
    context.token_counts = Counter()
    context.refusals = []
    context.cut_off_spent = 0
    context.spend_tasks = []
    stop = threading.Event()
    for number in range(1, n + 1):
        store: Any = context.store.for_instance(number)
        task = Spend(f"cba-a-{number}", "cba-a", store, context.clock)
        task.configure(document)
        thread = threading.Thread(target=task.run, args=(stop,))
        thread.start()
        context.add_cleanup(thread.join)
        context.spend_tasks.append(task)
    context.add_cleanup(stop.set)


@given(
    "an instance of one site with a budget of {seconds:d} engine seconds "
    "an hour"
)
def start_with_seconds(context: Any, seconds: int) -> None:
    start_instances(context, 1, 640, seconds)


def spend_tokens(context: Any, number: int, count: int) -> bool:
    """Reserves and spends tokens; returns False if the request is refused."""
    period = int(context.clock.now // 3600)
    try:
        reservation = context.spend_tasks[number - 1].reserve(
            Purpose("appraisal", "appraiser", "first"), tokens(count)
        )
    except HibiscusError as error:
        context.refusals.append(error)
        return False
    reservation.settle(tokens(count))
    context.token_counts[period, number] += count
    return True


@when(
    "instance {cut:d} is cut off from the store for an hour and both spend "
    "{count:d} tokens at a time"
)
def spend_during_partition(context: Any, cut: int, count: int) -> None:
    start = context.clock.now
    while context.clock.now < start + 3 * 3600:
        minute = int(context.clock.now - start) // 60
        if 5 <= minute < 65:
            context.store.cut_off_instances = {cut}
        else:
            context.store.cut_off_instances = set()
        for number in (1, 2):
            granted = spend_tokens(context, number, count)
            if granted and number in context.store.cut_off_instances:
                context.cut_off_spent += count
        context.clock.now += 60


@then("the spent tokens of each period are at most {most:d}")
def check_periods(context: Any, most: int) -> None:
    spent_by_period: Counter[int] = Counter()
    for (period, _), count in context.token_counts.items():
        spent_by_period[period] += count
    assert len(spent_by_period) >= 3, spent_by_period
    assert max(spent_by_period.values()) <= most, spent_by_period
    assert min(spent_by_period.values()) > 0, spent_by_period


@then("instance {cut:d} spent at least {least:d} while it was cut off")
def check_spent_while_cut_off(context: Any, cut: int, least: int) -> None:
    assert context.cut_off_spent >= least, context.cut_off_spent


@then('a refusal tells "{code}" and ran "{ran}"')
def check_refusal(context: Any, code: str, ran: str) -> None:
    actual = {(str(e.kind), str(e.ran)) for e in context.refusals}
    assert actual == {(code, ran)}, actual


@when("the store loses the answer to its first grant")
def lose_grant_response(context: Any) -> None:
    context.store.lost_responses = 1
    while True:
        context.clock.now += 2
        granted = spend_tokens(context, 1, 20)
        if not granted and context.token_counts.total() >= 640:
            return
        if len(context.refusals) > 50:
            return


@then("it spends {total:d} tokens in all, and no more")
def check_total(context: Any, total: int) -> None:
    with contextlib.suppress(IndexError):
        spend_tokens(context, 1, 20)
    assert context.token_counts.total() == total, context.token_counts


@when(
    "work that reserved {first:d} engine seconds goes on for {last:d}, "
    "into the next hour"
)
def outlast_period(context: Any, first: int, last: int) -> None:
    clock = context.clock
    clock.now = (clock.now // 3600 + 1) * 3600 - 5
    purpose = Purpose("counters", "", "first")
    reservation = context.spend_tasks[0].reserve(purpose, Amount(float(first)))
    for spent in range(1, last + 1):
        clock.now += 1
        reservation.ensure_reserved(Amount(float(spent)))
    reservation.settle(Amount(float(last)))


@then("it is not stopped, and both hours together pay {total:d} engine seconds")
def check_paid_seconds(context: Any, total: int) -> None:
    costs = context.spend_tasks[0].costs()
    assert len({cost.period for cost in costs}) == 2, costs
    assert sum(cost.engine_seconds for cost in costs) == total, costs
