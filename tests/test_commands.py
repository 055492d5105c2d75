"""Command names: former names still work with the same options, and `--help` lists only the present names."""

from __future__ import annotations

import subprocess
import sys

import pytest
from click.testing import CliRunner

from damsonpick.cli.main import FORMER_NAMES, main

LISTED_COMMANDS = {
    "check",
    "explain",
    "learned",
    "list",
    "load",
    "proxy",
    "run",
    "sasp",
    "scenario",
    "status",
    "tables",
    "versions",
}
RENAMED = [("knowledge", "learned"), ("badday", "scenario")]


def run(*words):
    return CliRunner().invoke(main, words)


def test_help_lists_present_names_only():
    listed = run("--help").output.partition("Commands:")[2]
    assert {line.split()[0] for line in listed.splitlines() if line.strip()} == LISTED_COMMANDS
    assert set(FORMER_NAMES) == {former for former, _ in RENAMED}


@pytest.mark.parametrize(("former", "present"), RENAMED)
def test_a_former_name_has_the_same_options_and_help(former, present):
    old, new = main.commands[former], main.commands[present]
    assert old.hidden and not new.hidden
    assert old.params == new.params and old.callback is new.callback
    assert run(former, "--help").output.replace(former, present) == run(present, "--help").output


@pytest.mark.parametrize("command", ["knowledge", "learned"])
@pytest.mark.parametrize(("subcommand", "code"), [("show", 1), ("verify", 0), ("forget", 0)])
def test_both_names_answer_alike_where_nothing_is_kept(pilot_settings, command, subcommand, code):
    result = run(command, subcommand, str(pilot_settings))
    assert result.exit_code == code
    assert result.output == run("learned", subcommand, str(pilot_settings)).output
    assert "state/knowledge" in result.output


@pytest.mark.parametrize("command", ["knowledge", "learned"])
def test_both_names_refuse_wrong_settings(tmp_path, command):
    result = run(command, "show", str(tmp_path / "none.ini"))
    assert result.exit_code == 2 and "cannot be read" in result.output


@pytest.mark.parametrize("command", ["knowledge", "learned"])
def test_both_names_work_through_the_real_program(pilot_settings, command):
    done = subprocess.run(
        [sys.executable, "-m", "damsonpick", command, "verify", str(pilot_settings)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0 and done.stdout.count("does not exist") == 2, done.stderr
