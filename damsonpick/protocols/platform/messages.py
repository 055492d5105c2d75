"""Decodes messages of collectors from JSON to validated types, and maps reports to events of the planner. No I/O.

An `InvalidMessageError` is raised if a field is missing, out of range or of a wrong type, or names something unknown;
it concerns only this message. A `MalformedMessageError` is raised if the input cannot be decoded as JSON or is not a
JSON object; it ends the stream.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from damsonpick import interface as api
from damsonpick.protocols.platform.errors import InvalidMessageError, MalformedMessageError
from damsonpick.protocols.platform.json_values import DECODE_ERRORS, invalid_message
from damsonpick.time_units import NS_PER_MS

MAX_DURATION_MS = 600_000
MAX_LOAD_VALUE = 1e12
MAX_LOGGED_NAME = 60  # characters

Count = Annotated[int, Meta(ge=0, le=10_000_000)]
PeriodMs = Annotated[float, Meta(gt=0, le=MAX_DURATION_MS)]
LatencyMs = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
Uint16 = Annotated[int, Meta(ge=0, le=65_535)]
Name = Annotated[str, Meta(min_length=1, max_length=256)]


class HeartbeatRequest(Struct, tag_field="@type", tag="hb"):
    """Requests a heartbeat."""


class CollectorJoin(Struct, tag_field="@type", tag="telemetry"):
    """Names the zone for which a collector reports. Only heartbeat requests may precede this message."""

    zone: Name


class EndpointStats(Struct, tag_field="@type", tag="upstream_stats"):
    """Reports the attempts that the proxies of a zone made at one endpoint during a period."""

    zone: Name
    endpoint: Name = msgspec.field(name="server")
    attempts: Count = msgspec.field(name="tries")
    failures: Count = msgspec.field(name="failed")
    period_ms: PeriodMs = msgspec.field(name="span_ms")
    latency_ms: LatencyMs | None = msgspec.field(name="mean_ms", default=None)  # mean of the successful attempts
    load: dict[str, Any] | None = None


class SliceStats(Struct, tag_field="@type", tag="range_stats"):
    """Reports the requests of one class for a slice during a period."""

    slice: Uint16
    request_class: Name = msgspec.field(name="class")
    requests: Count = msgspec.field(name="tries")
    failures: Count = msgspec.field(name="failed")
    period_ms: PeriodMs = msgspec.field(name="span_ms")


Report = EndpointStats | SliceStats
CollectorMessage = HeartbeatRequest | CollectorJoin | Report
_decoder = msgspec.json.Decoder(CollectorMessage)


def decode_message(body: bytes) -> CollectorMessage:
    """Decode one message of a collector.

    Raises:
        InvalidMessageError: The body is a JSON object that begins at the first byte, but not a valid message.
        MalformedMessageError: The body cannot be decoded as JSON, or is not a JSON object. An invalid message after
            leading whitespace also raises this error, because only the first byte is compared with `{`.
    """
    try:
        return _decoder.decode(body)
    except msgspec.ValidationError as error:
        if body[:1] != b"{":
            raise MalformedMessageError("", "the message is invalid and its first byte is not '{'") from None
        raise invalid_message("", error) from None
    except DECODE_ERRORS as error:
        raise MalformedMessageError("", str(error)) from None


class ReportMapper:
    """Maps decoded reports to events of the planner."""

    def __init__(self, settings: api.Settings, zones: tuple[str, ...]) -> None:
        """Create a mapper for the configured zones, request classes and slices.

        Args:
            settings: Provides the request classes, the number of slices and the names of load fields.
            zones: Names of all zones.
        """
        self.zones = frozenset(zones)
        self.classes = frozenset(request_class.name for request_class in settings.classes)
        self.slice_count = settings.slices
        self.load_fields = settings.load_fields

    def to_event(self, report: Report) -> api.Event:
        """Return the event for a report.

        Raises:
            InvalidMessageError: The report names an unknown zone, request class or slice, or its fields contradict
                each other.
        """
        if isinstance(report, SliceStats):
            return self._slice_demand(report)
        return self._endpoint_report(report)

    def _slice_demand(self, report: SliceStats) -> api.SliceDemand:
        if report.slice >= self.slice_count:
            raise InvalidMessageError(
                "range_stats.slice", f"{report.slice} does not exist: there are {self.slice_count} slices"
            )
        if report.request_class not in self.classes:
            raise _unknown_name("range_stats.class", report.request_class)
        # There may be more failures than requests, because a failed request may have arrived in an earlier period.
        period_ns = int(report.period_ms * NS_PER_MS)
        return api.SliceDemand(report.slice, report.request_class, report.requests, report.failures, period_ns)

    def _endpoint_report(self, report: EndpointStats) -> api.EndpointReport:
        if report.zone not in self.zones:
            raise _unknown_name("upstream_stats.zone", report.zone)
        if report.failures > report.attempts:
            raise InvalidMessageError("upstream_stats.failed", f"{report.failures} exceeds the {report.attempts} tries")
        if report.latency_ms is None and report.attempts > report.failures:
            raise InvalidMessageError("upstream_stats.mean_ms", "missing, although some tries succeeded")
        return api.EndpointReport(
            report.zone,
            report.endpoint,
            report.attempts,
            report.failures,
            int((report.latency_ms or 0.0) * NS_PER_MS),
            int(report.period_ms * NS_PER_MS),
            self._load(report.load),
        )

    def _load(self, load: dict[str, Any] | None) -> tuple[float, ...]:
        """Return the values of all configured load fields in the order of the settings.

        The tuple is empty if any value is missing or invalid.
        """
        if not load or not self.load_fields:
            return ()
        values: list[Any] = [load.get(field) for field in self.load_fields]
        if not all(map(_is_load_value, values)):
            return ()
        return tuple(map(float, values))


def _is_load_value(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value < MAX_LOAD_VALUE


def _unknown_name(field: str, name: str) -> InvalidMessageError:
    return InvalidMessageError(field, f"{name[:MAX_LOGGED_NAME]!r} does not exist")
