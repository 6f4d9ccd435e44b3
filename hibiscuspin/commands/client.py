"""Calls the administration interface of one instance."""

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
TOKEN_VARIABLE = "HIBISCUSPIN_ADMIN_TOKEN_FILE"
CALL_TIMEOUT_S = 10.0


class RefusedError(CommandError):
    """The instance refused a call.

    Attributes:
        code: The error's code in the closed list.
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
        """Reads address and token file from `HIBISCUSPIN_*` variables."""
        address = os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADMIN_ADDRESS)
        path = os.environ.get(TOKEN_VARIABLE)
        if not path:
            raise CommandError(f"{TOKEN_VARIABLE} is not set")
        token = pathlib.Path(path).read_text(encoding="utf-8").strip()
        if not token:
            raise CommandError(f"the file of {TOKEN_VARIABLE} is empty")
        try:
            return cls(address, token)
        except ValueError as error:
            raise CommandError(f"{ADDRESS_VARIABLE}: {error}") from None

    def call(self, method: str, path: str, body: object = None) -> Any:
        """Calls one path and returns the decoded answer.

        Raises:
            RefusedError: The instance refused the call.
            CommandError: It gave no answer.
        """
        data = None if body is None else json.dumps(body).encode()
        deadline = monotonic() + CALL_TIMEOUT_S
        try:
            answer = self._client.request(
                method,
                f"/admin/v1/{path}",
                deadline,
                body=data,
                headers=self._headers,
            )
        except TargetError as error:
            raise CommandError(
                f"no answer from the instance: {error}"
            ) from None
        value = json.loads(answer.body)
        if answer.status >= 300:
            detail = value["error"]
            raise RefusedError(detail["code"], detail["message"])
        return value

    def get(self, path: str) -> Any:
        """Reads one path."""
        return self.call("GET", path)
