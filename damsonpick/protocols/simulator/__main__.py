"""`python -m damsonpick.simhost`: reads batches from standard input and writes replies to standard output."""

from __future__ import annotations

import sys

from damsonpick.protocols.simulator import codec
from damsonpick.protocols.simulator.host import Host


def main() -> int:
    """Answer batches until the input ends. Invalid input ends the program with a message and exit code 2."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    host = Host()
    try:
        for batch in codec.Reader(sys.stdin).batches():
            lines = host.reply(batch)
            sys.stdout.write("\n".join([*lines, "YIELD\n"]))
            sys.stdout.flush()
    except (codec.WireError, UnicodeDecodeError) as error:
        print(f"damsonpick.simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
