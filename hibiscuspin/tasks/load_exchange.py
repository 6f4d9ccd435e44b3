"""Tells the holders of jobs of one another's load on targets.

Load pattern: two steps of a trainer overlap at different instances, each of
which would fill all engines by its own counts.
"""

import threading

from hibiscuspin.tasks.instances import Instances
from hibiscuspin.tasks.jobs import Jobs

__all__ = ["LoadExchange"]

# Short samples end within 0.3 s.
PERIOD_S = 0.2
# How many periods pass until instances that held nothing are asked again.
SEARCH_PERIODS = 5


class LoadExchange:
    """Exchanges loads while this instance holds an open job."""

    name = "load exchange"

    def __init__(self, instances: Instances, jobs: Jobs) -> None:
        self._instances = instances
        self._jobs = jobs
        self._busy: set[str] = set()

    def run(self, stop: threading.Event) -> None:
        """Tells the load once a period until `stop` is set."""
        period = 0
        while not stop.wait(PERIOD_S):
            if not self._jobs.holds_open():
                period = 0
                continue
            everyone = period % SEARCH_PERIODS == 0
            period += 1
            for member in self._instances.others():
                if not everyone and member.name not in self._busy:
                    continue
                if self._jobs.tell_load(member):
                    self._busy.add(member.name)
                else:
                    self._busy.discard(member.name)
