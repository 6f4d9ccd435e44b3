"""Which instances a job holder exchanges loads with.

Load pattern: a handful of job holders among hundreds of instances. Asking all
instances for their loads takes longer than the samples that the loads are
about, and so does telling all of them of each weight load. The coordinator
hears of all holders and names them to each; without it, a holder asks all
instances now and then.
"""

from collections.abc import Collection, Mapping

__all__ = ["HOLDER_TTL_S", "active_holders", "instances_to_ask"]

# Holders report several times a second; some reports are lost.
HOLDER_TTL_S = 1.5


def active_holders(
    reported_at_by_name: Mapping[str, float], now: float
) -> list[str]:
    """Returns the instances that have reported their load lately.

    Args:
        reported_at_by_name: When each instance last reported.
        now: The monotonic time.
    """
    return sorted(
        name
        for name, at in reported_at_by_name.items()
        if now - at <= HOLDER_TTL_S
    )


def instances_to_ask(
    others: Collection[str],
    holders: Collection[str],
    coordinator: str,
    coordinator_answers: bool,
    ask_all: bool,
) -> list[str]:
    """Returns the instances with which a holder exchanges loads now.

    Args:
        others: The other live instances, preferred ones first.
        holders: The known holders.
        coordinator: The coordinator; empty if unknown.
        coordinator_answers: Whether the coordinator, which may be this
            instance, has named the holders lately.
        ask_all: Whether all instances are asked if the holders are unknown.
    """
    if ask_all and not coordinator_answers:
        return list(others)
    return [name for name in others if name in holders or name == coordinator]
