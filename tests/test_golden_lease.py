"""The lease group sends and stores as revision 0018238 did: messages, sections on disk, timing, random draws.

`golden/lease/` holds what that revision wrote: `messages.json` has one message of each kind with its fields;
`transcript.json` every call to three voters in a scripted exchange (see `lease_transcript`), what they sent,
what they stored and when they were due; `voter_folder/` the folder of one of them; `states.json` what each
read in its sections.
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
    """One of the golden JSON files."""
    return json.loads((GOLDEN / name).read_text(encoding="utf-8"))


MESSAGES = read("messages.json")
TRANSCRIPT = read("transcript.json")


def test_every_kind_of_message_is_there():
    """One example of each member of the union."""
    assert set(MESSAGES) == KINDS == {field.name for field in Message.DESCRIPTOR.oneofs[0].fields}


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_a_message_of_the_earlier_version_reads_and_writes_the_same(kind):
    """Field names, values, and the bytes written again."""
    example = MESSAGES[kind]
    message = Message.FromString(bytes.fromhex(example["bytes"]))
    assert message.WhichOneof("body") == kind
    assert MessageToDict(message, preserving_proto_field_name=True) == example["fields"]
    assert message.SerializeToString(deterministic=True).hex() == example["bytes"]


@pytest.mark.parametrize("number", range(len(TRANSCRIPT["lives"])))
def test_the_same_calls_give_the_same_messages_stores_and_times(number):
    """Each call of one life of a voter, in order."""
    life = TRANSCRIPT["lives"][number]
    calls = json.loads(json.dumps(replay(life, TRANSCRIPT["messages"])))
    for place, (answered, expected) in enumerate(zip(calls, life["calls"], strict=True)):
        assert answered == expected, f"call {place}"


def test_the_same_exchange_leaves_the_same_transcript():
    """Played from the start by this tree: every life, message and section."""
    transcript = Transcript()
    sections = play(transcript)
    assert json.loads(json.dumps(transcript.lives)) == TRANSCRIPT["lives"]
    assert (transcript.messages, sections) == (TRANSCRIPT["messages"], TRANSCRIPT["sections"])


@pytest.mark.parametrize("name", sorted(TRANSCRIPT["sections"]))
def test_the_sections_of_a_voter_read_the_same(name):
    """Promise, log, and the bytes of the whole state as it is sent in pieces."""
    sections = {key: bytes.fromhex(value) for key, value in TRANSCRIPT["sections"][name]}
    assert meaning_of(sections) == read("states.json")[name]


def test_the_folder_of_a_voter_reads_the_same(tmp_path):
    """The sections under the group's prefix, as a process finds them at its start."""
    folder = shutil.copytree(GOLDEN / "voter_folder", tmp_path / "voter")
    sections = voter_folder_of(folder)
    assert sections == {key: bytes.fromhex(value) for key, value in TRANSCRIPT["sections"]["a"]}
    assert meaning_of(sections) == read("states.json")["a"]


def test_the_same_stores_write_the_same_folder_of_a_voter(tmp_path):
    """The files of the stores that the transcript asks for, in order."""
    write_voter_folder(tmp_path / "voter", TRANSCRIPT["lives"][0])
    assert files_of(tmp_path / "voter") == files_of(GOLDEN / "voter_folder")
