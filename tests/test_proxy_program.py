"""Tests of the proxy as a process, with the real command line and a real pilot: table cache, settings and drain."""

from __future__ import annotations

import http.client
import shutil
import signal
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from tests.pilots import Pilot, until


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        if self.path == "/slow":
            time.sleep(1.0)
        body = str(self.server.server_address[1]).encode()
        self.send_response(200)
        self.send_header("content-length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        pass


@pytest.fixture
def servers():
    http_servers = [ThreadingHTTPServer(("127.0.0.1", 0), Handler) for _ in range(2)]
    for server in http_servers:
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
    yield [s.server_address[1] for s in http_servers]
    for server in http_servers:
        server.shutdown()
        server.server_close()


class ProxyProcess:
    def __init__(self, folder, pilot):
        self.folder, self.file, self.port_file = folder, folder / "proxy.ini", folder / "proxy.port"
        self.file.write_text(
            "[proxy]\nname = px\nzone = a\nstate = kept\nslices = 6\n"
            f"pilots = 127.0.0.1:{pilot.port}\n"
            "[class page]\ndeadline = 4 s\n[class tally]\ndeadline = 4 s\neffect = non_idempotent\n"
        )

    def start(self):
        self.port_file.unlink(missing_ok=True)
        with (self.folder / "proxy.log").open("a") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "damsonpick",
                    "proxy",
                    str(self.file),
                    "--port-file",
                    str(self.port_file),
                    "--log-format",
                    "json",
                ],
                stderr=log,
                stdout=log,
            )
        until(lambda: self.port_file.exists() or self.process.poll() is not None)
        self.port = int(self.port_file.read_text())
        return self

    def get(self, path="/", key="k"):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=10)
        try:
            connection.request("GET", path, headers={"x-key": key})
            response = connection.getresponse()
            return response.status, response.read().decode()
        finally:
            connection.close()


def write_endpoint_list(pilot, **states):
    pilot.put_list("".join(f"[server 127.0.0.1:{port}]\nzone = a\nstate = {state}\n" for port, state in states.items()))


def test_a_proxy_serves_by_the_pilots_tables_through_its_absence_and_its_own_restart(tmp_path, servers):
    one, two = map(str, servers)
    pilot = Pilot(tmp_path)
    write_endpoint_list(pilot, **{one: "in_service", two: "in_service"})
    pilot.start()
    proxy = ProxyProcess(tmp_path, pilot).start()
    try:
        until(lambda: proxy.get()[0] == 200)
        assert {proxy.get(key=str(k))[1] for k in range(40)} == {one, two}
        write_endpoint_list(pilot, **{one: "terminating", two: "in_service"})
        until(lambda: {proxy.get(key=str(k))[1] for k in range(20)} == {two})
        assert pilot.ask("status")["gateways"][0]["gateway"] == "px"
        until(lambda: (tmp_path / "kept" / "px.tables").exists())
        time.sleep(1.5)  # the proxy writes its table cache one second after a change
        pilot.stop(signal.SIGKILL)
        assert {proxy.get(key=str(k))[1] for k in range(20)} == {two}, "the tables stay in use without a pilot"
        proxy.process.send_signal(signal.SIGKILL)
        proxy.process.wait(10)
        proxy.start()
        assert {proxy.get(key=str(k))[1] for k in range(20)} == {two}, (
            "restarted without a pilot, the proxy uses its cached tables"
        )
    finally:
        pilot.stop()
        proxy.process.kill()
        proxy.process.wait(10)


def test_a_pilot_back_with_older_tables_is_followed_and_withdrawals_hold_meanwhile(tmp_path, servers):
    """The state folder of the pilot is replaced by an older copy while the pilot is stopped.

    The proxy keeps the withdrawals until the pilot restarts. Then it follows the pilot, which reads the new list.
    """
    one, two = map(str, servers)
    pilot = Pilot(tmp_path)
    write_endpoint_list(pilot, **{one: "in_service", two: "in_service"})
    pilot.start()
    proxy = ProxyProcess(tmp_path, pilot)
    proxy.file.write_text(proxy.file.read_text().replace(f"pilots = 127.0.0.1:{pilot.port}\n", "port_file = port\n"))
    proxy.start()
    try:
        until(lambda: proxy.get()[0] == 200)
        until(lambda: {proxy.get(key=str(k))[1] for k in range(40)} == {one, two})
        pilot.stop()
        shutil.copytree(tmp_path / "state", tmp_path / "older")
        pilot.start()
        write_endpoint_list(pilot, **{one: "terminating", two: "in_service"})
        until(lambda: {proxy.get(key=str(k))[1] for k in range(20)} == {two})
        pilot.stop(signal.SIGKILL)
        shutil.rmtree(tmp_path / "state")
        shutil.copytree(tmp_path / "older", tmp_path / "state")
        assert {proxy.get(key=str(k))[1] for k in range(20)} == {two}, (
            "a withdrawn server stays withdrawn while the pilot is stopped"
        )
        write_endpoint_list(pilot, **{one: "in_service", two: "terminating"})
        pilot.start()
        until(lambda: {proxy.get(key=str(k))[1] for k in range(20)} == {one}, patience=20)
    finally:
        pilot.stop()
        proxy.process.kill()
        proxy.process.wait(10)


def test_sigterm_lets_requests_under_way_end_and_takes_no_new_ones(tmp_path, servers):
    pilot = Pilot(tmp_path)
    write_endpoint_list(pilot, **{str(p): "in_service" for p in servers})
    pilot.start()
    proxy = ProxyProcess(tmp_path, pilot).start()
    try:
        until(lambda: proxy.get()[0] == 200)
        responses = []
        thread = threading.Thread(target=lambda: responses.append(proxy.get("/slow")))
        thread.start()
        time.sleep(0.3)  # the request takes a second, so it is in flight
        proxy.process.send_signal(signal.SIGTERM)
        thread.join(10)
        assert responses[0][0] == 200
        assert proxy.process.wait(10) == 0
        with pytest.raises(OSError):
            proxy.get()
    finally:
        pilot.stop()
        proxy.process.kill()


def test_settings_of_a_proxy_are_checked_whole(tmp_path):
    path = tmp_path / "proxy.ini"
    path.write_text("[proxy]\nname = x\nzone = a\nlisten = 10.1.1.1:5\n[limits]\nhead = 5\nbogus = 1\n[odd]\n")
    done = subprocess.run([sys.executable, "-m", "damsonpick", "proxy", str(path)], capture_output=True, text=True)
    assert done.returncode == 2
    for part in ("[proxy] listen", "[limits] head", "[limits] bogus", "[odd]", "[class NAME]"):
        assert part in done.stderr, done.stderr
