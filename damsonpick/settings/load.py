"""Reads an INI file into `PilotSettings` and reports the problems of the file together."""

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
# Sections with a name, such as [class page], by the words before the name. Each value is a pair: the key of
# `PilotSettings` that collects the sections, and the model of one section.
NAMED_SECTIONS: dict[str, tuple[str, type[BaseModel]]] = {
    "class": ("classes", model.RequestClass),
    "list": ("lists", model.ListSource),
    "sasp group": ("sasp_groups", model.SaspGroup),
    "sasp balancer": ("sasp_balancers", model.SaspBalancer),
}
# Each message of `value_errors` starts with one of these words; no message of pydantic does.
OWN_MESSAGE_PREFIXES = ("is ", "has ", "names ")


def load(path: Path) -> model.PilotSettings:
    """Return the settings of a pilot. Paths in the file are relative to the folder of the file.

    Raises:
        SettingsError: The file has problems. The error contains those that `read` returns, each with section, key,
            value and remedy.
    """
    settings, problems = read(path)
    if settings is None:
        raise SettingsError(path, problems)
    return settings


def read(path: Path) -> tuple[model.PilotSettings | None, list[Problem]]:
    """Return the settings and no problem, or None and the problems of the file.

    Problems between several values are reported only if each value is valid. Paths in the file are relative to the
    folder of the file.
    """
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
    """Return the sections of the file in the form that `PilotSettings` expects, and a problem per unknown section."""
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
        problems.append(Problem("class NAME", "", "", "is missing; add a section for each request class"))
    return raw, problems


def _named_prefix(section: str) -> str | None:
    """Return the words before the name of a named section, or None if the section is not a named one."""
    for prefix in NAMED_SECTIONS:
        if section.startswith(f"{prefix} ") and section[len(prefix) :].strip():
            return prefix
    return None


def _unknown_section(section: str) -> Problem:
    known = [f"[{name}]" for name in SINGLE_SECTIONS] + [f"[{prefix} NAME]" for prefix in NAMED_SECTIONS]
    return Problem(section, "", "", "is not a known section; the sections are " + ", ".join(known))


def _describe(details: Any) -> Problem:
    """Return the problem for one of pydantic's error details, with the section and key of the file."""
    section, key = _section_and_key(details["loc"])
    value = details.get("input")
    if details["type"] == "missing":
        if key:
            return Problem(section, key, "", "is missing; add the key (see docs/operators/running.md)")
        return Problem(section, "", "", "is missing; add the section")
    if details["type"] == "extra_forbidden":
        return Problem(
            section, key, str(value), "is not a key of this section; it has " + ", ".join(_section_keys(section))
        )
    text = details["msg"].removeprefix("Value error, ")
    if not text.startswith(OWN_MESSAGE_PREFIXES):
        text = f"is invalid: {text[0].lower()}{text[1:]}; correct the value"
    return Problem(section, key, "" if isinstance(value, dict) else str(value), text)


def _section_and_key(location: tuple[int | str, ...]) -> tuple[str, str]:
    """Return the section and the key for the location of an error, which starts with a key of `PilotSettings`."""
    first, *rest = [str(part) for part in location]
    for prefix, (collection, _) in NAMED_SECTIONS.items():
        if first == collection:
            name, rest = (rest[0], rest[1:]) if rest else ("NAME", [])
            return f"{prefix} {name}", ".".join(rest)
    return first, ".".join(rest)


def _section_keys(section: str) -> list[str]:
    """Return the keys that a section may have."""
    prefix = _named_prefix(section)
    if prefix is not None:
        _, section_model = NAMED_SECTIONS[prefix]
        return model.keys_of(section_model)
    for name, field in model.PilotSettings.model_fields.items():
        if section == (field.alias or name):
            return model.keys_of(field.annotation)
    return []


def _with_absolute_paths(settings: model.PilotSettings, folder: Path) -> model.PilotSettings:
    """Return the settings with paths that do not depend on the working folder of the process."""

    def resolve(source: model.ListSource) -> model.ListSource:
        return source.model_copy(update={"file": folder / source.file if source.file else None})

    return settings.model_copy(
        update={
            "pilot": settings.pilot.model_copy(update={"state": folder / settings.pilot.state}),
            "list_source": resolve(settings.list_source),
            "fallback_sources": {name: resolve(source) for name, source in settings.fallback_sources.items()},
        }
    )
