"""Decodes the platform's configuration file from JSON to validated values. Reading the file is the only I/O."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from damsonpick import interface as api
from damsonpick.protocols.platform import discovery
from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.errors import ConfigError, EndpointListError
from damsonpick.protocols.platform.json_values import DECODE_ERRORS
from damsonpick.protocols.shared import instance_settings

CONFIG_VARIABLE = "EDGE_CONFIG"
MAX_CONFIG_BYTES = 16 << 20
DEFAULT_MAX_DESCRIPTORS = 1024
MAX_PORT = 65_535
MAX_LOGGED_VALUE = 60  # characters

JsonObject = dict[str, Any]


class Config(NamedTuple):
    """The configuration of one pilot.

    Attributes:
        name: Name of this pilot.
        listen: Address on which the pilot accepts collectors.
        discovery: Address of discovery.
        registry: Address of the registry.
        seed: Seed of the pilot's random number generator.
        max_descriptors: Largest number of file descriptors that the process may have open.
        known: The last endpoint list that this pilot received before it started; empty if it has never received one.
        settings: Settings of the planner.
        zones: Names of all zones.
    """

    name: str
    listen: Address
    discovery: Address
    registry: Address
    seed: int
    max_descriptors: int
    known: discovery.EndpointListUpdate
    settings: api.Settings
    zones: tuple[str, ...]


def read_config(environment: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration file whose path is the value of the environment variable named by `CONFIG_VARIABLE`.

    Raises:
        ConfigError: The variable is not set, or the file cannot be read or is not a valid configuration.
    """
    path = environment.get(CONFIG_VARIABLE, "")
    if not path:
        raise ConfigError("", f"{CONFIG_VARIABLE} is not set: set it to the path of the configuration file")
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_CONFIG_BYTES + 1)
    except OSError as error:
        reason = f"{error.strerror}: {CONFIG_VARIABLE} must name a readable file"
        raise ConfigError(path, reason) from None
    try:
        return parse_config(data)
    except ConfigError as error:
        raise ConfigError(path, str(error)) from None


def parse_config(data: bytes) -> Config:
    """Decode and validate a configuration.

    Args:
        data: JSON text of the configuration file.

    Raises:
        ConfigError: The configuration is invalid. The error text states the reason, and the field unless the data as a
            whole is invalid.
    """
    if len(data) > MAX_CONFIG_BYTES:
        raise ConfigError("", f"larger than {MAX_CONFIG_BYTES} bytes: not a configuration file")
    try:
        tree = msgspec.json.decode(data)
    except DECODE_ERRORS as error:
        raise ConfigError("", f"not valid JSON: {error}: the file must contain one JSON object") from None
    if not isinstance(tree, dict):
        raise ConfigError("", "not a JSON object: the file must contain one JSON object")
    values = dict(instance_settings.flatten(_object(tree, "settings")))
    try:
        settings = instance_settings.read_settings(values)
        zones = instance_settings.read_zones(values)
    except instance_settings.SettingError as error:
        raise ConfigError("settings", str(error)) from None
    return Config(
        name=_text(tree, "name"),
        listen=_address(tree, "listen"),
        discovery=_address(tree, "discovery"),
        registry=_address(_object(tree, "registry"), "address", "registry."),
        seed=_seed(tree),
        max_descriptors=_max_descriptors(tree),
        known=_known_list(tree),
        settings=settings,
        zones=zones,
    )


def _object(tree: JsonObject, key: str) -> JsonObject:
    if not isinstance(tree.get(key), dict):
        raise ConfigError(key, "missing, or not an object")
    return tree[key]


def _text(tree: JsonObject, key: str, prefix: str = "") -> str:
    if not isinstance(tree.get(key), str) or not tree[key]:
        raise ConfigError(f"{prefix}{key}", "missing, empty, or not text")
    return tree[key]


def _address(tree: JsonObject, key: str, prefix: str = "") -> Address:
    text = _text(tree, key, prefix)
    host, colon, port = text.rpartition(":")
    if not colon or not host or not _is_port(port):
        raise ConfigError(f"{prefix}{key}", f"{text[:MAX_LOGGED_VALUE]!r} is not ADDRESS:PORT")
    return Address(host.strip("[]"), int(port))


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and 0 < int(text) <= MAX_PORT


def _seed(tree: JsonObject) -> int:
    seed = tree.get("seed")
    if isinstance(seed, int) and not isinstance(seed, bool):
        return seed
    text = _text(tree, "seed")
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError("seed", f"{text[:MAX_LOGGED_VALUE]!r} is not a hexadecimal number") from None


def _max_descriptors(tree: JsonObject) -> int:
    limits = tree.get("limits", {})
    descriptors = limits.get("sockets", DEFAULT_MAX_DESCRIPTORS) if isinstance(limits, dict) else None
    if not isinstance(descriptors, int) or isinstance(descriptors, bool) or descriptors < 1:
        raise ConfigError("limits.sockets", "not a whole number of at least 1, or limits is not an object")
    return descriptors


def _known_list(tree: JsonObject) -> discovery.EndpointListUpdate:
    """Return the endpoint list in the configuration.

    The list is empty if `known` is absent or null, because this pilot has never received a list.
    """
    if tree.get("known") is None:
        return discovery.EMPTY_LIST
    try:
        return discovery.read_update(tree["known"])
    except EndpointListError as error:
        raise ConfigError("known", str(error)) from None
