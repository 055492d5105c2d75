"""Reads the settings of an instance into `interface.Settings`. This module uses the standard library only.

The wire protocol of the simulator provides the settings as text by path. A configuration file provides them as nested
JSON, which `flatten` maps to the same paths. Unknown settings are ignored.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar, get_args

from damsonpick import interface as api

INTEGER_LIMIT = 1 << 62  # no valid time or count reaches this number
NUMBER_LIMIT = 1e15  # highest valid rate, share or weight; products of such numbers stay finite
MIN_POSITIVE = 1e-9  # lowest valid value of a number that is used as a divisor
MAX_TABLES = 65_535  # table numbers are lower; on the wire this number stands for all tables
MAX_PROXIES = 65_536  # proxy numbers on the wire are lower
MAX_CLASSES = 63  # the wire identifies classes by the bits of a number below 2^63
DISCOVERY_MODES = ("automatic", "subscribe")
MAX_LOGGED_VALUE = 60  # characters

Choice = TypeVar("Choice", bound=str)


class SettingError(ValueError):
    """Raised when a setting is absent, has the wrong type or is out of range.

    Attributes:
        path: Path of the setting.
    """

    def __init__(self, path: str, text: str) -> None:
        """Initialize the error with the path of the setting and the complete message."""
        super().__init__(text)
        self.path = path

    @classmethod
    def missing(cls, path: str) -> SettingError:
        """Return the error for a setting that is absent."""
        return cls(path, f"missing setting '{path}'")

    @classmethod
    def invalid(cls, path: str, expected: str, value: object) -> SettingError:
        """Return the error for a setting that has the wrong type or is out of range."""
        shown = "a list or an object" if isinstance(value, list | dict) else str(value)[:MAX_LOGGED_VALUE]
        return cls(path, f"{path}: {expected}: {shown}")


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Yield the leaves of nested JSON with their paths. A list of objects also yields its length as `.count`."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", len(value)
        for index, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{index}")
    else:
        yield path, value


class SettingsReader:
    """Typed access to settings by path. Values are text or plain JSON. A value of `-` or null counts as absent."""

    def __init__(self, values: Mapping[str, Any]) -> None:
        """Initialize the reader with the values by path."""
        self._values = values

    def integer(
        self, path: str, default: int | None = None, *, minimum: int = 0, maximum: int = INTEGER_LIMIT - 1
    ) -> int:
        """Return a whole number.

        Args:
            path: Path of the setting.
            default: Value if the setting is absent. If None, the setting is required.
            minimum: Lowest allowed value.
            maximum: Highest allowed value.

        Raises:
            SettingError: The setting is absent and has no default, is not a whole number, or is out of range.
        """
        value = self._value(path, default)
        number = _whole_number(value)
        if number is None:
            raise SettingError.invalid(path, "not a whole number of magnitude below 2^62", value)
        if not minimum <= number <= maximum:
            raise SettingError.invalid(path, f"not between {minimum} and {maximum}", value)
        return number

    def number(
        self, path: str, default: float | None = None, *, minimum: float = 0.0, maximum: float = NUMBER_LIMIT
    ) -> float:
        """Return a finite number.

        Args:
            path: Path of the setting.
            default: Value if the setting is absent. If None, the setting is required.
            minimum: Lowest allowed value.
            maximum: Highest allowed value.

        Raises:
            SettingError: The setting is absent and has no default, is not a finite number, or is out of range.
        """
        value = self._value(path, default)
        number = _finite_number(value)
        if number is None:
            raise SettingError.invalid(path, "not a finite number", value)
        if not minimum <= number <= maximum:
            raise SettingError.invalid(path, f"not between {minimum:g} and {maximum:g}", value)
        return number

    def text(self, path: str, default: str | None = None) -> str:
        """Return text.

        Raises:
            SettingError: The setting is absent and has no default, or is not text.
        """
        value = self._value(path, default)
        if not isinstance(value, str):
            raise SettingError.invalid(path, "not text", value)
        return value

    def choice(self, path: str, allowed: tuple[Choice, ...], default: Choice | None = None) -> Choice:
        """Return a setting that must equal one of the allowed texts.

        Raises:
            SettingError: The setting is absent and has no default, or equals none of the allowed texts.
        """
        text = self.text(path, default)
        for option in allowed:
            if text == option:
                return option
        raise SettingError.invalid(path, f"none of {', '.join(allowed)}", text)

    def names(self, path: str) -> tuple[str, ...]:
        """Return names that are given as a JSON list or as text separated by commas.

        Empty names and the name `-` are omitted. The tuple is empty if the setting is absent.

        Raises:
            SettingError: The setting is neither text nor a list of texts.
        """
        value = self._value(path, "")
        parts = value.split(",") if isinstance(value, str) else value
        if not isinstance(parts, list) or not all(isinstance(part, str) for part in parts):
            raise SettingError.invalid(path, "not text or a list of texts", value)
        return tuple(part for part in parts if part and part != "-")

    def flag(self, path: str) -> bool:
        """Return a Boolean value, or False if the setting is absent.

        Raises:
            SettingError: The setting is neither true nor false.
        """
        value = self._value(path, False)
        if value in (True, "true"):
            return True
        if value in (False, "false"):
            return False
        raise SettingError.invalid(path, "neither true nor false", value)

    def flags(self, path: str, count: int) -> tuple[bool, ...]:
        """Return Boolean values that are given as a JSON list or as text separated by commas.

        Missing values, and all values if the setting is absent, are True.

        Raises:
            SettingError: The setting is neither a list nor text, or a value is neither true nor false.
        """
        value = self._value(path, "")
        parts = [part for part in value.split(",") if part] if isinstance(value, str) else value
        if not isinstance(parts, list) or any(part not in (True, False, "true", "false") for part in parts):
            raise SettingError.invalid(path, "not a list of true and false", value)
        given = [part in (True, "true") for part in parts[:count]]
        return (*given, *[True] * (count - len(given)))

    def _value(self, path: str, default: Any) -> Any:
        value = self._values.get(path)
        if value is not None and value != "-":
            return value
        if default is None:
            raise SettingError.missing(path)
        return default


def _whole_number(value: Any) -> int | None:
    """Return a number or its text as a whole number.

    The result is None if the value is not a whole number or if its magnitude reaches `INTEGER_LIMIT`.
    """
    try:
        number = int(value)
    except (TypeError, ValueError, OverflowError):
        return None
    has_fraction = isinstance(value, float) and number != value
    if isinstance(value, bool) or has_fraction or abs(number) >= INTEGER_LIMIT:
        return None
    return number


def _finite_number(value: Any) -> float | None:
    """Return a number or its text as a finite number, or None if the value is not a finite number."""
    try:
        number = float(value)
    except (TypeError, ValueError, OverflowError):
        return None
    if isinstance(value, bool) or not math.isfinite(number):
        return None
    return number


def read_settings(values: Mapping[str, Any]) -> api.Settings:
    """Return the settings of the planner.

    Args:
        values: Values by path: plain JSON, as `flatten` yields it, or text.

    Raises:
        SettingError: A setting is absent, has the wrong type or is out of range. The message states the path and, if
            the setting is present, the value and what is wrong with it.
    """
    get = SettingsReader(values)
    class_count = get.integer("grades.count", minimum=1, maximum=MAX_CLASSES)
    writes = get.flags("domain.classWrites", class_count)
    return api.Settings(
        instance=get.integer("me"),
        instances=get.integer("peersTotal", minimum=1),
        zone=get.text("zone", ""),
        classes=tuple(_read_class(get, f"grades.{index}.", writes[index]) for index in range(class_count)),
        slices=get.integer("domain.shards", maximum=MAX_TABLES),  # 0 for no slices
        proxies=get.integer("domain.agents", maximum=MAX_PROXIES),
        sole_owner=get.flag("domain.soleOwner"),
        admission=get.choice("domain.admission", get_args(api.AdmissionMode), "none"),
        list_on_request=get.choice("discovery", DISCOVERY_MODES, "automatic") == "subscribe",
        poll_interval=get.integer("rules.askEveryNs", 0),
        channel_rate=get.number("domain.egressPerS", minimum=MIN_POSITIVE),
        channel_limit=get.number("domain.mostWaiting", minimum=MIN_POSITIVE),
        message_overhead=get.number("domain.overhead"),
        messages_per_window=get.integer("domain.pushesAllowed", 0),  # 0 for no limit
        message_window=get.integer("domain.updateWindowNs", 0),
        max_transit=get.integer("domain.transitMaxNs", 0),
        report_period=get.integer("domain.reportEveryNs", minimum=1),
        drain_grace=get.integer("rules.stopSendingWithinNs"),
        cold_capacity_share=get.number("rules.coldShare", minimum=MIN_POSITIVE, maximum=1.0),
        warm_up_time=get.integer("rules.coldNs"),
        write_linger=get.integer("domain.lingersNs", 0),
        write_lease=get.integer("domain.leaseNs", 0),
        load_fields=get.names("report.fields"),
        balancing_policy=get.choice("domain.pick", get_args(api.BalancingPolicy), "lottery"),
        unserved_limit=get.integer("domain.unservedMaxNs", 0),
        report_rate=get.number("domain.intakePerS", 0.0),
    )


def read_zones(values: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the names of all zones.

    Raises:
        SettingError: The setting is not a list of names.
    """
    return SettingsReader(values).names("zones")


def _read_class(get: SettingsReader, prefix: str, writes: bool) -> api.RequestClass:
    return api.RequestClass(
        name=get.text(prefix + "name"),
        latency_objective=get.integer(prefix + "aimNs", minimum=1),
        deadline=get.integer(prefix + "deadlineNs", minimum=1),
        effect=get.choice(prefix + "effect", get_args(api.Effect)),
        key_scope=get.choice(prefix + "keyScope", get_args(api.KeyScope), "all"),
        key_window=get.integer(prefix + "windowNs", 0),
        priority_weight=get.number(prefix + "worth", 1.0),
        writes=writes,
    )
