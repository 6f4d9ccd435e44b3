"""Authentication by bearer tokens, compared in constant time."""

import hashlib
import hmac
from collections.abc import Callable

from hibiscuspin.config import Config
from hibiscuspin.edges.wsgi import Request, Response
from hibiscuspin.errors import ErrorKind, HibiscusError

__all__ = ["bearer_token", "require_token", "team_of"]

_SCHEME = "Bearer "


def bearer_token(request: Request) -> str:
    """Returns the request's bearer token.

    Raises:
        HibiscusError: The request has no bearer token.
    """
    header = request.headers.get("authorization", "")
    if not header.startswith(_SCHEME):
        raise HibiscusError(
            ErrorKind.NO_TOKEN, "The request has no bearer token."
        )
    return header[len(_SCHEME) :].strip()


def team_of(request: Request, config: Config) -> str:
    """Returns the name of the team to which the request's token belongs.

    Raises:
        HibiscusError: The request has no token, or it belongs to no team.
    """
    token = bearer_token(request)
    digest = hashlib.sha256(token.encode()).hexdigest()
    matching_team = ""
    for name, team in config["teams_by_name"].items():
        if hmac.compare_digest(digest, team["token_sha256"]):
            matching_team = name
    if not matching_team:
        raise HibiscusError(
            ErrorKind.FORBIDDEN, "The token belongs to no team."
        )
    return matching_team


def require_token(
    token: str, handler: Callable[..., Response]
) -> Callable[..., Response]:
    """Wraps a handler with a check of the operators' token."""

    def handle_with_token(request: Request, **kwargs: str) -> Response:
        presented = bearer_token(request)
        if not hmac.compare_digest(presented.encode(), token.encode()):
            raise HibiscusError(
                ErrorKind.FORBIDDEN, "The token is not the operators' token."
            )
        return handler(request, **kwargs)

    return handle_with_token
