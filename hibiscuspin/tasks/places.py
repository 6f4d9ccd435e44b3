"""The location of targets relative to one instance."""

from collections.abc import Mapping
from typing import NamedTuple

from hibiscuspin.config import Config
from hibiscuspin.config.schema import Target
from hibiscuspin.decisions.routing.subset import TargetLocation, target_subset

__all__ = ["Topology"]

SAME_REGION_LINK_S = 0.004
OTHER_REGION_LINK_S = 0.02
# The cost of a link to another region, expressed as a delay.
OTHER_REGION_COST_S = 0.25


class Topology(NamedTuple):
    """The targets that an instance uses, and the delay of the links to them.

    Attributes:
        data_centre: The instance's own data centre.
        region_by_data_centre: The region of each data centre.
        members_by_group: The names of the targets used, by model or service.
    """

    data_centre: str
    region_by_data_centre: Mapping[str, str]
    members_by_group: Mapping[str, frozenset[str]]

    @classmethod
    def from_config(
        cls, instance: str, data_centre: str, config: Config
    ) -> "Topology":
        """Chooses the instance's subset of targets of each model and service.

        Args:
            instance: The instance's name.
            data_centre: The instance's data centre.
            config: The configuration.
        """
        regions = {
            name: site["region"]
            for site in config["sites_by_name"].values()
            for name in site["data_centres"]
        }
        own_region = regions.get(data_centre)
        locations_by_group: dict[str, list[TargetLocation]] = {}
        for name, target in config["targets_by_name"].items():
            target_data_centre = target["data_centre"]
            same_region = regions.get(target_data_centre) == own_region
            location = TargetLocation(
                name, target_data_centre == data_centre, same_region
            )
            locations_by_group.setdefault(_group_name(target), []).append(
                location
            )
        members = {
            group: target_subset(instance, locations)
            for group, locations in locations_by_group.items()
        }
        return cls(data_centre, regions, members)

    def members(self, group: str) -> frozenset[str]:
        """Returns the names of the targets used for a model or service."""
        return self.members_by_group.get(group, frozenset())

    def link_s(self, target: Target) -> float:
        """Returns the delay of the link to a target, with its cost added."""
        target_data_centre = target["data_centre"]
        if target_data_centre == self.data_centre:
            return 0.0
        regions = self.region_by_data_centre
        if regions.get(target_data_centre) == regions.get(self.data_centre):
            return SAME_REGION_LINK_S
        return OTHER_REGION_LINK_S + OTHER_REGION_COST_S


def _group_name(target: Target) -> str:
    return target.get("model") or target.get("service") or ""
