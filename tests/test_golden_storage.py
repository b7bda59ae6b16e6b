"""The store reads and writes folders as revision 0018238 did: file names, headers, records, incarnation.

`golden/storage/` holds the folders that revision wrote for the histories of `storage_golden`, and in
`meaning.json` what it read in them.
"""

import json
import shutil
from pathlib import Path

import pytest
from storage_golden import HISTORIES, files_of, meaning_of

pytestmark = pytest.mark.together

GOLDEN = Path(__file__).parent / "golden" / "storage"


@pytest.mark.parametrize("history", HISTORIES)
def test_a_folder_of_the_earlier_version_reads_the_same(tmp_path, history):
    """Sections, record number, generation, what was left out, and the next incarnation."""
    folder = shutil.copytree(GOLDEN / history, tmp_path / history)
    expected = json.loads((GOLDEN / "meaning.json").read_text(encoding="utf-8"))
    assert meaning_of(folder) == expected[history]


@pytest.mark.parametrize("history", HISTORIES)
def test_the_same_history_writes_the_same_files(tmp_path, history):
    """Names and bytes of every file."""
    HISTORIES[history](tmp_path / history)
    assert files_of(tmp_path / history) == files_of(GOLDEN / history)


def test_the_folder_opened_here_is_written_on_as_before(tmp_path):
    """The files after one more start are those that the earlier version left after its own."""
    folder = shutil.copytree(GOLDEN / "torn", tmp_path / "torn")
    meaning_of(folder)
    assert files_of(folder) == files_of(GOLDEN / "torn_opened")
