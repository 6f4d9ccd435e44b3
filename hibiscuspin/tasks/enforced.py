"""Services whose replicas enforce idempotency keys themselves.

Such a replica executes a key once, but does not know which keys other
replicas have executed. So each key is sent to one replica only, its owner by
rendezvous hashing.
"""

import threading
from typing import NamedTuple

from hibiscuspin.clock import Clock
from hibiscuspin.edges import ServiceRequest, ServiceResponse, TargetError
from hibiscuspin.errors import ErrorKind, HibiscusError
from hibiscuspin.rendezvous import owner
from hibiscuspin.tasks.targets import Targets

__all__ = ["KeyedReplicas"]

OUTCOME_TIMEOUT_S = 1.0
SETTLE_MARGIN_S = 10.0


class _ReplicaSet(NamedTuple):
    """The replicas of a service that accept calls.

    Attributes:
        names: Their names.
        unchanged_since: Monotonic time since which the names are unchanged.
        removed: Whether a replica was ever removed from the declaration.
    """

    names: tuple[str, ...]
    unchanged_since: float
    removed: bool


class KeyedReplicas:
    """Routes keys to the replicas that enforce them."""

    def __init__(self, targets: Targets, clock: Clock) -> None:
        self._targets = targets
        self._clock = clock
        self._lock = threading.Lock()
        self._replicas_by_service: dict[str, _ReplicaSet] = {}

    def all_enforce_keys(self, service: str) -> bool:
        """Returns whether all replicas of a service enforce keys."""
        names = self._targets.services_of(service)
        if not names or names != self._targets.key_checking_services_of(
            service
        ):
            return False
        self._update_replicas(service, names)
        return True

    def run(
        self, service: str, call: ServiceRequest, deadline: float
    ) -> ServiceResponse:
        """Executes a call on the replica that owns its key.

        Raises:
            HibiscusError: The call failed; the error says whether it may have
                been executed.
        """
        replicas = self._replicas_by_service[service]
        name = owner(call.idempotency_key, replicas.names)
        if name is None:
            raise HibiscusError(
                ErrorKind.NO_TARGET, "No replica can serve the call."
            )
        try:
            with self._targets.track_request(name):
                return self._targets.service(name).call(call, deadline)
        except TargetError as error:
            if error.refused or not error.sent:
                raise HibiscusError(
                    ErrorKind.TARGET_REFUSED,
                    "The replica did not accept the call.",
                ) from error
            raise HibiscusError(
                ErrorKind.OUTCOME_UNKNOWN,
                "The call was sent, but no response arrived.",
            ) from error

    def outcome(self, service: str, key: str) -> ServiceResponse | None:
        """Returns the outcome that a replica reports for a key, or None."""
        for name in self._targets.key_checking_services_of(service):
            try:
                response = self._query_outcome(name, key)
            except TargetError:
                continue
            if response is not None:
                return response
        return None

    def run_without_store(
        self,
        service: str,
        call: ServiceRequest,
        deadline: float,
        timeout_s: float,
    ) -> ServiceResponse:
        """Executes a call whose key could not be claimed in the store.

        Does so only if no call of an earlier owner can still be in flight
        and no other replica knows the key.

        Args:
            service: The service's name.
            call: The call.
            deadline: Monotonic time at which the caller stops waiting.
            timeout_s: The maximum duration of a call of the service.

        Raises:
            HibiscusError: The call failed; the error says whether it may have
                been executed.
        """
        replicas = self._replicas_by_service[service]
        settled_at = replicas.unchanged_since + timeout_s + SETTLE_MARGIN_S
        if replicas.removed or self._clock.monotonic() < settled_at:
            raise _store_unavailable(
                "the service's replicas changed recently or one was removed"
            )
        key = call.idempotency_key
        key_owner = owner(key, replicas.names)
        for name in self._targets.services_of(service):
            if name == key_owner:
                continue
            try:
                response = self._query_outcome(name, key)
            except TargetError as error:
                raise _store_unavailable("a replica did not respond") from error
            if response is not None:
                return response
        return self.run(service, call, deadline)

    def _query_outcome(self, name: str, key: str) -> ServiceResponse | None:
        deadline = self._clock.monotonic() + OUTCOME_TIMEOUT_S
        return self._targets.service(name).fetch_outcome(key, deadline)

    def _update_replicas(self, service: str, declared: list[str]) -> None:
        names = tuple(self._targets.available_services_of(service))
        now = self._clock.monotonic()
        with self._lock:
            known = self._replicas_by_service.get(service)
            if known is None:
                known = _ReplicaSet(names, now, removed=False)
            elif known.names != names:
                removed = known.removed or not set(known.names) <= set(declared)
                known = _ReplicaSet(names, now, removed)
            self._replicas_by_service[service] = known


def _store_unavailable(reason: str) -> HibiscusError:
    return HibiscusError(
        ErrorKind.STORE_UNAVAILABLE,
        f"The store is unavailable and {reason}; the call was not sent.",
    )
