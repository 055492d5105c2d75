"""`python -m damsonpick.simhost`: runs the simulator adapter under the name that the deploy file and the README use."""

import sys

from damsonpick.protocols.simulator.__main__ import main

if __name__ == "__main__":
    sys.exit(main())
