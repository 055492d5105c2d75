"""Generations of a snapshot on disk: power cuts at every operation, damage, and files of newer formats."""

from __future__ import annotations

import contextlib
import itertools
from pathlib import Path

import pytest

from damsonpick.state.learned import codec, generations
from damsonpick.state.learned.snapshot import FORMAT
from tests.learned_state import snapshot, with_format

FOLDER = Path("/state")


class PowerCutError(Exception):
    pass


class PowerCutDisk:
    """A disk that fails after `stop` operations. Data that were not synced are then lost, truncated or complete."""

    def __init__(self, files, stop, part=None):
        self.data = {k: v for k, v in enumerate(files.values())}  # synced content by inode
        self.dirty = {}  # content that was not synced, by inode
        self.names = dict(zip(files, self.data, strict=True))  # inode by name, as seen by the running system
        self.durable = dict(self.names)  # inode by name, as synced
        self.pending = []  # changes of names since the last sync of the folder
        self.stop, self.part, self.count = stop, part, 0

    def _step(self):
        self.count += 1
        if self.count > self.stop:
            raise PowerCutError

    def read(self, path):
        if path.name not in self.names:
            raise FileNotFoundError(path)
        inode = self.names[path.name]
        return self.dirty.get(inode, self.data.get(inode, b""))

    def write(self, path, data):
        inode = max(self.data, default=0) + 1
        self._step()
        self.data[inode] = b""
        self.names[path.name] = inode
        self.pending.append(("make", path.name, inode))
        if self.count == self.stop and self.part is not None:
            self.dirty[inode] = data[: self.part]
            raise PowerCutError
        self.dirty[inode] = data

    def sync(self, path):
        self._step()
        inode = self.names[path.name]
        self.data[inode] = self.dirty.pop(inode, self.data[inode])

    def link(self, old, new):
        self._step()
        if old.name not in self.names:
            raise FileNotFoundError(old)
        self.names[new.name] = self.names[old.name]
        self.pending.append(("make", new.name, self.names[old.name]))

    def rename(self, old, new):
        self._step()
        if old.name not in self.names:
            raise FileNotFoundError(old)
        self.names[new.name] = self.names.pop(old.name)
        self.pending.append(("move", old.name, new.name))

    def sync_folder(self, path):
        self._step()
        self.durable, self.pending = dict(self.names), []

    def after(self, kept, torn):
        """Return the files after a power cut.

        Args:
            kept: Indexes of those pending changes of names that reached the disk.
            torn: Number of bytes that reached the disk of each file that was not synced.
        """
        names = dict(self.durable)
        for k in kept:
            kind, one, other = self.pending[k]
            if kind == "make":
                names[one] = other
            elif one in names:
                names[other] = names.pop(one)
        found = {}
        for name, inode in names.items():
            data = self.dirty.get(inode)
            found[name] = self.data.get(inode, b"") if data is None else data[:torn]
        return found


def _generations():
    return {generations.CURRENT: codec.encode(snapshot(5)), generations.PREVIOUS: codec.encode(snapshot(4))}


@pytest.mark.parametrize("damaged", [False, True])
def test_power_cut_at_every_operation_and_every_byte_leaves_the_old_or_the_new(damaged):
    """If `current` was damaged before, `previous` is the only usable generation until the new one is complete."""
    new = codec.encode(snapshot(6))
    before = _generations()
    if damaged:
        before[generations.CURRENT] = before[generations.CURRENT][:-1]
    old_sequence = 4 if damaged else 5
    loaded_sequences, cases = set(), 0
    for stop, part in [(k, None) for k in range(8)] + [(1, n) for n in range(len(new))]:
        disk = PowerCutDisk(before, stop, part)
        rotate = generations.load(disk, FOLDER).generation == generations.CURRENT
        try:
            generations.save(disk, FOLDER, new, rotate)
            saved = True
        except PowerCutError:
            saved = False
        changes = range(len(disk.pending))
        for count in range(len(disk.pending) + 1):
            for kept in itertools.combinations(changes, count):
                for torn in (0, 1, len(new) // 2, len(new) - 1, len(new)):
                    files = disk.after(kept, torn)
                    loaded = generations.load(PowerCutDisk(files, 99), FOLDER).snapshot
                    assert loaded is not None and loaded.sequence in (old_sequence, 6), (stop, part, kept, torn)
                    assert not saved or loaded.sequence == 6, "a generation that was saved successfully is lost"
                    if not damaged:
                        del files[generations.CURRENT]
                        assert generations.load(PowerCutDisk(files, 99), FOLDER).snapshot.sequence in (4, 5), (
                            "no usable second generation"
                        )
                    loaded_sequences.add(loaded.sequence)
                    cases += 1
    assert loaded_sequences == {old_sequence, 6} and cases > 1000


def test_power_cut_of_the_first_write_leaves_nothing_or_the_new():
    new = codec.encode(snapshot(1))
    for stop in range(5):
        disk = PowerCutDisk({}, stop)
        with contextlib.suppress(PowerCutError):
            generations.save(disk, FOLDER, new, False)
        for count in range(len(disk.pending) + 1):
            loaded = generations.load(PowerCutDisk(disk.after(range(count), len(new) // 2), 99), FOLDER)
            assert loaded.snapshot is None or loaded.snapshot.sequence == 1


def test_file_of_a_newer_format_prevents_writing_and_previous_replaces_a_damaged_current():
    files = _generations()
    files[generations.CURRENT] = with_format(files[generations.CURRENT], FORMAT + 1)
    loaded = generations.load(PowerCutDisk(files, 99), FOLDER)
    assert loaded.newer_format and loaded.snapshot.sequence == 4 and "left alone" in loaded.problems[0]
    files[generations.CURRENT] = b"torn"
    loaded = generations.load(PowerCutDisk(files, 99), FOLDER)
    assert (
        not loaded.newer_format
        and loaded.generation == generations.PREVIOUS
        and "fewer than a header" in loaded.problems[0]
    )
