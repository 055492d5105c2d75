"""`python -m damsonpick`: the command line."""

from damsonpick.cli.main import main

main()
