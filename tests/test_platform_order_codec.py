"""Tests of orders and responses in the wire format of the registry."""

from __future__ import annotations

import pytest

from damsonpick import interface as api
from damsonpick.protocols.platform.order_codec import OrderCodec, Rejection, decode_response, encode_request


@pytest.mark.parametrize(
    "body, order_count, response",
    [
        (b'{"taken":2}', 3, (2, None)),
        (b'{"taken":4}', 3, None),
        (b'{"taken":-1}', 3, None),
        (b'{"taken":true}', 3, None),
        (b'{"taken":"2"}', 3, None),
        (b"{}", 3, None),
        (b"", 3, None),
        (b'{"error":"BUSY"}', 3, (None, Rejection.BUSY)),
        (b'{"error":{"code":"SYNTAX"}}', 3, (None, Rejection.SYNTAX)),
        (b"[" * 9000, 3, None),
    ],
)
def test_responses(body, order_count, response):
    assert decode_response(body, order_count) == response


@pytest.mark.parametrize(
    "order, encoded",
    [
        (api.SetEntry(3, "p", 1.0), b'{"op":"SET","table":3,"server":"p","weight":1}'),
        (api.SetEntry(3, "p", 0.123456789), b'{"op":"SET","table":3,"server":"p","weight":0.123457}'),
        (api.ClearTable(3), b'{"op":"DEL","table":3}'),
        (api.SetWithdrawn("p", True), b'{"op":"OUT","server":"p"}'),
        (api.SetWithdrawn("p", False), b'{"op":"IN","server":"p"}'),
        (api.RequestSync(65_530, True), b'{"op":"SYNC","nonce_out":4,"on":1}'),
        (
            api.SetAdmission(None, (), 0.5, 2),
            b'{"op":"LIMIT","table":"*","routes":"*","admit":0.5,"policy":2}',
        ),
        (
            api.SetAdmission(7, (1,), 1.0, 0),
            b'{"op":"LIMIT","table":7,"routes":["y"],"admit":1,"policy":0}',
        ),
    ],
)
def test_orders_byte_for_byte(order, encoded):
    codec = OrderCodec(("x", "y"), token_offset=10)
    assert codec.encode(order) == encoded
    assert encode_request([encoded, encoded]) == b'{"ops":[' + encoded + b"," + encoded + b"]}"
