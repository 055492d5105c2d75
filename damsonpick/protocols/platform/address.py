"""Defines the type for the TCP addresses of the pilot, the registry and discovery."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """A TCP address."""

    host: str
    port: int
