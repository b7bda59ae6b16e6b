"""Compatibility of the store with revision 0018238: file names, headers, records, incarnation.

`golden/storage/` holds the folders that this revision wrote for the histories of `storage_golden`, and in
`meaning.json` the state that it read from them.
"""

import json
import shutil
from pathlib import Path

import pytest
from storage_golden import HISTORIES, files_of, meaning_of

pytestmark = pytest.mark.together

GOLDEN = Path(__file__).parent / "golden" / "storage"


@pytest.mark.parametrize("history", HISTORIES)
def test_a_folder_of_the_earlier_version_is_read_identically(tmp_path, history):
    """Sections, record number, generation, skipped files and the next incarnation are the same."""
    folder = shutil.copytree(GOLDEN / history, tmp_path / history)
    expected = json.loads((GOLDEN / "meaning.json").read_text(encoding="utf-8"))
    assert meaning_of(folder) == expected[history]


@pytest.mark.parametrize("history", HISTORIES)
def test_the_same_history_writes_the_same_files(tmp_path, history):
    """Names and bytes of every file are the same."""
    HISTORIES[history](tmp_path / history)
    assert files_of(tmp_path / history) == files_of(GOLDEN / history)


def test_opening_a_folder_of_the_earlier_version_writes_the_same_files(tmp_path):
    """The files after opening are the same as after opening by the earlier version."""
    folder = shutil.copytree(GOLDEN / "torn", tmp_path / "torn")
    meaning_of(folder)
    assert files_of(folder) == files_of(GOLDEN / "torn_opened")
