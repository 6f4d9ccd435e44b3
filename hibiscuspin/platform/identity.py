"""Identifies callers by their keys."""

from collections.abc import Mapping
from typing import NamedTuple

from hibiscuspin.decisions.organisations.job_access import Requester
from hibiscuspin.decisions.organisations.keys import (
    KeyCheck,
    KeyStatus,
    Organisation,
    check_key,
    effective_priority,
    find_organisation,
)
from hibiscuspin.decisions.routes import ForwardRoute, RouteTable
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.platform import words
from hibiscuspin.tasks.route_table import find_in_table

__all__ = ["ANONYMOUS", "CallerIdentity", "without_identity"]

_NO_CHECK = KeyCheck(KeyStatus.NONE)
_DETAIL_BY_STATUS = {
    KeyStatus.NONE: "The request has no bearer token.",
    KeyStatus.INVALID: "The request's bearer token is not valid.",
}


class CallerIdentity(NamedTuple):
    """Who sends a request, by the configuration in force when it came.

    Attributes:
        table: That configuration; None if there was none.
        is_current: Whether it was known to be the newest.
        check: The check of the request's key.
    """

    table: RouteTable | None
    is_current: bool
    check: KeyCheck = _NO_CHECK

    @classmethod
    def from_key(
        cls, is_current: bool, table: RouteTable | None, authorization: str
    ) -> "CallerIdentity":
        """Checks a key.

        Args:
            is_current: Whether the configuration is known to be the newest.
                It must be read before the table: a newer table may come into
                force in between, and then only the order of these reads
                ensures that a key is not refused by the older one.
            table: The configuration in force.
            authorization: The value of the request's header.
        """
        if table is None or table.keys is None:
            return cls(table, is_current)
        return cls(table, is_current, check_key(table.keys, authorization))

    @classmethod
    def from_relay(
        cls, is_current: bool, table: RouteTable | None, organisation: str
    ) -> "CallerIdentity":
        """Takes the organisation that another instance has found."""
        if not organisation:
            return cls(table, is_current)
        keys = table.keys if table is not None else None
        found = find_organisation(keys, organisation)
        return cls(table, is_current, KeyCheck(KeyStatus.VALID, found))

    @property
    def organisation(self) -> str:
        """The organisation's name; empty without a valid key."""
        found = self.check.organisation
        return found.name if found is not None else ""

    @property
    def has_organisations(self) -> bool:
        """Whether the configuration has organisations."""
        return self.table is not None and self.table.keys is not None

    def find_route(self, host: str, path: str) -> ForwardRoute:
        """Returns the route of the request.

        Raises:
            HibiscusError: As for `Routes.find`.
        """
        return find_in_table(self.table, host, path, self.is_current)

    def find_permitted_route(self, host: str, path: str) -> ForwardRoute:
        """Returns the route of the request, which its key allows.

        Raises:
            HibiscusError: As for `Routes.find` and `key_error`.
        """
        route = self.find_route(host, path)
        if self.has_organisations and not (route.public or self.organisation):
            raise self.key_error()
        return route

    def requester(self) -> Requester:
        """Returns who asks about a job.

        Raises:
            HibiscusError: `NOT_CONFIGURED` before the first configuration,
                which says whether there are organisations.
        """
        if self.table is None:
            raise HibiscusError(
                ErrorKind.NOT_CONFIGURED,
                "No configuration has been received yet.",
            )
        return Requester(self.has_organisations, self.organisation)

    def key_error(self) -> HibiscusError:
        """Returns the refusal of a request that lacks a valid key.

        It is final only if the configuration is current: another version may
        list the key, or make the route public.
        """
        if not self.is_current:
            return HibiscusError(
                ErrorKind.NOT_CONFIGURED,
                "The key is unknown, but the configuration may be out of date.",
            )
        detail = _DETAIL_BY_STATUS.get(self.check.status, "A key is required.")
        return HibiscusError(ErrorKind.NO_TOKEN, detail)

    def priority(self, route: ForwardRoute) -> int:
        """Returns the priority of the request on a route."""
        found: Organisation | None = self.check.organisation
        return effective_priority(found, route.priority)

    def forwarded_headers(self, headers: Mapping[str, str]) -> dict[str, str]:
        """Returns the headers to forward, without any that name a caller."""
        if self.has_organisations or self.organisation:
            return without_identity(headers)
        return dict(headers)

    def caller_name(self, authorization: str) -> str:
        """Returns what tells callers apart in a fingerprint; keys rotate."""
        if self.has_organisations or self.organisation:
            return self.organisation
        return authorization


ANONYMOUS = CallerIdentity(None, is_current=False)


def without_identity(headers: Mapping[str, str]) -> dict[str, str]:
    """Returns headers without those that name a caller or hold its key."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in words.IDENTITY_HEADERS
    }
