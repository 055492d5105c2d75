"""`python -m damsonpick`: the command line."""

from damsonpick.cli.main import main

if __name__ == "__main__":  # the solver's worker process loads this file too
    main()
