"""The list before the whole front: a bulletin that goes wrong, engines that leave and come back."""

import pytest
from gateway_world import answered
from loopback import until, wait

from lichenquay.admission import domain
from lichenquay.gateway import engine_protocol, frames
from lichenquay.gateway.discovery import Discovery
from lichenquay.gateway.endpoint_events import EndpointListError
from lichenquay.gateway.engine_call import EngineCall
from lichenquay.gateway.engine_pool import GatewayEngine


def test_a_bulletin_that_goes_back_changes_nothing():
    heard = []
    b = Discovery({"no": 2, "items": []}, lambda *news: heard.append(news), None)
    good = {"no": 3, "roster": {"all": True, "targets": []}}
    for told in ({"no": 1, "items": []}, {"no": 4, "items": [good, {"no": 4}]}, [], {"no": "x", "items": []}):
        with pytest.raises(EndpointListError):
            b.apply(told)
    assert b.last_number == 2 and not heard
    b.apply({"no": 3, "items": [good, good | {"no": 2}]})
    assert b.last_number == 3 and heard == [(True, [])]


def test_drains_act_at_once_and_an_address_may_come_back(world):
    w = world(engines=2)
    c = w.client()
    w.tell(w.engines[0], "DRAINING")
    until(lambda: w.service.discovery.last_number == 2)
    for _ in range(8):
        assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED
    assert not w.engines[0].posts and len(w.engines[1].posts) == 8
    old = w.service.engines_by_id["s-1"]
    w.bulletin.add(w.engines[1].row("DELETED"), {**w.engines[1].row(), "uid": "s-new"})
    until(lambda: w.service.discovery.last_number == 3)
    assert not old.idle_connections and "s-1" not in w.service.engines_by_id
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED and len(w.engines[1].posts) == 9
    w.drained.clear()
    w.bulletin.add(w.engines[0].row(), whole=True)
    until(lambda: w.service.discovery.last_number == 4)
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED and len(w.engines[0].posts) == 1


def test_what_was_announced_while_a_front_started_is_known_before_the_first_submission(world):
    """Seen on herd+mass: 22 queries went to engines that had been announced as leaving while the front started."""
    w = world(engines=2, start=False)
    w.tell(w.engines[0], "DRAINING")  # after the configuration was written
    w.drained[w.engines[0]] -= 1
    w.bulletin.mute = True
    w.start()
    c = w.client()
    streams = [c.ask("report", allow=4000) for _ in range(4)]
    wait(0.05)
    assert not w.posts() and not w.service.is_ready()
    w.bulletin.mute = False
    for line in list(w.bulletin.lines):
        line.transport.abortConnection()
    assert all(answered(c, s)[0] == frames.AnswerCode.COMPLETED for s in streams) and w.service.is_ready()
    assert not w.engines[0].posts and w.engines[1].posts


def test_a_front_is_ready_as_soon_as_its_list_is_confirmed(world):
    w = world(engines=1)
    until(w.service.is_ready, 0.5)
    wait(0.1)
    assert w.bulletin.calls == 2  # one that is answered at once, one that waits for news


def test_a_submission_on_its_way_meets_a_drain():
    engine = GatewayEngine("e", address="127.0.0.1:1")
    call, ends = EngineCall(engine, b"", engine_protocol.is_poll_reply, starts_attempt=True), []
    call.reply.addErrback(ends.append)
    assert not call.withdraw_if_engine_left()
    engine.state = domain.EndpointState.DRAINING
    assert call.withdraw_if_engine_left() and ends and not call.is_written


def test_the_bulletin_goes_wrong_and_comes_back(world):
    w = world(engines=1)
    c = w.client()
    w.bulletin.garbage = b'{"no": 0, "items": []}'
    for line in list(w.bulletin.lines):
        line.transport.abortConnection()
    calls = w.bulletin.calls
    until(lambda: w.bulletin.calls > calls + 1)
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED  # the last good list is kept
    w.bulletin.garbage = None
    w.bulletin.add(w.engines[0].row("DRAINING"))
    until(lambda: w.service.discovery.last_number == 2)


def test_a_bulletin_with_nothing_new_keeps_nobody_busy(world):
    w = world(engines=1)
    w.bulletin.garbage = w.bulletin.told(1)
    calls = w.bulletin.calls
    w.bulletin.add(w.engines[0].row())
    w.bulletin.garbage = b'{"no": 2, "items": []}'
    wait(0.6)
    assert 2 < w.bulletin.calls - calls < 10
