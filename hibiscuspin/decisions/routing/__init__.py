"""Routers, which choose the target of a request.

`ROUTERS` maps the name of each router to its module, which is imported on
demand. Routers are stateless.
"""

from hibiscuspin.decisions.routing._mapping import ROUTERS
from hibiscuspin.decisions.routing.candidate import (
    Candidate,
    Router,
    RoutingRequest,
)

__all__ = ["ROUTERS", "Candidate", "Router", "RoutingRequest", "router_by_name"]


def router_by_name(name: str) -> Router:
    """Returns the router of that name.

    Raises:
        KeyError: There is no router of that name.
    """
    module_name, class_name = ROUTERS[name]
    module = __import__(module_name, None, None, [class_name])
    router: Router = getattr(module, class_name)()
    return router
