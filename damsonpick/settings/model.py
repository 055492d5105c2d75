"""What a pilot is told at its start, section by section. Facts of a deployment only.

Fields are named in the terms of the code; an alias is the key in the file, where it differs. Durations are integer
nanoseconds of the pilot's clock, whatever unit the file uses.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from damsonpick import interface as api
from damsonpick.settings.units import Address, Coverage, Duration, Names, ZonePairCosts

MS = 1_000_000
SECOND = 1_000 * MS
MINUTE = 60 * SECOND
DAY = 24 * 60 * MINUTE
NEVER_FULL = 1e12  # table entries: rate and limit of an unlimited channel

SaspRights = Literal["refuse", "read", "register", "state"]  # each includes those before it


class Section(BaseModel):
    """One section of the file; unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def keys_of(section: type[BaseModel]) -> list[str]:
    """The keys of a section as the file has them."""
    return [field.alias or name for name, field in section.model_fields.items()]


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
    """[tables]: how keys are cut into slices and how gateways choose from a table."""

    slices: int = Field(ge=0, le=65_000)  # 0: no slices, a table for each zone of gateways and class
    balancing_policy: Literal["pair", "wheel", "lottery"] = Field("pair", alias="pick")
    sole_owner: bool = False
    admission: Literal["ratio", "none"] = "ratio"
    attempt_timeout_objectives: float = Field(1.2, gt=0, alias="try_aims")  # of a retryable attempt, in objectives
    ejection_failures: int = Field(5, ge=0, alias="strikes")  # in a row, seen by one gateway; 0: it never ejects


class Rules(Section):
    """[rules]: the figures behind the five rules."""

    drain_grace: Duration
    empty_table_limit: Duration = Field(alias="bare_limit")  # that a slice may be without an endpoint
    cold_capacity_share: float = Field(gt=0, le=1, alias="cold_share")
    warm_up_time: Duration = Field(alias="cold_time")
    overload_multiple: float = Field(gt=1, alias="fall_multiple")  # of its capacity; a server under more fails
    overload_time: Duration = Field(alias="fall_time")  # after which it fails
    write_linger: Duration = 20 * MS
    write_lease: Duration = 800 * MS


class ChannelBudget(Section):
    """[channel]: what the way to the gateways carries, in table entries ("lines"). 0 a second: unlimited."""

    lines_per_second: float = Field(ge=0)
    limit: float = Field(gt=0)  # entries that may wait
    message_overhead: float = Field(8, ge=0, alias="head")  # entries added to each message
    messages_per_window: int = Field(0, ge=0, alias="messages")  # to one gateway; 0: unlimited
    message_window: Duration = Field(10 * SECOND, alias="window")
    max_transit: Duration = Field(500 * MS, alias="transit_most")


class Reports(Section):
    """[reports]: load reports of the gateways."""

    period: Duration = Field(1 * SECOND, alias="every")
    max_age: Duration = Field(15 * SECOND, alias="oldest")  # a report that covers more, or comes later, is dropped


class ListSource(Section):
    """[list] and [list NAME]: where the endpoint list comes from."""

    source: Literal["file", "eds"]
    file: Path | None = None
    upstream: Address | None = None
    cluster: str = "servers"
    poll_period: Duration = Field(200 * MS, alias="poll")


class Solver(Section):
    """[solver]: weights solved under capacity and cost. Costs are priority weight for each core-second of work."""

    period: Duration = Field(2 * SECOND, alias="every")
    time_limit: Duration = 1 * SECOND
    solve_entries: bool = Field(False, alias="lines")  # also weigh the entries of slices with several endpoints
    advise_capacity: bool = Field(False, alias="levels")  # also tell the planner what load the fleet bears
    cross_zone_cost: float = Field(0.02, ge=0, alias="cross")
    zone_pair_costs: ZonePairCosts = Field((), alias="pairs")  # in place of it: from>to cost, ...
    move_cost: float = Field(0.05, ge=0, alias="move")
    min_share: float = Field(0.1, ge=0, le=0.5, alias="least")  # of an even share, kept by every server
    max_move_share: float = Field(0.2, gt=0, le=1, alias="bound")  # of all work, in one plan
    headroom: float = Field(0.1, ge=0, le=1, alias="margin")  # part of demand for which capacity is kept free
    demand_spread: float = Field(0.35, ge=0, lt=1, alias="spread")  # how far a zone's demand may be from its estimate


class Versions(Section):
    """[versions]: the history of the tables and rollback."""

    max_count: int = Field(10_000, ge=2, alias="keep")
    max_age: Duration = Field(7 * DAY, alias="age")
    pin_time: Duration = Field(10 * MINUTE, alias="pin")  # that a rollback pins tables, if the operator names no time
    stop_share: float = Field(0.5, gt=0, le=1, alias="stop")  # of gateways that reject a resource: it goes no further


class LearnedState(Section):
    """[knowledge]: what is kept over a restart of what the pilot learns."""

    enabled: bool = Field(True, alias="keep")
    period: Duration = Field(2 * SECOND, alias="every")  # between snapshots


class SaspServer(Section):
    """[sasp]: the server for balancers that speak RFC 4678."""

    listen: Address | None = None  # no address: no such server
    default_rights: SaspRights = Field("register", alias="unknown")  # of balancers that are not named
    default_coverage: Literal["fleet", "refuse"] = Field("fleet", alias="unmapped")  # of groups that are not named
    sessions: int = Field(100, ge=1)  # from one address
    groups: int = Field(2000, ge=1)  # of one balancer
    members: int = Field(1000, ge=1)  # of one group
    messages_per_second: float = Field(50, gt=0, alias="messages")  # of one session
    send_timeout: Duration = Field(10 * SECOND, alias="patience")  # after which the session is ended
    members_as_list: bool = Field(False, alias="feed")  # quiesced members drain; members are the last list source


class SaspGroup(Section):
    """[sasp group NAME]: what a group stands for."""

    covers: Coverage = "fleet"


class SaspBalancer(Section):
    """[sasp balancer UID]: what one balancer may do."""

    rights: SaspRights = Field("register", alias="may")
    zone: str = ""  # where it stands; empty: the pilot's


class Logs(Section):
    """[log]: structured logs on standard error."""

    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class RequestClass(Section):
    """[class NAME]: one kind of request and what it is worth."""

    latency_objective: Duration = Field(alias="aim")
    deadline: Duration
    priority_weight: float = Field(1.0, gt=0, alias="worth")
    effect: api.Effect = "read_like"
    key_scope: api.KeyScope = "all"
    key_window: Duration = 0
    writes: bool = False
    mean_work: Duration = Field(0, alias="work")  # core time at speed 1; the solver needs it
    late_weight: float = Field(0.1, ge=0, alias="late_worth")  # of an answer after the objective
    own_zone_only: bool = Field(False, alias="own_zone")  # may go only to servers in the gateway's zone


class PilotSettings(Section):
    """All settings of a pilot. The aliases are sections of the file, or collect those that carry a name."""

    pilot: Pilot
    listen: Listen = Listen()
    tables: Tables
    rules: Rules
    channel: ChannelBudget
    reports: Reports = Reports()
    list_source: ListSource = Field(alias="list")
    fallback_sources: dict[str, ListSource] = Field({}, alias="lists")  # asked after `list_source`, in this order
    solver: Solver = Solver()
    versions: Versions = Versions()
    learned_state: LearnedState = Field(LearnedState(), alias="knowledge")
    sasp: SaspServer = SaspServer()
    sasp_groups: dict[str, SaspGroup] = {}
    sasp_balancers: dict[str, SaspBalancer] = {}
    log: Logs = Logs()
    classes: dict[str, RequestClass]

    @property
    def solved(self) -> bool:
        """Whether the solver has anything to do."""
        return not self.tables.slices or self.solver.solve_entries or self.solver.advise_capacity

    def table_count(self) -> int:
        """Tables published: slices, or one for each zone and class."""
        return self.tables.slices or len(self.pilot.zones) * len(self.classes)

    def store_path(self) -> Path:
        """The database of tables and the endpoint list."""
        return self.pilot.state / "tables.db"

    def history_path(self) -> Path:
        """The database of former versions."""
        return self.pilot.state / "versions.db"

    def learned_path(self) -> Path:
        """The folder of snapshots of learned state."""
        return self.pilot.state / "knowledge"

    def control_path(self) -> Path:
        """The socket for the command line."""
        return self.pilot.state / "control.sock"

    def planner(self, instances: int = 1, instance: int = 0, proxies: int = 0) -> api.Settings:
        """The planner's own settings. An unlimited channel is handed over as one that never fills."""
        channel, rules = self.channel, self.rules
        unlimited = channel.lines_per_second == 0
        return api.Settings(
            instance=instance,
            instances=instances,
            zone=self.pilot.zone,
            classes=tuple(_planner_class(name, settings) for name, settings in self.classes.items()),
            slices=self.table_count(),
            proxies=proxies,
            sole_owner=self.tables.sole_owner,
            admission=self.tables.admission,
            list_on_request=False,
            poll_interval=0,
            channel_rate=NEVER_FULL if unlimited else channel.lines_per_second,
            channel_limit=NEVER_FULL if unlimited else channel.limit,
            message_overhead=channel.message_overhead,
            messages_per_window=channel.messages_per_window,
            message_window=channel.message_window,
            max_transit=channel.max_transit,
            report_period=self.reports.period,
            drain_grace=rules.drain_grace,
            cold_capacity_share=rules.cold_capacity_share,
            warm_up_time=rules.warm_up_time,
            write_linger=rules.write_linger,
            write_lease=rules.write_lease,
            load_fields=(),
            balancing_policy=self.tables.balancing_policy,
        )


def _planner_class(name: str, settings: RequestClass) -> api.RequestClass:
    return api.RequestClass(
        name=name,
        latency_objective=settings.latency_objective,
        deadline=settings.deadline,
        effect=settings.effect,
        key_scope=settings.key_scope,
        key_window=settings.key_window,
        priority_weight=settings.priority_weight,
    )
