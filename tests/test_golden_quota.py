"""Messages and the ledger of the quota are byte for byte those of revision 0018238.

A fleet is upgraded one gateway at a time: leaders and gateways of both revisions exchange messages, and each
reads the ledger that the other wrote. Revision 0018238 wrote `golden/quota/transcript.json` from the same
script.
"""

import json
from pathlib import Path

import pytest
from golden_quota_exchange import Exchange, amounts_of
from google.protobuf.json_format import MessageToDict

from lichenquay.quota import ledger_records
from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.ledger import Ledger

GOLDEN = json.loads(
    (Path(__file__).parent / "golden" / "quota" / "transcript.json").read_text(encoding="utf-8")
)
MESSAGE_KINDS = {"ask": pb.Message, "answer": pb.Message, "state": pb.State}
CHANGE_KINDS = ("open", "beat", "word", "lapse", "loan", "repay", "grant")


@pytest.fixture(scope="module")
def transcript():
    """Returns the transcript of the script, run by this revision."""
    return Exchange().run().transcript()


@pytest.mark.parametrize("part", sorted(GOLDEN.keys() - {"kinds"}))
def test_the_same_script_gives_the_same_bytes(transcript, part):
    """Messages, records, the snapshots at half and at the end, and the pieces of a record are equal."""
    assert transcript[part] == GOLDEN[part]


@pytest.mark.parametrize("kind", sorted({*MESSAGE_KINDS, *CHANGE_KINDS}))
def test_each_kind_of_message_and_change_is_read_as_before(kind):
    """Each field has its former name and value, and the message is encoded to the same bytes."""
    golden = GOLDEN["kinds"][kind]
    message = MESSAGE_KINDS.get(kind, pb.Change).FromString(bytes.fromhex(golden["bytes"]))
    assert MessageToDict(message, preserving_proto_field_name=True) == golden["fields"]
    assert message.SerializeToString(deterministic=True).hex() == golden["bytes"]


def test_a_stored_ledger_is_loaded_with_the_same_amounts():
    """The last snapshot, the one at half with all records, and the records alone give the same amounts."""
    records = [bytes.fromhex(record) for record in GOLDEN["records"]]
    state, none_left = ledger_records.read(bytes.fromhex(GOLDEN["base_at_end"]), [])
    assert state.hex() == GOLDEN["state"] and not none_left
    half_state, _ = ledger_records.read(bytes.fromhex(GOLDEN["base_after_half"]), [])
    for ledger in (Ledger.load(state), Ledger.load(half_state, records), Ledger.load(b"", records)):
        assert amounts_of(ledger) == GOLDEN["accounts"]
        assert ledger.state().hex() == GOLDEN["state"]


def test_a_stored_ledger_with_rows_that_were_written_off_is_loaded_as_before():
    """The rows are those of the gateway that was partitioned."""
    state = bytes.fromhex(GOLDEN["state_with_expired_rows"])
    assert [book.front for book in pb.State.FromString(state).books if book.lapsed] == ["gateway-2"]
    assert Ledger.load(state).state() == state


def test_a_stored_record_is_assembled_from_its_pieces():
    """An incomplete record is not returned; all pieces together give the record."""
    pieces = [bytes.fromhex(piece) for piece in GOLDEN["large_record_pieces"]]
    base = bytes.fromhex(GOLDEN["base_amid_a_record"])
    assert len(pieces) == 3
    assert ledger_records.read(base, []) == (b"", [])
    state, (record,) = ledger_records.read(base, pieces[2:])
    assert state == b"" and ledger_records.split(record) == pieces
    assert [change.open.tenant for change in pb.Record.FromString(record).changes] == ["north", "south"] * 30
