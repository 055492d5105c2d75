"""Runs the fuzz target for the platform's messages on its corpus."""

from __future__ import annotations

from pathlib import Path

import pytest

from fuzz import edge_messages


@pytest.mark.parametrize("path", sorted(Path("fuzz/corpus/edge").iterdir()), ids=lambda path: path.name)
def test_corpus_whole_and_with_every_byte_changed(path):
    data = path.read_bytes()
    edge_messages.check(data)
    for position in range(len(data)):
        for value in (0, 0xFF, data[position] ^ 1):
            edge_messages.check(data[:position] + bytes((value,)) + data[position + 1 :])
