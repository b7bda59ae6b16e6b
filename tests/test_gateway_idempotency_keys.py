"""Classes whose repeats engines drop by a token, and classes that keep an order: what clients say of them goes on unchanged."""

import json

import pytest
from gateway_world import RESULT, SETTINGS, answered
from loopback import until, wait

from lichenquay.gateway import frames

TOKEN = "3e0a76d25c62fbf2eed3ea015e6f0776"


@pytest.fixture
def other(world):
    """A deployment whose manifests are tokened, or keep an order."""

    def make(**more):
        w = world(engines=2, start=False)
        settings = json.loads(json.dumps(SETTINGS))
        settings["classes"][2].update(more)
        w.path.write_text(json.dumps({**w.config, "settings": settings}))
        w.start()
        until(lambda: w.service.discovery.is_confirmed)
        return w

    return make


def headers(w):
    return [said for e in w.engines for said, _ in e.posts]


def test_a_token_goes_with_every_submission(other):
    """Risk: engines are not told by what to drop a repeat, and it runs twice (our deployments: no request as its client sent it)."""
    w = other(effect="keyed", key_ttl_us=5_000_000, group="all")
    hits = ["error", "ok"]
    for e in w.engines:
        e.ways = hits
    w.sent = lambda *sent: None  # its rule on mutating queries knows the name only
    c = w.client()
    assert answered(c, c.ask("manifest", replay=TOKEN)) == (frames.AnswerCode.COMPLETED, RESULT)
    assert [said["X-Replay-Key"] for said in headers(w)] == [TOKEN, TOKEN]
    assert (
        answered(c, c.ask("status"))[0] == frames.AnswerCode.COMPLETED
        and "X-Replay-Key" not in headers(w)[-1]
    )


def test_without_its_token_it_is_not_sent_again(other):
    """Risk: nothing tells its engine that it is a repeat."""
    w = other(effect="keyed", key_ttl_us=5_000_000, group="all")
    hits = ["error", "ok"]
    for e in w.engines:
        e.ways = hits
    c = w.client()
    assert answered(c, c.ask("manifest"))[0] == frames.AnswerCode.FAILED and w.posts() == 1


def test_queries_of_one_key_go_one_at_a_time(other):
    """Risk: the key is left out, and a class that keeps an order keeps none."""
    w = other(serial_by_key=True)
    for e in w.engines:
        e.ways = ["hold"] * 4
    c = w.client()
    first, second, third = (c.ask("manifest", lookup=key, allow=4000) for key in ("ds:7", "ds:7", "ds:8"))
    until(lambda: w.posts() == 2)
    wait(0.2)
    assert w.posts() == 2 and sorted(said["X-Thing"] for said in headers(w)) == ["ds:7", "ds:8"]
    for e in w.engines:
        e.ways, e.runs = [], dict.fromkeys(e.runs, "ok")
    assert [answered(c, s)[0] for s in (first, second, third)] == [
        frames.AnswerCode.COMPLETED
    ] * 3 and w.posts() == 3


@pytest.mark.parametrize(
    "odd", [{"replay": "a\r\nX-Nice: 3"}, {"lookup": "a b"}, {"replay": "x" * 257}, {"lookup": "\u00e9"}]
)
def test_a_mark_that_is_none_makes_no_query(other, odd):
    """Risk: a client's field becomes another header, or another call, on an engine's connection."""
    w = other()
    c = w.client()
    assert answered(c, c.ask("manifest", **odd))[0] == frames.AnswerCode.FAILED and not w.posts()
    assert answered(c, c.ask("manifest"))[0] == frames.AnswerCode.COMPLETED
