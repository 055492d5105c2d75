"""An INI file into one pydantic model, with every problem of the file at once."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from damsonpick.settings.load import Problem, SettingsError, parse

M = TypeVar("M", bound=BaseModel)


def read(
    path: Path, model: type[M], single: tuple[str, ...], named: dict[str, str], whole: str = ""
) -> tuple[M, list[Problem]]:
    """The model and what is wrong beside it, for the caller to add to.

    Args:
        model: what the file becomes.
        single: sections that stand once and are fields of their name.
        named: first word of sections with a name, to the field that collects them: {"class": "classes"}.
        whole: a field that collects the sections of `single` that are no fields, as they stand; or none.

    Raises:
        SettingsError: the file cannot be parsed or does not fit the model.
    """
    parser, problems = parse(path), []
    raw: dict = {field: {} for field in named.values()}
    if whole:
        raw[whole] = {}
    for name in parser.sections():
        head, _, rest = name.partition(" ")
        if name in single:
            target = raw if name in model.model_fields or not whole else raw[whole]
            target[name] = dict(parser[name])
        elif head in named and rest.strip():
            raw[named[head]][rest.strip()] = dict(parser[name])
        else:
            known = [*(f"[{s}]" for s in single), *(f"[{word} NAME]" for word in named)]
            problems.append(Problem(name, "", "", "is no section here; there are " + ", ".join(known)))
    if "classes" in raw and not raw["classes"]:
        problems.append(Problem("class NAME", "", "", "is missing; add a section for each class of request"))
    words = {field: word for word, field in named.items()}
    try:
        return model.model_validate(raw), problems
    except ValidationError as error:
        raise SettingsError(path, problems + [_problem(e, words) for e in error.errors()]) from None


def _problem(error: dict, words: dict[str, str]) -> Problem:
    place = [str(part) for part in error["loc"]]
    if place[0] in words and len(place) > 1:
        place = [f"{words[place[0]]} {place[1]}", *place[2:]]
    value, text = error.get("input"), error["msg"].removeprefix("Value error, ")
    return Problem(
        place[0],
        ".".join(place[1:]),
        "" if isinstance(value, dict) else str(value),
        f"is wrong: {text[0].lower()}{text[1:]}; correct it",
    )
