"""What the pilot is told at its start, section by section. Facts of a deployment only: no tuned value."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from damsonpick import interface as api
from damsonpick.settings.units import Address, Covers, Duration, Names, Pairs


class Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Pilot(Section):
    """[pilot]: who this pilot is and where it keeps its state."""

    name: str = Field("pilot-0", min_length=1)
    zone: str
    zones: Names
    state: Path  # folder for the store and the control socket
    seed: int = Field(1, ge=0)
    clock_rate: float = Field(1.0, gt=0, le=100)  # seconds of the pilot's clock to one of the wall: rehearsals


class Listen(Section):
    """[listen]: where gateways find the pilot."""

    xds: Address = "127.0.0.1:0"
    largest_request: int = Field(1_048_576, ge=4096)  # bytes; a larger one ends its stream


class Tables(Section):
    """[tables]: how keys are cut and how gateways pick."""

    slices: int = Field(ge=0, le=65_000)  # 0: no slices, a table for each zone of gateways and class
    pick: Literal["pair", "wheel", "lottery"] = "pair"
    sole_owner: bool = False
    admission: Literal["ratio", "none"] = "ratio"
    try_aims: float = Field(1.2, gt=0)  # where another try may follow, a try waits this many times the aim
    strikes: int = Field(5, ge=0)  # own failures in a row after which a gateway shuns a server; 0: never


class Rules(Section):
    """[rules]: the figures behind the five rules."""

    drain_grace: Duration
    bare_limit: Duration
    cold_share: float = Field(gt=0, le=1)
    cold_time: Duration
    fall_multiple: float = Field(gt=1)
    fall_time: Duration
    write_linger: Duration = 20_000_000
    write_lease: Duration = 800_000_000


class Channel(Section):
    """[channel]: what the way to the gateways carries. lines_per_second = 0: unbudgeted."""

    lines_per_second: float = Field(ge=0)
    limit: float = Field(gt=0)
    head: float = Field(8, ge=0)
    messages: int = Field(0, ge=0)  # to one gateway within `window`; 0: unlimited
    window: Duration = 10_000_000_000
    transit_most: Duration = 500_000_000


class Reports(Section):
    """[reports]: sums from the gateways."""

    every: Duration = 1_000_000_000
    oldest: Duration = 15_000_000_000  # a sum that covers more, or comes later, is dropped


class ListSource(Section):
    """[list]: where the server list comes from."""

    source: Literal["file", "eds"]
    file: Path | None = None
    upstream: Address | None = None
    cluster: str = "servers"
    poll: Duration = 200_000_000


class Solver(Section):
    """[solver]: weights solved under capacity and cost. Costs are worth for each core-second of work."""

    every: Duration = 2_000_000_000
    time_limit: Duration = 1_000_000_000
    lines: bool = False  # also weigh the lines of slices with several homes
    levels: bool = False  # also tell the module what load the fleet bears
    cross: float = Field(0.02, ge=0)  # between buildings
    pairs: Pairs = ()  # between named ones: from>to price, ...
    move: float = Field(0.05, ge=0)
    least: float = Field(0.1, ge=0, le=0.5)  # of an even share, kept by every server
    bound: float = Field(0.2, gt=0, le=1)  # share of all work that may move in one plan
    margin: float = Field(0.1, ge=0, le=1)  # part of demand for which room is kept free
    spread: float = Field(0.35, ge=0, lt=1)  # how far a zone's demand may be from its estimate


class Versions(Section):
    """[versions]: the history of the tables and the way back."""

    keep: int = Field(10_000, ge=2)
    age: Duration = 7 * 86_400_000_000_000
    pin: Duration = 600_000_000_000  # that tables stay as a rollback set them, if the operator names no time
    stop: float = Field(0.5, gt=0, le=1)  # share of gateways that refuse a resource, from which it goes to no other


class Knowledge(Section):
    """[knowledge]: what is kept of what the pilot learns."""

    keep: bool = True
    every: Duration = 2_000_000_000  # between snapshots


class SaspFront(Section):
    """[sasp]: the front for balancers that speak RFC 4678."""

    listen: Address | None = None  # no address: no such front
    unknown: Literal["refuse", "read", "register", "state"] = "register"  # rights of balancers that are not named
    unmapped: Literal["fleet", "refuse"] = "fleet"  # what a group covers that is neither named nor called slice/N
    sessions: int = Field(100, ge=1)  # from one address
    groups: int = Field(2000, ge=1)  # of one balancer
    members: int = Field(1000, ge=1)  # of one group
    messages: float = Field(50, gt=0)  # a second, of one session
    patience: Duration = 10_000_000_000  # that a reply or push may wait for a peer's socket; then its session is ended
    feed: bool = False  # quiesced members drain for all fronts, and the members serve as the last list source


class SaspGroup(Section):
    """[sasp group NAME]: what a group stands for."""

    covers: Covers = "fleet"


class SaspBalancer(Section):
    """[sasp balancer UID]: what one balancer may do; each right includes those before it."""

    may: Literal["refuse", "read", "register", "state"] = "register"
    zone: str = ""  # where it stands; empty: the pilot's


class Logs(Section):
    """[log]: structured logs on standard error."""

    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class RequestClass(Section):
    """[class NAME]: one kind of request and what it is worth."""

    aim: Duration
    deadline: Duration
    worth: float = Field(1.0, gt=0)
    effect: Literal["read_like", "idempotency_key", "non_idempotent"] = "read_like"
    key_scope: Literal["all", "zone", "cell"] = "all"
    key_window: Duration = 0
    writes: bool = False
    work: Duration = 0  # mean core time at speed 1; the solver needs it
    late_worth: float = Field(0.1, ge=0)  # of an answer after the aim
    own_zone: bool = False  # may go only to servers in the gateway's zone


class PilotSettings(Section):
    pilot: Pilot
    listen: Listen = Listen()
    tables: Tables
    rules: Rules
    channel: Channel
    reports: Reports = Reports()
    list: ListSource
    lists: dict[str, ListSource] = {}  # [list NAME]: asked after [list], in this order
    solver: Solver = Solver()
    versions: Versions = Versions()
    knowledge: Knowledge = Knowledge()
    sasp: SaspFront = SaspFront()
    sasp_groups: dict[str, SaspGroup] = {}
    sasp_balancers: dict[str, SaspBalancer] = {}
    log: Logs = Logs()
    classes: dict[str, RequestClass]

    @property
    def solved(self) -> bool:
        """Whether the solver has anything to do."""
        return not self.tables.slices or self.solver.lines or self.solver.levels

    def table_count(self) -> int:
        """Tables published: slices, or one for each zone and class."""
        return self.tables.slices or len(self.pilot.zones) * len(self.classes)

    def store_path(self) -> Path:
        return self.pilot.state / "tables.db"

    def history_path(self) -> Path:
        return self.pilot.state / "versions.db"

    def knowledge_path(self) -> Path:
        return self.pilot.state / "knowledge"

    def control_path(self) -> Path:
        return self.pilot.state / "control.sock"

    def planner(self, instances: int = 1, instance: int = 0, proxies: int = 0) -> api.Settings:
        """The module's own settings. An unbudgeted channel is handed over as one that never fills."""
        c, r = self.channel, self.rules
        wide = c.lines_per_second == 0
        return api.Settings(
            instance=instance,
            instances=instances,
            zone=self.pilot.zone,
            classes=tuple(
                api.RequestClass(n, k.aim, k.deadline, k.effect, k.key_scope, k.key_window, k.worth)
                for n, k in self.classes.items()
            ),
            slices=self.table_count(),
            proxies=proxies,
            sole_owner=self.tables.sole_owner,
            admission=self.tables.admission,
            subscribe=False,
            poll_interval=0,
            channel_rate=1e12 if wide else c.lines_per_second,
            channel_limit=1e12 if wide else c.limit,
            message_overhead=c.head,
            messages_per_window=c.messages,
            message_window=c.window,
            max_transit=c.transit_most,
            report_period=self.reports.every,
            drain_grace=r.drain_grace,
            cold_capacity_share=r.cold_share,
            warm_up_time=r.cold_time,
            write_linger=r.write_linger,
            write_lease=r.write_lease,
            load_fields=(),
            balancing_policy=self.tables.pick,
        )
