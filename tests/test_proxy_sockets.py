"""Tests of the proxy over real sockets, between plain clients and scripted servers: faults and edge cases."""

from __future__ import annotations

import contextlib
import random
from collections import Counter

import anyio
import pytest
import structlog
from anyio.abc import SocketAttribute
from scipy.stats import chisquare

from damsonpick.protocols.xds.names import EDS
from damsonpick.proxy.load_balancer import Policy
from damsonpick.proxy.program import Proxy
from damsonpick.proxy.received_resources import ReceivedEntry, ReceivedResource, ReceivedTable
from damsonpick.proxy.retry_policy import PublishedRetries
from damsonpick.proxy.settings import Limits, ProxySection, ProxySettings, RequestClass

pytestmark = pytest.mark.anyio
SECOND = 1_000_000_000
PROOF, ANY = "connect-failure,refused-stream", "connect-failure,refused-stream,5xx,reset"
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Server:
    """Server that responds to each request as its script says, and records the received heads and complete bodies."""

    def __init__(self, *script):
        self.script, self.heads, self.bodies, self.connections = list(script), [], [], 0

    async def start(self, group):
        self.listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.name = f"127.0.0.1:{self.listener.extra(SocketAttribute.local_port)}"
        group.start_soon(self.listener.serve, self._connection)
        return self

    async def _connection(self, stream):
        self.connections += 1
        data = b""
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
            while True:
                while b"\r\n\r\n" not in data:
                    data += await stream.receive()
                head, _, data = data.partition(b"\r\n\r\n")
                self.heads.append(head)
                action = self.script.pop(0) if self.script else OK
                if action == "before":
                    break
                length = next(
                    (int(x.split(b":")[1]) for x in head.lower().split(b"\r\n") if x.startswith(b"content-length")), 0
                )
                chunked = b"chunked" in head.lower()
                while len(data) < length or (chunked and not (b"0\r\n" in data and data.endswith(b"\r\n\r\n"))):
                    data += await stream.receive()
                body, data = (data, b"") if chunked else (data[:length], data[length:])
                self.bodies.append(body)
                if action == "hang":
                    await anyio.sleep_forever()
                if action == "idle-close":
                    await stream.send(OK)
                    break
                if callable(action):
                    await action(stream)
                    break
                await stream.send(action)
                if action != OK and b"content-length" not in action and b"chunked" not in action:
                    break
        await anyio.aclose_forcefully(stream)


class ProxyHarness:
    """A running proxy, with functions to set its tables and to send requests to it."""

    def __init__(self, proxy, group):
        self.proxy, self.group = proxy, group

    def set_table(self, weights, levels=None, fleet=(), name="slice/0"):
        received_state = self.proxy.router.received_state
        received_state.tables[name] = ReceivedTable(
            {n: ReceivedEntry(w, "a") for n, w in weights.items()}, levels or {}
        )
        received_state.tables["fleet"] = ReceivedTable({n: ReceivedEntry(1000, "a") for n in fleet}, {})
        received_state.clusters = {("page", "a"): "slice/0", ("write", "a"): "slice/0"}
        self.proxy.apply_resources(EDS, [ReceivedResource(name, "1", b""), ReceivedResource("fleet", "1", b"")], [])

    def publish_retries(self, conditions, limit=1):
        for request_class in ("page", "write"):
            self.proxy.router.received_state.retries[request_class, "slice/0"] = PublishedRetries(conditions, limit)

    async def connect(self):
        return await anyio.connect_tcp("127.0.0.1", self.proxy.port)

    async def request(
        self, request_class="page", body=b"", method=b"POST", extra_headers=b"", stream=None, timeout_s=5.0
    ):
        """Send a request and return status, headers and body. It uses a new connection unless `stream` is given."""
        opened_here = stream is None
        stream = stream or await self.connect()
        message = b"%s / HTTP/1.1\r\nHost: x\r\nx-damson-class: %s\r\n%scontent-length: %d\r\n\r\n%s" % (
            method,
            request_class.encode(),
            extra_headers,
            len(body),
            body,
        )
        try:
            with anyio.fail_after(timeout_s):
                await stream.send(message)
                return await read(stream, method == b"HEAD")
        finally:
            if opened_here:
                await anyio.aclose_forcefully(stream)


async def read(stream, bodiless=False):
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, rest = data.partition(b"\r\n\r\n")
    fields = {k.lower(): v.strip() for k, _, v in (x.partition(b":") for x in head.split(b"\r\n")[1:])}
    if b"content-length" in fields and not bodiless:
        while len(rest) < int(fields[b"content-length"]):
            rest += await stream.receive()
    elif b"transfer-encoding" in fields:
        while not rest.endswith(b"\r\n\r\n"):
            rest += await stream.receive()
    return int(head.split(b" ")[1]), fields, rest


@contextlib.asynccontextmanager
async def proxy_harness(clock_rate=1.0, **limits):
    settings = ProxySettings(
        clock_rate=clock_rate,
        proxy=ProxySection(name="p", zone="a"),
        limits=Limits(**{"connect_time": SECOND // 2, "stall_time": SECOND, "hold": SECOND // 5, **limits}),
        classes={
            "page": RequestClass(deadline=2 * SECOND, aim=SECOND // 2),
            "write": RequestClass(deadline=2 * SECOND, effect="non_idempotent"),
        },
    )
    proxy = Proxy(settings, structlog.wrap_logger(None, processors=[structlog.testing.LogCapture()]), seed=1)
    async with proxy.running() as group:
        yield ProxyHarness(proxy, group)


async def test_requests_are_forwarded_and_connections_reused():
    async with proxy_harness() as harness:
        server = await Server().start(harness.group)
        harness.set_table({server.name: 1000})
        stream = await harness.connect()
        for _ in range(5):
            assert (await harness.request(stream=stream, body=b"hello"))[0] == 200
        assert server.connections == 1 and server.bodies == [b"hello"] * 5
        assert all(b"x-request-timeout-ms" in h for h in server.heads), "the deadline is passed on"
        await stream.aclose()


async def test_choices_through_sockets_follow_the_weights():
    async with proxy_harness() as harness:
        servers = [await Server().start(harness.group) for _ in range(3)]
        weights = (1000, 2000, 5000)
        harness.set_table({s.name: x for s, x in zip(servers, weights, strict=True)})
        harness.proxy.router.load_balancer.policy = Policy.RANDOM
        stream = await harness.connect()
        for _ in range(3000):
            await harness.request(stream=stream)
        counts = [len(s.heads) for s in servers]
        # The seed is fixed, so this never fails by chance.
        assert chisquare(counts, [3000 * x / 8000 for x in weights]).pvalue > 0.001
        assert all(abs(c / 3000 - x / 8000) < 0.05 for c, x in zip(counts, weights, strict=True)), counts


CLOSES = {
    "before the status line": "before",
    "mid-head": b"HTTP/1.1 200 OK\r\ncontent-le",
    "nothing but 1xx": b"HTTP/1.1 102 Processing\r\n\r\n" * 40,
    "no HTTP": b"220 mail ready\r\n\r\n",
}


@pytest.mark.parametrize("how", CLOSES)
async def test_a_server_that_closes_abruptly_never_gets_a_write_doubled(how):
    async with proxy_harness() as harness:
        bad, good = await Server(*[CLOSES[how]] * 9).start(harness.group), await Server().start(harness.group)
        harness.set_table({bad.name: 1000})
        harness.publish_retries(ANY)
        harness.set_table({bad.name: 10**9, good.name: 1})
        status, _, _ = await harness.request("write", body=b"sum")
        assert status == 502 and len(bad.heads) + len(good.heads) == 1
        status, _, _ = await harness.request("page", body=b"read")
        assert status == 200 and len(good.heads) == 1, (
            "an idempotent request is retried if the published conditions allow it"
        )
        harness.publish_retries(PROOF)
        assert (await harness.request("page"))[0] == 502, (
            "the published conditions require a proof that the attempt was not executed"
        )


async def test_closed_mid_body_is_cut_off_not_completed():
    async with proxy_harness() as harness:
        bad = await Server(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf").start(harness.group)

        async def half(stream):
            await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")

        bad.script = [half]
        harness.set_table({bad.name: 1000})
        harness.publish_retries(ANY)
        with pytest.raises(anyio.EndOfStream):
            await harness.request()
        assert len(bad.heads) == 1


async def test_idle_close_race_a_write_takes_no_connection_that_the_server_closed():
    async with proxy_harness() as harness:
        server = await Server("idle-close", "idle-close", "idle-close").start(harness.group)
        harness.set_table({server.name: 1000})
        for _ in range(3):
            assert (await harness.request("write", body=b"x"))[0] == 200
            await anyio.sleep(0.02)  # the close arrives while the connection is idle
        assert len(server.heads) == 3


async def test_a_503_with_x_not_run_proves_no_execution_and_a_500_does_not():
    async with proxy_harness() as harness:
        rejection = b"HTTP/1.1 503 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
        bad, good = (
            await Server(rejection, b"HTTP/1.1 500 E\r\ncontent-length: 3\r\n\r\nbad").start(harness.group),
            await Server().start(harness.group),
        )
        harness.publish_retries(PROOF)
        harness.set_table({bad.name: 10**9, good.name: 1})
        assert (await harness.request("write"))[0] == 200 and len(good.heads) == 1
        status, _, body = await harness.request("write")
        assert (status, body) == (500, b"bad") and len(good.heads) == 1


async def test_a_write_to_a_closed_port_is_retried_only_if_retries_are_published():
    async with proxy_harness() as harness:
        good = await Server().start(harness.group)
        harness.set_table({"127.0.0.1:1": 10**9, good.name: 1})
        assert (await harness.request("write"))[0] == 502
        harness.publish_retries(PROOF)
        assert (await harness.request("write"))[0] == 200


async def test_a_server_that_never_answers_holds_up_only_its_own_and_ends_at_the_deadline():
    async with proxy_harness(per_server=2, waiting=2) as harness:
        hung, good = await Server(*["hang"] * 50).start(harness.group), await Server().start(harness.group)
        harness.set_table({hung.name: 1000}, name="slice/1")
        harness.set_table({good.name: 1000})
        harness.proxy.router.received_state.clusters["write", "a"] = "slice/1"
        statuses: list[int] = []

        async def stuck():
            statuses.append((await harness.request("write", body=b"x"))[0])

        async with anyio.create_task_group() as group:
            for _ in range(8):
                group.start_soon(stuck)
            await anyio.sleep(0.1)
            start = anyio.current_time()
            for _ in range(20):
                assert (await harness.request("page"))[0] == 200
            assert anyio.current_time() - start < 1.0
            assert len(hung.heads) <= 2, "a hung server uses no more than its own connections"
        assert sorted(Counter(statuses)) in ([502, 504], [504]) and len(statuses) == 8


async def test_a_table_that_changes_between_draw_and_connect_and_mid_request():
    async with proxy_harness() as harness:
        old, new = await Server().start(harness.group), await Server().start(harness.group)
        harness.set_table({old.name: 1000})
        original_dial = harness.proxy.requests.connector._dial

        async def slow_dial(server, zone):
            connection = await original_dial(server, zone)
            if server == old.name:
                harness.set_table({new.name: 1000})
            return connection

        harness.proxy.requests.connector._dial = slow_dial
        harness.publish_retries(PROOF)
        assert (await harness.request("write"))[0] == 200
        assert len(old.heads) == 0 and len(new.heads) == 1, (
            "nothing was sent to a server that is no longer in the table"
        )

        async def change_table_and_respond(stream):
            harness.set_table({old.name: 1000}, fleet=[new.name])
            await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate")

        new.script = [change_table_and_respond]
        harness.set_table({new.name: 1000})
        assert (await harness.request("write"))[2] == b"late", "a request in flight finishes on its server"
        harness.proxy.requests.connector._dial = original_dial
        assert (await harness.request("write"))[0] == 200 and len(old.heads) == 1


async def test_a_withdrawal_stops_new_requests_and_idle_connections():
    async with proxy_harness() as harness:
        one, two = await Server().start(harness.group), await Server().start(harness.group)
        harness.set_table({one.name: 1000, two.name: 1000})
        for _ in range(20):
            await harness.request()
        before = len(one.heads)
        assert before and len(two.heads)
        harness.set_table({one.name: 1000, two.name: 1000}, fleet=[one.name])
        for _ in range(40):
            assert (await harness.request())[0] == 200
        assert len(one.heads) == before
        assert (
            one.name not in harness.proxy.requests.connector.pool.counts()
            or harness.proxy.requests.connector.pool.counts()[one.name].idle == 0
        )


async def test_a_request_without_a_server_waits_the_hold_time_and_a_new_table_ends_the_wait():
    async with proxy_harness() as harness:
        harness.set_table({})
        start = anyio.current_time()
        assert (await harness.request())[0] == 503
        assert 0.15 < anyio.current_time() - start < 1.0
        server = await Server().start(harness.group)

        async def set_table_later():
            await anyio.sleep(0.05)
            harness.set_table({server.name: 1000})

        harness.group.start_soon(set_table_later)
        assert (await harness.request())[0] == 200
        harness.set_table({server.name: 0})
        assert (await harness.request())[0] == 503, "an entry of weight 0 is not used"


async def test_levels_refuse_at_once_and_the_same_client_again(monkeypatch):
    monkeypatch.setattr("damsonpick.proxy.admission.DECISION_PERIOD_NS", 10**17)  # one period covers the whole test
    async with proxy_harness() as harness:
        server = await Server().start(harness.group)
        harness.set_table({server.name: 1000}, levels={"page": 0.5})
        seen = {}
        for k in range(60):
            seen[k] = [(await harness.request(extra_headers=b"x-client-id: c%d\r\n" % k))[0] for _ in range(2)]
        assert all(a == b for a, b in seen.values()) and {200, 503} == {a for a, _ in seen.values()}
        rejected_client = next(k for k, (a, _) in seen.items() if a == 503)
        status, fields, _ = await harness.request(extra_headers=b"x-client-id: c%d\r\n" % rejected_client)
        assert int(fields[b"retry-after"]) >= 1 and status == 503
        assert (await harness.request("write"))[0] == 200


SMUGGLED = [
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0\r\n\r\nGET /evil HTTP/1.1\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 50\r\n\r\nhello",
    b"GET / HTTP/1.1\nHost: a\n\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n folded\r\n\r\n",
    b"\x16\x03\x01garbage\r\n\r\n",
]


@pytest.mark.parametrize("data", SMUGGLED)
async def test_smuggled_requests_are_answered_400_closed_and_never_forwarded(data):
    async with proxy_harness() as harness:
        server = await Server().start(harness.group)
        harness.set_table({server.name: 1000})
        stream = await harness.connect()
        await stream.send(data)
        status, fields, _ = await read(stream)
        assert status in (400, 501) and fields[b"connection"] == b"close"
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()
        assert not server.heads


async def test_bodies_chunked_large_expected_and_trailers():
    async with proxy_harness(replay=1000) as harness:
        server = await Server().start(harness.group)
        harness.set_table({server.name: 1000})
        stream = await harness.connect()
        await stream.send(
            b"POST / HTTP/1.1\r\nHost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-t: 1\r\n\r\n"
        )
        assert (await read(stream))[0] == 200
        assert server.bodies[0] == b"5\r\nhello\r\n0\r\nx-t: 1\r\n\r\n"
        big = random.Random(1).randbytes(3_000_000)
        assert (await harness.request(body=big, stream=stream))[0] == 200 and server.bodies[1] == big
        await stream.send(b"POST / HTTP/1.1\r\nHost: x\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n")
        assert (await stream.receive()).startswith(b"HTTP/1.1 100")
        await stream.send(b"ab")
        assert (await read(stream))[0] == 200 and server.bodies[2] == b"ab"
        status, fields, body = await harness.request(method=b"HEAD")
        assert status == 200 and fields[b"content-length"] == b"2" and body == b""
        await stream.aclose()


async def test_a_request_with_a_body_and_a_short_deadline_is_answered_and_passes_the_rest_of_it_on():
    # On a clock at a hundredth of the true rate, no machine is so busy that it decides the result.
    async with proxy_harness(clock_rate=0.01, replay=1000) as harness:
        server = await Server(OK, "hang").start(harness.group)
        harness.set_table({server.name: 1000})
        deadline = b"x-request-timeout-ms: 50\r\n"
        assert (await harness.request(body=b"x" * 100, extra_headers=deadline))[0] == 200
        (left_ms,) = [line.split(b": ")[1] for line in server.heads[0].split(b"\r\n") if line.startswith(deadline[:20])]
        assert 1 <= int(left_ms) <= 50
        assert (await harness.request(body=b"x", extra_headers=b"x-request-timeout-ms: 5\r\n"))[0] == 504


async def test_limits_of_head_and_body():
    async with proxy_harness(head=600, body=1000) as harness:
        server = await Server().start(harness.group)
        harness.set_table({server.name: 1000})
        assert (await harness.request(extra_headers=b"x: " + b"a" * 900 + b"\r\n"))[0] == 431
        assert (await harness.request(body=b"a" * 2000))[0] == 413
        stream = await harness.connect()
        await stream.send(
            b"POST / HTTP/1.1\r\nHost: x\r\ntransfer-encoding: chunked\r\n\r\n"
            + b"3e8\r\n"
            + b"a" * 1000
            + b"\r\n"
            + b"3e8\r\n"
            + b"a" * 1000
            + b"\r\n"
        )
        assert (await read(stream))[0] == 413


async def test_slow_readers_clients_that_leave_half_open_and_idle_ones_hold_up_nobody():
    async with proxy_harness(idle_time=2 * SECOND, connections=2500) as harness:
        big = b"HTTP/1.1 200 OK\r\ncontent-length: 20000000\r\n\r\n" + b"x" * 20_000_000

        async def send_large_response(stream):
            await stream.send(big)

        slow, good = await Server(*[send_large_response] * 3).start(harness.group), await Server().start(harness.group)
        harness.set_table({slow.name: 1000}, name="slice/1")
        harness.set_table({good.name: 1000})
        harness.proxy.router.received_state.clusters["write", "a"] = "slice/1"
        slow_reader = await harness.connect()
        await slow_reader.send(b"GET / HTTP/1.1\r\nHost: x\r\nx-damson-class: write\r\n\r\n")
        leaving = await harness.connect()
        await leaving.send(b"GET / HTTP/1.1\r\nHost: x\r\nx-damson-class: write\r\n\r\n")
        await anyio.aclose_forcefully(leaving)
        partial_sender = await harness.connect()
        await partial_sender.send(b"GET / HT")
        idle = [await harness.connect() for _ in range(2000)]
        start = anyio.current_time()
        for _ in range(30):
            assert (await harness.request("page"))[0] == 200
        assert anyio.current_time() - start < 2.0
        with anyio.fail_after(6):
            while harness.proxy.requests.clients > 1:
                await anyio.sleep(0.05)
        for stream in (*idle, partial_sender, slow_reader):
            await anyio.aclose_forcefully(stream)


async def test_what_follows_a_body_is_looked_at_as_strictly_as_what_comes_first():
    async with proxy_harness() as harness:
        server = await Server().start(harness.group)
        harness.set_table({server.name: 1000})
        folded = b"GET /2 HTTP/1.1\r\nHost: a\r\nx: 1\r\n y: 2\r\n\r\n"
        for first in (b"content-length: 2\r\n\r\nab", b"transfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"):
            stream = await harness.connect()
            await stream.send(b"POST /1 HTTP/1.1\r\nHost: a\r\n" + first + folded)
            assert (await read(stream))[0] == 400
            with pytest.raises(anyio.EndOfStream):
                await stream.receive()
        assert not any(b"/2" in head for head in server.heads)


async def test_a_client_that_goes_away_while_the_server_works_frees_the_server_at_once():
    async with proxy_harness() as harness:
        ended = anyio.Event()

        async def wait_for_close(stream):
            with contextlib.suppress(anyio.BrokenResourceError, anyio.EndOfStream):
                await stream.receive()  # no more data is sent, so this ends when the proxy closes the connection
            ended.set()

        server = await Server(wait_for_close).start(harness.group)
        harness.set_table({server.name: 1000})
        stream = await harness.connect()
        await stream.send(b"GET / HTTP/1.1\r\nHost: x\r\nx-damson-class: write\r\n\r\n")
        with anyio.fail_after(1.5):  # the deadline is 2 s
            while not server.heads:
                await anyio.sleep(0.01)
            await anyio.aclose_forcefully(stream)
            await ended.wait()
        with anyio.fail_after(1):
            while harness.proxy.requests.clients:
                await anyio.sleep(0.01)
        assert harness.proxy.router.load_balancer.active_requests == {} and len(server.heads) == 1
        assert not harness.proxy.router.load_balancer.consecutive_failures, (
            "a disconnected client does not count as a failure of the server"
        )


async def test_a_response_with_a_status_below_100_does_not_hang_the_proxy():
    """Fuzzing found that a status below 100 hung the proxy.

    One part of the code read the response as having no body, another read a body until the connection ended.
    """
    async with proxy_harness() as harness:
        server = await Server(b"HTTP/1.1 099 X\r\n\r\nabc").start(harness.group)
        harness.set_table({server.name: 1000})
        assert (await harness.request("write"))[0] == 502
        assert (await harness.request("write"))[0] == 200


async def test_a_refusal_arrives_though_the_client_is_still_sending():
    async with proxy_harness(body=1000) as harness:
        stream = await harness.connect()
        await stream.send(b"POST / HTTP/1.1\r\nHost: x\r\ncontent-length: 3000000\r\n\r\n" + b"x" * 500_000)
        await anyio.sleep(0.05)  # the response was sent; data that the client sends now must not destroy it
        await stream.send(b"x" * 500_000)
        assert (await read(stream))[0] == 413


async def test_a_fault_of_the_program_ends_one_connection_not_the_proxy(monkeypatch):
    async with proxy_harness() as harness:
        server = await Server().start(harness.group)
        harness.set_table({server.name: 1000})
        original_pick = harness.proxy.router.pick
        monkeypatch.setattr(harness.proxy.router, "pick", lambda *a: 1 / 0)
        with pytest.raises(anyio.EndOfStream):
            await harness.request()
        monkeypatch.setattr(harness.proxy.router, "pick", original_pick)
        assert (await harness.request())[0] == 200


async def test_pipelined_requests_are_answered_in_order_each_once():
    async with proxy_harness() as harness:
        answers = [b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n%d" % k for k in range(5)]
        server = await Server(*answers).start(harness.group)
        harness.set_table({server.name: 1000})
        stream = await harness.connect()
        await stream.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 5)
        got = b""
        with anyio.fail_after(5):
            while got.count(b"HTTP/1.1") < 5 or not got.endswith(b"4"):
                got += await stream.receive()
        positions = [got.index(b"\r\n\r\n%d" % k) for k in range(5)]
        assert positions == sorted(positions)
        await stream.aclose()


async def test_twenty_kinds_of_cut_never_double_a_write_and_every_request_ends_once():
    """A short run of the fault campaign. benchmarks/proxy_faults.py sends 10,000 requests."""
    from benchmarks.proxy_faults import campaign

    found = await campaign(requests=400, seed=3)
    assert found["requests"] == 400 and found["doubled_writes"] == 0 and found["unanswered"] == 0, found
    assert found["kinds"] >= 20 and found["answered"] > 100, found


async def test_a_retry_takes_one_turn_with_round_robin():
    """Guards against an extra pick before a retry, which only checked for a server and used up that server's turn."""
    async with proxy_harness() as harness:
        servers = [await Server().start(harness.group) for _ in range(3)]
        harness.publish_retries(PROOF)
        closed_address = "127.0.0.1:1"  # refuses connections, which proves that the attempt was not executed
        harness.set_table({closed_address: 1000} | {server.name: 1000 for server in servers})
        harness.proxy.router.load_balancer.policy = Policy.ROUND_ROBIN
        harness.proxy.router.load_balancer.ejection_failures = 0
        for _ in range(2):
            assert (await harness.request())[0] == 200
        assert [len(server.heads) for server in servers] == [1, 1, 0]
