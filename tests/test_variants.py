"""Tests the script that writes the site files of other customers, with a short site file as input."""

from __future__ import annotations

import importlib.util
import tomllib
from pathlib import Path

import pytest

PATH = Path(__file__).parent.parent / "deploy/sites/variants.py"
SPEC = importlib.util.spec_from_file_location("variants", PATH)
variants = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(variants)

SITE = """name = "parking-varazdin"
[net]
zones = ["hallerova", "gospodarska", "trakoscanska"]
[[class]]
name = "one"
share = [0.5, 0.6]
[[class]]
name = "two"
share = [0.4, 0.5]
"""


def test_values_names_and_tables_are_changed_and_the_rest_stays(monkeypatch):
    monkeypatch.setitem(variants.VALUES, "druga", [(("net", 0, "zones"), '["north"]'), (("class", 0, "name"), '"all"')])
    made = tomllib.loads(variants.make_variant("druga", SITE))
    assert made == {"name": "druga-kuca", "net": {"zones": ["north"]}, "class": [{"name": "all", "share": [0.5, 0.6]}]}


def test_a_word_that_the_site_does_not_hold_is_an_error(monkeypatch):
    monkeypatch.setitem(variants.VALUES, "prva", [(("class", 1, "worth"), "4")])
    with pytest.raises(SystemExit, match="worth stands 0 times"):
        variants.make_variant("prva", SITE)
