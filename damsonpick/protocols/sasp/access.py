"""Access rights, zones and group coverage of load balancers, as configured in the settings."""

from __future__ import annotations

from damsonpick.protocols.sasp.registry import AccessLevel
from damsonpick.settings.model import PilotSettings, SaspBalancer


class AccessPolicy:
    """Looks up the access rights of load balancers and the coverage of groups in the settings.

    Args:
        settings: The pilot's settings.
    """

    def __init__(self, settings: PilotSettings) -> None:
        """Keep the settings; every method reads them when it is called."""
        self.settings = settings

    def coverage_of(self, group: bytes) -> str | None:
        """Return which slices a group with this name covers, or None if groups with this name are rejected.

        A group without a section in the settings covers one slice if its name is `slice/NUMBER` with the number of an
        existing table. Otherwise it covers the fleet if this is the default coverage, and is rejected if not.
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
        """Return the access level from the load balancer's section, or the default level if it has no section."""
        section = self._section(lb)
        rights = section.rights if section is not None else self.settings.sasp.default_rights
        return AccessLevel[rights.upper()]

    def zone_of(self, lb: bytes) -> str:
        """Return the zone that the settings give for a load balancer, or the pilot's zone if they give none."""
        section = self._section(lb)
        return section.zone if section is not None and section.zone else self.settings.pilot.zone

    def _section(self, lb: bytes) -> SaspBalancer | None:
        return self.settings.sasp_balancers.get(lb.decode("utf-8", "replace"))
