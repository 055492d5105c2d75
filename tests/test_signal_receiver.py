"""Tests of programs that receive signals while they end."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time

import pytest

from tests.platform_world import config, free_port
from tests.test_proxy_program import ProxyProcess

STOPS = 12
FLOOD_PAUSE_S = 0.0002


def end_with_many_signals(process, *numbers):
    """Send signals until the process has ended; return its exit code."""
    until = time.monotonic() + 15.0
    while process.poll() is None and time.monotonic() < until:
        for number in numbers:
            process.send_signal(number)
        time.sleep(FLOOD_PAUSE_S)
    process.kill()
    return process.wait()


def test_the_platform_pilot_ends_in_order_however_many_signals_arrive(tmp_path, start_pilot):
    """Regression (known red): a second SIGTERM or SIGHUP while the pilot ended had its default effect."""
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config(free_port(), free_port(), free_port())))
    for _ in range(STOPS):
        assert end_with_many_signals(start_pilot(file), signal.SIGTERM, signal.SIGHUP) == 0


def test_the_daemon_and_the_proxy_end_in_order_however_many_signals_arrive(tmp_path, pilot):
    """Regression (known red, related): the daemon and the proxy restored the default handlers while they ended."""
    for _ in range(STOPS // 4):
        proxy = ProxyProcess(tmp_path, pilot).start()
        assert end_with_many_signals(proxy.process, signal.SIGTERM) == 0
        assert end_with_many_signals(pilot.process, signal.SIGTERM) == 0
        pilot.start()


@pytest.fixture
def start_pilot(tmp_path):
    """A function that starts the platform's pilot with a configuration file, and returns its process."""
    processes = []

    def start(file):
        log_file = tmp_path / "log"
        with log_file.open("wb") as log:
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "damsonpick.edge"],
                    stdout=log,
                    stderr=log,
                    env=os.environ | {"EDGE_CONFIG": str(file)},
                )
            )
        until = time.monotonic() + 10.0
        while b"pilot_started" not in log_file.read_bytes() and time.monotonic() < until:
            time.sleep(0.01)
        return processes[-1]

    yield start
    for process in processes:
        process.kill()
        process.wait()
