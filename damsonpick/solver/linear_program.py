"""Builds a linear program row by row and converts it to the format of HiGHS."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import highspy
import numpy as np

INFINITY = highspy.kHighsInf

HighsOption = bool | int | float | str


class Term(NamedTuple):
    """Columns that share one coefficient in a row."""

    columns: Sequence[int]
    coefficient: float


@dataclass(slots=True, eq=False)
class LinearProgram:
    """Minimise costs * x with 0 <= x <= upper, and with row_lower <= row * x <= row_upper for each row.

    The order of columns and rows affects the result: it determines which of several solutions of equal cost is found.
    """

    costs: list[float] = field(default_factory=list)  # by column
    upper: list[float] = field(default_factory=list)  # by column
    row_lower: list[float] = field(default_factory=list)
    row_upper: list[float] = field(default_factory=list)
    # The matrix by rows: row k has the entries from row_starts[k] up to, but not including, row_starts[k + 1].
    row_starts: list[int] = field(default_factory=lambda: [0])
    entry_columns: list[int] = field(default_factory=list)
    entry_values: list[float] = field(default_factory=list)

    @property
    def column_count(self) -> int:
        """Number of columns added so far, which is the index of the next column."""
        return len(self.costs)

    def add_column(self, cost: float, upper: float) -> int:
        """Add a column and return its index."""
        self.costs.append(cost)
        self.upper.append(upper)
        return len(self.costs) - 1

    def add_row(self, *terms: Term, lower: float, upper: float) -> None:
        """Add a row, which constrains the sum of its terms to the range from `lower` to `upper`."""
        for columns, coefficient in terms:
            self.entry_columns.extend(columns)
            self.entry_values.extend([coefficient] * len(columns))
        self.row_starts.append(len(self.entry_columns))
        self.row_lower.append(lower)
        self.row_upper.append(upper)

    def to_highs(self) -> highspy.HighsLp:
        """Return the program in the format of HiGHS."""
        lp = highspy.HighsLp()
        lp.num_col_ = len(self.costs)
        lp.num_row_ = len(self.row_lower)
        lp.col_cost_ = np.array(self.costs)
        lp.col_lower_ = np.zeros(len(self.costs))
        lp.col_upper_ = np.array(self.upper, dtype=float)
        lp.row_lower_ = np.array(self.row_lower, dtype=float)
        lp.row_upper_ = np.array(self.row_upper, dtype=float)
        lp.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
        lp.a_matrix_.start_ = np.array(self.row_starts)
        lp.a_matrix_.index_ = np.array(self.entry_columns, dtype=np.int32)
        lp.a_matrix_.value_ = np.array(self.entry_values)
        return lp


def new_highs(options: Mapping[str, HighsOption]) -> highspy.Highs:
    """Create a HiGHS solver without output and with one thread; `options` may override these defaults."""
    highs = highspy.Highs()
    all_options: dict[str, HighsOption] = {"output_flag": False, "threads": 1, "parallel": "off", **options}
    for name, value in all_options.items():
        highs.setOptionValue(name, value)
    return highs
