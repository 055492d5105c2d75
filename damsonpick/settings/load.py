"""Reads an INI file into `PilotSettings` and says everything that is wrong with it at once."""

from __future__ import annotations

import configparser
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ValidationError

from damsonpick.settings import consistency, model
from damsonpick.settings.ini import parse
from damsonpick.settings.problems import Problem, SettingsError

SINGLE_SECTIONS = (
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
# Sections that carry a name of their own, as in [class page], by their first words: the key of `PilotSettings` that
# collects them, and what each becomes.
NAMED_SECTIONS: dict[str, tuple[str, type[BaseModel]]] = {
    "class": ("classes", model.RequestClass),
    "list": ("lists", model.ListSource),
    "sasp group": ("sasp_groups", model.SaspGroup),
    "sasp balancer": ("sasp_balancers", model.SaspBalancer),
}
OWN_VERBS = ("is ", "has ", "names ")  # with which the messages of `units` begin; pydantic's do not


def load(path: Path) -> model.PilotSettings:
    """Settings of a pilot. Paths inside are taken from the file's own folder.

    Raises:
        SettingsError: with every problem of the file, each with its section, key, value and remedy.
    """
    settings, problems = read(path)
    if settings is None:
        raise SettingsError(path, problems)
    return settings


def read(path: Path) -> tuple[model.PilotSettings | None, list[Problem]]:
    """Settings, or (None and) every problem found. Paths inside are taken from the file's own folder."""
    try:
        parser = parse(path)
    except SettingsError as error:
        return None, error.problems
    raw, problems = _collect(parser)
    try:
        settings = model.PilotSettings.model_validate(raw)
    except ValidationError as error:
        return None, problems + [_describe(details) for details in error.errors()]
    problems += consistency.check(settings)
    if problems:
        return None, problems
    return _with_absolute_paths(settings, path.resolve().parent), []


def _collect(parser: configparser.ConfigParser) -> tuple[dict[str, dict[str, Any]], list[Problem]]:
    """The file's sections as `PilotSettings` expects them, and sections that there are not."""
    raw: dict[str, dict[str, Any]] = {collection: {} for collection, _ in NAMED_SECTIONS.values()}
    problems: list[Problem] = []
    for section in parser.sections():
        prefix = _named_prefix(section)
        if section in SINGLE_SECTIONS:
            raw[section] = dict(parser[section])
        elif prefix is not None:
            collection, _ = NAMED_SECTIONS[prefix]
            raw[collection][section[len(prefix) :].strip()] = dict(parser[section])
        else:
            problems.append(_unknown_section(section))
    if not raw["classes"]:
        problems.append(Problem("class NAME", "", "", "is missing; add a section for each class of request"))
    return raw, problems


def _named_prefix(section: str) -> str | None:
    """The first words of a section that carries a name; None: it carries none."""
    for prefix in NAMED_SECTIONS:
        if section.startswith(f"{prefix} ") and section[len(prefix) :].strip():
            return prefix
    return None


def _unknown_section(section: str) -> Problem:
    known = [f"[{name}]" for name in SINGLE_SECTIONS] + [f"[{prefix} NAME]" for prefix in NAMED_SECTIONS]
    return Problem(section, "", "", "is no section; the sections are " + ", ".join(known))


def _describe(details: Any) -> Problem:
    """One of pydantic's error details in the words of the file."""
    section, key = _place(details["loc"])
    value = details.get("input")
    if details["type"] == "missing":
        if key:
            return Problem(section, key, "", "is missing; add the key, see docs/operators/running.md")
        return Problem(section, "", "", "is missing; add the section")
    if details["type"] == "extra_forbidden":
        return Problem(section, key, str(value), "is no key of this section; it has " + ", ".join(_keys(section)))
    text = details["msg"].removeprefix("Value error, ")
    if not text.startswith(OWN_VERBS):
        text = f"is wrong: {text[0].lower()}{text[1:]}; correct the value"
    return Problem(section, key, "" if isinstance(value, dict) else str(value), text)


def _place(location: tuple[int | str, ...]) -> tuple[str, str]:
    """Section and key of an error's location, which begins with a key of `PilotSettings`."""
    first, *rest = [str(part) for part in location]
    for prefix, (collection, _) in NAMED_SECTIONS.items():
        if first == collection:
            name, rest = (rest[0], rest[1:]) if rest else ("NAME", [])
            return f"{prefix} {name}", ".".join(rest)
    return first, ".".join(rest)


def _keys(section: str) -> list[str]:
    """The keys that a section may have."""
    prefix = _named_prefix(section)
    if prefix is not None:
        _, section_model = NAMED_SECTIONS[prefix]
        return model.keys_of(section_model)
    for name, field in model.PilotSettings.model_fields.items():
        if section == (field.alias or name):
            return model.keys_of(field.annotation)
    return []


def _with_absolute_paths(settings: model.PilotSettings, folder: Path) -> model.PilotSettings:
    """Settings whose paths do not depend on the process's working folder."""

    def resolve(source: model.ListSource) -> model.ListSource:
        return source.model_copy(update={"file": folder / source.file if source.file else None})

    return settings.model_copy(
        update={
            "pilot": settings.pilot.model_copy(update={"state": folder / settings.pilot.state}),
            "list_source": resolve(settings.list_source),
            "fallback_sources": {name: resolve(source) for name, source in settings.fallback_sources.items()},
        }
    )
