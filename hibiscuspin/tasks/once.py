"""Executes non-repeatable calls: claim the key, send, record the outcome."""

from collections.abc import Callable

from hibiscuspin.clock import Clock
from hibiscuspin.config.schema import Service
from hibiscuspin.decisions.claims import Outcome, Verdict
from hibiscuspin.edges import ServiceRequest, ServiceResponse
from hibiscuspin.errors import ErrorKind, ExecutionStatus, HibiscusError
from hibiscuspin.tasks.claims import Claims, SubmittedClaim, scoped_key
from hibiscuspin.tasks.enforced import KeyedReplicas

__all__ = ["AtMostOnceCalls"]

DEFAULT_RETENTION_S = 86_400.0

SendCall = Callable[[ServiceRequest, float], ServiceResponse]


class AtMostOnceCalls:
    """Executes each idempotency key of a service at most once."""

    def __init__(
        self, claims: Claims, replicas: KeyedReplicas, clock: Clock
    ) -> None:
        self._claims = claims
        self._replicas = replicas
        self._clock = clock

    def call(
        self,
        team: str,
        service: str,
        declared: Service,
        call: ServiceRequest,
        deadline: float,
        send: SendCall,
    ) -> ServiceResponse:
        """Executes one call, or replays the outcome of its key.

        Args:
            team: The caller's team; keys of different teams never collide.
            service: The service's name.
            declared: The service's declaration.
            call: The call; its key is not empty.
            deadline: Monotonic time at which the caller stops waiting.
            send: Sends the call to a replica; called at most once.

        Raises:
            HibiscusError: The call failed; the error says whether it may have
                been executed.
        """
        timeout_s = declared["timeout_s"]
        deadline = min(deadline, self._clock.monotonic() + timeout_s)
        key = scoped_key(f"{team}/{service}", call.idempotency_key)
        call = call._replace(idempotency_key=key)
        retention_s = declared.get("key_retention_s", DEFAULT_RETENTION_S)
        enforced = self._replicas.all_enforce_keys(service)
        if enforced:
            send = self._owner_sender(service)
        try:
            submitted = self._claims.claim(service, call, deadline, retention_s)
        except HibiscusError:
            if not enforced:
                raise
            response = self._replicas.run_without_store(
                service, call, deadline, timeout_s
            )
            self._claims.record_unclaimed_call(
                service, call, response, retention_s
            )
            return response
        return self._run_or_replay(service, call, submitted, deadline, send)

    def _owner_sender(self, service: str) -> SendCall:
        return lambda call, deadline: self._replicas.run(
            service, call, deadline
        )

    def _run_or_replay(
        self,
        service: str,
        call: ServiceRequest,
        submitted: SubmittedClaim,
        deadline: float,
        send: SendCall,
    ) -> ServiceResponse:
        verdict, outcome = submitted.finding
        if verdict is Verdict.RUN:
            return self._send(service, call, submitted, deadline, send)
        if outcome is not None:
            return _replay(outcome)
        if verdict is Verdict.REFUSE_OTHER_BODY:
            raise HibiscusError(
                ErrorKind.KEY_REUSED,
                "The idempotency key was already used with another request.",
            )
        response = self._replicas.outcome(service, call.idempotency_key)
        if response is not None:
            return response
        if verdict is Verdict.IN_PROGRESS:
            raise HibiscusError(
                ErrorKind.KEY_IN_PROGRESS,
                "A call with this idempotency key is in progress.",
            )
        raise HibiscusError(
            ErrorKind.OUTCOME_UNKNOWN,
            "The idempotency key was claimed; its outcome is unknown.",
        )

    def _send(
        self,
        service: str,
        call: ServiceRequest,
        submitted: SubmittedClaim,
        deadline: float,
        send: SendCall,
    ) -> ServiceResponse:
        if self._clock.monotonic() >= deadline:
            self._claims.release(submitted)
            raise HibiscusError(
                ErrorKind.DEADLINE_EXCEEDED,
                "The deadline has passed.",
                ExecutionStatus.NO,
            )
        try:
            response = send(call, deadline)
        except HibiscusError as error:
            if error.ran is ExecutionStatus.NO:
                self._claims.release(submitted)
                raise
            known_response = self._replicas.outcome(
                service, call.idempotency_key
            )
            if known_response is None:
                raise
            response = known_response
        self._claims.record_outcome(submitted, response)
        return response


def _replay(outcome: Outcome) -> ServiceResponse:
    if not outcome.get("kept", True):
        raise HibiscusError(
            ErrorKind.OUTCOME_UNKNOWN,
            "The call was executed; its response was too large to store.",
            ExecutionStatus.YES,
        )
    return ServiceResponse(
        outcome["status"], outcome["content_type"], outcome["body"]
    )
