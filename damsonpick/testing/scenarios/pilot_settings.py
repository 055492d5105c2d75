"""Writes the settings file of a scenario's pilot."""

from __future__ import annotations

from typing import Any

from damsonpick.testing.scenarios.script import RequestClassSettings, Script

CLUSTER = "servers"
SASP_MESSAGES_PER_WINDOW = 1000


def pilot_settings(script: Script, seed: int, list_address: str) -> str:
    """Return the text of the pilot's settings file.

    Args:
        script: The scenario.
        seed: Seed of the pilot's own random draws.
        list_address: Host and port of the list server.
    """
    sections = _fixed_sections(script, seed, list_address)
    for name, request_class in script.classes.items():
        sections[f"class {name}"] = _class_section(request_class)
    return "".join(_section_text(name, keys) for name, keys in sections.items())


def _fixed_sections(script: Script, seed: int, list_address: str) -> dict[str, dict[str, Any]]:
    day = script.day
    sections: dict[str, dict[str, Any]] = {
        "pilot": {
            "name": "pilot-0",
            "zone": day.zones[0],
            "zones": ", ".join(day.zones),
            "state": "state",
            "seed": seed,
            "clock_rate": day.clock_rate,
        },
        "listen": {"xds": "127.0.0.1:0"},
        "tables": {"slices": day.slices},
        **script.pilot,
        "list": {"source": "eds", "upstream": list_address, "cluster": CLUSTER},
    }
    if day.balancers:
        sections["sasp"] = {"listen": "127.0.0.1:0", "messages": SASP_MESSAGES_PER_WINDOW}
    sections["log"] = {"format": "json"}
    return sections


def _class_section(request_class: RequestClassSettings) -> dict[str, Any]:
    return {
        "aim": f"{request_class.latency_objective} ns",
        "deadline": f"{request_class.deadline} ns",
        "worth": request_class.priority_weight,
        "effect": request_class.effect,
        "key_scope": request_class.key_scope,
        "key_window": f"{request_class.key_window} ns",
        "work": f"{request_class.work} ns",
    }


def _section_text(name: str, keys: dict[str, Any]) -> str:
    lines = [f"[{name}]", *(f"{key} = {value}" for key, value in keys.items())]
    return "\n".join(lines) + "\n\n"
