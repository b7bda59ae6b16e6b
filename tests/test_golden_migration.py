"""Messages and logs of the migration are byte for byte those of revision 0018238.

A fleet is upgraded one gateway at a time: coordinators of both revisions hand sessions over to each other,
and each reads the log that the other wrote. Revision 0018238 wrote `golden/migration/transcript.json` from
the same script.
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
    """Returns the transcript of the script, run by this revision."""
    return Exchange().run().transcript()


@pytest.mark.parametrize("part", ("messages", "answers"))
def test_the_same_script_gives_the_same_messages_and_answers(transcript, part):
    """They are equal byte for byte, in the same order, and answers come at the same times."""
    assert transcript[part] == GOLDEN[part]


@pytest.mark.parametrize("group", GROUPS)
def test_the_same_script_gives_the_same_log(transcript, group):
    """Records, the snapshots at half and at the end, and the states of the sessions are equal."""
    assert transcript["replica_groups"][group] == GOLDEN["replica_groups"][group]


def test_the_golden_file_has_every_kind():
    """It has every kind of message, every kind of change, and a state."""
    expected = {f"message {kind}" for kind in MESSAGE_KINDS} | {f"change {kind}" for kind in CHANGE_KINDS}
    assert GOLDEN["kinds"].keys() == expected | {"state"}


@pytest.mark.parametrize("kind", sorted(GOLDEN["kinds"]))
def test_each_kind_of_message_and_change_is_read_as_before(kind):
    """Each field has its former name and value, and the message is encoded to the same bytes."""
    golden = GOLDEN["kinds"][kind]
    message = TYPES[kind.split()[0]].FromString(bytes.fromhex(golden["bytes"]))
    assert MessageToDict(message, preserving_proto_field_name=True) == golden["fields"]
    assert message.SerializeToString(deterministic=True).hex() == golden["bytes"]


@pytest.mark.parametrize("group", GROUPS)
def test_a_stored_log_is_loaded_as_before(group):
    """The last snapshot, the one at half with all records, and the records alone give the same state."""
    golden = GOLDEN["replica_groups"][group]
    records = [bytes.fromhex(record) for record in golden["records"]]
    state, none_left = ledger_records.read(bytes.fromhex(golden["base_at_end"]), [])
    half_state, _ = ledger_records.read(bytes.fromhex(golden["base_after_half"]), [])
    assert not none_left
    assert state.hex() == golden["state"]
    for start, later in ((state, []), (half_state, records), (b"", records)):
        assert StateMachine.load(group, start, later).state() == state
