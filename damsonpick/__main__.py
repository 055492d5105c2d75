"""`python -m damsonpick`: runs the command line."""

from damsonpick.cli.main import main

if __name__ == "__main__":
    main()
