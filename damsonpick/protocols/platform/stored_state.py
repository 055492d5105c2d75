"""How orders change the state that the registry stores: table entries and admission levels."""

from __future__ import annotations

import json
import zlib
from collections.abc import Mapping

from damsonpick import interface as api

TableEntries = dict[str, float]  # weight by endpoint
AdmissionLevels = dict[int, float]  # by index of the request class


def tables_digest(tables: Mapping[int, TableEntries]) -> int:
    """Return a checksum of all entries, to compare what two programs take for stored.

    Weights count with the six digits that they have on the wire.
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
    """Apply an order to the levels that hold for all tables; one for a single table does not change them.

    Args:
        levels: changed in place.
        order: one without classes is for all classes.
        class_count: number of request classes.
    """
    if order.table is not None:
        return
    for class_index in order.classes or range(class_count):
        levels[class_index] = order.level
