"""What an instance is told at its start, read into `interface.Settings`. Standard library only.

Both ways in call it: the simulator's wire hands in text by path, a configuration file hands in nested JSON, which
`flatten` lays out under the same paths. Unknown settings are passed over.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from damsonpick import interface as api

MOST = 1 << 62  # a whole number beyond it is no time and no count


class SettingError(ValueError):
    """A setting is absent or of the wrong kind; the text names it."""


def flatten(value: Any, path: str = "") -> Iterator[tuple[str, Any]]:
    """Leaves of nested JSON by path; a list of objects also tells its length, under `.count`."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from flatten(inner, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        yield f"{path}.count", len(value)
        for place, inner in enumerate(value):
            yield from flatten(inner, f"{path}.{place}")
    else:
        yield path, value


class Fields:
    """Typed looks at settings by path. Text and plain JSON values are both understood; `-` and null are absent."""

    def __init__(self, values: Mapping[str, Any]) -> None:
        self.values = values

    def _get(self, path: str, default: Any) -> Any:
        value = self.values.get(path)
        if value is not None and value != "-":
            return value
        if default is None:
            raise SettingError(f"missing setting '{path}'")
        return default

    def whole(self, path: str, default: int | None = None) -> int:
        value = self._get(path, default)
        try:
            number = int(value)
            cut = isinstance(value, float) and number != value
            if not isinstance(value, bool) and not cut and abs(number) < MOST:
                return number
        except (TypeError, ValueError, OverflowError):
            pass
        raise SettingError(f"{path}: not a whole number: {str(value)[:60]}")

    def number(self, path: str, default: float | None = None) -> float:
        value = self._get(path, default)
        try:
            if not isinstance(value, bool) and abs(float(value)) < float("inf"):
                return float(value)
        except (TypeError, ValueError, OverflowError):
            pass
        raise SettingError(f"{path}: not a finite number: {str(value)[:60]}")

    def word(self, path: str, default: str | None = None) -> str:
        value = self._get(path, default)
        if not isinstance(value, str):
            raise SettingError(f"{path}: not text: {str(value)[:60]}")
        return value

    def words(self, path: str) -> tuple[str, ...]:
        value = self._get(path, "")
        parts = value.split(",") if isinstance(value, str) else value
        if not isinstance(parts, list) or not all(isinstance(part, str) for part in parts):
            raise SettingError(f"{path}: not a list of words: {str(value)[:60]}")
        return tuple(part for part in parts if part and part != "-")

    def flag(self, path: str) -> bool:
        value = self._get(path, False)
        if value in (True, "true"):
            return True
        if value in (False, "false"):
            return False
        raise SettingError(f"{path}: neither true nor false: {str(value)[:60]}")


def read_settings(values: Mapping[str, Any]) -> api.Settings:
    """The planner's settings.

    Raises:
        SettingError: one is absent or of the wrong kind.
    """
    get = Fields(values)
    return api.Settings(
        instance=get.whole("me"),
        instances=get.whole("peersTotal"),
        zone=get.word("zone", ""),
        classes=tuple(_read_class(get, f"grades.{k}.") for k in range(get.whole("grades.count"))),
        slices=get.whole("domain.shards"),
        proxies=get.whole("domain.agents"),
        sole_owner=get.flag("domain.soleOwner"),
        admission=get.word("domain.admission", "none"),
        subscribe=get.word("discovery", "automatic") == "subscribe",
        poll_interval=get.whole("rules.askEveryNs", 0),
        channel_rate=get.number("domain.egressPerS"),
        channel_limit=get.number("domain.mostWaiting"),
        message_overhead=get.number("domain.overhead"),
        messages_per_window=get.whole("domain.pushesAllowed", 0),
        message_window=get.whole("domain.updateWindowNs", 0),
        max_transit=get.whole("domain.transitMaxNs", 0),
        report_period=get.whole("domain.reportEveryNs"),
        drain_grace=get.whole("rules.stopSendingWithinNs"),
        cold_capacity_share=get.number("rules.coldShare"),
        warm_up_time=get.whole("rules.coldNs"),
        write_linger=get.whole("domain.lingersNs", 0),
        write_lease=get.whole("domain.leaseNs", 0),
        load_fields=get.words("report.fields"),
        balancing_policy=get.word("domain.pick", "lottery"),
    )


def _read_class(get: Fields, prefix: str) -> api.RequestClass:
    return api.RequestClass(
        name=get.word(prefix + "name"),
        latency_objective=get.whole(prefix + "aimNs"),
        deadline=get.whole(prefix + "deadlineNs"),
        effect=get.word(prefix + "effect"),
        key_scope=get.word(prefix + "keyScope", "all"),
        key_window=get.whole(prefix + "windowNs", 0),
        priority_weight=get.number(prefix + "worth", 1.0),
    )
