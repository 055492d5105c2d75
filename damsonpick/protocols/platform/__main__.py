"""Entry point of `python -m damsonpick.edge`: runs a pilot of the platform's protocol in the foreground."""

from __future__ import annotations

import signal
import sys

import anyio

from damsonpick.protocols.platform.config import read_config
from damsonpick.protocols.platform.errors import ConfigError
from damsonpick.protocols.platform.pilot import SIGNALS, Pilot
from damsonpick.runtime import logs

EXIT_OK = 0
EXIT_CONFIG_ERROR = 2


def main() -> int:
    """Run the pilot until SIGTERM; return `EXIT_OK`, or `EXIT_CONFIG_ERROR` if the pilot cannot start."""
    # Signals stay blocked until the pilot has opened their receiver; an unblocked SIGHUP would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    log = logs.configure("json", "info")
    try:
        pilot = Pilot(read_config(), log)
        anyio.run(pilot.run, backend="asyncio", backend_options={"use_uvloop": True})
    except ConfigError as error:
        reason = str(error)
    else:
        return EXIT_OK
    log.error("pilot_start_failed", reason=reason)
    return EXIT_CONFIG_ERROR


if __name__ == "__main__":
    sys.exit(main())
