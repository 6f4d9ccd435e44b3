"""Escrow of a site's budget: instances spend grants from a shared ledger.

The ledger of a site and period contains the settled amount and the open
accounts of instances. The whole grant of an open account counts as spent, so
the loss of an instance never leads to overspending. An instance spends only
grants that the ledger is known to contain.
"""

import operator
from collections.abc import Callable
from typing import NamedTuple

__all__ = [
    "ZERO_AMOUNT",
    "Account",
    "Amount",
    "Ledger",
    "Wallet",
    "close_account",
    "extend_reservation",
    "raise_grant",
    "period_number",
    "amount_to_request",
    "reserve",
    "settle_reservation",
    "default_grant",
]

GRANTS_PER_ACCOUNT = 4


class Amount(NamedTuple):
    """An amount in each currency."""

    engine_seconds: float = 0.0
    tokens: int = 0
    cross_region_bytes: int = 0

    def plus(self, other: "Amount") -> "Amount":
        """Returns the sum."""
        return _map_currencies(operator.add, self, other)

    def minus(self, other: "Amount") -> "Amount":
        """Returns the difference; no currency falls below zero."""
        return _map_currencies(lambda a, b: max(0, a - b), self, other)

    def minimum(self, other: "Amount") -> "Amount":
        """Returns the smaller of both in each currency."""
        return _map_currencies(min, self, other)

    def maximum(self, other: "Amount") -> "Amount":
        """Returns the greater of both in each currency."""
        return _map_currencies(max, self, other)

    def restricted_to(self, used: "Amount") -> "Amount":
        """Returns the amount, with 0 for currencies not in `used`."""
        return _map_currencies(
            lambda value, use: value if use else 0, self, used
        )

    def covers(self, other: "Amount") -> bool:
        """Tells whether the amount is at least `other` in each currency."""
        return all(a >= b for a, b in zip(self, other, strict=True))


ZERO_AMOUNT = Amount()


class Account(NamedTuple):
    """An instance's grant that is not settled yet."""

    instance: str
    granted: Amount


class Ledger(NamedTuple):
    """The ledger of one site and period.

    Attributes:
        settled: The total spent under closed accounts.
        accounts_by_id: The open accounts.
    """

    settled: Amount = ZERO_AMOUNT
    accounts_by_id: dict[str, Account] = {}

    def committed(self) -> Amount:
        """Returns the sum of what is settled and what is granted."""
        total = self.settled
        for account in self.accounts_by_id.values():
            total = total.plus(account.granted)
        return total


class Wallet(NamedTuple):
    """What an instance may spend under one account.

    Attributes:
        account: The account's unique id, which is not reused once closed.
        period: The number of the period.
        granted: The amount that the ledger is known to grant.
        spent: The amount spent.
        reserved: The amount reserved for work in progress.
        open_reservations: The number of open reservations.
    """

    account: str
    period: int
    granted: Amount = ZERO_AMOUNT
    spent: Amount = ZERO_AMOUNT
    reserved: Amount = ZERO_AMOUNT
    open_reservations: int = 0

    def available(self) -> Amount:
        """Returns the amount that may still be reserved."""
        return self.granted.minus(self.spent).minus(self.reserved)


def period_number(now_s: float, period_s: float) -> int:
    """Returns the number of the period that contains a wall-clock time."""
    return int(now_s // period_s)


def raise_grant(
    ledger: Ledger,
    budget: Amount,
    account_id: str,
    instance: str,
    requested: Amount,
) -> Ledger:
    """Raises an account's grant by `requested`, as far as the budget allows."""
    remaining = budget.minus(ledger.committed())
    granted = requested.minimum(remaining)
    existing = ledger.accounts_by_id.get(
        account_id, Account(instance, ZERO_AMOUNT)
    )
    account = existing._replace(granted=existing.granted.plus(granted))
    accounts = {**ledger.accounts_by_id, account_id: account}
    return ledger._replace(accounts_by_id=accounts)


def close_account(ledger: Ledger, account_id: str, spent: Amount) -> Ledger:
    """Settles and closes an account; no effect if it is already closed."""
    if account_id not in ledger.accounts_by_id:
        return ledger
    accounts = dict(ledger.accounts_by_id)
    del accounts[account_id]
    return Ledger(ledger.settled.plus(spent), accounts)


def reserve(wallet: Wallet, amount: Amount) -> Wallet | None:
    """Opens a reservation, or returns None if too little is available."""
    extended = extend_reservation(wallet, amount)
    if extended is None:
        return None
    return extended._replace(open_reservations=wallet.open_reservations + 1)


def extend_reservation(wallet: Wallet, additional: Amount) -> Wallet | None:
    """Extends a reservation, or returns None if too little is available."""
    if not wallet.available().covers(additional):
        return None
    return wallet._replace(reserved=wallet.reserved.plus(additional))


def settle_reservation(
    wallet: Wallet, reserved: Amount, spent: Amount
) -> Wallet:
    """Ends a reservation and adds the amount that was spent under it."""
    still_open = wallet.open_reservations - 1
    return wallet._replace(
        reserved=wallet.reserved.minus(reserved) if still_open else ZERO_AMOUNT,
        spent=wallet.spent.plus(spent),
        open_reservations=still_open,
    )


def default_grant(ledger: Ledger, budget: Amount) -> Amount:
    """Returns the default size of a grant: a part of the remaining budget."""
    remaining = budget.minus(ledger.committed())
    parts = GRANTS_PER_ACCOUNT * max(1, len(ledger.accounts_by_id))
    return Amount(
        remaining.engine_seconds / parts,
        remaining.tokens // parts,
        remaining.cross_region_bytes // parts,
    )


def amount_to_request(
    wallet: Wallet, required: Amount, default: Amount
) -> Amount:
    """Returns the grant to request so that `required` becomes available.

    A currency is also refilled if little more than `required` is available.
    """
    available = wallet.available()
    missing = required.minus(available)
    return _map_currencies(
        lambda have, need, lack, chunk: (
            max(lack, chunk) if have < need + chunk / 2 else 0
        ),
        available,
        required,
        missing,
        default,
    )


def _map_currencies(function: Callable[..., float], *amounts: Amount) -> Amount:
    seconds, tokens, transferred = map(function, *amounts)
    return Amount(seconds, int(tokens), int(transferred))
