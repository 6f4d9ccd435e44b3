"""The project's stand-in for the store, whose leases pause while it is down.

It is down while its process is stopped. Calls that arrive meanwhile are carried
out when it goes on; whoever sent them may have left.
"""

from hibiscuspin.clock import monotonic
from standins.faults import Faults
from standins.platform_store import THREADS, KeyValueStore
from standins.server import argument_parser, serve

# Waiting watches look at the leases every 20 ms.
MIN_DOWN_S = 0.5


class PausingStore(KeyValueStore):
    """A store that adds the time for which it was stopped to all leases."""

    def __init__(self, faults: Faults) -> None:
        super().__init__(faults)
        self._seen_at = monotonic()

    def _expire_leases(self) -> None:
        now = monotonic()
        down_s = now - self._seen_at
        self._seen_at = now
        if down_s >= MIN_DOWN_S:
            for lease_id, lease in self._leases_by_id.items():
                expires_at = lease.expires_at + down_s
                self._leases_by_id[lease_id] = lease._replace(
                    expires_at=expires_at
                )
        super()._expire_leases()


def main() -> None:
    """Runs the store until SIGTERM."""
    parser = argument_parser("Stand-in for the platform's store.")
    parser.set_defaults(threads=THREADS)
    faults = Faults()
    serve(parser.parse_args(), PausingStore(faults).routes(), faults)


if __name__ == "__main__":
    main()
