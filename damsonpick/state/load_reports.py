"""Adds up gateways' sums into the module's reports. Sans I/O: time comes in as nanoseconds.

A sum is doubted before it counts. LRS numbers no report, so a repeat shows only in that a gateway claims
to have counted more seconds than have passed: such a sum is dropped. Late sums count with the time that
they cover. What contradicts itself is cut to what is possible, on the side of fewer good answers.
"""

from __future__ import annotations

from typing import NamedTuple

from damsonpick import interface as api

SECOND = 1_000_000_000
SLACK = 0.5  # of a report period that clocks and timers may be out


class EndpointSum(NamedTuple):
    endpoint: str
    tries: int
    failures: int
    answered: int  # good answers with a time
    time: int  # ns: their times added up


class SliceSum(NamedTuple):
    slice: int
    request_class: str
    requests: int  # all that came, refused ones included
    failures: int  # let in and not answered


class GatewaySums(NamedTuple):
    """One report of one gateway."""

    gateway: int
    zone: str
    period: int  # ns that it covers
    endpoints: tuple[EndpointSum, ...]
    slices: tuple[SliceSum, ...]


class _Tally:
    """Sums by gateway, so that rates add over gateways and times add within one."""

    def __init__(self) -> None:
        self.by: dict[int, list[int]] = {}

    def add(self, gateway: int, *figures: int) -> None:
        have = self.by.setdefault(gateway, [0] * len(figures))
        have[:] = [a + b for a, b in zip(have, figures, strict=True)]

    def total(self, place: int) -> int:
        return sum(v[place] for v in self.by.values())

    def period(self, spans: dict[int, int]) -> int:
        """The span at which the summed count gives the sum of the gateways' rates."""
        rate = sum(v[0] / spans[g] for g, v in self.by.items() if spans[g])
        return round(self.total(0) / rate) if rate > 0 else 0


class LoadReports:
    """Reports since the last flush.

    Args:
        classes: names of the request classes.
        slices: how many slices there are.
        every: ns between reports.
        oldest: ns; a sum that covers more is dropped.
    """

    def __init__(self, classes: tuple[str, ...], slices: int, every: int, oldest: int) -> None:
        self.classes, self.slices, self.every, self.oldest = classes, slices, every, oldest
        self.known: set[str] = set()  # endpoints ever listed
        self.claimed: dict[int, int] = {}  # gateway: the time up to which it has accounted for
        self.dropped = 0
        self._clear()

    def _clear(self) -> None:
        self.ends: dict[tuple[str, str], _Tally] = {}
        self.asks: dict[tuple[int, str], _Tally] = {}
        self.spans: dict[int, int] = {}

    def join(self, now: int, gateway: int) -> None:
        """From here on a gateway may account for time; one that was away may bring the time it was away."""
        self.claimed.setdefault(gateway, now - self.every)

    def hear(self, now: int, sums: GatewaySums) -> list[str]:
        """Take in one report; returns what was doubted, in words."""
        if not 0 < sums.period <= self.oldest:
            self.dropped += 1
            return [f"a sum over {sums.period / SECOND:.1f} s was dropped: not from 0 to {self.oldest / SECOND:g} s"]
        floor = now - self.oldest
        start = max(self.claimed.get(sums.gateway, floor), floor)
        if start + sums.period > now + SLACK * self.every:
            self.dropped += 1
            return [
                "a sum was dropped: with it the gateway would have counted more time than has passed "
                "(a repeat, or two senders under one id)"
            ]
        self.claimed[sums.gateway] = start + sums.period
        self.spans[sums.gateway] = self.spans.get(sums.gateway, 0) + sums.period
        doubts: list[str] = []
        for part in sums.endpoints:
            self._endpoint(sums, part, doubts)
        for ask in sums.slices:
            self._slice(sums, ask, doubts)
        return doubts

    def _endpoint(self, sums: GatewaySums, part: EndpointSum, doubts: list[str]) -> None:
        if part.endpoint not in self.known:
            doubts.append(f"{part.endpoint} was never listed: its sum was dropped")
            return
        tries, failures = part.tries, part.failures
        if failures > tries or part.answered > tries - failures or part.time < 0:
            doubts.append(f"{part.endpoint}: {failures} failures and {part.answered} answers in {tries} tries: cut")
            failures = min(failures, tries)
        good = tries - failures
        answered = min(part.answered, good)
        mean = max(0, part.time) // part.answered if part.answered else 0
        self.ends.setdefault((sums.zone, part.endpoint), _Tally()).add(
            sums.gateway, tries, failures, answered, mean * answered
        )

    def _slice(self, sums: GatewaySums, ask: SliceSum, doubts: list[str]) -> None:
        if not 0 <= ask.slice < self.slices or ask.request_class not in self.classes:
            doubts.append(f"slice {ask.slice}, class {ask.request_class!r}: no such thing, its sum was dropped")
            return
        self.asks.setdefault((ask.slice, ask.request_class), _Tally()).add(
            sums.gateway, ask.requests, min(ask.failures, ask.requests)
        )

    def flush(self) -> list[api.Event]:
        """Reports of the period that ends now, in a settled order. No try, no line."""
        events: list[api.Event] = []
        for (zone, endpoint), tally in sorted(self.ends.items()):
            tries, failures, answered, time = (tally.total(k) for k in range(4))
            if tries > 0:
                mean = time // answered if answered else 0
                events.append(api.EndpointReport(zone, endpoint, tries, failures, mean, tally.period(self.spans), ()))
        for (number, kind), tally in sorted(self.asks.items()):
            if tally.total(0) > 0:
                events.append(api.SliceDemand(number, kind, tally.total(0), tally.total(1), tally.period(self.spans)))
        self._clear()
        return events
