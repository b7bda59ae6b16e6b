"""The gateway reads and writes client frames and engine calls as revision 0018238 did.

`golden/gateway/messages.json` holds a request of each resource group (with every optional field), each
answer, each call to an engine and each kind of engine reply, as that revision encoded and decoded them.
"""

import json
from pathlib import Path

import pytest

from lichenquay.admission.domain import ProgressKind
from lichenquay.gateway import engine_protocol, frames, http
from lichenquay.gateway.statement import table_group_of

pytestmark = pytest.mark.together

MESSAGES = json.loads(
    (Path(__file__).parent / "golden" / "gateway" / "messages.json").read_text(encoding="utf-8")
)
PROGRESS_KINDS = (ProgressKind.PROGRESS, ProgressKind.SPILLING, ProgressKind.WAITING)
BODY = (b"1\ta\tb\n", b"2\tc\td\n")


@pytest.mark.parametrize("case", MESSAGES["requests"], ids=lambda case: case["values"]["service"])
def test_a_client_request_is_read_as_before(case):
    """Each field has the same value, and unknown fields are ignored."""
    ((kind, stream, payload),) = frames.FrameReader().feed(bytes.fromhex(case["frame"]))
    request = frames.read_query(payload)
    assert (kind, stream, request.repeated_field) == (case["kind"], case["stream"], None)
    assert {wire: getattr(request, field.name) for wire, field in frames.FIELDS.items()} == case["values"]
    assert bytes(request.statement).decode() == case["statement"]
    assert table_group_of(case["statement"]) == case["table_group"]


def test_answers_to_clients_are_the_same_bytes():
    """One answer of each code, both readiness answers and GO_AWAY."""
    written = {
        "completed": frames.encode_answer(7, frames.AnswerCode.COMPLETED, *BODY),
        "rejected": frames.encode_answer(7, frames.AnswerCode.REJECTED, *BODY),
        "failed": frames.encode_answer(7, frames.AnswerCode.FAILED, *BODY),
        "ready": frames.encode_readiness(3, is_ready=True),
        "not ready": frames.encode_readiness(4, is_ready=False),
        "no more requests": frames.encode_frame(frames.FrameType.GO_AWAY, 0),
    }
    assert {name: data.hex() for name, data in written.items()} == MESSAGES["answers"]


@pytest.mark.parametrize(
    "case", MESSAGES["calls"], ids=lambda case: f"{case['call']}-{case['arguments'][2:3]}"
)
def test_calls_to_engines_are_the_same_bytes(case):
    """The first call of each resource group, polls, pages, priorities and cancellation."""
    calls = {
        "start": engine_protocol.encode_start,
        "page": engine_protocol.encode_page,
        "priority": engine_protocol.encode_priority,
        "give_up": engine_protocol.encode_cancel,
    }
    arguments = list(case["arguments"])
    if case["call"] == "start":
        arguments[6] = arguments[6].encode()
    assert calls[case["call"]](*arguments).decode() == case["bytes"]


@pytest.mark.parametrize(
    "case", MESSAGES["replies"], ids=lambda case: case["bytes"][9:60].replace("\r\n", " ")
)
def test_engine_replies_mean_what_they_meant(case):
    """Status, progress, load report, cost, and which calls each reply may answer."""
    reply = http.ReplyReader().feed(case["bytes"].encode())
    progress = engine_protocol.read_progress(reply)
    understood = {
        "status": reply.status,
        "news": bool(engine_protocol.is_poll_reply(reply)),
        "page_1": bool(engine_protocol.page_reply_check(1)(reply)),
        "done": bool(engine_protocol.is_acknowledgement(reply)),
        "overloaded": bool(engine_protocol.is_overloaded(reply)),
        "note": None if progress is None else [PROGRESS_KINDS.index(progress[0]), progress[1]],
        "report": engine_protocol.read_load_report(reply),
        "cost": None if engine_protocol.read_cost(reply) is None else list(engine_protocol.read_cost(reply)),
    }
    assert understood == {name: value for name, value in case.items() if name != "bytes"}
