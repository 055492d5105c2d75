"""The proxy's settings, read from an INI file and validated before start.

Durations are ns, sizes bytes.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from damsonpick.settings import sections
from damsonpick.settings.problems import Problem, SettingsError
from damsonpick.settings.units import Address, Duration, parse_address


def _parse_pilots(text: object) -> tuple[str, ...]:
    """Addresses separated by commas."""
    if isinstance(text, tuple):
        return text
    return tuple(parse_address(part) for part in str(text).split(",") if part.strip())


Pilots = Annotated[tuple[str, ...], BeforeValidator(_parse_pilots)]


class Section(BaseModel):
    """A section of the file: immutable, unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Own(Section):
    """[proxy]: the proxy's identity and addresses.

    Attributes:
        name: node id.
        zone: locality.
        listen: where clients connect.
        state: folder of the table cache; None: tables are not cached.
        pilots: addresses of the control service, in order of preference.
        port_file: file with the control service's port, read before each connection, in place of `pilots`.
        slices: how many slices keys are hashed into; 0: tables are by zone and class.
        key_header: header with the key of a request.
        class_header: header with the class of a request.
        client_header: header with the identity of the client.
        slice_header: header with the cluster, where clients name it themselves; '': they do not.
    """

    name: str = Field(min_length=1)
    zone: str
    listen: Address = "127.0.0.1:0"
    state: Path | None = None
    pilots: Pilots = ()
    port_file: Path | None = None
    slices: int = Field(0, ge=0, le=65_000)
    key_header: str = "x-key"
    class_header: str = "x-damson-class"
    client_header: str = "x-client-id"
    slice_header: str = ""


class Limits(Section):
    """[limits]: bounds on connections and messages.

    Attributes:
        head: bytes of a message's head.
        body: bytes of a message's body.
        replay: bytes of a request body that are kept for a retry.
        connections: from clients.
        per_server: connections to one server.
        waiting: requests that wait for a connection to one server.
        churn: new connections to one server, a second.
        head_time: for receiving a head.
        idle_time: for which a client's connection may be idle.
        pool_time: for which a connection to a server is kept idle.
        write_fresh: longest idle time of a connection that is reused for a write.
        connect_time: for connecting to a server.
        stall_time: without progress of a body, in either direction.
        hold: for which a request waits for a table with an available entry.
        drain_time: for requests under way after SIGTERM.
        interim: 1xx responses before the final one.
    """

    head: int = Field(16_384, ge=512)
    body: int = Field(67_108_864, ge=0)
    replay: int = Field(65_536, ge=0)
    connections: int = Field(2_000, ge=1)
    per_server: int = Field(64, ge=1)
    waiting: int = Field(64, ge=0)
    churn: float = Field(50.0, gt=0)
    head_time: Duration = 10_000_000_000
    idle_time: Duration = 30_000_000_000
    pool_time: Duration = 10_000_000_000
    write_fresh: Duration = 1_000_000_000
    connect_time: Duration = 400_000_000
    stall_time: Duration = 10_000_000_000
    hold: Duration = 500_000_000
    drain_time: Duration = 10_000_000_000
    interim: int = Field(8, ge=0)


class RequestClass(Section):
    """[class NAME]: a request class.

    Attributes:
        deadline: for a request with all its retries.
        aim: latency objective; 0: none.
        effect: what a second execution of the same request would do.
    """

    deadline: Duration
    aim: Duration = 0
    effect: Literal["read_like", "idempotency_key", "non_idempotent"] = "read_like"


class ProxySettings(Section):
    """All settings of a proxy.

    Attributes:
        proxy: identity and addresses.
        limits: bounds.
        classes: request classes by name, in the order of the file.
        clock_rate: ns of the proxy's clock in one true ns, for rehearsals.
    """

    proxy: Own
    limits: Limits = Limits()
    classes: dict[str, RequestClass]
    clock_rate: float = Field(1.0, gt=0)

    def usual(self) -> str:
        """The class of a request that names none: the first."""
        return next(iter(self.classes))


def load(path: Path) -> ProxySettings:
    """Read a proxy's settings; relative paths in it start from the file's folder.

    Args:
        path: the INI file.

    Raises:
        SettingsError: with every problem, each with section, key, value and remedy.
    """
    read_settings, problems = sections.read(path, ProxySettings, ("proxy", "limits"), {"class": "classes"})
    own = read_settings.proxy
    if not own.pilots and own.port_file is None:
        problems.append(Problem("proxy", "pilots", "", "is missing; name the pilots' addresses"))
    if problems:
        raise SettingsError(path, problems)
    folder = path.resolve().parent
    absolute_paths = {
        "state": folder / own.state if own.state else None,
        "port_file": folder / own.port_file if own.port_file else None,
    }
    return read_settings.model_copy(update={"proxy": own.model_copy(update=absolute_paths)})


__all__ = ["Limits", "Own", "ProxySettings", "RequestClass", "load"]
