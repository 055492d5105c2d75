"""What the settings say of load balancers and their groups."""

from __future__ import annotations

from damsonpick.protocols.sasp.registry import AccessLevel
from damsonpick.settings.model import PilotSettings, SaspBalancer


class AccessPolicy:
    """Answers the registry's questions from the settings.

    Args:
        settings: the pilot's settings.
    """

    def __init__(self, settings: PilotSettings) -> None:
        """Read nothing yet."""
        self.settings = settings

    def coverage_of(self, group: bytes) -> str | None:
        """What a group's name stands for; None: groups of that name are refused.

        A group named in no section stands for one slice if it is named `slice/NUMBER`, else for the default.
        """
        name = group.decode("utf-8", "replace")
        section = self.settings.sasp_groups.get(name)
        if section is not None:
            return section.covers
        kind, _, number = name.partition("/")
        if kind == "slice" and number.isdecimal() and int(number) < self.settings.table_count():
            return f"slices {int(number)}"
        return "fleet" if self.settings.sasp.default_coverage == "fleet" else None

    def access_of(self, lb: bytes) -> AccessLevel:
        """What a load balancer may do."""
        section = self._section(lb)
        rights = section.rights if section is not None else self.settings.sasp.default_rights
        return AccessLevel[rights.upper()]

    def zone_of(self, lb: bytes) -> str:
        """The zone of a load balancer: its own if the settings name one, else the pilot's."""
        section = self._section(lb)
        return section.zone if section is not None and section.zone else self.settings.pilot.zone

    def _section(self, lb: bytes) -> SaspBalancer | None:
        return self.settings.sasp_balancers.get(lb.decode("utf-8", "replace"))
