"""Simulates spend against a declared budget under faults.

Instances try to spend tokens faster than the budget allows. In the second
hour, once a tenth of the budget is spent, some instances are cut off from
the store. Instances also crash, and responses of the store are lost after the
write took effect. The `shared`
baseline adds each instance's spend to a total in the store, and refuses
requests that would bring the total it last observed above the budget.
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
CRASH_PROBABILITY = 0.0005
LOST_RESPONSE_PROBABILITY = 0.02
ROW = "{:<10} {:>4} {:>10} {:>10} {:>10} {:>9} {:>9}"


def tokens(count: int) -> Amount:
    """Returns an amount of tokens and of nothing else."""
    return Amount(0.0, count, 0)


class SpendPolicy(Protocol):
    """A policy by which instances keep within the budget."""

    def try_spend(self, instance: int, count: int, reachable: bool) -> bool:
        """Spends `count` tokens if the policy allows it; returns whether."""

    def crash(self, instance: int) -> None:
        """Crashes an instance, which loses its state in memory."""

    def next_period(self) -> None:
        """Starts the next budget period."""


class Escrow:
    """Instances spend grants that they request from a shared ledger."""

    def __init__(self, instances: int, budget: int, draw: random.Random):
        self._budget = tokens(budget)
        self._draw = draw
        self._period = 0
        self._accounts_opened = 0
        self._ledgers: dict[int, Ledger] = {}
        self._wallets = [self._new_wallet() for _ in range(instances)]

    def _new_wallet(self) -> Wallet:
        self._accounts_opened += 1
        return Wallet(f"account-{self._accounts_opened}", self._period)

    def try_spend(self, instance: int, count: int, reachable: bool) -> bool:
        """Spends `count` tokens if the policy allows it; returns whether."""
        wallet = self._wallets[instance]
        if wallet.period != self._period:
            wallet = self._new_wallet()
        if reachable:
            wallet = self._request_grant(instance, wallet, tokens(count))
        reserved = spend.reserve(wallet, tokens(count))
        self._wallets[instance] = (
            spend.settle_reservation(reserved, tokens(count), tokens(count))
            if reserved
            else wallet
        )
        return reserved is not None

    def _request_grant(
        self, instance: int, wallet: Wallet, required: Amount
    ) -> Wallet:
        ledger = self._ledgers.get(wallet.period, Ledger())
        known = ledger.accounts_by_id.get(wallet.account)
        if known is not None and known.granted != wallet.granted:
            return wallet._replace(granted=known.granted)
        default = spend.default_grant(ledger, self._budget)
        requested = spend.amount_to_request(wallet, required, default)
        ledger = spend.raise_grant(
            ledger, self._budget, wallet.account, str(instance), requested
        )
        self._ledgers[wallet.period] = ledger
        if self._draw.random() < LOST_RESPONSE_PROBABILITY:
            return wallet
        granted = ledger.accounts_by_id[wallet.account].granted
        return wallet._replace(granted=granted)

    def crash(self, instance: int) -> None:
        """Replaces an instance's wallet by one for a new account."""
        self._wallets[instance] = self._new_wallet()

    def next_period(self) -> None:
        """Starts the next budget period."""
        self._period += 1


class SharedTotal:
    """The baseline: instances add their spend to a total in the store.

    While the store is unreachable, they add it to the total last observed.
    """

    def __init__(self, instances: int, budget: int, draw: random.Random):
        self._budget = budget
        self._total = 0
        self._observed_totals = [0] * instances
        self._unsent_amounts = [0] * instances

    def try_spend(self, instance: int, count: int, reachable: bool) -> bool:
        """Spends `count` tokens if the policy allows it; returns whether."""
        if reachable:
            self._total += self._unsent_amounts[instance]
            self._unsent_amounts[instance] = 0
            self._observed_totals[instance] = self._total
        known = self._observed_totals[instance] + self._unsent_amounts[instance]
        if known + count > self._budget:
            return False
        self._unsent_amounts[instance] += count
        return True

    def crash(self, instance: int) -> None:
        """Discards the spend that an instance has not yet reported."""
        self._unsent_amounts[instance] = 0

    def next_period(self) -> None:
        """Starts the next budget period."""
        self._total = 0
        self._observed_totals = [0] * len(self._observed_totals)
        self._unsent_amounts = [0] * len(self._unsent_amounts)


POLICIES: dict[str, Callable[..., SpendPolicy]] = {
    "escrow": Escrow,
    "shared": SharedTotal,
}


class HourResult(NamedTuple):
    """Counts of one period.

    Attributes:
        spent: Number of tokens spent.
        cut_off_spent: Number of them spent by instances while cut off.
        refused: Number of refused requests.
    """

    spent: int
    cut_off_spent: int
    refused: int


def run_policy(name: str, args: argparse.Namespace) -> list[HourResult]:
    """Runs one policy; all policies see the same demand and crashes."""
    draw = random.Random(args.seed)
    policy: SpendPolicy = POLICIES[name](
        args.instances, args.budget, random.Random(args.seed + 1)
    )
    hours = []
    for hour in range(HOURS):
        spent = cut_off_spent = refused = 0
        for _ in range(PERIOD_S // STEP_S):
            for instance in range(args.instances):
                count = draw.randint(1, args.most)
                if draw.random() < CRASH_PROBABILITY:
                    policy.crash(instance)
                cut_off = hour == PARTITION_HOUR and instance < args.cut_off
                before_partition = (
                    hour == PARTITION_HOUR and spent * 10 < args.budget
                )
                granted = policy.try_spend(
                    instance, count, not cut_off or before_partition
                )
                spent += count * granted
                cut_off_spent += count * (
                    granted and cut_off and not before_partition
                )
                refused += not granted
        hours.append(HourResult(spent, cut_off_spent, refused))
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
    titles = ("policy", "hour", "declared", "spent", "overspent")
    print(ROW.format(*titles, "cut off", "refused"))
    for name in POLICIES:
        for number, hour in enumerate(run_policy(name, args), 1):
            over = max(0, hour.spent - args.budget)
            figures = (number, args.budget, hour.spent, over)
            print(ROW.format(name, *figures, hour.cut_off_spent, hour.refused))


if __name__ == "__main__":
    main()
