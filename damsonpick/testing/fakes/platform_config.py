"""Settings of a small site, and a search for a free port, for a pilot that uses the platform's protocol.

Tests and soaks run such a pilot against fakes.
"""

from __future__ import annotations

import random
import socket
from typing import Any

ZONES = ("a", "b")
PORT_RANGE = 20_000, 32_000  # first port, and the port after the last one

SETTINGS: dict[str, Any] = {
    "me": 0,
    "peersTotal": 2,
    "zone": "a",
    "zones": list(ZONES),
    "discovery": "subscribe",
    "domain": {
        "soleOwner": False,
        "admission": "ratio",
        "egressPerS": 4000.0,
        "mostWaiting": 6000.0,
        "overhead": 8.0,
        "reportEveryNs": 200_000_000,
        "transitMaxNs": 400_000_000,
        "pick": "pair",
    },
    "rules": {
        "stopSendingWithinNs": 2_000_000_000,
        "coldShare": 0.2,
        "coldNs": 15_000_000_000,
        "askEveryNs": 10_000_000_000,
    },
    "report": {"fields": ["busy_reqs"]},
    "grades": [
        {"name": "look", "aimNs": 10**9, "deadlineNs": 3 * 10**9, "effect": "read_like", "worth": 1.0},
        {"name": "pay", "aimNs": 10**9, "deadlineNs": 3 * 10**9, "effect": "non_idempotent", "worth": 3.0},
    ],
}


def free_port() -> int:
    """Return a port that is free now. Pilots need one because their configuration must contain a fixed port.

    The port is below the range from which the operating system chooses the ports of outgoing connections (32768 and
    above). Otherwise one of the many outgoing connections of a test run could take the port before the pilot opens it.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
