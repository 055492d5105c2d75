"""Fuzz the proxy's HTTP reader: never a crash, never a request that the next reader sees in another way.

    python -m fuzz.http_messages -max_total_time=600 fuzz/corpus/http

Needs `pip install -e '.[fuzz]'` (atheris, on libFuzzer). Every request that is taken is written out as the proxy writes
it to a server and read by another parser (h11): number, method, target and body must agree. Where the bytes are cut
must not matter either.
"""

from __future__ import annotations

import sys

import h11

from damsonpick.proxy import messages as http

MOST = 8  # requests of one input


def read(pieces: list[bytes], requests: bool) -> tuple[list[tuple[http.Head, bytes, list]], int]:
    """Whole messages, in order, and the status with which the rest was refused (0: it was not).

    Raises:
        anything but HttpProtocolError is a finding.
    """
    reader = http.Reader(requests, 4096)
    found: list[tuple[http.Head, bytes, list]] = []
    head, body = None, b""
    for piece in pieces:
        try:
            events = reader.feed(piece)
        except http.HttpProtocolError as error:
            events, refused = reader.take_events(), error.status
        else:
            refused = 0
        for event in events:
            if isinstance(event, http.Head):
                head, body = event, b""
            elif isinstance(event, http.Body):
                body += event.data
            elif head is not None:
                found.append((head, body, event.trailers))
                head = None
        if refused:
            return found, refused
    return found, 0


def forwarded(head: http.Head, body: bytes, trailers: list[tuple[bytes, bytes]]) -> bytes:
    """A request as the proxy sends it on."""
    start = http.upstream_head_bytes(head)
    if head.length is not None:
        return start + body
    return start + (http.chunk(body) if body else b"") + http.last_chunk(trailers)


def seen(data: bytes) -> list[tuple[bytes, bytes, bytes]]:
    """What h11 reads from bytes on one connection."""
    found, server = [], h11.Connection(h11.SERVER)
    server.receive_data(data)
    head, body = None, b""
    while True:
        event = server.next_event()
        if isinstance(event, h11.Request):
            head, body = event, b""
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            found.append((bytes(head.method), bytes(head.target), body))
            server.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
            server.send(h11.EndOfMessage())
            if server.our_state is not h11.DONE or server.their_state is not h11.DONE:
                return found
            server.start_next_cycle()
        else:
            return found


def check(data: bytes) -> None:
    """One input.

    Raises:
        AssertionError: a finding.
    """
    whole, refused = read([data], True)
    bytewise, refused_too = read([data[k : k + 1] for k in range(len(data))], True)
    assert _plain(whole) == _plain(bytewise) and bool(refused) == bool(refused_too), "cuts matter"
    for head, body, trailers in whole[:MOST]:
        again = seen(forwarded(head, body, trailers))
        method, target = head.start  # type: ignore[misc]
        assert again == [(method, target, body)], f"read in another way: {again}"
    read([data], False)


def _plain(found: list) -> list:
    return [(head.start, head.headers, body, trailers) for head, body, trailers in found]


def main() -> None:
    import atheris

    with atheris.instrument_imports(include=["damsonpick.proxy.messages"]):
        import importlib

        importlib.reload(http)
    atheris.Setup(sys.argv, check)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
