"""Digest of a set of named resources, updated in constant time when one resource changes. Sans I/O.

The hash of a name assigns it to one of 64 *ranges*. The sum of a range is the sum modulo 2^64 of the 64-bit hashes
(XXH3) of its `name, version` pairs. A pair is therefore removed by subtraction, and the order of changes is irrelevant
(an additive multiset hash: M. Bellare, D. Micciancio, "A New Paradigm for Collision-free Hashing", 1997). The *root* is
the 128-bit XXH3 of the sums, so the digest is a tree of two levels. Comparing the 64 sums of two digests finds the
ranges that differ without comparing all names. The digest detects loss, mix-ups and corruption of resources, but not
deliberately created collisions.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

from damsonpick.state.history.errors import RangeSumsError

RANGE_COUNT = 64
UINT64_MASK = (1 << 64) - 1
SUM_HEX_DIGITS = 16


def range_of(name: str) -> int:
    """Return the range of a name, 0 to `RANGE_COUNT` - 1."""
    return xxhash.xxh3_64_intdigest(name.encode()) % RANGE_COUNT


def _pair_hash(name: str, version: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{version}".encode())


class Digest:
    """Digest of a set of names, each with a version."""

    def __init__(self, versions: Mapping[str, str] | None = None) -> None:
        """Create the digest of versions by name, or of the empty set if `versions` is None."""
        self.sums = [0] * RANGE_COUNT
        for name, version in (versions or {}).items():
            self.change(name, "", version)

    def change(self, name: str, old: str, new: str) -> None:
        """Replace the version of a name. An empty `old` adds the name, an empty `new` removes it."""
        added = _pair_hash(name, new) if new else 0
        removed = _pair_hash(name, old) if old else 0
        index = range_of(name)
        self.sums[index] = (self.sums[index] + added - removed) & UINT64_MASK

    def root(self) -> str:
        """Return the hash of the whole set, 32 hex digits."""
        return xxhash.xxh3_128_hexdigest(b"".join(range_sum.to_bytes(8, "big") for range_sum in self.sums))

    def range_sums(self) -> str:
        """Return the sums of all ranges as text, 16 hex digits each."""
        return "".join(f"{range_sum:016x}" for range_sum in self.sums)

    def copy(self) -> Digest:
        """Return an independent digest of the same set."""
        duplicate = Digest()
        duplicate.sums = list(self.sums)
        return duplicate

    def differing_ranges(self, range_sums: str) -> list[int]:
        """Return the ranges whose sums differ from those of another digest.

        Args:
            range_sums: Range sums of the other digest, as returned by its `range_sums`.

        Raises:
            RangeSumsError: The text has the wrong length.
            ValueError: The text has characters other than hex digits.
        """
        expected_digits = SUM_HEX_DIGITS * RANGE_COUNT
        if len(range_sums) != expected_digits:
            raise RangeSumsError(expected_digits, len(range_sums))
        differing = []
        for index, own_sum in enumerate(self.sums):
            start = SUM_HEX_DIGITS * index
            if own_sum != int(range_sums[start : start + SUM_HEX_DIGITS], 16):
                differing.append(index)
        return differing


def names_in_ranges(names: Iterable[str], ranges: Iterable[int]) -> list[str]:
    """Return the names that belong to these ranges, in the order of `names`."""
    wanted = set(ranges)
    return [name for name in names if range_of(name) in wanted]
