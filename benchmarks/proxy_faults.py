"""Run a fault campaign against the proxy: servers that cut, hang, lie and close in more than twenty ways.

    python -m benchmarks.proxy_faults --requests 10000 --out benchmarks/proxy_faults.json

Every request carries an id, and the servers count by id which requests they ran. It is a failure if a write ran twice,
or if a request was not answered or rejected exactly once. The campaign is seeded and stays on loopback.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import random
import sys
from collections import Counter
from pathlib import Path

import anyio
import structlog
from anyio.abc import SocketAttribute, SocketStream

from damsonpick.protocols.xds.names import EDS
from damsonpick.proxy.program import Proxy
from damsonpick.proxy.received_resources import ReceivedEntry, ReceivedResource, ReceivedTable
from damsonpick.proxy.retry_policy import PublishedRetries
from damsonpick.proxy.settings import Limits, ProxySection, ProxySettings, RequestClass

SECOND = 1_000_000_000
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
# For each kind: whether the server runs the request, the bytes that it sends, and what it does with the connection
# afterwards: keep, close or hang.
SERVER_BEHAVIOURS: dict[str, tuple[bool, bytes, str]] = {
    "good": (True, OK, "keep"),
    "good and close": (True, OK, "close"),
    "good, close stated": (True, b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok", "close"),
    "chunked": (True, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "keep"),
    "until close": (True, b"HTTP/1.1 200 OK\r\n\r\nok", "close"),
    "closed before running": (False, b"", "close"),
    "closed after running": (True, b"", "close"),
    "cut in the status line": (True, b"HTTP/1.1 2", "close"),
    "cut in the head": (True, b"HTTP/1.1 200 OK\r\ncontent-l", "close"),
    "cut before the body": (True, b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n", "close"),
    "cut in the body": (True, b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no", "close"),
    "cut in a chunk": (True, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nok", "close"),
    "hung before running": (False, b"", "hang"),
    "hung after running": (True, b"", "hang"),
    "hung in the head": (True, b"HTTP/1.1 200 OK\r\n", "hang"),
    "hung in the body": (True, b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\no", "hang"),
    "error": (True, b"HTTP/1.1 500 E\r\ncontent-length: 0\r\n\r\n", "keep"),
    "orderly no": (False, b"HTTP/1.1 503 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n", "keep"),
    "unclear no": (True, b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", "keep"),
    "1xx flood": (True, b"HTTP/1.1 102 P\r\n\r\n" * 30, "close"),
    "one 1xx": (True, b"HTTP/1.1 103 Hints\r\n\r\n" + OK, "keep"),
    "two answers": (True, OK + OK, "keep"),
    "no HTTP": (True, b"hello there\r\n\r\n", "close"),
    "two lengths": (True, b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok", "close"),
}


class Fleet:
    """Fake servers that choose their behaviour at random. `ran` counts the executed requests by id."""

    def __init__(self, rng: random.Random, good_share: float) -> None:
        self.rng, self.good_share = rng, good_share
        self.ran: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        self.addresses: list[str] = []

    async def start(self, group: anyio.abc.TaskGroup, count: int) -> None:
        for _ in range(count):
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            self.addresses.append(f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}")
            group.start_soon(listener.serve, self._serve_connection)

    async def _serve_connection(self, stream: SocketStream) -> None:
        data = b""
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
            while True:
                while b"\r\n\r\n" not in data:
                    data += await stream.receive()
                head, _, data = data.partition(b"\r\n\r\n")
                fields = dict(x.lower().split(b": ", 1) for x in head.split(b"\r\n")[1:])
                length = int(fields.get(b"content-length", 0))
                while len(data) < length:
                    data += await stream.receive()
                data = data[length:]
                kind = "good" if self.rng.random() < self.good_share else self.rng.choice(list(SERVER_BEHAVIOURS))
                self.kinds[kind] += 1
                runs, answer, then = SERVER_BEHAVIOURS[kind]
                if runs:
                    self.ran[fields[b"x-request-id"].decode()] += 1
                if answer:
                    await stream.send(answer)
                if then == "hang":
                    await anyio.sleep_forever()
                if then == "close":
                    break
        await anyio.aclose_forcefully(stream)


async def campaign(requests: int, seed: int, jobs: int = 24) -> dict[str, object]:
    """Send `requests` requests through the proxy from `jobs` clients at once, and return the counts."""
    rng = random.Random(seed)
    fleet = Fleet(rng, good_share=0.5)
    settings = ProxySettings(
        proxy=ProxySection(name="p", zone="a"),
        limits=Limits(connect_time=SECOND // 5, stall_time=SECOND // 4, hold=SECOND // 10, churn=5000.0),
        classes={
            "page": RequestClass(deadline=SECOND // 2, aim=SECOND // 5),
            "write": RequestClass(deadline=SECOND // 2, effect="non_idempotent"),
        },
    )
    proxy = Proxy(settings, structlog.wrap_logger(None, processors=[structlog.testing.LogCapture()]), seed=seed)
    ends: Counter[str] = Counter()
    writes: set[str] = set()
    async with proxy.running() as group:
        await fleet.start(group, 6)
        received_state = proxy.router.received_state
        entries = {n: ReceivedEntry(1000, "a") for n in [*fleet.addresses, "127.0.0.1:1"]}
        received_state.tables["slice/0"] = ReceivedTable(entries, {})
        received_state.clusters = {("page", "a"): "slice/0", ("write", "a"): "slice/0"}
        received_state.retries = {
            ("page", "slice/0"): PublishedRetries("connect-failure,refused-stream,5xx,reset", 2),
            ("write", "slice/0"): PublishedRetries("connect-failure,refused-stream,5xx,reset", 2),
        }
        proxy.apply_resources(EDS, [ReceivedResource("slice/0", "1", b"")], [])
        numbers = iter(range(requests))

        async def client() -> None:
            for k in numbers:
                kind = "write" if k % 2 else "page"
                request_id = f"r{k}"
                if kind == "write":
                    writes.add(request_id)
                ends[await send_request(proxy.port, request_id, kind)] += 1

        async with anyio.create_task_group() as clients:
            for _ in range(jobs):
                clients.start_soon(client)
    repeated_writes = [request_id for request_id in writes if fleet.ran[request_id] > 1]
    return {
        "requests": sum(ends.values()),
        "answered": ends["answered"],
        "refused": ends["refused"],
        "cut": ends["cut"],
        "unanswered": ends["unanswered"],
        "doubled_writes": len(repeated_writes),
        "kinds": len(fleet.kinds),
        "runs": sum(fleet.ran.values()),
        "by_kind": dict(fleet.kinds),
    }


async def send_request(port: int, request_id: str, kind: str) -> str:
    """Send one request and return its outcome: answered, refused, cut or unanswered.

    Refused means that the proxy or a server responded with an error.
    """
    data = b""
    try:
        with anyio.fail_after(10):
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(
                    b"POST / HTTP/1.1\r\nHost: x\r\nx-damson-class: %s\r\nx-request-id: %s\r\n"
                    b"connection: close\r\ncontent-length: 1\r\n\r\nx" % (kind.encode(), request_id.encode())
                )
                while True:
                    data += await stream.receive()
    except anyio.EndOfStream:
        pass
    except (TimeoutError, anyio.BrokenResourceError):
        return "unanswered"
    if not data:
        return "unanswered"
    assert data.count(b"HTTP/1.1 ") == 1, data
    if data.startswith(b"HTTP/1.1 200"):
        return "answered" if b"ok" in data else "cut"
    return "refused"


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    rows = []
    for seed in range(1, args.seeds + 1):
        rows.append({"seed": seed, **anyio.run(campaign, args.requests, seed)})
        print(json.dumps(rows[-1]), flush=True)
    if args.out:
        args.out.write_text(
            json.dumps(
                {
                    "command": "python -m benchmarks.proxy_faults --requests 10000 --out benchmarks/proxy_faults.json",
                    "rows": rows,
                },
                indent=1,
            )
            + "\n"
        )
    return 1 if any(r["doubled_writes"] or r["unanswered"] for r in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
