"""`damsonpick proxy`: a proxy that forwards requests according to the pilots' tables."""

from __future__ import annotations

from pathlib import Path

import anyio
import click

from damsonpick.cli.shared import EXIT_WRONG_INPUT, fail, settings_file


@click.command()
@settings_file
@click.option("--port-file", type=click.Path(path_type=Path), help="Write the port to this file once it is open.")
@click.option("--log-format", type=click.Choice(["console", "json"]), default="console", show_default=True)
def proxy(file: Path, port_file: Path | None, log_format: str) -> None:
    """Run a proxy that routes by the pilots' tables. After SIGTERM or SIGINT, requests in progress may finish.

    Exit code 0: shut down cleanly; 2: the settings, the address, the state folder or the port file
    cannot be used.
    """
    from damsonpick.proxy import program
    from damsonpick.proxy.settings import load
    from damsonpick.runtime.logs import configure
    from damsonpick.runtime.port_files import PortFileError
    from damsonpick.settings.problems import SettingsError

    try:
        settings = load(file)
        log = configure(log_format, "info")
        anyio.run(program.serve, settings, log, port_file, backend_options={"use_uvloop": True})
    except (SettingsError, PortFileError) as error:
        fail(str(error), EXIT_WRONG_INPUT)
    except OSError as error:
        fail(
            f"[proxy] listen or state: cannot be opened ({error}); free the port, or choose another address or folder",
            EXIT_WRONG_INPUT,
        )
