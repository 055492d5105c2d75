"""`python -m damsonpick.edge`: one pilot on the platform's protocol, in the foreground."""

from __future__ import annotations

import signal
import sys

import anyio

from damsonpick.protocols.platform import config
from damsonpick.protocols.platform.pilot import SIGNALS, Pilot
from damsonpick.runtime import logs


def main() -> int:
    """Serve until SIGTERM; 2 if the configuration cannot be used."""
    # A signal that comes before its receiver is open waits for it: SIGHUP would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    log = logs.configure("json", "info")
    try:
        pilot = Pilot(config.read(), log)
        anyio.run(pilot.run, backend="asyncio", backend_options={"use_uvloop": True})
    except config.ConfigError as error:
        log.error("not_started", why=str(error))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
