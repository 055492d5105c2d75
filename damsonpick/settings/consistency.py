"""Checks of a pilot's settings that involve several keys or sections."""

from __future__ import annotations

from collections.abc import Iterator

from damsonpick.settings.model import PilotSettings, RequestClass, SaspGroup
from damsonpick.settings.problems import Problem
from damsonpick.settings.units import slice_numbers

# A server that warms up fails above a load of overload_multiple * cold_capacity_share of its capacity. This is the
# lowest permitted value of that product. With a lower value, such a server could never receive load.
MIN_COLD_LOAD_SHARE = 0.05


def check(settings: PilotSettings) -> list[Problem]:
    """Return all problems, in the order of the sections."""
    checks = (_zone, _list_sources, _classes, _sasp_groups, _sasp_balancers, _zone_pairs, _cold_load)
    return [problem for run_check in checks for problem in run_check(settings)]


def _zone(settings: PilotSettings) -> Iterator[Problem]:
    pilot = settings.pilot
    if pilot.zone not in pilot.zones:
        yield Problem("pilot", "zone", pilot.zone, "is not among zones; add it to zones or correct the name")


def _list_sources(settings: PilotSettings) -> Iterator[Problem]:
    sources = {"list": settings.list_source}
    sources |= {f"list {name}": source for name, source in settings.fallback_sources.items()}
    for section, source in sources.items():
        if source.source == "file" and source.file is None:
            yield Problem(section, "file", "", "is missing; give the path of the file that lists the servers")
        if source.source == "eds" and source.upstream is None:
            yield Problem(section, "upstream", "", "is missing; give the IP:PORT of the upstream EDS server")


def _classes(settings: PilotSettings) -> Iterator[Problem]:
    for name, request_class in settings.classes.items():
        yield from _class(f"class {name}", request_class, settings.needs_solver)


def _class(section: str, request_class: RequestClass, needs_solver: bool) -> Iterator[Problem]:
    if request_class.deadline < request_class.latency_objective:
        remedy = "is shorter than aim; give a deadline that is at least as long as aim"
        yield Problem(section, "deadline", f"{request_class.deadline} ns", remedy)
    if request_class.effect == "idempotency_key" and not request_class.key_window:
        remedy = "is missing; a class with idempotency keys needs the time for which servers remember a key"
        yield Problem(section, "key_window", "", remedy)
    if needs_solver and not request_class.mean_work:
        remedy = "is missing; the solver needs the mean core time of a request, such as 300 ms"
        yield Problem(section, "work", "", remedy)


def _sasp_groups(settings: PilotSettings) -> Iterator[Problem]:
    for name, group in settings.sasp_groups.items():
        yield from _sasp_group(f"sasp group {name}", group, settings)


def _sasp_group(section: str, group: SaspGroup, settings: PilotSettings) -> Iterator[Problem]:
    kind, _, rest = group.covers.partition(" ")
    if kind == "slices":
        count = settings.table_count()
        highest = max(slice_numbers(group.covers))
        if highest >= count:
            yield Problem(
                section,
                "covers",
                group.covers,
                f"names slice {highest}, but there are {count} slices, numbered from 0; correct the numbers",
            )
    if kind == "class" and (settings.tables.slices or rest not in settings.classes):
        remedy = (
            "names an unknown class, or a class where there are slices, which all classes share; use fleet or slices"
        )
        yield Problem(section, "covers", group.covers, remedy)


def _sasp_balancers(settings: PilotSettings) -> Iterator[Problem]:
    for name, balancer in settings.sasp_balancers.items():
        if balancer.zone and balancer.zone not in settings.pilot.zones:
            yield Problem(f"sasp balancer {name}", "zone", balancer.zone, "is not among the zones; correct the name")


def _zone_pairs(settings: PilotSettings) -> Iterator[Problem]:
    for source, target, _ in settings.solver.zone_pair_costs:
        for zone in (source, target):
            if zone not in settings.pilot.zones:
                yield Problem("solver", "pairs", zone, "is not among the zones; correct the name")


def _cold_load(settings: PilotSettings) -> Iterator[Problem]:
    rules = settings.rules
    if rules.overload_multiple * rules.cold_capacity_share < MIN_COLD_LOAD_SHARE:
        remedy = (
            "times fall_multiple is under a twentieth of a server's capacity, so a server that warms up could not "
            "receive any load; raise one of them"
        )
        yield Problem("rules", "cold_share", str(rules.cold_capacity_share), remedy)
