"""The adapter to plain services, over HTTP."""

import urllib.parse
from collections.abc import Callable

from hibiscuspin.edges import ServiceRequest, ServiceResponse, TargetError
from hibiscuspin.edges.http import HttpClient, HttpResponse, is_draining_refusal
from hibiscuspin.settings import Address, parse_address

__all__ = ["HttpService"]

REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
REFUSED_STATUSES = frozenset({429, 503})


class HttpService:
    """A `PlainService` over HTTP."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    @classmethod
    def from_address(cls, address: Address | str) -> "HttpService":
        """Returns a client for the replica at an address."""
        if isinstance(address, str):
            address = parse_address(address)
        return cls(HttpClient(address))

    def call(
        self,
        call: ServiceRequest,
        deadline: float,
        check: Callable[[], None] | None = None,
    ) -> ServiceResponse:
        """Sends one request and checks that the response belongs to it."""
        headers = {
            "Content-Type": call.content_type,
            REQUEST_ID_HEADER: call.request_id,
        }
        if call.idempotency_key:
            headers[IDEMPOTENCY_KEY_HEADER] = call.idempotency_key
        response = self._request(call, deadline, headers, check)
        if response.headers.get(REQUEST_ID_HEADER) != call.request_id:
            self._client.close_idle()
            raise TargetError("response to another request", sent=True)
        if response.status in REFUSED_STATUSES:
            raise TargetError(
                f"service responded with status {response.status}",
                sent=True,
                refused=True,
                draining=is_draining_refusal(response.status, response.body),
            )
        content_type = response.headers.get("Content-Type", "")
        return ServiceResponse(response.status, content_type, response.body)

    def _request(
        self,
        call: ServiceRequest,
        deadline: float,
        headers: dict[str, str],
        check: Callable[[], None] | None,
    ) -> HttpResponse:
        try:
            return self._client.request(
                call.method,
                call.path,
                deadline,
                body=call.body,
                headers=headers,
                check=check,
            )
        except TargetError as error:
            if error.silent:
                self._client.close_idle()
            raise

    def fetch_outcome(
        self, key: str, deadline: float
    ) -> ServiceResponse | None:
        """Queries the response to an earlier request by its idempotency key."""
        path = f"/outcomes/{urllib.parse.quote(key, safe='')}"
        response = self._client.request("GET", path, deadline)
        if response.status == 404:
            return None
        if response.status != 200:
            raise TargetError(
                f"service responded with status {response.status}", sent=True
            )
        content_type = response.headers.get("Content-Type", "")
        return ServiceResponse(response.status, content_type, response.body)
