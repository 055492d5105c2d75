"""Fuzz the proxy's HTTP reader: it must never crash or accept a request that the next parser reads differently.

    python -m fuzz.http_messages -max_total_time=600 fuzz/corpus/http

Requires `pip install -e '.[fuzz]'` (atheris, on libFuzzer). The target encodes every accepted request as the proxy
forwards it to a server, and parses these bytes with another parser (h11): number of requests, method, target and body
must agree. The result must also not depend on where the bytes are cut.
"""

from __future__ import annotations

import sys

import h11

from damsonpick.proxy import messages as http

MAX_CHECKED_REQUESTS = 8  # requests of one input that h11 parses


def read(pieces: list[bytes], requests: bool) -> tuple[list[tuple[http.Head, bytes, list]], int]:
    """Read messages with the proxy's reader.

    Args:
        pieces: The bytes, cut into pieces that are fed one by one.
        requests: Whether the bytes are requests; otherwise they are responses.

    Returns:
        The complete messages in order, and the status with which the reader rejected the rest, or 0 if it rejected
        nothing.

    Raises:
        Exception: A finding. The function catches `HttpProtocolError`; every other exception passes through.
    """
    reader = http.Reader(requests, 4096)
    parsed: list[tuple[http.Head, bytes, list]] = []
    head, body = None, b""
    for piece in pieces:
        try:
            events = reader.feed(piece)
        except http.HttpProtocolError as error:
            events, rejection_status = reader.take_events(), error.status
        else:
            rejection_status = 0
        for event in events:
            if isinstance(event, http.Head):
                head, body = event, b""
            elif isinstance(event, http.Body):
                body += event.data
            elif head is not None:
                parsed.append((head, body, event.trailers))
                head = None
        if rejection_status:
            return parsed, rejection_status
    return parsed, 0


def encode_forwarded_request(head: http.Head, body: bytes, trailers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the bytes with which the proxy forwards a request."""
    start = http.upstream_head_bytes(head)
    if head.length is not None:
        return start + body
    return start + (http.chunk(body) if body else b"") + http.last_chunk(trailers)


def parse_with_h11(data: bytes) -> list[tuple[bytes, bytes, bytes]]:
    """Return method, target and body of each request that h11 reads from the bytes of one connection."""
    parsed, server = [], h11.Connection(h11.SERVER)
    server.receive_data(data)
    head, body = None, b""
    while True:
        event = server.next_event()
        if isinstance(event, h11.Request):
            head, body = event, b""
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            parsed.append((bytes(head.method), bytes(head.target), body))
            server.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
            server.send(h11.EndOfMessage())
            if server.our_state is not h11.DONE or server.their_state is not h11.DONE:
                return parsed
            server.start_next_cycle()
        else:
            return parsed


def check(data: bytes) -> None:
    """Check one input.

    Raises:
        AssertionError: The reader, the proxy's encoder and h11 disagree, which is a finding.
    """
    whole, rejection_status = read([data], True)
    bytewise, bytewise_rejection_status = read([data[k : k + 1] for k in range(len(data))], True)
    assert _comparable(whole) == _comparable(bytewise) and bool(rejection_status) == bool(bytewise_rejection_status), (
        "the result depends on where the bytes are cut"
    )
    for head, body, trailers in whole[:MAX_CHECKED_REQUESTS]:
        reparsed = parse_with_h11(encode_forwarded_request(head, body, trailers))
        method, target = head.start  # type: ignore[misc]
        assert reparsed == [(method, target, body)], f"h11 reads the forwarded request differently: {reparsed}"
    read([data], False)


def _comparable(parsed: list) -> list:
    return [(head.start, head.headers, body, trailers) for head, body, trailers in parsed]


def main() -> None:
    import atheris

    with atheris.instrument_imports(include=["damsonpick.proxy.messages"]):
        import importlib

        importlib.reload(http)
    atheris.Setup(sys.argv, check)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
