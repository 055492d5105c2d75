"""`damsonpick`: the operators' commands. Exit codes: 0 done, 1 not as it should be, 2 wrong input, 3 no pilot."""

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
FORMER_NAMES = {"knowledge": learned, "badday": scenario}  # go on working, and are not shown


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Publishes tables of servers, weights and levels to plain proxies over xDS.

    Start with `damsonpick check FILE`, then `damsonpick run FILE`; ask the running pilot with
    `damsonpick status FILE`. `damsonpick scenario examples/*.ini` rehearses faults on this machine.

    Exit codes: 0 done; 1 the answer is no (a rule was broken); 2 wrong input; 3 no pilot answers.
    """


def _hidden_alias(command: click.Command, name: str) -> click.Command:
    """The same command under a former name, left out of `--help`."""
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
