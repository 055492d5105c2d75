"""`python -m damsonpick.edge`: runs the platform's pilot under the name that the deploy file and the README use."""

import sys

from damsonpick.protocols.platform.__main__ import main

if __name__ == "__main__":
    sys.exit(main())
