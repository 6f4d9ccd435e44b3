"""Keeps this instance's spend within the grants from its site's budget."""

import secrets
import threading
from collections import OrderedDict
from typing import NamedTuple

import msgspec

from hibiscuspin.clock import Clock
from hibiscuspin.config import Document
from hibiscuspin.config.schema import Site
from hibiscuspin.decisions import spend as decision
from hibiscuspin.decisions.spend import ZERO_AMOUNT, Amount, Ledger, Wallet
from hibiscuspin.edges import PlatformStore, StoreError
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.logs import get_logger
from hibiscuspin.report.snapshot import Cost

__all__ = ["Purpose", "Reservation", "Spend"]

LEDGER_PREFIX = "hibiscuspin/spend/"
STORE_TIMEOUT_S = 2.0
REFILL_TIMEOUT_S = 2.0
DENIAL_BACKOFF_S = 1.0
IDLE_TIMEOUT_S = 30.0
WAKE_PERIOD_S = 1.0
MAX_WRITE_ATTEMPTS = 5
RETAINED_PERIODS = 2
RESERVATION_STEP = Amount(5.0, 0, 16 * 1024)
RESERVATION_MARGIN = Amount(2.0, 0, 4 * 1024)

_log = get_logger("spend")


class Purpose(NamedTuple):
    """The team, trainer and cause that spend is attributed to."""

    team: str
    trainer: str
    cause: str


class _AccountPart(NamedTuple):
    """The part of a reservation that one account covers."""

    account: str
    reserved: Amount


class Reservation:
    """The amount that one attempt may spend; not thread-safe.

    An attempt that outlives its account, for example at the end of a period,
    reserves a further part from the account's successor.
    """

    def __init__(
        self, spend: "Spend", purpose: Purpose, account: str, reserved: Amount
    ) -> None:
        self._spend = spend
        self._purpose = purpose
        self._parts = [_AccountPart(account, reserved)]
        self._reserved = reserved
        self._open = True

    def ensure_reserved(self, spent: Amount) -> None:
        """Extends the reservation when it is nearly spent.

        Raises:
            HibiscusError: The budget is exhausted.
        """
        margin = RESERVATION_MARGIN.restricted_to(self._reserved)
        if not self._open or self._reserved.covers(spent.plus(margin)):
            return
        target_amount = spent.plus(margin).plus(
            RESERVATION_STEP.restricted_to(self._reserved)
        )
        more = target_amount.minus(self._reserved)
        last = self._parts[-1]
        account = self._spend.extend(last.account, more)
        if account is None:
            raise HibiscusError(
                ErrorKind.SPEND_EXHAUSTED,
                "The site's budget was used up during the request.",
                ExecutionStatus.UNKNOWN,
            )
        if account == last.account:
            more = self._parts.pop().reserved.plus(more)
        self._parts.append(_AccountPart(account, more))
        self._reserved = target_amount.maximum(self._reserved)

    def settle(self, spent: Amount) -> None:
        """Ends the reservation; a repeated call has no effect."""
        if not self._open:
            return
        self._open = False
        for part in self._parts[:-1]:
            used = spent.minimum(part.reserved)
            self._spend.settle(part.account, self._purpose, part.reserved, used)
            spent = spent.minus(used)
        last = self._parts[-1]
        self._spend.settle(last.account, self._purpose, last.reserved, spent)


class Spend:
    """This instance's wallet and its account; a supervised task."""

    name = "spend"

    def __init__(
        self,
        instance: str,
        data_centre: str,
        store: PlatformStore,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._store = store
        self._clock = clock
        self._condition = threading.Condition()
        self._site_name = ""
        self._site: Site | None = None
        self._regions_by_data_centre: dict[str, str] = {}
        self._wallet: Wallet | None = None
        self._closing_by_account: dict[str, Wallet] = {}
        self._requested = ZERO_AMOUNT
        self._default_grant = ZERO_AMOUNT
        self._ledger_unreadable = False
        self._denied_until = 0.0
        self._used_at = 0.0
        self._costs: OrderedDict[int, dict[Purpose, Amount]] = OrderedDict()

    def configure(self, document: Document) -> None:
        """Applies the budget of this instance's site.

        After a change, the wallet is retired and a new one requests its
        grants, so that a lower budget takes effect.
        """
        with self._condition:
            before = self._budget()
            self._site = None
            for name, site in document.config["sites_by_name"].items():
                for data_centre in site["data_centres"]:
                    region = site["region"]
                    self._regions_by_data_centre[data_centre] = region
                if self._data_centre in site["data_centres"]:
                    self._site_name, self._site = name, site
            self._denied_until = 0.0
            if self._budget() != before:
                self._retire_wallet()

    def crosses_regions(self, data_centre: str) -> bool:
        """Returns whether traffic to a data centre leaves the region."""
        regions = self._regions_by_data_centre
        return regions.get(data_centre) != regions.get(self._data_centre)

    def reserve(
        self,
        purpose: Purpose,
        amount: Amount,
        ran: ExecutionStatus = ExecutionStatus.NO,
    ) -> Reservation:
        """Reserves the expected spend of an attempt, plus a margin.

        Raises:
            HibiscusError: The budget is exhausted; no attempt was started.
        """
        needed = amount.plus(RESERVATION_MARGIN.restricted_to(amount))
        deadline = self._clock.monotonic() + REFILL_TIMEOUT_S
        with self._condition:
            while True:
                wallet = self._current_wallet()
                reserved = decision.reserve(wallet, needed) if wallet else None
                if reserved is not None:
                    self._commit_reservation(reserved)
                    return Reservation(self, purpose, reserved.account, needed)
                if not self._await_refill(needed, deadline):
                    raise HibiscusError(
                        ErrorKind.SPEND_EXHAUSTED,
                        "The site's budget for this period is used up.",
                        ran,
                    )

    def extend(self, account: str, more: Amount) -> str | None:
        """Extends the reservation of an attempt in flight.

        Returns:
            The account that covers the amount, or None if none can.
        """
        deadline = self._clock.monotonic() + REFILL_TIMEOUT_S
        with self._condition:
            while True:
                self._current_wallet()
                wallet = self._wallet_of(account)
                extended = decision.extend_reservation(wallet, more)
                if extended is None and account in self._closing_by_account:
                    successor = self._current_wallet()
                    extended = successor and decision.reserve(successor, more)
                if extended is not None:
                    self._replace_wallet(extended)
                    return extended.account
                if not self._await_refill(more, deadline):
                    return None

    def settle(
        self, account: str, purpose: Purpose, reserved: Amount, spent: Amount
    ) -> None:
        """Ends a reservation and counts what was spent under it."""
        with self._condition:
            wallet = self._wallet_of(account)
            self._replace_wallet(
                decision.settle_reservation(wallet, reserved, spent)
            )
            costs = self._costs.setdefault(wallet.period, {})
            costs[purpose] = costs.get(purpose, ZERO_AMOUNT).plus(spent)
            while len(self._costs) > RETAINED_PERIODS:
                self._costs.popitem(last=False)
            self._used_at = self._clock.monotonic()

    def costs(self) -> list[Cost]:
        """Returns the spend of the most recent periods, by purpose."""
        with self._condition:
            return [
                Cost(self._site_name, period, *purpose, *amount)
                for period, costs in self._costs.items()
                for purpose, amount in costs.items()
            ]

    def run(self, stop: threading.Event) -> None:
        """Refills the wallet until `stop` is set, then closes its accounts."""
        while not stop.is_set():
            with self._condition:
                if self._requested == ZERO_AMOUNT:
                    self._condition.wait(WAKE_PERIOD_S)
            self.step()
        with self._condition:
            self._retire_wallet()
        self._close_retired_accounts()

    def step(self) -> None:
        """Refills the wallet if needed and closes retired accounts."""
        with self._condition:
            wallet = self._current_wallet()
            requested, self._requested = self._requested, ZERO_AMOUNT
        try:
            if wallet is not None and requested != ZERO_AMOUNT:
                self._refill(wallet, requested)
            elif self._is_idle():
                self._return_idle_grant()
        except StoreError:
            self._start_denial_backoff()
        with self._condition:
            self._condition.notify_all()
        self._close_retired_accounts()

    def _is_idle(self) -> bool:
        with self._condition:
            wallet = self._wallet
            idle_s = self._clock.monotonic() - self._used_at
        granted = wallet is not None and wallet.granted != ZERO_AMOUNT
        return granted and idle_s > IDLE_TIMEOUT_S

    def _return_idle_grant(self) -> None:
        """Retires an idle wallet to return its grant if the store is up."""
        wallet = self._wallet
        if wallet is None:
            return
        self._read_ledger(wallet.period)
        with self._condition:
            if self._wallet is not None and not self._wallet.open_reservations:
                self._retire_wallet()

    def _current_wallet(self) -> Wallet | None:
        """Returns the wallet of the current period; opens one if needed."""
        site = self._site
        if site is None:
            return None
        period_s = site["spend"]["period_s"]
        period = decision.period_number(self._clock.wall(), period_s)
        if self._wallet is not None and self._wallet.period != period:
            self._retire_wallet()
        if self._wallet is None:
            self._wallet = Wallet(secrets.token_hex(8), period)
            self._used_at = self._clock.monotonic()
            self._denied_until = 0.0
        return self._wallet

    def _commit_reservation(self, wallet: Wallet) -> None:
        self._wallet = wallet
        self._used_at = self._clock.monotonic()
        shortfall = decision.amount_to_request(
            wallet, ZERO_AMOUNT, self._default_grant
        )
        if shortfall != ZERO_AMOUNT and not self._is_denied():
            self._requested = self._requested.maximum(shortfall)
            self._condition.notify_all()

    def _await_refill(self, needed: Amount, deadline: float) -> bool:
        """Requests a refill and waits; returns False if none can come."""
        remaining_s = deadline - self._clock.monotonic()
        if self._site is None or remaining_s <= 0 or self._is_denied():
            return False
        self._requested = self._requested.maximum(needed)
        self._condition.notify_all()
        self._condition.wait(remaining_s)
        return True

    def _is_denied(self) -> bool:
        return self._clock.monotonic() < self._denied_until

    def _start_denial_backoff(self) -> None:
        with self._condition:
            self._denied_until = self._clock.monotonic() + DENIAL_BACKOFF_S

    def _wallet_of(self, account: str) -> Wallet:
        if self._wallet is not None and self._wallet.account == account:
            return self._wallet
        return self._closing_by_account[account]

    def _replace_wallet(self, wallet: Wallet) -> None:
        if wallet.account in self._closing_by_account:
            self._closing_by_account[wallet.account] = wallet
        else:
            self._wallet = wallet

    def _retire_wallet(self) -> None:
        wallet, self._wallet = self._wallet, None
        if wallet is not None:
            self._closing_by_account[wallet.account] = wallet

    def _budget(self) -> Amount:
        site = self._site
        if site is None:
            return ZERO_AMOUNT
        spend = site["spend"]
        return Amount(
            spend["engine_seconds"],
            spend["tokens"],
            spend["cross_region_bytes"],
        )

    def _ledger_key(self, period: int) -> str:
        return f"{LEDGER_PREFIX}{self._site_name}/{period}"

    def _refill(self, wallet: Wallet, requested: Amount) -> None:
        budget = self._budget()
        for _ in range(MAX_WRITE_ATTEMPTS):
            ledger, revision = self._read_ledger(wallet.period)
            recorded = ledger.accounts_by_id.get(wallet.account)
            if recorded is not None and recorded.granted != wallet.granted:
                self._apply_grant(wallet.account, recorded.granted)
                return
            self._default_grant = decision.default_grant(ledger, budget)
            to_request = decision.amount_to_request(
                wallet, requested, self._default_grant
            )
            granted = decision.raise_grant(
                ledger, budget, wallet.account, self._instance, to_request
            )
            account = granted.accounts_by_id[wallet.account]
            if account.granted == wallet.granted:
                self._start_denial_backoff()
                return
            if self._write_ledger(wallet.period, granted, revision):
                self._apply_grant(wallet.account, account.granted)
                return

    def _apply_grant(self, account: str, granted: Amount) -> None:
        with self._condition:
            wallet = self._wallet_of(account)
            self._replace_wallet(wallet._replace(granted=granted))

    def _close_retired_accounts(self) -> None:
        with self._condition:
            settled = [
                wallet
                for wallet in self._closing_by_account.values()
                if not wallet.open_reservations
            ]
        for wallet in settled:
            try:
                closed = self._close_account(wallet)
            except StoreError:
                return
            if closed:
                with self._condition:
                    del self._closing_by_account[wallet.account]

    def _close_account(self, wallet: Wallet) -> bool:
        for _ in range(MAX_WRITE_ATTEMPTS):
            ledger, revision = self._read_ledger(wallet.period)
            closed = decision.close_account(
                ledger, wallet.account, wallet.spent
            )
            if closed == ledger:
                return True
            if self._write_ledger(wallet.period, closed, revision):
                return True
        return False

    def _read_ledger(self, period: int) -> tuple[Ledger, int]:
        deadline = self._clock.monotonic() + STORE_TIMEOUT_S
        try:
            entry = self._store.get(self._ledger_key(period), deadline)
        except StoreError:
            if not self._ledger_unreadable:
                _log.warning(
                    "Spend ledger can't be read; only earlier grants remain."
                )
            self._ledger_unreadable = True
            raise
        self._ledger_unreadable = False
        if entry is None:
            return Ledger(), 0
        return msgspec.json.decode(entry.value, type=Ledger), entry.revision

    def _write_ledger(self, period: int, ledger: Ledger, revision: int) -> bool:
        deadline = self._clock.monotonic() + STORE_TIMEOUT_S
        written = self._store.compare_and_swap(
            self._ledger_key(period),
            msgspec.json.encode(ledger),
            revision,
            deadline,
        )
        return written is not None
