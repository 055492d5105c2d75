"""Reloads the configuration on SIGHUP."""

from __future__ import annotations

from collections.abc import Callable

from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.collaborators import Logger
from damsonpick.protocols.platform.config import Config, read_config
from damsonpick.protocols.platform.errors import ConfigError

# Fields of `Config` whose changed values take effect only after a restart, with their keys in the configuration file.
KEYS_NEEDING_RESTART = {
    "settings": "settings",
    "zones": "settings.zones",
    "name": "name",
    "listen": "listen",
    "seed": "seed",
    "max_descriptors": "limits.sockets",
}

AddressCallback = Callable[[Address], None]


class ConfigReloader:
    """Applies those changes of the configuration file that need no restart.

    Attributes:
        config: The active configuration.
    """

    def __init__(
        self, config: Config, move_registry: AddressCallback, move_discovery: AddressCallback, log: Logger
    ) -> None:
        """Create a reloader.

        Args:
            config: The active configuration.
            move_registry: Called with the new address when the registry's address has changed.
            move_discovery: Called with the new address when discovery's address has changed.
            log: Receives the result of each reload.
        """
        self.config = config
        self._move_registry = move_registry
        self._move_discovery = move_discovery
        self._log = log

    def reload(self) -> None:
        """Read the configuration file again and apply its changes.

        Changes that need a restart are only logged. An invalid file is rejected as a whole, and the previous
        configuration stays active.
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
                reason=f"{', '.join(KEYS_NEEDING_RESTART[field] for field in differing)}: changed; "
                "the previous values stay active",
            )


def _fields_that_need_restart(former: Config, changed: Config) -> list[str]:
    return [field for field in KEYS_NEEDING_RESTART if getattr(former, field) != getattr(changed, field)]
