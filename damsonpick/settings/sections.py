"""An INI file into one pydantic model, with every problem of the file at once: for programs other than the pilot."""

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
    path: Path, model: type[Model], single: tuple[str, ...], named: Mapping[str, str], whole: str = ""
) -> tuple[Model, list[Problem]]:
    """The model and what is wrong beside it, for the caller to add to.

    Args:
        path: the INI file.
        model: what the file becomes.
        single: sections that stand once and are fields of their name.
        named: first word of sections with a name, to the field that collects them: {"class": "classes"}.
        whole: a field that collects the sections of `single` that are no fields, as they stand; or none.

    Raises:
        SettingsError: the file cannot be parsed or does not fit the model.
    """
    raw, problems = _collect(parse(path), model, single, named, whole)
    if "classes" in raw and not raw["classes"]:
        problems.append(Problem("class NAME", "", "", "is missing; add a section for each class of request"))
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
    whole: str,
) -> tuple[dict[str, Any], list[Problem]]:
    """The file's sections as the model expects them, and sections that there are not."""
    raw: dict[str, Any] = {field: {} for field in named.values()}
    if whole:
        raw[whole] = {}
    problems = []
    for section in parser.sections():
        first_word, _, name = section.partition(" ")
        if section in single:
            is_field = section in model.model_fields or not whole
            target = raw if is_field else raw[whole]
            target[section] = dict(parser[section])
        elif first_word in named and name.strip():
            raw[named[first_word]][name.strip()] = dict(parser[section])
        else:
            known = [f"[{section}]" for section in single] + [f"[{word} NAME]" for word in named]
            problems.append(Problem(section, "", "", "is no section here; there are " + ", ".join(known)))
    return raw, problems


def _describe(details: Any, first_words: Mapping[str, str]) -> Problem:
    """One of pydantic's error details in the words of the file."""
    place = [str(part) for part in details["loc"]]
    if place[0] in first_words and len(place) > 1:
        place = [f"{first_words[place[0]]} {place[1]}", *place[2:]]
    section, key = place[0], ".".join(place[1:])
    value = details.get("input")
    text = details["msg"].removeprefix("Value error, ")
    remedy = f"is wrong: {text[0].lower()}{text[1:]}; correct it"
    return Problem(section, key, "" if isinstance(value, dict) else str(value), remedy)
