"""Which instance holds the jobs of a model.

Load pattern: a trainer's steps overlap and come through whichever instance
its connections reach. The holder of the step before has open connections to
the engines, knows what it runs there without being told, and knows which
engines have the prompts of groups that come again.
"""

from collections.abc import Mapping

from hibiscuspin import rendezvous
from hibiscuspin.decisions.recovery import Member

__all__ = ["holder"]


def holder(
    model: str, members_by_name: Mapping[str, Member], data_centre: str
) -> Member | None:
    """Returns the instance of a data centre that holds a model's jobs.

    Args:
        model: The model.
        members_by_name: The live instances.
        data_centre: Where the job came in; texts stay there.
    """
    names = [
        name
        for name, member in members_by_name.items()
        if member.data_centre == data_centre
    ]
    owner = rendezvous.owner(f"holder {model}", names)
    return members_by_name[owner] if owner is not None else None
