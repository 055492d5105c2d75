"""`damsonpick`: the operators' commands. Exit codes: 0 done, 1 negative result, 2 wrong input, 3 no pilot."""

from __future__ import annotations

import copy

import click

from damsonpick.cli.endpoint_list import endpoint_list
from damsonpick.cli.explain import explain
from damsonpick.cli.learned import learned
from damsonpick.cli.load import load
from damsonpick.cli.pilot import check, run, status, tables
from damsonpick.cli.proxy import proxy
from damsonpick.cli.sasp import sasp
from damsonpick.cli.scenario import scenario
from damsonpick.cli.versions import versions

COMMANDS = (check, run, status, tables, proxy, load, explain, versions, learned, endpoint_list, sasp, scenario)
FORMER_NAMES = {"knowledge": learned, "badday": scenario}  # still accepted, but not shown in --help


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Publishes routing tables (servers, weights and admission levels) to standard proxies over xDS.

    Start with `damsonpick check FILE`, then `damsonpick run FILE`. Query the running pilot with
    `damsonpick status FILE`. `damsonpick scenario examples/*.ini` plays scripted faults on this machine.

    Exit codes: 0 done; 1 the answer is no, or a rule was broken; 2 wrong input; 3 no pilot answers.
    """


def _hidden_alias(command: click.Command, name: str) -> click.Command:
    """Return a copy of a command under a former name that `--help` does not list."""
    alias = copy.copy(command)
    alias.name = name
    alias.hidden = True
    return alias


for shown_command in COMMANDS:
    main.add_command(shown_command)
for former_name, renamed_command in FORMER_NAMES.items():
    main.add_command(_hidden_alias(renamed_command, former_name))


if __name__ == "__main__":
    main()
