"""Maps the names of routers to their modules and classes."""

__all__ = ["ROUTERS"]

_PACKAGE = "hibiscuspin.decisions.routing"

ROUTERS: dict[str, tuple[str, str]] = {
    "expected_finish": (f"{_PACKAGE}.expected_finish", "ExpectedFinish"),
    "least_in_flight": (f"{_PACKAGE}.least_in_flight", "LeastInFlight"),
    "random": (f"{_PACKAGE}.random_choice", "RandomChoice"),
    "round_robin": (f"{_PACKAGE}.round_robin", "RoundRobin"),
    "two_choices": (f"{_PACKAGE}.two_choices", "TwoChoices"),
}
