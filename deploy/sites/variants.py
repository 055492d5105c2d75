"""Write the sites of two other customers, derived from the operators' own: `python deploy/sites/variants.py SITE.toml`.

The repository contains nothing of the operators' pages: the output next to this script is git-ignored. The tables below
list the changes. It is an error if the site lacks a table or a key that they change, or has the key more than once.
"""

from __future__ import annotations

import re
import shutil
import sys
from pathlib import Path

HERE = Path(__file__).parent
# Files next to the site that each variant gets a copy of.
COPIED_FILES = "real.json", "wire.json", "design.json", "unlock.txt"

# Names that are replaced wherever they occur as a quoted string.
NAMES = {
    "prva": {
        "parking-varazdin": "prva-kuca",
        "hallerova": "zone 1/a",
        "gospodarska": "šumska",
        "trakoscanska": "Z_3",
        "parking-posluzitelji": "radnici",
        "brzi-3": "m.large",
        "siroki-5": "m.wide",
    },
    "druga": {
        "parking-varazdin": "druga-kuca",
        "hallerova": "north",
        "gospodarska": "south",
        "trakoscanska": "west",
        "parking-posluzitelji": "pool",
        "brzi-3": "x1",
        "siroki-5": "x2",
    },
}

# Keys that change: (table, index among the tables of this name, key), and the new value.
VALUES = {
    "prva": [
        (("goal", 0, "whole"), "0.55"),
        (("goal", 0, "worst_window"), "0.35"),
        (("prices", 0, "waste"), "0.04"),
        (("prices", 0, "cross_zone"), "0.02"),
        (("rules", 0, "drain_grace_ms"), "2000"),
        (("rules", 0, "fall_multiple"), "3"),
        (("class", 0, "name"), '"čitanje računa"'),
        (("class", 0, "share"), "[0.7, 0.8]"),
        (("class", 0, "aim_ms"), "900"),
        (("class", 0, "deadline_ms"), "2500"),
        (("class", 0, "worth"), "1"),
        (("class", 1, "name"), '"upis.2"'),
        (("class", 1, "share"), "[0.2, 0.3]"),
        (("class", 1, "worth"), "4"),
        (("class", 1, "late_worth"), "0.3"),
        (("fam", 0, "lines_per_s"), "[5200, 6400]"),
        (("fam", 0, "intake_per_s"), "700"),
        (("tier.report", 0, "fields"), '["queue", "util"]'),
    ],
    "druga": [
        (("net", 0, "zones"), '["north", "south"]'),
        (("class", 0, "name"), '"all"'),
        (("class", 0, "share"), "[1, 1]"),
        (("class", 0, "aim_ms"), "1500"),
        (("class", 0, "deadline_ms"), "4000"),
        (("class", 0, "worth"), "3"),
        (("class", 0, "effect"), '"unsafe"'),
        (("goal", 0, "whole"), "0.8"),
        (("goal", 0, "worst_class"), "0"),
        (("prices", 0, "connection"), "0.01"),
        (("fam", 0, "order_price"), "0.01"),
        (("fam", 0, "lines_per_s"), "[3000, 3800]"),
    ],
}

# Tables that are omitted: (table, index among the tables of this name).
OMITTED_TABLES = {"prva": [], "druga": [("class", 1)]}

# Tables that are added at the end: `prva` has one more class.
ADDED_TABLES = {
    "prva": """
[[class]]
name = "izvješće #3"
share = [0.05, 0.08]
work_ms = [300, 400]
dist = "lognormal"
cv = [0.4, 0.6]
attempt_noise = [0.1, 0.3]
aim_ms = 2000
deadline_ms = 5000
worth = 1
late_worth = 0.5
effect = "safe"
""",
    "druga": "",
}

TABLE_HEADER = re.compile(r"^\[\[?([\w.]+)\]\]?\s*$")


def sections(text: str) -> list[tuple[str, int, list[str]]]:
    """Return the site's tables in order, each with its name, its index among the tables of this name, and its lines."""
    found: list[tuple[str, int, list[str]]] = [("", 0, [])]
    seen: dict[str, int] = {}
    for line in text.splitlines():
        if head := TABLE_HEADER.match(line):
            name = head.group(1)
            found.append((name, seen.get(name, 0), []))
            seen[name] = seen.get(name, 0) + 1
        found[-1][2].append(line)
    return found


def make_variant(variant: str, text: str) -> str:
    """Return the text of a variant of the site `text`."""
    tables = sections(text)
    for (name, nth, key), value in VALUES[variant]:
        lines = next(lines for n, k, lines in tables if (n, k) == (name, nth))
        at = [i for i, line in enumerate(lines) if re.match(rf"{key}\s*=", line)]
        if len(at) != 1:
            raise SystemExit(f"{variant}: [{name}] {nth}: {key} stands {len(at)} times")
        lines[at[0]] = f"{key} = {value}"
    output = "\n".join(line for n, k, lines in tables if (n, k) not in OMITTED_TABLES[variant] for line in lines)
    for old, new in NAMES[variant].items():
        output = output.replace(f'"{old}"', f'"{new}"')
    return output + "\n" + ADDED_TABLES[variant]


def main(site: Path) -> None:
    for variant in VALUES:
        folder = HERE / variant
        folder.mkdir(exist_ok=True)
        (folder / f"{variant}.toml").write_text(make_variant(variant, site.read_text()))
        for name in COPIED_FILES:
            if (site.parent / name).exists():
                (folder / name).unlink(missing_ok=True)
                shutil.copyfile(site.parent / name, folder / name)
        print(folder / f"{variant}.toml")


if __name__ == "__main__":
    if len(sys.argv) != 2:
        raise SystemExit("usage: python deploy/sites/variants.py SITE.toml")
    main(Path(sys.argv[1]))
