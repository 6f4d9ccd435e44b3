"""A client for the administration interface of one instance."""

import json
import os
import pathlib
from typing import Any

from hibiscuspin.clock import monotonic
from hibiscuspin.commands.outcome import CommandError
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.http import HttpClient
from hibiscuspin.settings import parse_address

__all__ = ["AdminClient", "RefusedError"]

DEFAULT_ADMIN_ADDRESS = "127.0.0.1:8082"
ADDRESS_VARIABLE = "HIBISCUSPIN_ADMIN_ADDRESS"
TOKEN_FILE_VARIABLE = "HIBISCUSPIN_ADMIN_TOKEN_FILE"
CALL_TIMEOUT_S = 10.0


class RefusedError(CommandError):
    """The instance responded to a call with an error.

    Attributes:
        code: The error code, a value of `ErrorKind`.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code


class AdminClient:
    """A client of one instance's administration interface."""

    def __init__(self, address: str, token: str) -> None:
        self._client = HttpClient(parse_address(address))
        self._headers = {"Authorization": f"Bearer {token}"}

    @classmethod
    def from_environment(cls) -> "AdminClient":
        """Creates a client from `HIBISCUSPIN_*` environment variables."""
        address = os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADMIN_ADDRESS)
        path = os.environ.get(TOKEN_FILE_VARIABLE)
        if not path:
            raise CommandError(f"{TOKEN_FILE_VARIABLE} is not set")
        token = pathlib.Path(path).read_text(encoding="utf-8").strip()
        if not token:
            raise CommandError(
                f"the file given by {TOKEN_FILE_VARIABLE} is empty"
            )
        try:
            return cls(address, token)
        except ValueError as error:
            raise CommandError(f"{ADDRESS_VARIABLE}: {error}") from None

    def call(self, method: str, path: str, body: object = None) -> Any:
        """Sends a request to one path and returns the decoded response.

        Raises:
            RefusedError: The instance responded with an error.
            CommandError: The instance did not respond.
        """
        data = None if body is None else json.dumps(body).encode()
        deadline = monotonic() + CALL_TIMEOUT_S
        try:
            response = self._client.request(
                method,
                f"/admin/v1/{path}",
                deadline,
                body=data,
                headers=self._headers,
            )
        except TargetError as error:
            raise CommandError(
                f"no response from the instance: {error}"
            ) from None
        value = json.loads(response.body)
        if response.status >= 300:
            detail = value["error"]
            raise RefusedError(detail["code"], detail["message"])
        return value

    def get(self, path: str) -> Any:
        """Sends a GET request to one path."""
        return self.call("GET", path)
