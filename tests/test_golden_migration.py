"""The migration's messages and logs are the same bytes as those of revision 0018238.

A fleet is upgraded one gateway at a time: coordinators of both revisions hand sessions over to each other,
and each reads the log that the other wrote. `golden/migration/transcript.json` was written by that revision
from the same script.
"""

import json
from pathlib import Path

import pytest
from golden_migration_exchange import GROUPS, Exchange
from google.protobuf.json_format import MessageToDict

from lichenquay.migration import migration_pb2 as pb
from lichenquay.migration.state_machine import StateMachine
from lichenquay.quota import ledger_records

GOLDEN = json.loads(
    (Path(__file__).parent / "golden" / "migration" / "transcript.json").read_text(encoding="utf-8")
)
MESSAGE_KINDS = ("offer", "room", "handed", "kept")
CHANGE_KINDS = tuple(field.name for field in pb.Change.DESCRIPTOR.oneofs_by_name["kind"].fields)
TYPES = {"message": pb.Message, "change": pb.Change, "state": pb.State}


@pytest.fixture(scope="module")
def transcript():
    """The same script, played by this revision."""
    return Exchange().run().transcript()


@pytest.mark.parametrize("part", ("messages", "answers"))
def test_the_same_script_gives_the_same_messages_and_answers(transcript, part):
    """Byte for byte, and at the same times."""
    assert transcript[part] == GOLDEN[part]


@pytest.mark.parametrize("group", GROUPS)
def test_the_same_script_gives_the_same_log(transcript, group):
    """Records, the snapshot amid and at the end, and what is known of the sessions."""
    assert transcript["replica_groups"][group] == GOLDEN["replica_groups"][group]


def test_the_golden_file_has_every_kind():
    """Of message, of change, and a state."""
    expected = {f"message {kind}" for kind in MESSAGE_KINDS} | {f"change {kind}" for kind in CHANGE_KINDS}
    assert GOLDEN["kinds"].keys() == expected | {"state"}


@pytest.mark.parametrize("kind", sorted(GOLDEN["kinds"]))
def test_each_kind_of_message_and_change_is_read_as_before(kind):
    """Each field has the name and value that it had, and is written to the same bytes again."""
    golden = GOLDEN["kinds"][kind]
    message = TYPES[kind.split()[0]].FromString(bytes.fromhex(golden["bytes"]))
    assert MessageToDict(message, preserving_proto_field_name=True) == golden["fields"]
    assert message.SerializeToString(deterministic=True).hex() == golden["bytes"]


@pytest.mark.parametrize("group", GROUPS)
def test_a_stored_log_is_loaded_as_before(group):
    """From the last snapshot, from the one amid with the records after it, and from the records alone."""
    golden = GOLDEN["replica_groups"][group]
    records = [bytes.fromhex(record) for record in golden["records"]]
    state, none_left = ledger_records.read(bytes.fromhex(golden["base_at_end"]), [])
    half_state, _ = ledger_records.read(bytes.fromhex(golden["base_after_half"]), [])
    assert not none_left
    assert state.hex() == golden["state"]
    for start, later in ((state, []), (half_state, records), (b"", records)):
        assert StateMachine.load(group, start, later).state() == state
