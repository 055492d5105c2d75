"""Random days for the model: failures of endpoints, proxies and pilots that overlap, and a quiet end."""

from __future__ import annotations

import random
from collections import Counter
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.testing.fleet_model.model import NOTICE_S, REDIAL_S, SECOND, FleetModel

ENDPOINTS, PROXIES, SLICES = 12, 8, 24
TAKEOVER_S = (0.8, 2.8)  # time after which the slices of a dead pilot are given to another
TROUBLED_S = 25.0
QUIET_S = 25.0  # long enough for the last handover, also after a lease and the longest linger time
END_CHECKS = 10
END_CHECK_INTERVAL_S = 1.0
MIN_ENDPOINTS = 5
FAILURES = ("deploy", "crash", "break_streams", "restart_proxies", "stall", "restart_pilot", "takeover", "lose_calls")


class Outcome(NamedTuple):
    """Result of one day.

    Attributes:
        seed: Seed of the day.
        breaches: Number of breaches by rule.
        texts: Descriptions of the first breaches.
        failures: The failures, in order.
    """

    seed: int
    breaches: Counter[str]
    texts: list[str]
    failures: list[str]


def model_settings(**changes: object) -> api.Settings:
    """Return settings of a site with sole owners.

    Args:
        **changes: Values that differ, by name.
    """
    request_class = api.RequestClass("page", SECOND, 3 * SECOND, "read_like", "all", 0, 1.0)
    settings = api.Settings(
        instance=0,
        instances=1,
        zone="a",
        classes=(request_class._replace(writes=False), request_class._replace(name="tally")),
        slices=SLICES,
        proxies=PROXIES,
        sole_owner=True,
        admission="ratio",
        list_on_request=False,
        poll_interval=10 * SECOND,
        channel_rate=4000.0,
        channel_limit=6000.0,
        message_overhead=8.0,
        messages_per_window=0,
        message_window=10 * SECOND,
        max_transit=3 * SECOND // 10,
        report_period=SECOND,
        drain_grace=2 * SECOND,
        cold_capacity_share=0.3,
        warm_up_time=15 * SECOND,
        write_linger=SECOND // 2,
        write_lease=3 * SECOND // 2,
        load_fields=(),
        balancing_policy="pair",
        unserved_limit=14 * SECOND // 5,
    )
    return settings._replace(**changes)


def play(seed: int, kinds: tuple[str, ...] = FAILURES, **changes: object) -> Outcome:
    """Play the day of a seed, and check at its end that each proxy has a routable entry for each slice.

    Args:
        seed: Determines settings and failures.
        kinds: Kinds of failures that happen.
        **changes: Settings that are not drawn, by name.
    """
    rng = random.Random(f"plan-{seed}")
    drawn: dict[str, object] = {
        "write_linger": int(rng.choice((0.02, 0.5, 1.5, 3.0)) * SECOND),
        "messages_per_window": rng.choice((0, 12)),
        "admission": rng.choice(("ratio", "none")),
    }
    settings = model_settings(**(drawn | changes))
    model = FleetModel(settings, rng.choice((1, 2, 3)), ENDPOINTS, seed)
    model.run(3.0)
    failures = []
    end = model.now + int(TROUBLED_S * SECOND)
    while model.now < end:
        failures.append(rng.choice(kinds))
        _FAILURES[failures[-1]](model, rng)
        model.run(rng.choice((0.1, 0.5, 2.0, 4.0)))
    model.run(QUIET_S)
    _check_end(model)
    return Outcome(seed, model.rules.breaches, model.rules.texts, failures)


def _check_end(model: FleetModel) -> None:
    """Check that each proxy can write to the stored, listed owner of each slice, apart from moves in progress."""
    unserved = {(proxy.number, number): True for proxy in model.proxies for number in range(SLICES)}
    for _ in range(END_CHECKS):
        unserved = {key: True for key in unserved if not _is_served(model, *key)}
        model.run(END_CHECK_INTERVAL_S)
    for proxy, number in unserved:
        text = f"proxy {proxy}, slice {number}: no entry, or not the stored one; stored {model.store.get(number)}"
        model.rules.breach("end", model.now, text)


def _is_served(model: FleetModel, proxy_number: int, number: int) -> bool:
    proxy = model.proxies[proxy_number]
    endpoint = proxy.entry(number, model.owner[number])
    is_current = endpoint in model.endpoints and endpoint == model.store.get(number)
    return is_current and proxy.may_write(number, model.now, 0)


def _deploy(model: FleetModel, rng: random.Random) -> None:
    names = [name for name, entry in model.endpoints.items() if entry.state == "in_service"]
    count = min(rng.randint(1, 3), len(names) - MIN_ENDPOINTS)
    if count > 0:
        model.retire(rng.sample(names, count), rng.uniform(2.0, 6.0))
        model.after(rng.uniform(0.2, 1.0), lambda: model.add_endpoints(count, started=model.now))


def _crash(model: FleetModel, rng: random.Random) -> None:
    names = [name for name, entry in model.endpoints.items() if entry.state == "in_service"]
    count = min(rng.randint(1, 3), len(names) - MIN_ENDPOINTS)
    if count > 0:
        model.crash(rng.sample(names, count))
        model.after(rng.uniform(1.0, 4.0), lambda: model.add_endpoints(count, started=model.now))


def _break_streams(model: FleetModel, rng: random.Random) -> None:
    pilot = rng.choice(model.pilots).number
    for proxy in rng.sample(model.proxies, rng.randint(1, PROXIES)):
        model.leave(proxy, pilot)


def _restart_proxies(model: FleetModel, rng: random.Random) -> None:
    for proxy in rng.sample(model.proxies, rng.randint(1, PROXIES)):
        if proxy.running:
            model.restart_proxy(proxy)


def _stall(model: FleetModel, rng: random.Random) -> None:
    for proxy in rng.sample(model.proxies, rng.randint(1, 3)):
        proxy.stalled_until = model.now + int(rng.uniform(0.3, 2.0) * SECOND)


def _restart_pilot(model: FleetModel, rng: random.Random) -> None:
    pilot = rng.choice(model.pilots)
    if pilot.planner is not None:
        model.restart_pilot(pilot.number, rng.uniform(0.1, 0.7))


def _takeover(model: FleetModel, rng: random.Random) -> None:
    """Kill a pilot whose slices another one gets; the pilot returns later and gets its slices back."""
    running = [pilot.number for pilot in model.pilots if pilot.planner is not None]
    if len(running) < 2:
        return
    dead, heir = rng.sample(running, 2)
    slices = [number for number, owner in enumerate(model.owner) if owner == dead]

    def give(to: int) -> None:
        for number in slices:
            if model.pilots[to].planner is not None and model.owner[number] != to:
                model.give(number, to)

    down_s = rng.uniform(3.0, 6.0)
    model.restart_pilot(dead, down_s)
    model.after(rng.uniform(*TAKEOVER_S), lambda: give(heir))
    model.after(down_s + NOTICE_S[1] + REDIAL_S[1], lambda: give(dead))


def _lose_calls(model: FleetModel, rng: random.Random) -> None:
    rng.choice(model.pilots).lost_calls += rng.randint(1, 3)


_FAILURES = dict(
    zip(
        FAILURES,
        (_deploy, _crash, _break_streams, _restart_proxies, _stall, _restart_pilot, _takeover, _lose_calls),
        strict=True,
    )
)
