"""Other instances, used like targets by an instance that reaches none.

A request goes through one other instance at most, which chooses a target,
counts its limits and crashes, and states whether it ran.
"""

import threading
from collections.abc import Callable, Collection, Mapping

from hibiscuspin.clock import Clock
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.edges.discovery import TargetClient, TargetRecord
from hibiscuspin.settings import Address
from hibiscuspin.tasks.discovered import DiscoveredTarget
from hibiscuspin.tasks.instances import Instances

__all__ = ["MAX_REQUESTS_PER_PEER", "PeerTargets", "peer_target_name"]

# Requests of this instance that one other instance serves at once.
MAX_REQUESTS_PER_PEER = 24


def peer_target_name(name: str) -> str:
    """Returns the name of an instance among the targets of requests."""
    return f"instance {name}"


class PeerTargets:
    """The other instances as targets; thread-safe."""

    def __init__(
        self,
        instances: Instances,
        connect: Callable[[LiveInstance], TargetClient],
        region_by_data_centre: Mapping[str, str],
        clock: Clock,
    ) -> None:
        """Creates the table.

        Args:
            instances: The other instances.
            connect: Creates the client of an instance.
            region_by_data_centre: The region of each data centre.
            clock: The time source.
        """
        self._instances = instances
        self._connect = connect
        self._region_by_data_centre = region_by_data_centre
        self._clock = clock
        self._lock = threading.Lock()
        self._target_by_member: dict[LiveInstance, DiscoveredTarget] = {}

    def choose(self, tried: Collection[str]) -> DiscoveredTarget | None:
        """Returns the instance through which to send a request, or None.

        That is one of this data centre if any has room, else of this region,
        and the one with the fewest requests of this instance. One that has
        just refused or failed is passed over.

        Args:
            tried: Names of the targets that have had the request.
        """
        now = self._clock.monotonic()
        members = self._instances.others()
        with self._lock:
            self._update(members)
            candidates = [
                (self._distance(member), target.in_flight, index)
                for index, member in enumerate(members)
                if (target := self._target_by_member[member]).name not in tried
                and target.backoff_until <= now
                and target.in_flight < MAX_REQUESTS_PER_PEER
            ]
            if not candidates:
                return None
            return self._target_by_member[members[min(candidates)[2]]]

    def _distance(self, member: LiveInstance) -> int:
        """Returns 0 in this data centre, 1 in this region, and 2 elsewhere."""
        own = self._instances.member.data_centre
        if member.data_centre == own:
            return 0
        regions = self._region_by_data_centre
        return 1 if regions.get(member.data_centre) == regions.get(own) else 2

    def _update(self, members: list[LiveInstance]) -> None:
        for member in self._target_by_member.keys() - set(members):
            self._target_by_member.pop(member).client.close()
        for member in members:
            if member not in self._target_by_member:
                self._target_by_member[member] = self._create(member)

    def _create(self, member: LiveInstance) -> DiscoveredTarget:
        record = TargetRecord(
            name=peer_target_name(member.name),
            born_ms=0,
            service="",
            # Only the client needs it.
            address=Address("", 0),
            data_centre=member.data_centre,
            slots=MAX_REQUESTS_PER_PEER,
            draining=False,
            version_by_model={},
        )
        return DiscoveredTarget(record, self._connect(member), is_peer=True)
