"""Parses INI files and reports why a file cannot be used."""

from __future__ import annotations

import configparser
from pathlib import Path

from damsonpick.settings.problems import Problem, SettingsError


def parse(path: Path) -> configparser.ConfigParser:
    """Return the sections of an INI file. Keys are case-sensitive; `#` and `;` start comments.

    Raises:
        SettingsError: The file cannot be read or is not an INI file. In the second case the problem names the line.
    """
    parser = configparser.ConfigParser(interpolation=None, inline_comment_prefixes=("#", ";"))
    parser.optionxform = str
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError) as error:
        remedy = f"cannot be read ({error}); provide a UTF-8 text file that this user may read"
        raise SettingsError(path, [Problem("file", "", "", remedy)]) from None
    except configparser.Error as error:
        text = " ".join(str(error).split())
        remedy = f"{text}; write [section] lines and key = value lines, and use each name once"
        raise SettingsError(path, [Problem("file", "", "", remedy)]) from None
    return parser
