"""In which window a request began, and when each window is reported.

Load pattern: an organisation sends one to three requests in a window of 5 s,
and each report must be within 5 % of the true count, so that one request in a
wrong window makes the report wrong. Targets queue requests now and then, and a
request runs for milliseconds or for seconds.

Load pattern: the coordinator is lost between the end of a window and its
report. The next one repeats what the last one recorded, and reports the
windows that nobody recorded.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

__all__ = [
    "REPORTS_KEPT",
    "WindowReport",
    "WindowTimes",
    "began_at",
    "retry_delay_s",
    "unrecorded_windows",
    "usual_first_event_s",
    "usual_response_s",
    "window_at",
    "with_reports",
]

REPORTS_KEPT = 8
# The share of the time until a report is due that its counts are collected.
COLLECT_SHARE = 0.3
RESEND_S = 15.0
GIVE_UP_S = 30.0
MIN_FIRST_EVENTS = 4
MIN_RETRY_S = 0.3
MAX_RETRY_S = 2.0


class WindowReport(NamedTuple):
    """The fixed counts of a window.

    Attributes:
        window: The number of the window.
        count_by_organisation: The requests of each organisation.
        is_accepted: Whether the platform is known to have accepted it.
    """

    window: int
    count_by_organisation: Mapping[str, int]
    is_accepted: bool = False


class WindowTimes(NamedTuple):
    """When windows end and are reported, in true Unix time.

    Attributes:
        window_s: The length of a window.
        report_due_s: How long after its window's end a report is due.
    """

    window_s: float
    report_due_s: float

    def end(self, window: int) -> float:
        """Returns when a window ends."""
        return (window + 1) * self.window_s

    def last_countable(self, now: float) -> int:
        """Returns the last window whose counts may be fixed by now."""
        collect_s = self.report_due_s * COLLECT_SHARE
        return window_at(now - collect_s, self.window_s) - 1

    def is_abandoned(self, window: int, now: float) -> bool:
        """Returns whether a window is too old to be reported."""
        return now > self.end(window) + GIVE_UP_S

    def is_resent(self, window: int, now: float) -> bool:
        """Returns whether a new holder sends an earlier one's report again."""
        return now <= self.end(window) + RESEND_S


def window_at(at: float, window_s: float) -> int:
    """Returns the number of the window of a true Unix time."""
    return int(at // window_s)


def usual_response_s(recent_s: Collection[float]) -> float | None:
    """Returns how long a target takes at most unless it queues requests.

    Calls differ in length, so that only a response later than all recent ones
    shows that its call was queued.

    Args:
        recent_s: How long recent responses took.
    """
    return max(recent_s, default=None)


def usual_first_event_s(
    recent_s: Collection[float], round_trip_s: float
) -> float:
    """Returns how long a target takes to a first event unless it queues.

    First events come after nearly the same time, so the lower quartile is that
    of streams that were not queued. Without an example the first event itself
    is taken for the start.

    Args:
        recent_s: How long recent first events took.
        round_trip_s: The round-trip time of the link to the target.
    """
    if len(recent_s) < MIN_FIRST_EVENTS:
        return round_trip_s
    return sorted(recent_s)[len(recent_s) // 4]


def began_at(
    sent_at: float,
    answered_at: float | None,
    round_trip_s: float,
    target_usual_s: float | None,
) -> float:
    """Returns when a target began to run a request.

    That is when it arrived there, or later if its response took longer than
    the target ever takes, which shows that it was queued.

    Args:
        sent_at: When the request was sent.
        answered_at: When its response or first event arrived; None if none
            has.
        round_trip_s: The round-trip time of the link to the target.
        target_usual_s: The longest time that the target took recently without
            queueing; None if unknown.
    """
    arrived_at = sent_at + round_trip_s / 2
    if answered_at is None or target_usual_s is None:
        return arrived_at
    return max(arrived_at, answered_at - target_usual_s + round_trip_s / 2)


def unrecorded_windows(
    times: WindowTimes,
    recorded: Collection[int],
    started_in: int,
    now: float,
) -> list[int]:
    """Returns the windows whose counts are to be fixed now, in order.

    Args:
        times: When windows end and are reported.
        recorded: The windows whose counts are fixed.
        started_in: The first window that this instance saw; where nothing is
            recorded, earlier ones are not reported.
        now: The true Unix time.
    """
    first = max(recorded) + 1 if recorded else started_in
    last = times.last_countable(now)
    windows = range(max(first, last - REPORTS_KEPT + 1), last + 1)
    return [w for w in windows if not times.is_abandoned(w, now)]


def with_reports(
    reports: Sequence[WindowReport], added: Sequence[WindowReport]
) -> list[WindowReport]:
    """Returns the reports to keep; those that stand are never replaced."""
    by_window = {report.window: report for report in (*added, *reports)}
    return [by_window[window] for window in sorted(by_window)][-REPORTS_KEPT:]


def retry_delay_s(failures: int, jitter: float) -> float:
    """Returns how long to wait after a call failed.

    Args:
        failures: How many calls of this report have failed in a row.
        jitter: A random number from 0 to 1, which spreads the calls.
    """
    delay_s = MIN_RETRY_S * 2.0 ** min(failures - 1, 10)
    return min(MAX_RETRY_S, delay_s * (1 + jitter / 2))
