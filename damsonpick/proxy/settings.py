"""Settings of the proxy, read from an INI file and validated before the proxy starts.

Durations are in ns, sizes in bytes.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from damsonpick.settings import sections
from damsonpick.settings.problems import Problem, SettingsError
from damsonpick.settings.units import Address, Duration, parse_address


def _parse_pilots(text: object) -> tuple[str, ...]:
    """Parse addresses that are separated by commas."""
    if isinstance(text, tuple):
        return text
    return tuple(parse_address(part) for part in str(text).split(",") if part.strip())


Pilots = Annotated[tuple[str, ...], BeforeValidator(_parse_pilots)]


class Section(BaseModel):
    """Base class of the sections of the file. Sections are immutable, and unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ProxySection(Section):
    """[proxy]: the proxy's identity and addresses.

    Attributes:
        name: Node id of the proxy.
        zone: Zone of the proxy, its xDS locality.
        listen: Address at which the proxy accepts client connections.
        state: Folder of the table cache. Tables are not cached if it is None.
        pilots: Addresses of the control service, in order of preference.
        port_file: File that contains the port of the control service. It is read before each connection to the control
            service and replaces `pilots`.
        slices: Number of slices that keys are hashed into. If it is 0, there is a table per zone and class.
        key_header: Header that contains the key of a request.
        class_header: Header that contains the class of a request.
        client_header: Header that contains the identity of the client.
        slice_header: Header in which clients name the cluster. Empty if clients do not name it.
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
    """[limits]: limits on connections, messages and waits.

    Attributes:
        head: Largest accepted head of a message, in bytes.
        fields: Most header fields of a message.
        body: Largest accepted body of a request, in bytes.
        replay: Largest request body that is stored for a retry, in bytes. It also limits the stored body of an error
            response.
        connections: Most connections from clients.
        per_server: Most connections to one server. Requests whose body is still on its way use at most half of them.
        waiting: Most requests that wait for a connection to one server.
        churn: Most new connections to one server per second.
        head_time: Timeout for receiving the rest of a partly received request head.
        idle_time: Time after which an idle client connection is closed.
        pool_time: Time after which an idle connection to a server is closed.
        write_fresh: Longest idle time of a connection that is reused for a non-idempotent request.
        connect_time: Timeout for connecting to a server.
        stall_time: Longest time without progress of a body, in either direction.
        hold: Longest time that a request waits for a table with an available entry.
        drain_time: Time that requests in flight have to finish after SIGTERM.
        interim: Most 1xx responses before the final response.
    """

    head: int = Field(16_384, ge=512)
    fields: int = Field(200, ge=16)
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
        deadline: Deadline of a request, including all its retries.
        aim: Latency objective, or 0 if there is none.
        effect: Effect of executing the same request a second time.
    """

    deadline: Duration
    aim: Duration = 0
    effect: Literal["read_like", "idempotency_key", "non_idempotent"] = "read_like"


class ProxySettings(Section):
    """All settings of a proxy.

    Attributes:
        proxy: Identity and addresses of the proxy.
        limits: Limits on connections, messages and waits.
        classes: Request classes by name, in the order of the file.
        clock_rate: Nanoseconds of the proxy's clock per true nanosecond, for test scenarios.
    """

    proxy: ProxySection
    limits: Limits = Limits()
    classes: dict[str, RequestClass]
    clock_rate: float = Field(1.0, gt=0)

    def default_class(self) -> str:
        """Return the class of requests that name no known class: the first class of the file."""
        return next(iter(self.classes))


def load(path: Path) -> ProxySettings:
    """Read the settings of a proxy. Relative paths in the file are relative to the file's folder.

    Args:
        path: Path of the INI file.

    Raises:
        SettingsError: The settings are invalid. The error lists problems with section, key, value and remedy.
    """
    read_settings, problems = sections.read(path, ProxySettings, ("proxy", "limits"), {"class": "classes"})
    proxy_section = read_settings.proxy
    if not proxy_section.pilots and proxy_section.port_file is None:
        problems.append(Problem("proxy", "pilots", "", "is missing; name the pilots' addresses"))
    if problems:
        raise SettingsError(path, problems)
    folder = path.resolve().parent
    absolute_paths = {
        "state": folder / proxy_section.state if proxy_section.state else None,
        "port_file": folder / proxy_section.port_file if proxy_section.port_file else None,
    }
    return read_settings.model_copy(update={"proxy": proxy_section.model_copy(update=absolute_paths)})


__all__ = ["Limits", "ProxySection", "ProxySettings", "RequestClass", "load"]
