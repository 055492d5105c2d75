"""Network addresses."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """A TCP address."""

    host: str
    port: int
