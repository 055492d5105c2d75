"""Reading settings reports every problem at once, each with section, key, value and remedy."""

from __future__ import annotations

import subprocess
import sys

import pytest

from damsonpick.settings import PilotSettings, SettingsError, load, read
from damsonpick.settings.load import NAMED_SECTIONS, SINGLE_SECTIONS
from damsonpick.settings.model import keys_of
from damsonpick.settings.units import parse_duration
from damsonpick.testing.scenarios import script
from tests.pilots import SETTINGS

VALID_SETTINGS = SETTINGS.format(slices=6, rate=0)


def problems(tmp_path, text):
    path = tmp_path / "pilot.ini"
    path.write_text(text)
    settings, found = read(path)
    assert settings is None
    return [str(problem) for problem in found]


def test_valid_settings_become_settings_of_the_planner(tmp_path):
    path = tmp_path / "pilot.ini"
    path.write_text(VALID_SETTINGS)
    settings = load(path)
    planner_settings = settings.planner()
    assert planner_settings.drain_grace == 2_200_000_000 and planner_settings.slices == 6
    assert [c.name for c in planner_settings.classes] == ["page", "tally"] and planner_settings.channel_limit == 1e12
    assert settings.store_path() == tmp_path / "state" / "tables.db"


def test_all_problems_are_listed_not_the_first(tmp_path):
    bad = (
        VALID_SETTINGS.replace("2.2 s", "two")
        .replace("limit = 6000", "limit = -1")
        .replace("zone = a\n", "zone = z\n", 1)
    )
    bad = bad.replace("[list]", "[lsit]").replace("deadline = 4 s", "deadlin = 4 s", 1) + "\n[class third]\naim=1\n"
    found = problems(tmp_path, bad)
    text = "\n".join(found)
    for part in (
        "[lsit]: is not a known section",
        "[rules] drain_grace = 'two'",
        "[channel] limit = '-1'",
        "[class page] deadlin",
        "[class page] deadline: is missing",
        "[class third] aim = '1'",
    ):
        assert part in text, text
    assert all(";" in line for line in found), "each problem names a remedy"


@pytest.mark.parametrize(
    ("old", "new", "part"),
    [
        ("zone = a\n", "zone = q\n", "[pilot] zone = 'q': is not among zones"),
        ("aim = 1.5 s", "aim = 9 s", "is shorter than aim"),
        ("file = servers.ini", "", "[list] file: is missing"),
        ("source = file", "source = eds", "[list] upstream: is missing"),
        ("effect = non_idempotent", "effect = idempotency_key", "key_window: is missing"),
        ("zones = a, b", "zones = a, a", "names an item twice"),
        ("[tables]", "[listen]\nxds = 10.0.0.1:80\n[tables]", "is not a loopback address"),
        ("[tables]", "[tables]\n[tables]", "already exists"),
        ("slices = 6", "slices = 6\nslices = 7", "already exists"),
    ],
)
def test_each_problem_names_its_place_and_remedy(tmp_path, old, new, part):
    assert part in "\n".join(problems(tmp_path, VALID_SETTINGS.replace(old, new, 1)))


def test_file_that_cannot_be_read(tmp_path):
    with pytest.raises(SettingsError, match="cannot be read"):
        load(tmp_path / "none.ini")
    (tmp_path / "bytes.ini").write_bytes(b"\xff\xfe\x00")
    with pytest.raises(SettingsError, match="UTF-8"):
        load(tmp_path / "bytes.ini")


def test_durations_need_a_unit():
    assert parse_duration("2.5 s") == 2_500_000_000 and parse_duration("250ms") == 250_000_000
    for text in ("5", "5 apples", "-1 s", "", "1e3 s"):
        with pytest.raises(ValueError, match="duration"):
            parse_duration(text)


def test_check_command_prints_all_and_says_so_by_its_exit_code(tmp_path):
    path = tmp_path / "pilot.ini"
    path.write_text(VALID_SETTINGS.replace("2.2 s", "two").replace("slices = 6", "slices = none"))
    done = subprocess.run([sys.executable, "-m", "damsonpick", "check", str(path)], capture_output=True, text=True)
    assert done.returncode == 2 and len(done.stdout.splitlines()) == 2
    path.write_text(VALID_SETTINGS)
    done = subprocess.run([sys.executable, "-m", "damsonpick", "check", str(path)], capture_output=True, text=True)
    assert done.returncode == 0


def test_a_days_script_is_checked_whole(tmp_path):
    path = tmp_path / "day.ini"
    path.write_text("[day]\nlength = 10\n[class page]\naim = 1 s\n[trouble x]\nkind = plague\nat = 1 s\n[odd]\n")
    with pytest.raises(SettingsError) as error:
        script.load(path)
    for part in ("[day] length", "[class page] deadline", "[trouble x] kind", "[odd]: is not a known section"):
        assert part in str(error.value)


KEYS = {
    "pilot": "name zone zones state seed clock_rate",
    "listen": "xds largest_request",
    "tables": "slices pick sole_owner admission try_aims strikes",
    "rules": "drain_grace bare_limit cold_share cold_time fall_multiple fall_time write_linger write_lease",
    "channel": "lines_per_second limit head messages window transit_most",
    "reports": "every oldest",
    "list": "source file upstream cluster poll",
    "solver": "every time_limit lines levels cross pairs move least bound margin spread",
    "versions": "keep age pin stop",
    "knowledge": "keep every",
    "sasp": "listen unknown unmapped sessions groups members messages patience feed",
    "sasp group": "covers",
    "sasp balancer": "may zone",
    "log": "format level",
    "class": "aim deadline worth effect key_scope key_window writes work late_worth own_zone",
}


def test_keys_of_the_file_are_those_that_operators_know():
    """Fields have other names than the keys. A file written for an earlier version must still be accepted."""
    fields = {field.alias or name: field.annotation for name, field in PilotSettings.model_fields.items()}
    sections = {name: fields[name] for name in SINGLE_SECTIONS}
    sections |= {prefix: section for prefix, (_, section) in NAMED_SECTIONS.items()}
    assert {name: " ".join(keys_of(section)) for name, section in sections.items()} == KEYS


@pytest.mark.parametrize("key", ["latency_objective = 1 s", "priority_weight = 2"])
def test_names_of_fields_are_no_keys_of_the_file(tmp_path, key):
    found = problems(tmp_path, VALID_SETTINGS.replace("aim = 1.5 s", f"aim = 1.5 s\n{key}", 1))
    assert len(found) == 1 and "is not a key of this section; it has aim, deadline, worth" in found[0]
