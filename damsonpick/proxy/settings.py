"""The proxy's settings: INI, checked whole before start."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from damsonpick.settings import sections
from damsonpick.settings.problems import Problem, SettingsError
from damsonpick.settings.units import Address, Duration, Names, parse_address


def _parse_pilots(text: object) -> tuple[str, ...]:
    """Addresses separated by commas."""
    if isinstance(text, tuple):
        return text
    return tuple(parse_address(part) for part in str(text).split(",") if part.strip())


Pilots = Annotated[tuple[str, ...], BeforeValidator(_parse_pilots)]


class Section(BaseModel):
    """A section of the file. Field names are its keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Own(Section):
    """[proxy]: who this proxy is."""

    name: str = Field(min_length=1)
    zone: str
    listen: Address = "127.0.0.1:0"
    state: Path | None = None  # folder for the last good tables; none: they are not kept
    pilots: Pilots = ()
    port_file: Path | None = None  # read the pilot's port from here at each dial, in place of `pilots`
    slices: int = Field(0, ge=0, le=65_000)  # into which keys are hashed; 0: tables by zone and class
    key_header: str = "x-key"
    class_header: str = "x-damson-class"
    client_header: str = "x-client-id"
    slice_header: str = ""  # a client may name the slice itself; empty: it may not


class Limits(Section):
    """[limits]: what a connection or a server may take. Sizes in bytes."""

    head: int = Field(16_384, ge=512)
    body: int = Field(67_108_864, ge=0)
    replay: int = Field(65_536, ge=0)  # of a body kept for another try
    connections: int = Field(2_000, ge=1)  # from clients
    per_server: int = Field(64, ge=1)  # to one server
    waiting: int = Field(64, ge=0)  # requests that wait for a connection to one server
    churn: float = Field(50.0, gt=0)  # new connections a second to one server
    head_time: Duration = 10_000_000_000
    idle_time: Duration = 30_000_000_000  # of a client's connection
    pool_time: Duration = 10_000_000_000  # that a connection to a server is kept idle
    write_fresh: Duration = 1_000_000_000  # a write takes no connection idle for longer
    connect_time: Duration = 400_000_000
    stall_time: Duration = 10_000_000_000  # without progress of a body, either way
    hold: Duration = 500_000_000  # that a request waits for a table with a line
    drain_time: Duration = 10_000_000_000  # after SIGTERM
    interim: int = Field(8, ge=0)  # 1xx answers before the real one


class RequestClass(Section):
    """[class NAME]."""

    deadline: Duration
    aim: Duration = 0
    effect: Literal["read_like", "idempotency_key", "non_idempotent"] = "read_like"


class ProxySettings(Section):
    """The complete file."""

    proxy: Own
    limits: Limits = Limits()
    classes: dict[str, RequestClass]
    clock_rate: float = Field(1.0, gt=0)

    def usual(self) -> str:
        """The class of a request that names none: the first."""
        return next(iter(self.classes))


def load(path: Path) -> ProxySettings:
    """Settings of a proxy.

    Raises:
        SettingsError: with every problem, each with section, key, value and remedy.
    """
    made, problems = sections.read(path, ProxySettings, ("proxy", "limits"), {"class": "classes"})
    if not made.proxy.pilots and made.proxy.port_file is None:
        problems.append(Problem("proxy", "pilots", "", "is missing; name the pilots' addresses"))
    if problems:
        raise SettingsError(path, problems)
    base, own = path.resolve().parent, made.proxy
    return made.model_copy(
        update={
            "proxy": own.model_copy(
                update={
                    "state": base / own.state if own.state else None,
                    "port_file": base / own.port_file if own.port_file else None,
                }
            )
        }
    )


__all__ = ["Limits", "Names", "ProxySettings", "load"]
