"""Models of a pilot's settings, one per section of the file. The settings describe facts of a deployment only.

Field names are the terms of the code. An alias is the key in the file, where it differs from the field name. Durations
are integer nanoseconds of the pilot's clock, regardless of the unit in the file.
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
UNLIMITED_ENTRIES = 1e12  # rate (table entries per second) and limit (table entries) of an unlimited channel

SaspRights = Literal["refuse", "read", "register", "state"]  # each right includes the rights before it


class Section(BaseModel):
    """Base of all sections of the file. Unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def keys_of(section: type[BaseModel]) -> list[str]:
    """Return the keys of a section as they appear in the file."""
    return [field.alias or name for name, field in section.model_fields.items()]


class Pilot(Section):
    """[pilot]: Identity of this pilot and the folder of its state."""

    name: str = Field("pilot-0", min_length=1)
    zone: str
    zones: Names
    state: Path  # folder for the databases, the learned state and the control socket
    seed: int = Field(1, ge=0)
    clock_rate: float = Field(1.0, gt=0, le=100)  # seconds of the pilot's clock per second of wall time, for rehearsals


class Listen(Section):
    """[listen]: Address at which gateways connect to the pilot."""

    xds: Address = "127.0.0.1:0"
    largest_request: int = Field(1_048_576, ge=4096)  # bytes; a larger request ends its stream


class Tables(Section):
    """[tables]: How keys are divided into slices and how gateways choose an endpoint from a table."""

    slices: int = Field(ge=0, le=65_000)  # if 0, there is one table per pair of gateway zone and request class
    balancing_policy: Literal["pair", "wheel", "lottery"] = Field("pair", alias="pick")
    sole_owner: bool = False
    admission: Literal["ratio", "none"] = "ratio"
    # Timeout of a retryable attempt, as a multiple of the latency objective.
    attempt_timeout_objectives: float = Field(1.2, gt=0, alias="try_aims")
    # Consecutive failures, seen by one gateway, after which the gateway ejects a server. If 0, none is ejected.
    ejection_failures: int = Field(5, ge=0, alias="strikes")


class Rules(Section):
    """[rules]: Parameters of the five rules that `damsonpick.testing.rules` checks."""

    drain_grace: Duration
    empty_table_limit: Duration = Field(alias="bare_limit")  # longest time that a slice may be without an endpoint
    cold_capacity_share: float = Field(gt=0, le=1, alias="cold_share")
    warm_up_time: Duration = Field(alias="cold_time")
    # Load, as a multiple of the capacity, above which a server fails.
    overload_multiple: float = Field(gt=1, alias="fall_multiple")
    overload_time: Duration = Field(alias="fall_time")  # time of such overload after which the server fails
    write_linger: Duration = 20 * MS
    write_lease: Duration = 800 * MS


class ChannelBudget(Section):
    """[channel]: Budget of the channel to the gateways, in table entries ("lines"). A rate of 0 is unlimited."""

    lines_per_second: float = Field(ge=0)
    limit: float = Field(gt=0)  # most entries that may wait to be sent
    message_overhead: float = Field(8, ge=0, alias="head")  # cost of a message in addition to its entries, in entries
    # Most messages to one gateway per `message_window`. If 0, there is no limit.
    messages_per_window: int = Field(0, ge=0, alias="messages")
    message_window: Duration = Field(10 * SECOND, alias="window")
    max_transit: Duration = Field(500 * MS, alias="transit_most")


class Reports(Section):
    """[reports]: Load reports of the gateways."""

    period: Duration = Field(1 * SECOND, alias="every")
    max_age: Duration = Field(15 * SECOND, alias="oldest")  # a report that covers a longer time is dropped


class ListSource(Section):
    """[list] and [list NAME]: A source of the endpoint list."""

    source: Literal["file", "eds"]
    file: Path | None = None
    upstream: Address | None = None
    cluster: str = "servers"
    poll_period: Duration = Field(200 * MS, alias="poll")


class Solver(Section):
    """[solver]: Weights computed under capacity and cost. Costs are in priority weight per core-second of work."""

    period: Duration = Field(2 * SECOND, alias="every")
    time_limit: Duration = 1 * SECOND
    solve_entries: bool = Field(False, alias="lines")  # whether to compute weights for slices with several endpoints
    # Whether to notify the planner of the rate of requests that the fleet sustains.
    advise_capacity: bool = Field(False, alias="levels")
    cross_zone_cost: float = Field(0.02, ge=0, alias="cross")
    # Costs of pairs of zones, `from>to cost, ...` in the file. They replace `cross_zone_cost` for these pairs.
    zone_pair_costs: ZonePairCosts = Field((), alias="pairs")
    move_cost: float = Field(0.05, ge=0, alias="move")
    min_share: float = Field(0.1, ge=0, le=0.5, alias="least")  # fraction of an even share that every server keeps
    # Largest share of all work that one plan may move, in addition to work that must move.
    max_move_share: float = Field(0.2, gt=0, le=1, alias="bound")
    # Capacity that is kept free on every server, as a share of the largest load that a plan may assign.
    headroom: float = Field(0.1, ge=0, le=1, alias="margin")
    # Largest deviation of a zone's demand from its estimate, as a share of the estimate.
    demand_spread: float = Field(0.35, ge=0, lt=1, alias="spread")


class Versions(Section):
    """[versions]: History of the tables, and rollback."""

    max_count: int = Field(10_000, ge=2, alias="keep")
    max_age: Duration = Field(7 * DAY, alias="age")
    # How long a rollback pins the tables if the operator specifies no time.
    pin_time: Duration = Field(10 * MINUTE, alias="pin")
    # Share of the gateways that must reject a resource before its rollout stops.
    stop_share: float = Field(0.5, gt=0, le=1, alias="stop")


class LearnedState(Section):
    """[knowledge]: Learned state that the pilot keeps across a restart."""

    enabled: bool = Field(True, alias="keep")
    period: Duration = Field(2 * SECOND, alias="every")  # time between snapshots


class SaspServer(Section):
    """[sasp]: The server for balancers that use SASP (RFC 4678)."""

    listen: Address | None = None  # without an address the server is off
    default_rights: SaspRights = Field("register", alias="unknown")  # rights of balancers without a section
    default_coverage: Literal["fleet", "refuse"] = Field("fleet", alias="unmapped")  # for groups without a section
    sessions: int = Field(100, ge=1)  # maximum number of sessions from one address
    groups: int = Field(2000, ge=1)  # maximum number of groups of one balancer
    members: int = Field(1000, ge=1)  # maximum number of members of one group
    messages_per_second: float = Field(50, gt=0, alias="messages")  # highest rate of one session
    # Longest time to send a message. If it is exceeded, the session ends.
    send_timeout: Duration = Field(10 * SECOND, alias="patience")
    # Whether the members are used as the last list source. Quiesced members drain.
    members_as_list: bool = Field(False, alias="feed")


class SaspGroup(Section):
    """[sasp group NAME]: The tables that a group of a balancer covers."""

    covers: Coverage = "fleet"


class SaspBalancer(Section):
    """[sasp balancer UID]: Rights and zone of one balancer."""

    rights: SaspRights = Field("register", alias="may")
    zone: str = ""  # zone of the balancer; empty for the zone of the pilot


class Logs(Section):
    """[log]: Structured logs on standard error."""

    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class RequestClass(Section):
    """[class NAME]: A request class, its latency objective and its priority weight."""

    latency_objective: Duration = Field(alias="aim")
    deadline: Duration
    priority_weight: float = Field(1.0, gt=0, alias="worth")
    effect: api.Effect = "read_like"
    key_scope: api.KeyScope = "all"
    key_window: Duration = 0
    writes: bool = False
    mean_work: Duration = Field(0, alias="work")  # mean core time of a request at speed 1; the solver needs it
    # Priority weight of a response that arrives after the latency objective.
    late_weight: float = Field(0.1, ge=0, alias="late_worth")
    own_zone_only: bool = Field(False, alias="own_zone")  # send requests only to servers in the zone of the gateway


class PilotSettings(Section):
    """All settings of a pilot.

    A field contains a section of the file, or all named sections of a kind. Its alias, or its name if it has no alias,
    is the name of the section or of the collection of named sections.
    """

    pilot: Pilot
    listen: Listen = Listen()
    tables: Tables
    rules: Rules
    channel: ChannelBudget
    reports: Reports = Reports()
    list_source: ListSource = Field(alias="list")
    fallback_sources: dict[str, ListSource] = Field({}, alias="lists")  # used after `list_source`, in this order
    solver: Solver = Solver()
    versions: Versions = Versions()
    learned_state: LearnedState = Field(LearnedState(), alias="knowledge")
    sasp: SaspServer = SaspServer()
    sasp_groups: dict[str, SaspGroup] = {}
    sasp_balancers: dict[str, SaspBalancer] = {}
    log: Logs = Logs()
    classes: dict[str, RequestClass]

    @property
    def needs_solver(self) -> bool:
        """Return whether the solver has anything to compute."""
        return not self.tables.slices or self.solver.solve_entries or self.solver.advise_capacity

    def table_count(self) -> int:
        """Return the number of published tables.

        There is one table for each slice, or, without slices, one for each pair of a zone and a request class.
        """
        return self.tables.slices or len(self.pilot.zones) * len(self.classes)

    def store_path(self) -> Path:
        """Return the path of the database of the tables and the endpoint list."""
        return self.pilot.state / "tables.db"

    def history_path(self) -> Path:
        """Return the path of the database of earlier versions."""
        return self.pilot.state / "versions.db"

    def learned_path(self) -> Path:
        """Return the path of the folder of snapshots of learned state."""
        return self.pilot.state / "knowledge"

    def control_path(self) -> Path:
        """Return the path of the control socket, which the command line connects to."""
        return self.pilot.state / "control.sock"

    def planner(self, instances: int = 1, instance: int = 0, proxies: int = 0) -> api.Settings:
        """Return the settings of the planner. An unlimited channel gets a rate and a limit that are never reached."""
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
            channel_rate=UNLIMITED_ENTRIES if unlimited else channel.lines_per_second,
            channel_limit=UNLIMITED_ENTRIES if unlimited else channel.limit,
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
        writes=settings.writes,
    )
