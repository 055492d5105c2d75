"""Reads the configuration again on SIGHUP."""

from __future__ import annotations

from collections.abc import Callable

from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.collaborators import Logger
from damsonpick.protocols.platform.config import Config, read_config
from damsonpick.protocols.platform.errors import ConfigError

MoveTo = Callable[[Address], None]


class ConfigReloader:
    """Applies a changed configuration file as far as that needs no restart.

    Attributes:
        config: in force.
    """

    def __init__(self, config: Config, move_registry: MoveTo, move_discovery: MoveTo, log: Logger) -> None:
        """Start with a configuration.

        Args:
            config: in force.
            move_registry: called with a new address of the registry.
            move_discovery: called with a new address of discovery.
            log: for the result.
        """
        self.config = config
        self._move_registry = move_registry
        self._move_discovery = move_discovery
        self._log = log

    def reload(self) -> None:
        """Read the file again.

        One that cannot be used is rejected completely, and the former configuration stays in force.
        """
        try:
            changed = read_config()
        except ConfigError as error:
            rejected = error
        else:
            self._apply(changed)
            return
        self._log.error(
            "configuration_rejected",
            reason=str(rejected),
            remedy="correct the file and send SIGHUP again",
        )

    def _apply(self, changed: Config) -> None:
        former, self.config = self.config, changed
        self._log.info(
            "configuration_reloaded",
            registry=f"{changed.registry.host}:{changed.registry.port}",
            discovery=f"{changed.discovery.host}:{changed.discovery.port}",
        )
        if changed.registry != former.registry:
            self._move_registry(changed.registry)
        if changed.discovery != former.discovery:
            self._move_discovery(changed.discovery)
        if _needs_restart(former, changed):
            self.config = changed._replace(
                settings=former.settings,
                zones=former.zones,
                name=former.name,
                listen=former.listen,
            )
            self._log.warning(
                "configuration_needs_restart",
                reason="settings, name or listen differ; the former ones stay in force",
            )


def _needs_restart(former: Config, changed: Config) -> bool:
    return (former.settings, former.name, former.listen) != (changed.settings, changed.name, changed.listen)
