"""Applies orders to table entries and admission levels as the registry does, and computes a checksum of all tables."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping

from damsonpick import interface as api

TableEntries = dict[str, float]  # weight by endpoint
AdmissionLevels = dict[int, float]  # level by index of the request class


def tables_digest(tables: Mapping[int, TableEntries]) -> int:
    """Return a checksum of all tables and entries, to check whether two programs know the same stored state.

    Weights are rounded to six significant digits, as on the wire.
    """
    entries = sorted((number, name, f"{weight:.6g}") for number, t in tables.items() for name, weight in t.items())
    return zlib.crc32(json.dumps([sorted(tables), entries]).encode())


def apply_entry(entries: TableEntries, order: api.SetEntry) -> None:
    """Apply an order to the entries of its table; a weight of 0 removes the entry."""
    if order.weight > 0:
        entries[order.endpoint] = order.weight
    else:
        entries.pop(order.endpoint, None)


def apply_admission(levels: AdmissionLevels, order: api.SetAdmission, class_count: int) -> None:
    """Apply an order to the levels that apply to all tables. An order for a single table does not change them.

    Args:
        levels: Levels by class; changed in place.
        order: The order. If it names no classes, it applies to all of them.
        class_count: Number of request classes.
    """
    if order.table is not None:
        return
    for class_index in order.classes or range(class_count):
        levels[class_index] = order.level
