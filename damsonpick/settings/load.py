"""Reads an INI file into `PilotSettings` and says everything that is wrong with it at once."""

from __future__ import annotations

import configparser
from pathlib import Path
from typing import NamedTuple

from pydantic import ValidationError

from damsonpick.settings import model
from damsonpick.settings.units import numbers

SECTIONS = (
    "pilot",
    "listen",
    "tables",
    "rules",
    "channel",
    "reports",
    "list",
    "solver",
    "versions",
    "knowledge",
    "sasp",
    "log",
)
# sections that have a name of their own, by how they begin: where their contents go
NAMED = {"class": "classes", "list": "lists", "sasp group": "sasp_groups", "sasp balancer": "sasp_balancers"}
MODELS = {
    "class": model.RequestClass,
    "list": model.ListSource,
    "sasp group": model.SaspGroup,
    "sasp balancer": model.SaspBalancer,
}


class Problem(NamedTuple):
    """One thing wrong: where, what was written, and what to do."""

    section: str
    key: str
    value: str
    remedy: str

    def __str__(self) -> str:
        at = f"[{self.section}]" + (f" {self.key}" if self.key else "")
        return f"{at} = {self.value!r}: {self.remedy}" if self.value else f"{at}: {self.remedy}"


class SettingsError(Exception):
    """All problems of one file."""

    def __init__(self, path: Path, problems: list[Problem]) -> None:
        self.path, self.problems = path, problems
        super().__init__("\n".join(f"{path}: {p}" for p in problems))


def parse(path: Path) -> configparser.ConfigParser:
    """The file's sections, or one problem that names the line."""
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=("#", ";"))
    parser.optionxform = str
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            path,
            [Problem("file", "", "", f"cannot be read ({error}); give a text file in UTF-8 that this user may read")],
        ) from None
    except configparser.Error as error:
        text = " ".join(str(error).split())
        raise SettingsError(
            path, [Problem("file", "", "", f"{text}; write [section] lines and key = value lines, each name once")]
        ) from None
    return parser


def read(path: Path) -> tuple[model.PilotSettings | None, list[Problem]]:
    """Settings, or every problem found. Paths inside are taken from the file's own folder."""
    try:
        parser = parse(path)
    except SettingsError as error:
        return None, error.problems
    problems: list[Problem] = []
    raw: dict[str, object] = {place: {} for place in NAMED.values()}
    for name in parser.sections():
        if name in SECTIONS:
            raw[name] = dict(parser[name])
        elif (kind := _named(name)) is not None:
            raw[NAMED[kind]][name[len(kind) :].strip()] = dict(parser[name])
        else:
            problems.append(
                Problem(
                    name,
                    "",
                    "",
                    "is no section; the sections are "
                    + ", ".join([f"[{s}]" for s in SECTIONS] + [f"[{k} NAME]" for k in NAMED]),
                )
            )
    if not raw["classes"]:
        problems.append(Problem("class NAME", "", "", "is missing; add a section for each class of request"))
    try:
        settings = model.PilotSettings.model_validate(raw)
    except ValidationError as error:
        return None, problems + [_problem(e, raw) for e in error.errors()]
    problems += _across(settings)
    if problems:
        return None, problems
    return _absolute(settings, path.resolve().parent), []


def load(path: Path) -> model.PilotSettings:
    """Settings.

    Raises:
        SettingsError: with every problem of the file, each with its section, key, value and remedy.
    """
    settings, problems = read(path)
    if settings is None:
        raise SettingsError(path, problems)
    return settings


def _problem(error: dict, raw: dict) -> Problem:
    place = [str(part) for part in error["loc"]]
    for kind, where in NAMED.items():
        if place[0] == where:
            place = [f"{kind} {place[1]}", *place[2:]] if len(place) > 1 else [f"{kind} NAME"]
    section, key = place[0], ".".join(place[1:])
    value = error.get("input")
    kind = error["type"]
    if kind == "missing":
        what = "is missing; add the section" if not key else "is missing; add the key, see docs/operators/running.md"
        return Problem(section, key, "", what)
    if kind == "extra_forbidden":
        known = _keys(section)
        return Problem(section, key, str(value), "is no key of this section; it has " + ", ".join(known))
    text = error["msg"].removeprefix("Value error, ")
    if not text.startswith(("is ", "has ", "names ")):
        text = "is wrong: " + text[0].lower() + text[1:] + "; correct the value"
    return Problem(section, key, "" if isinstance(value, dict) else str(value), text)


def _named(section: str) -> str | None:
    """How a section with a name of its own begins; None: it is none."""
    return next((kind for kind in NAMED if section.startswith(f"{kind} ") and section[len(kind) :].strip()), None)


def _keys(section: str) -> list[str]:
    if (kind := _named(section)) is not None:
        return list(MODELS[kind].model_fields)
    field = model.PilotSettings.model_fields.get(section)
    return list(field.annotation.model_fields) if field else []


def _across(s: model.PilotSettings) -> list[Problem]:
    """What only shows when sections are read together."""
    found = []
    if s.pilot.zone not in s.pilot.zones:
        found.append(Problem("pilot", "zone", s.pilot.zone, "is not among zones; add it there or correct it"))
    for section, listed in (("list", s.list), *((f"list {n}", x) for n, x in s.lists.items())):
        if listed.source == "file" and listed.file is None:
            found.append(Problem(section, "file", "", "is missing; name the file that lists the servers"))
        if listed.source == "eds" and listed.upstream is None:
            found.append(Problem(section, "upstream", "", "is missing; give the address of the upstream EDS server"))
    for name, kind in s.classes.items():
        if kind.deadline < kind.aim:
            found.append(
                Problem(
                    f"class {name}",
                    "deadline",
                    f"{kind.deadline} ns",
                    "is before the aim; give a deadline no earlier than the aim",
                )
            )
        if kind.effect == "idempotency_key" and not kind.key_window:
            found.append(
                Problem(
                    f"class {name}",
                    "key_window",
                    "",
                    "is missing; a keyed class needs the time for which servers remember a key",
                )
            )
        if s.solved and not kind.work:
            found.append(
                Problem(
                    f"class {name}",
                    "work",
                    "",
                    "is missing; the solver needs the mean core time of a request, such as 300 ms",
                )
            )
    for name, group in s.sasp_groups.items():
        kind, _, rest = group.covers.partition(" ")
        if kind == "slices" and (high := max(numbers(group.covers))) >= s.table_count():
            found.append(
                Problem(
                    f"sasp group {name}",
                    "covers",
                    group.covers,
                    f"names slice {high}, there are {s.table_count()} from 0",
                )
            )
        if kind == "class" and (s.tables.slices or rest not in s.classes):
            found.append(
                Problem(
                    f"sasp group {name}",
                    "covers",
                    group.covers,
                    "is a class that there is not, or there are slices, which all classes share; use fleet or slices",
                )
            )
    for name, balancer in s.sasp_balancers.items():
        if balancer.zone and balancer.zone not in s.pilot.zones:
            found.append(Problem(f"sasp balancer {name}", "zone", balancer.zone, "is not among the zones"))
    for one, other, _ in s.solver.pairs:
        for zone in (one, other):
            if zone not in s.pilot.zones:
                found.append(Problem("solver", "pairs", zone, "is not among the zones; correct the name"))
    if s.rules.fall_multiple * s.rules.cold_share < 0.05:
        found.append(
            Problem(
                "rules",
                "cold_share",
                str(s.rules.cold_share),
                "times fall_multiple is under a twentieth of a server: no cold server could be given work; check both",
            )
        )
    return found


def _absolute(s: model.PilotSettings, base: Path) -> model.PilotSettings:
    pilot = s.pilot.model_copy(update={"state": base / s.pilot.state})

    def placed(source: model.ListSource) -> model.ListSource:
        return source.model_copy(update={"file": base / source.file if source.file else None})

    return s.model_copy(
        update={"pilot": pilot, "list": placed(s.list), "lists": {n: placed(x) for n, x in s.lists.items()}}
    )
