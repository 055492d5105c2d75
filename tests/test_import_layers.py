"""Modules import only from lower layers, as docs/architecture.md defines them, and no protocol imports another."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parent.parent / "damsonpick"
LAYERS = (  # lowest layer first; a module may import only from its own group and from lower layers
    ("interface", "time_units"),
    ("decisions",),
    ("state",),
    ("runtime",),
    ("settings",),
    ("protocols",),
    ("solver",),
    ("controller",),
    ("proxy", "load_tool"),
    ("testing",),
    ("cli",),
    ("__main__", "simhost", "edge"),
)
LEVELS = {group: level for level, groups in enumerate(LAYERS) for group in groups}
SHARED_PROTOCOL = "shared"
MODULES = sorted(PACKAGE.rglob("*.py"))


def name_parts(path: Path) -> tuple[str, ...]:
    parts = path.relative_to(PACKAGE).with_suffix("").parts
    return parts[:-1] if parts[-1] == "__init__" else parts


def imported(path: Path) -> Iterator[tuple[str, ...]]:
    """Yield the modules of this package that a file imports anywhere, as name parts below the package."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            assert not node.level, f"{path}: relative import"
            names = [f"{node.module}.{alias.name}" for alias in node.names]
        else:
            continue
        for name in names:
            head, *parts = name.split(".")
            if head == "damsonpick" and parts:
                yield tuple(parts)


def allowed(importer: tuple[str, ...], target: tuple[str, ...]) -> bool:
    if importer[0] == target[0] == "protocols" and len(importer) > 1:
        return target[1] in (importer[1], SHARED_PROTOCOL)
    if importer[0] == target[0]:
        return True
    return LEVELS[target[0]] < LEVELS[importer[0]]


@pytest.mark.parametrize("path", MODULES, ids=lambda path: ".".join(name_parts(path)) or "damsonpick")
def test_imports_run_down_the_layers(path):
    importer = name_parts(path)
    upward = [".".join(target) for target in imported(path) if not importer or not allowed(importer, target)]
    assert not upward


def test_every_group_has_a_layer():
    groups = {name_parts(path)[0] for path in MODULES if name_parts(path)}
    assert groups == set(LEVELS)


def test_a_protocol_may_not_import_another():
    assert not allowed(("protocols", "sasp", "server"), ("protocols", "xds", "names"))
    assert not allowed(("protocols", "shared", "session"), ("protocols", "xds", "names"))
    assert allowed(("protocols", "sasp", "server"), ("protocols", "shared", "session"))


def test_state_may_not_import_what_stands_above_it():
    assert not allowed(("state", "load_reports"), ("protocols", "xds", "names"))
    assert not allowed(("decisions", "planner"), ("state", "load_reports"))
