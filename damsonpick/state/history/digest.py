"""A hash of a set of named resources that a change of one resource moves in constant time. Sans I/O.

Names fall into 64 *ranges* by their hash. A range's sum adds up the 64-bit hashes (XXH3) of its `name, version` pairs
modulo 2^64, so a pair is taken out by subtraction and the order of changes does not matter (an additive multiset hash:
M. Bellare, D. Micciancio, "A New Paradigm for Collision-free Hashing", 1997). The *root* is the 128-bit XXH3 of the
sums: a tree of two levels. Comparing ranges finds what differs with 64 numbers instead of all names. It guards against
loss, mixing up and corruption, not against somebody who makes collisions on purpose.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

RANGES = 64
WORD = (1 << 64) - 1


def range_of(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % RANGES


def _leaf(name: str, version: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{version}".encode())


class Digest:
    """Args: versions: version by name, to start with."""

    def __init__(self, versions: Mapping[str, str] | None = None) -> None:
        self.sums = [0] * RANGES
        for name, version in (versions or {}).items():
            self.change(name, "", version)

    def change(self, name: str, old: str, new: str) -> None:
        """A name goes from one version to another; '' stands for none."""
        place = range_of(name)
        gained = (_leaf(name, new) if new else 0) - (_leaf(name, old) if old else 0)
        self.sums[place] = (self.sums[place] + gained) & WORD

    def root(self) -> str:
        """32 hex digits."""
        return xxhash.xxh3_128_hexdigest(b"".join(s.to_bytes(8, "big") for s in self.sums))

    def ranges(self) -> str:
        """All sums as text: 16 hex digits each."""
        return "".join(f"{s:016x}" for s in self.sums)

    def copy(self) -> Digest:
        made = Digest()
        made.sums = list(self.sums)
        return made

    def differing(self, ranges: str) -> list[int]:
        """Ranges whose sums are not those of another's `ranges`.

        Raises:
            ValueError: it is no such text.
        """
        if len(ranges) != 16 * RANGES:
            raise ValueError(f"ranges have {16 * RANGES} hex digits, not {len(ranges)}")
        theirs = [int(ranges[16 * k : 16 * k + 16], 16) for k in range(RANGES)]
        return [k for k, (a, b) in enumerate(zip(self.sums, theirs, strict=True)) if a != b]


def within(names: Iterable[str], ranges: Iterable[int]) -> list[str]:
    """Those names that fall into these ranges."""
    chosen = set(ranges)
    return [n for n in names if range_of(n) in chosen]
