"""Constraints on the decision package: size, imports, forbidden calls and determinism."""

from __future__ import annotations

import ast
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
MODULES = sorted((ROOT / "damsonpick" / "decisions").glob("*.py"))
LINE_LENGTH = 120
MODULE_LINES = 250
FUNCTION_LINES = 30  # most lines of a function, including its docstring


def test_deploy_file_names_every_decision_module():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = {ROOT / name for name in deploy["policy"]}
    assert named == {path for path in MODULES if path.name != "__init__.py"}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_lines_are_short(path):
    assert max(map(len, path.read_text().splitlines())) <= LINE_LENGTH


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_modules_and_functions_are_short(path):
    text = path.read_text()
    functions = [n for n in ast.walk(ast.parse(text)) if isinstance(n, ast.FunctionDef | ast.AsyncFunctionDef)]
    too_long = [n.name for n in functions if n.end_lineno - n.lineno + 1 > FUNCTION_LINES]
    assert len(text.splitlines()) <= MODULE_LINES and not too_long


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_decisions_import_the_standard_library_and_the_interface_only(path):
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found.add(node.module.split(".")[0])
            if node.module.startswith("damsonpick"):
                modules = {f"{node.module}.{alias.name}" for alias in node.names}
                assert all(name.startswith(("damsonpick.interface", "damsonpick.decisions")) for name in modules)
    assert found - {"damsonpick"} <= set(sys.stdlib_module_names)
    assert not found & {"time", "datetime", "os", "io", "socket", "threading", "secrets"}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_decisions_avoid_hash_and_sets(path):
    text = path.read_text()
    calls = {n.func.id for n in ast.walk(ast.parse(text)) if isinstance(n, ast.Call) and isinstance(n.func, ast.Name)}
    assert not calls & {"hash", "set", "frozenset", "open", "print", "input", "id"}
    assert not [n for n in ast.walk(ast.parse(text)) if isinstance(n, ast.Set | ast.SetComp)]


SCRIPT = """
from tests.helpers import SimulatedFleet
world = SimulatedFleet(seed=4, slices=24)
world.run(6, rate=40)
world.run(4, failing={"p": 1.0})
world.run(12, latency={"q": 900})
print(world.log)
"""


def test_same_events_and_seed_give_the_same_actions_under_any_hash_seed():
    outputs = {
        subprocess.run(
            [sys.executable, "-c", SCRIPT],
            cwd=ROOT,
            env={"PYTHONHASHSEED": seed},
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        for seed in ("0", "1", "77")
    }
    assert len(outputs) == 1 and len(outputs.pop()) > 1000
