"""Reads an INI file into a pydantic model and reports the problems of the file together.

Programs other than the pilot use this module.
"""

from __future__ import annotations

import configparser
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from damsonpick.settings.ini import parse
from damsonpick.settings.problems import Problem, SettingsError

Model = TypeVar("Model", bound=BaseModel)


def read(
    path: Path, model: type[Model], single: tuple[str, ...], named: Mapping[str, str], collecting_field: str = ""
) -> tuple[Model, list[Problem]]:
    """Return the model, and the problems that are not errors of the model, such as unknown sections.

    The caller may add problems to the list.

    Args:
        path: Path of the INI file.
        model: Model of the file.
        single: Sections that occur once. Each is a field of the same name, unless `collecting_field` collects it.
        named: Field that collects the named sections of a kind, by the first word of the section, for example
            {"class": "classes"}.
        collecting_field: Field that collects, unchanged, those sections of `single` that are not fields of the model.
            Empty if every section of `single` is a field.

    Raises:
        SettingsError: The file cannot be parsed or does not fit the model.
    """
    raw, problems = _collect(parse(path), model, single, named, collecting_field)
    if "classes" in raw and not raw["classes"]:
        problems.append(Problem("class NAME", "", "", "is missing; add a section for each request class"))
    first_words = {field: word for word, field in named.items()}
    try:
        return model.model_validate(raw), problems
    except ValidationError as error:
        problems += [_describe(details, first_words) for details in error.errors()]
        raise SettingsError(path, problems) from None


def _collect(
    parser: configparser.ConfigParser,
    model: type[BaseModel],
    single: tuple[str, ...],
    named: Mapping[str, str],
    collecting_field: str,
) -> tuple[dict[str, Any], list[Problem]]:
    """Return the sections of the file in the form that the model expects, and a problem per unknown section."""
    raw: dict[str, Any] = {field: {} for field in named.values()}
    if collecting_field:
        raw[collecting_field] = {}
    problems = []
    for section in parser.sections():
        first_word, _, name = section.partition(" ")
        if section in single:
            is_field = section in model.model_fields or not collecting_field
            target = raw if is_field else raw[collecting_field]
            target[section] = dict(parser[section])
        elif first_word in named and name.strip():
            raw[named[first_word]][name.strip()] = dict(parser[section])
        else:
            known = [f"[{section}]" for section in single] + [f"[{word} NAME]" for word in named]
            problems.append(Problem(section, "", "", "is not a known section; the sections are " + ", ".join(known)))
    return raw, problems


def _describe(details: Any, first_words: Mapping[str, str]) -> Problem:
    """Return the problem for one of pydantic's error details, with the section and key of the file."""
    location = [str(part) for part in details["loc"]]
    if location[0] in first_words and len(location) > 1:
        location = [f"{first_words[location[0]]} {location[1]}", *location[2:]]
    section, key = location[0], ".".join(location[1:])
    value = details.get("input")
    text = details["msg"].removeprefix("Value error, ")
    remedy = f"is invalid: {text[0].lower()}{text[1:]}; correct the value"
    return Problem(section, key, "" if isinstance(value, dict) else str(value), remedy)
