"""Measures spend against a declared budget under faults, by injected time.

Instances ask for tokens faster than the budget allows. In the second hour
some are cut off from the store; instances also crash, and answers are lost
after taking effect. The baseline adds what it spent to a shared total in the
store and refuses once the total it last saw is at the budget.
"""

import argparse
import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from hibiscuspin.decisions import spend
from hibiscuspin.decisions.spend import Amount, Ledger, Wallet

HOURS = 4
STEP_S = 10
PERIOD_S = 3600
PARTITION_HOUR = 1
CRASH_SHARE = 0.0005
LOST_ANSWER_SHARE = 0.02
ROW = "{:<10} {:>4} {:>10} {:>10} {:>10} {:>9} {:>9}"


def tokens(count: int) -> Amount:
    """Returns an amount of tokens alone."""
    return Amount(0.0, count, 0)


class Policy(Protocol):
    """How instances hold the budget."""

    def ask(self, instance: int, count: int, reachable: bool) -> bool:
        """Tells whether an instance may spend."""

    def crash(self, instance: int) -> None:
        """Forgets what an instance knew."""

    def next_period(self) -> None:
        """Starts a period."""


class Escrow:
    """Grants out of a ledger."""

    def __init__(self, instances: int, budget: int, draw: random.Random):
        self._budget = tokens(budget)
        self._draw = draw
        self._period = 0
        self._accounts = 0
        self._ledgers: dict[int, Ledger] = {}
        self._wallets = [self._opened() for _ in range(instances)]

    def _opened(self) -> Wallet:
        self._accounts += 1
        return Wallet(f"account-{self._accounts}", self._period)

    def ask(self, instance: int, count: int, reachable: bool) -> bool:
        """Tells whether an instance may spend."""
        wallet = self._wallets[instance]
        if wallet.period != self._period:
            wallet = self._opened()
        if reachable:
            wallet = self._refilled(instance, wallet, tokens(count))
        held = spend.reserve(wallet, tokens(count))
        self._wallets[instance] = (
            spend.settle_reservation(held, tokens(count), tokens(count))
            if held
            else wallet
        )
        return held is not None

    def _refilled(self, instance: int, wallet: Wallet, need: Amount) -> Wallet:
        ledger = self._ledgers.get(wallet.period, Ledger())
        known = ledger.accounts_by_id.get(wallet.account)
        if known is not None and known.granted != wallet.granted:
            return wallet._replace(granted=known.granted)
        usual = spend.default_grant(ledger, self._budget)
        asked = spend.amount_to_request(wallet, need, usual)
        ledger = spend.raise_grant(
            ledger, self._budget, wallet.account, str(instance), asked
        )
        self._ledgers[wallet.period] = ledger
        if self._draw.random() < LOST_ANSWER_SHARE:
            return wallet
        granted = ledger.accounts_by_id[wallet.account].granted
        return wallet._replace(granted=granted)

    def crash(self, instance: int) -> None:
        """Forgets what an instance knew."""
        self._wallets[instance] = self._opened()

    def next_period(self) -> None:
        """Starts a period."""
        self._period += 1


class SharedTotal:
    """The baseline: a total in the store, added to when it is reachable."""

    def __init__(self, instances: int, budget: int, draw: random.Random):
        self._budget = budget
        self._total = 0
        self._seen = [0] * instances
        self._unsent = [0] * instances

    def ask(self, instance: int, count: int, reachable: bool) -> bool:
        """Tells whether an instance may spend."""
        if reachable:
            self._total += self._unsent[instance]
            self._unsent[instance] = 0
            self._seen[instance] = self._total
        known = self._seen[instance] + self._unsent[instance]
        if known + count > self._budget:
            return False
        self._unsent[instance] += count
        return True

    def crash(self, instance: int) -> None:
        """Forgets what an instance knew."""
        self._unsent[instance] = 0

    def next_period(self) -> None:
        """Starts a period."""
        self._total = 0
        self._seen = [0] * len(self._seen)
        self._unsent = [0] * len(self._unsent)


POLICIES: dict[str, Callable[..., Policy]] = {
    "escrow": Escrow,
    "shared": SharedTotal,
}


class Hour(NamedTuple):
    """What happened in one period."""

    spent: int
    cut_off_spent: int
    refused: int


def run(name: str, args: argparse.Namespace) -> list[Hour]:
    """Runs one policy; all policies meet the same demand and faults."""
    draw = random.Random(args.seed)
    policy: Policy = POLICIES[name](
        args.instances, args.budget, random.Random(args.seed + 1)
    )
    hours = []
    for hour in range(HOURS):
        spent = cut_off_spent = refused = 0
        for _ in range(PERIOD_S // STEP_S):
            for instance in range(args.instances):
                count = draw.randint(1, args.most)
                if draw.random() < CRASH_SHARE:
                    policy.crash(instance)
                cut_off = hour == PARTITION_HOUR and instance < args.cut_off
                late = hour == PARTITION_HOUR and spent * 10 < args.budget
                granted = policy.ask(instance, count, not cut_off or late)
                spent += count * granted
                cut_off_spent += count * (granted and cut_off and not late)
                refused += not granted
        hours.append(Hour(spent, cut_off_spent, refused))
        policy.next_period()
    return hours


def main() -> None:
    """Prints a row for each policy and hour."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--cut-off", type=int, default=2)
    parser.add_argument("--budget", type=int, default=20_000_000)
    parser.add_argument("--most", type=int, default=40_000)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    heads = ("policy", "hour", "declared", "spent", "overspent")
    print(ROW.format(*heads, "cut off", "refused"))
    for name in POLICIES:
        for number, hour in enumerate(run(name, args), 1):
            over = max(0, hour.spent - args.budget)
            figures = (number, args.budget, hour.spent, over)
            print(ROW.format(name, *figures, hour.cut_off_spent, hour.refused))


if __name__ == "__main__":
    main()
