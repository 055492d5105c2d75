"""The configuration a platform hands a pilot: JSON to checked values. Sans I/O but for reading the file."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from damsonpick import interface as api
from damsonpick.protocols.platform import discovery
from damsonpick.protocols.shared import instance_settings

VARIABLE = "EDGE_CONFIG"
MOST_BYTES = 16 << 20


class ConfigError(Exception):
    """The configuration cannot be used; the text names file, field, reason and remedy."""


class Address(NamedTuple):
    host: str
    port: int


class Config(NamedTuple):
    """All that a pilot is told at its start."""

    name: str
    listen: Address
    discovery: Address
    registry: Address
    seed: int
    sockets: int  # descriptors that a process may hold
    known: discovery.Listing  # the list as this pilot last had it
    settings: api.Settings
    zones: tuple[str, ...]


def read(env: Mapping[str, str] = os.environ) -> Config:
    """The configuration that the environment names.

    Raises:
        ConfigError: it cannot be used.
    """
    path = env.get(VARIABLE, "")
    if not path:
        raise ConfigError(f"{VARIABLE} is not set: name the configuration file in it")
    try:
        with Path(path).open("rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}: {VARIABLE} must name a file that can be read") from None
    try:
        return parse(data)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def parse(data: bytes) -> Config:
    """A configuration from its JSON text.

    Raises:
        ConfigError: the text names the field and what it should hold.
    """
    if len(data) > MOST_BYTES:
        raise ConfigError(f"over {MOST_BYTES} bytes: not a configuration")
    try:
        tree = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigError(f"not JSON: {error}: write one object") from None
    if not isinstance(tree, dict):
        raise ConfigError("not a JSON object: write one object")
    values = _branch(tree, "settings")
    flat = dict(instance_settings.flatten(values))
    try:
        settings, zones = instance_settings.read_settings(flat), instance_settings.read_zones(flat)
    except instance_settings.SettingError as error:
        raise ConfigError(f"settings: {error}") from None
    return Config(
        name=_text(tree, "name"),
        listen=_address(tree, "listen"),
        discovery=_address(tree, "discovery"),
        registry=_address(_branch(tree, "registry"), "address", "registry."),
        seed=_seed(tree),
        sockets=_sockets(tree),
        known=_known(tree),
        settings=settings,
        zones=zones,
    )


def _branch(tree: dict[str, Any], key: str) -> dict[str, Any]:
    if not isinstance(tree.get(key), dict):
        raise ConfigError(f"{key}: missing, or not an object")
    return tree[key]


def _text(tree: dict[str, Any], key: str, prefix: str = "") -> str:
    if not isinstance(tree.get(key), str) or not tree[key]:
        raise ConfigError(f"{prefix}{key}: missing, or not text")
    return tree[key]


def _address(tree: dict[str, Any], key: str, prefix: str = "") -> Address:
    text = _text(tree, key, prefix)
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{prefix}{key}: {text[:60]!r} is not ADDRESS:PORT")
    return Address(host.strip("[]"), int(port))


def _seed(tree: dict[str, Any]) -> int:
    seed = tree.get("seed")
    if isinstance(seed, int) and not isinstance(seed, bool):
        return seed
    try:
        return int(_text(tree, "seed"), 16)
    except ValueError:
        raise ConfigError(f"seed: {tree['seed'][:60]!r} is not a hexadecimal number") from None


def _sockets(tree: dict[str, Any]) -> int:
    limits = tree.get("limits", {})
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 1:
        raise ConfigError("limits.sockets: not a whole number of at least 1")
    return sockets


def _known(tree: dict[str, Any]) -> discovery.Listing:
    """The kept list; a pilot that never had one is told none. Entries that cannot be read cost only themselves."""
    if tree.get("known") is None:
        return discovery.EMPTY
    try:
        return discovery.read_listing(tree["known"])
    except discovery.ListingError as error:
        raise ConfigError(f"known: {error}") from None
