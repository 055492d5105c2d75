"""Reads the configuration again on SIGHUP."""

from __future__ import annotations

from collections.abc import Callable

from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.collaborators import Logger
from damsonpick.protocols.platform.config import Config, read_config
from damsonpick.protocols.platform.errors import ConfigError

KEYS = {  # of the configuration file, by field; a change of these needs a restart
    "settings": "settings",
    "zones": "settings.zones",
    "name": "name",
    "listen": "listen",
    "seed": "seed",
    "max_descriptors": "limits.sockets",
}

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
        differing = _fields_that_need_restart(former, changed)
        if differing:
            self.config = changed._replace(
                **{field: getattr(former, field) for field in differing},
            )
            self._log.warning(
                "configuration_needs_restart",
                reason=f"{', '.join(KEYS[field] for field in differing)}: changed; the former ones stay in force",
            )


def _fields_that_need_restart(former: Config, changed: Config) -> list[str]:
    return [field for field in KEYS if getattr(former, field) != getattr(changed, field)]
