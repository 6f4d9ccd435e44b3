"""What this instance hears from the relays of its region."""

from collections.abc import Callable, Mapping

from hibiscuspin.clock import Clock
from hibiscuspin.decisions import readers, relays
from hibiscuspin.decisions.recovery import LiveInstance
from hibiscuspin.tasks.instances import Instances

__all__ = ["RelayFeed"]


class RelayFeed:
    """Tells whether this instance is a relay, is fed by one, or looks itself.

    Attributes:
        drain_s: Returns how long a draining target still serves requests.
    """

    def __init__(
        self,
        instances: Instances,
        region_by_data_centre: Mapping[str, str],
        drain_s: Callable[[], float],
        clock: Clock,
    ) -> None:
        self.drain_s = drain_s
        self._instances = instances
        self._region_by_data_centre = region_by_data_centre
        self._clock = clock
        self._state = relays.started(clock.monotonic())
        self._registrations_from = (
            clock.monotonic() + relays.REGISTRATIONS_DELAY_S
        )
        self._ranked_names: frozenset[str] = frozenset()
        self._rank = relays.UNKNOWN_RANK

    def shares_region(self, member: LiveInstance) -> bool:
        """Returns whether an instance is in this instance's region."""
        return self._region(member) == self._region(self._instances.member)

    def _region(self, member: LiveInstance) -> str | None:
        return self._region_by_data_centre.get(member.data_centre)

    def rank(self) -> int:
        """Returns this instance's rank among those of its region."""
        names = frozenset(
            member.name
            for member in self._instances.members().values()
            if self.shares_region(member)
        )
        if names and names != self._ranked_names:
            own = self._instances.member
            region = self._region(own) or ""
            self._rank = relays.rank(own.name, region, names)
            self._ranked_names = names
        return self._rank

    def is_fed(self) -> bool:
        """Returns whether the copies from relays are current."""
        return self._clock.monotonic() < self._state.fed_until

    def must_look_itself(self) -> bool:
        """Returns whether this instance watches the store itself."""
        now = self._clock.monotonic()
        return relays.must_look_itself(self._state, self.rank(), now)

    def must_watch_registrations(self) -> bool:
        """Returns whether this instance watches the registrations itself."""
        if not self._instances.is_view_loaded():
            return self._clock.monotonic() >= self._registrations_from
        return self._instances.must_see_losses_soon() or self.must_look_itself()

    def next_read_at(self, read_at: float) -> float:
        """Returns when this instance reads the list of targets itself.

        Args:
            read_at: When its current list was read; minus infinity for none.
        """
        rank = self.rank()
        at = readers.next_read_at(rank, read_at, self.drain_s())
        if rank < readers.MAX_RANK:
            return at
        return max(at, self._state.wait_until)

    def record_copies(self) -> None:
        """Records that a relay has sent current copies."""
        now = self._clock.monotonic()
        self._state = relays.after_feed(self.drain_s(), now)

    def look_at_once(self) -> None:
        """Makes this instance look itself, since it has jobs to resume."""
        now = self._clock.monotonic()
        self._state = relays.resumed(self._state, now)
        self._registrations_from = min(self._registrations_from, now)

    def record_outage(self) -> None:
        """Records that a relay could not reach the store."""
        now = self._clock.monotonic()
        self._state = relays.after_outage_notice(self._state, now)
