"""The settings of an instance, read into `interface.Settings`. Standard library only.

The simulator's wire hands in text by path; a configuration file hands in nested JSON, which `flatten` maps to the same
paths. Settings that are not known are ignored.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar, get_args

from damsonpick import interface as api

INTEGER_LIMIT = 1 << 62  # a number beyond it is no time and no count
NUMBER_LIMIT = 1e15  # likewise for rates, shares and weights; their products stay finite
MIN_POSITIVE = 1e-9  # of numbers that are divided by
MAX_TABLES = 65_535  # the wire's number above them stands for all tables
MAX_PROXIES = 65_536  # numbers on the wire lie below
MAX_CLASSES = 63  # the wire names classes by bits of a number below 2^63
DISCOVERY_MODES = ("automatic", "subscribe")
MAX_LOGGED_VALUE = 60  # characters

Word = TypeVar("Word", bound=str)


class SettingError(ValueError):
    """A setting is absent, of the wrong kind or out of range.

    Attributes:
        path: of the setting.
    """

    def __init__(self, path: str, text: str) -> None:
        """Take the path of the setting and the whole text for the log."""
        super().__init__(text)
        self.path = path

    @classmethod
    def missing(cls, path: str) -> SettingError:
        """Return the error for a setting that is absent."""
        return cls(path, f"missing setting '{path}'")

    @classmethod
    def invalid(cls, path: str, expected: str, value: object) -> SettingError:
        """Return the error for a setting of the wrong kind."""
        shown = "a list or an object" if isinstance(value, list | dict) else str(value)[:MAX_LOGGED_VALUE]
        return cls(path, f"{path}: {expected}: {shown}")


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Yield the leaves of nested JSON with their paths; a list of objects also yields its length, as `.count`."""
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
    """Typed access to settings by path. Values are text or plain JSON; `-` and null count as absent."""

    def __init__(self, values: Mapping[str, Any]) -> None:
        """Take the values by path."""
        self._values = values

    def integer(
        self, path: str, default: int | None = None, *, minimum: int = 0, maximum: int = INTEGER_LIMIT - 1
    ) -> int:
        """Return a whole number.

        Args:
            path: of the setting.
            default: if it is absent; None: it must be there.
            minimum: the least allowed value.
            maximum: the greatest allowed value.

        Raises:
            SettingError: it is absent without a default, no whole number or out of range.
        """
        value = self._value(path, default)
        number = _whole_number(value)
        if number is None:
            raise SettingError.invalid(path, "not a whole number", value)
        if not minimum <= number <= maximum:
            raise SettingError.invalid(path, f"not between {minimum} and {maximum}", value)
        return number

    def number(
        self, path: str, default: float | None = None, *, minimum: float = 0.0, maximum: float = NUMBER_LIMIT
    ) -> float:
        """Return a finite number.

        Args:
            path: of the setting.
            default: if it is absent; None: it must be there.
            minimum: the least allowed value.
            maximum: the greatest allowed value.

        Raises:
            SettingError: it is absent without a default, no finite number or out of range.
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
            SettingError: it is absent without a default, or not text.
        """
        value = self._value(path, default)
        if not isinstance(value, str):
            raise SettingError.invalid(path, "not text", value)
        return value

    def choice(self, path: str, allowed: tuple[Word, ...], default: Word | None = None) -> Word:
        """Return one of several words.

        Raises:
            SettingError: it is absent without a default, or none of them.
        """
        text = self.text(path, default)
        for word in allowed:
            if text == word:
                return word
        raise SettingError.invalid(path, f"none of {', '.join(allowed)}", text)

    def names(self, path: str) -> tuple[str, ...]:
        """Return a list of names, given as JSON or as text with commas; empty if it is absent.

        Raises:
            SettingError: it is neither.
        """
        value = self._value(path, "")
        parts = value.split(",") if isinstance(value, str) else value
        if not isinstance(parts, list) or not all(isinstance(part, str) for part in parts):
            raise SettingError.invalid(path, "not a list of words", value)
        return tuple(part for part in parts if part and part != "-")

    def flag(self, path: str) -> bool:
        """Return a truth value; false if it is absent.

        Raises:
            SettingError: it is neither true nor false.
        """
        value = self._value(path, False)
        if value in (True, "true"):
            return True
        if value in (False, "false"):
            return False
        raise SettingError.invalid(path, "neither true nor false", value)

    def _value(self, path: str, default: Any) -> Any:
        value = self._values.get(path)
        if value is not None and value != "-":
            return value
        if default is None:
            raise SettingError.missing(path)
        return default


def _whole_number(value: Any) -> int | None:
    """Return a value, or the text of one, as a whole number; None if it is none, or beyond `INTEGER_LIMIT`."""
    try:
        number = int(value)
    except (TypeError, ValueError, OverflowError):
        return None
    has_fraction = isinstance(value, float) and number != value
    if isinstance(value, bool) or has_fraction or abs(number) >= INTEGER_LIMIT:
        return None
    return number


def _finite_number(value: Any) -> float | None:
    """Return a value, or the text of one, as a finite number; None if it is none."""
    try:
        number = float(value)
    except (TypeError, ValueError, OverflowError):
        return None
    if isinstance(value, bool) or not math.isfinite(number):
        return None
    return number


def read_settings(values: Mapping[str, Any]) -> api.Settings:
    """Return the planner's settings.

    Args:
        values: by path, as `flatten` yields them.

    Raises:
        SettingError: one is absent, of the wrong kind or out of range; the text names path, value and what is allowed.
    """
    get = SettingsReader(values)
    class_count = get.integer("grades.count", minimum=1, maximum=MAX_CLASSES)
    return api.Settings(
        instance=get.integer("me"),
        instances=get.integer("peersTotal", minimum=1),
        zone=get.text("zone", ""),
        classes=tuple(_read_class(get, f"grades.{index}.") for index in range(class_count)),
        slices=get.integer("domain.shards", maximum=MAX_TABLES),  # 0: no slices
        proxies=get.integer("domain.agents", maximum=MAX_PROXIES),
        sole_owner=get.flag("domain.soleOwner"),
        admission=get.choice("domain.admission", get_args(api.AdmissionMode), "none"),
        list_on_request=get.choice("discovery", DISCOVERY_MODES, "automatic") == "subscribe",
        poll_interval=get.integer("rules.askEveryNs", 0),
        channel_rate=get.number("domain.egressPerS", minimum=MIN_POSITIVE),
        channel_limit=get.number("domain.mostWaiting", minimum=MIN_POSITIVE),
        message_overhead=get.number("domain.overhead"),
        messages_per_window=get.integer("domain.pushesAllowed", 0),  # 0: no limit
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
    )


def read_zones(values: Mapping[str, Any]) -> tuple[str, ...]:
    """Return the names of all zones.

    Raises:
        SettingError: they are no list of names.
    """
    return SettingsReader(values).names("zones")


def _read_class(get: SettingsReader, prefix: str) -> api.RequestClass:
    return api.RequestClass(
        name=get.text(prefix + "name"),
        latency_objective=get.integer(prefix + "aimNs", minimum=1),
        deadline=get.integer(prefix + "deadlineNs", minimum=1),
        effect=get.choice(prefix + "effect", get_args(api.Effect)),
        key_scope=get.choice(prefix + "keyScope", get_args(api.KeyScope), "all"),
        key_window=get.integer(prefix + "windowNs", 0),
        priority_weight=get.number(prefix + "worth", 1.0),
    )
