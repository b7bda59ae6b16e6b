"""Compatibility of the lease group with revision 0018238: messages, stored sections, timing, random draws.

`golden/lease/` holds output of that revision: `messages.json` has one message of each kind with its fields;
`transcript.json` has every call to three voters in a scripted exchange (see `lease_transcript`), with the
messages sent, the sections stored and the due times; `voter_folder/` is the folder of one of them;
`states.json` has the state that each loaded from its sections.
"""

import json
import shutil
from pathlib import Path

import pytest
from google.protobuf.json_format import MessageToDict
from lease_transcript import Transcript, meaning_of, play, replay, voter_folder_of, write_voter_folder
from storage_golden import files_of

from lichenquay.lease.lease_pb2 import Message

pytestmark = pytest.mark.together

GOLDEN = Path(__file__).parent / "golden" / "lease"
KINDS = {"claim", "grant", "refuse", "blank", "round", "ack", "fetch", "piece", "ended"}


def read(name):
    """Returns the content of a golden JSON file."""
    return json.loads((GOLDEN / name).read_text(encoding="utf-8"))


MESSAGES = read("messages.json")
TRANSCRIPT = read("transcript.json")


def test_golden_messages_cover_every_kind():
    """There is one example of each member of the union."""
    assert set(MESSAGES) == KINDS == {field.name for field in Message.DESCRIPTOR.oneofs[0].fields}


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_messages_of_the_earlier_version_are_parsed_and_serialized_identically(kind):
    """Field names, values and serialized bytes are the same."""
    example = MESSAGES[kind]
    message = Message.FromString(bytes.fromhex(example["bytes"]))
    assert message.WhichOneof("body") == kind
    assert MessageToDict(message, preserving_proto_field_name=True) == example["fields"]
    assert message.SerializeToString(deterministic=True).hex() == example["bytes"]


@pytest.mark.parametrize("number", range(len(TRANSCRIPT["lives"])))
def test_the_same_calls_give_the_same_messages_stores_and_times(number):
    """Compares each call of one start of a voter, in order."""
    life = TRANSCRIPT["lives"][number]
    calls = json.loads(json.dumps(replay(life, TRANSCRIPT["messages"])))
    for index, (result, expected) in enumerate(zip(calls, life["calls"], strict=True)):
        assert result == expected, f"call {index}"


def test_the_same_exchange_leaves_the_same_transcript():
    """The whole scenario, played by the current code, gives the same starts, messages and sections."""
    transcript = Transcript()
    sections = play(transcript)
    assert json.loads(json.dumps(transcript.lives)) == TRANSCRIPT["lives"]
    assert (transcript.messages, sections) == (TRANSCRIPT["messages"], TRANSCRIPT["sections"])


@pytest.mark.parametrize("name", sorted(TRANSCRIPT["sections"]))
def test_stored_sections_of_a_voter_are_loaded_identically(name):
    """Promise, log, and the bytes of the snapshot that is sent in chunks are the same."""
    sections = {key: bytes.fromhex(value) for key, value in TRANSCRIPT["sections"][name]}
    assert meaning_of(sections) == read("states.json")[name]


def test_the_folder_of_a_voter_is_read_identically(tmp_path):
    """A process finds the same sections under the group's prefix at its start."""
    folder = shutil.copytree(GOLDEN / "voter_folder", tmp_path / "voter")
    sections = voter_folder_of(folder)
    assert sections == {key: bytes.fromhex(value) for key, value in TRANSCRIPT["sections"]["a"]}
    assert meaning_of(sections) == read("states.json")["a"]


def test_the_same_store_requests_write_the_same_folder(tmp_path):
    """The store requests of the transcript, in order, write the same files."""
    write_voter_folder(tmp_path / "voter", TRANSCRIPT["lives"][0])
    assert files_of(tmp_path / "voter") == files_of(GOLDEN / "voter_folder")
