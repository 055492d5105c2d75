"""A hash of a set of named resources that a change of one resource updates in constant time. Sans I/O.

Names fall into 64 *ranges* by their hash. A range's sum adds up the 64-bit hashes (XXH3) of its `name, version` pairs
modulo 2^64, so a pair is removed by subtraction and the order of changes does not matter (an additive multiset hash:
M. Bellare, D. Micciancio, "A New Paradigm for Collision-free Hashing", 1997). The *root* is the 128-bit XXH3 of the
sums: a tree of two levels. Comparing ranges finds what differs with 64 numbers instead of all names. It guards against
loss, mixing up and corruption, not against somebody who makes collisions on purpose.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

from damsonpick.state.history.errors import RangeSumsError

RANGE_COUNT = 64
UINT64_MASK = (1 << 64) - 1
SUM_HEX_DIGITS = 16


def range_of(name: str) -> int:
    """The range that a name falls into, 0 to `RANGE_COUNT` - 1."""
    return xxhash.xxh3_64_intdigest(name.encode()) % RANGE_COUNT


def _pair_hash(name: str, version: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{version}".encode())


class Digest:
    """The digest of a set of names, each with a version."""

    def __init__(self, versions: Mapping[str, str] | None = None) -> None:
        """Begin with versions by name; None: with the empty set."""
        self.sums = [0] * RANGE_COUNT
        for name, version in (versions or {}).items():
            self.change(name, "", version)

    def change(self, name: str, old: str, new: str) -> None:
        """A name goes from one version to another; '' stands for none."""
        added = _pair_hash(name, new) if new else 0
        removed = _pair_hash(name, old) if old else 0
        index = range_of(name)
        self.sums[index] = (self.sums[index] + added - removed) & UINT64_MASK

    def root(self) -> str:
        """The hash of the whole set: 32 hex digits."""
        return xxhash.xxh3_128_hexdigest(b"".join(range_sum.to_bytes(8, "big") for range_sum in self.sums))

    def range_sums(self) -> str:
        """All sums as text: 16 hex digits each."""
        return "".join(f"{range_sum:016x}" for range_sum in self.sums)

    def copy(self) -> Digest:
        """An independent digest of the same set."""
        duplicate = Digest()
        duplicate.sums = list(self.sums)
        return duplicate

    def differing_ranges(self, range_sums: str) -> list[int]:
        """Ranges whose sums differ from those of another digest.

        Args:
            range_sums: of the other digest, as `range_sums` gives them.

        Raises:
            RangeSumsError: the text has another length.
            ValueError: it has characters that are no hex digits.
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
    """Those names that fall into these ranges, in their order."""
    wanted = set(ranges)
    return [name for name in names if range_of(name) in wanted]
