"""Behave hooks that start the processes that tagged features need.

All scenarios of a feature tagged `@fleet` share one running fleet, those of a
feature tagged `@platform` one running `PlatformFleet`. Other features run
in-process.
"""

import tempfile
from typing import Any

from bench.fleet import Fleet
from features.failures import keep_log_tails
from standins.platform_fleet import PlatformFleet


def before_feature(context: Any, feature: Any) -> None:
    """Starts the fleet that the tags of a feature select."""
    if "platform" in feature.tags:
        context.platform_folder = tempfile.TemporaryDirectory()
        folder = context.platform_folder.name
        context.fleet_manager = PlatformFleet.running(folder)
        context.platform = context.fleet_manager.__enter__()
    if "fleet" not in feature.tags:
        return
    context.fleet_manager = Fleet.running()
    context.fleet = context.fleet_manager.__enter__()
    try:
        _start_fleet(context.fleet)
    except Exception:
        keep_log_tails(context, feature)
        raise


def _start_fleet(fleet: Fleet) -> None:
    fleet.platform()
    config = fleet.targets("examples/canjea")
    fleet.daemon("cba-a-1", "cba-a")
    fleet.daemon("cba-b-1", "cba-b")
    fleet.wait_started()
    fleet.publish_instances()
    fleet.wait_configured(fleet.apply(config))
    fleet.wait_joined()


def after_feature(context: Any, feature: Any) -> None:
    """Stops the fleet of a feature."""
    if "fleet" in feature.tags or "platform" in feature.tags:
        context.fleet_manager.__exit__(None, None, None)
    if "platform" in feature.tags:
        context.platform_folder.cleanup()


def after_step(context: Any, step: Any) -> None:
    """Keeps the logs of processes for the report of a failed step."""
    if step.status.has_failed():
        keep_log_tails(context, step)


def after_scenario(context: Any, scenario: Any) -> None:
    """Clears the faults that a scenario injected into stand-ins."""
    for name in getattr(context, "faulty_standins", ()):
        context.fleet.faults(name)
