"""Finds out which incarnation of a target serves a stream.

The list of targets may name an incarnation, and the version of its software,
that has ended: a target can start again under its name and address. A target
says itself when it has started.
"""

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.software import Software
from hibiscuspin.edges import TargetError
from hibiscuspin.edges.discovery import EventStream
from hibiscuspin.logs import get_logger
from hibiscuspin.tasks.discovered import DiscoveredTarget

__all__ = ["serving_software"]

STATE_TIMEOUT_S = 0.3

_log = get_logger("targets")


def serving_software(
    target: DiscoveredTarget, stream: EventStream, clock: Clock
) -> Software | None:
    """Returns what generates the events of an open stream.

    One process serves a connection to its end, and one at a time listens at an
    address. So a target that has stated its start since the connection was
    established is the one that serves it, and is asked once a connection.

    Args:
        target: The target, as listed.
        stream: A stream that it serves.
        clock: The time source.

    Returns:
        The software; None if the target is not the listed incarnation, or did
        not say.
    """
    with target.confirmation_lock:
        # Connections that were established meanwhile share one report.
        if target.asked_at < stream.connected_at:
            _confirm(target, clock)
        is_listed = target.confirmed_at >= stream.connected_at
    return target.software if is_listed else None


def _confirm(target: DiscoveredTarget, clock: Clock) -> None:
    """Asks a target whether it is the listed incarnation."""
    target.asked_at = asked_at = clock.monotonic()
    try:
        born_ms = target.client.fetch_state(asked_at + STATE_TIMEOUT_S).born_ms
        reason = "it has started again"
    except TargetError as error:
        born_ms, reason = 0, str(error)
    if born_ms and born_ms == target.record.born_ms:
        target.confirmed_at = asked_at
        return
    _log.info(
        "Target is not known to be the listed incarnation.",
        extra={
            "target": target.name,
            "listed_born_ms": target.record.born_ms,
            "born_ms": born_ms,
            "reason": reason,
        },
    )
