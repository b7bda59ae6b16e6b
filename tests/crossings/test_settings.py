"""Settings of other customers: odd, and served rightly; or impossible, and told in one clear line."""

import json

import pytest
from gateway_world import RESULT, SETTINGS, answered, reactor_for
from hooks import over, told
from loopback import until

from lichenquay.gateway import frames
from lichenquay.gateway.configuration import StartError
from lichenquay.gateway.service import Service


def changed(**parts):
    settings = json.loads(json.dumps(SETTINGS))
    for name, value in parts.items():
        if name == "classes":
            for group in settings["classes"]:
                group.update(value)
        elif isinstance(value, dict) and name in settings:
            settings[name].update(value)
        else:
            settings[name] = value
    return settings


def started(world, settings, **more):
    w = world(start=False, engines=2)
    w.path.write_text(json.dumps({**w.config, "settings": settings, **more}))
    w.start()
    until(w.service.is_ready, 2)
    return w


ODD = {
    "no tenants": changed(tenants=[]),
    "no zone": changed(my_zone=""),
    "one front": changed(replicas_of_me=1, slot_no=0),
    "1,024 fronts": changed(replicas_of_me=1024, slot_no=1023),
    "a deadline of 30 s": changed(classes={"deadline_us": 30_000_000}),
    "a window shorter than the connect limit": changed(
        classes={"effect": "keyed", "key_ttl_us": 100_000, "group": "all"}
    ),
    "no window": changed(classes={"effect": "keyed", "key_ttl_us": 0, "group": "zone"}),
    "all mutating": changed(classes={"effect": "unsafe"}),
    "one try": changed(limits={"most_tries": 1}),
    "no cancel": changed(limits={"cancel": False}),
    "no further attempt": changed(
        rules={"extra_free": 0, "further_ratio": 0.0, "counted_over_us": 5_000_000}
    ),
    "no reports": changed(report={"how": "none", "columns": []}),
    "no notes, no grants": changed(
        family_info={"progress_pace_us": 0, "takes_grants": False, "ranks_heeded": False, "says_cost": False}
    ),
    "placed elsewhere too": changed(classes={"failure_domains_only": ["a", "elsewhere"]}),
    "unknown parts": changed(whatever={"x": [1, {"y": None}]}),
}


@pytest.mark.parametrize("name", ODD)
def test_odd_settings_are_served(world, name):
    w = started(world, ODD[name])
    c = w.client()
    project = {"project": None} if name == "no tenants" else {}
    assert [
        answered(c, c.ask(group, allow=2000, replay="a1", **project))
        for group in ("status", "report", "manifest")
    ] == [(frames.AnswerCode.COMPLETED, RESULT)] * 3
    over(w)


@pytest.mark.parametrize(
    "name",
    [
        "a window shorter than the connect limit",
        "no window",
        "all mutating",
        "one try",
        "no further attempt",
    ],
)
def test_what_may_not_be_sent_again_is_not(world, name):
    w = started(world, ODD[name])
    hits = ["error"] * 9
    for e in w.engines:
        e.ways = hits
    w.sent = lambda *sent: None
    c = w.client()
    if name == "a window shorter than the connect limit":  # it may be, within its window
        assert answered(c, c.ask("manifest", replay="a1"))[0] in (
            frames.AnswerCode.FAILED,
            frames.AnswerCode.REJECTED,
        )
    else:
        assert (
            answered(c, c.ask("manifest", replay="a1"))[0]
            in (frames.AnswerCode.FAILED, frames.AnswerCode.REJECTED)
            and w.posts() == 1
        )
    over(w)


def test_a_deadline_of_50_ms_is_kept(world):
    w = started(world, changed(classes={"deadline_us": 50_000, "aim_us": 20_000}))
    for e in w.engines:
        e.ways = ["hold"] * 9
    c = w.client()
    until(lambda: w.service.is_ready())
    q = c.ask("report", allow=5000)
    assert answered(c, q, 0.3)[0] in (frames.AnswerCode.FAILED, frames.AnswerCode.REJECTED)
    over(w)
    assert told(w, "answers completed") == 0


BAD = {
    "no classes": (changed(classes=[]) | {"classes": []}, "no classes"),
    "an effect unknown": (changed(classes={"effect": "odd"}), "effect"),
    "no deadline": (changed(classes={"deadline_us": None}), "deadline"),
    "words for figures": (changed(resolution_us="soon"), "resolution"),
    "nothing": (None, "settings"),
    "a list": ([1], "settings"),
}


@pytest.mark.parametrize("name", BAD)
def test_settings_that_cannot_be_are_told_in_one_line(world, name):
    settings, word = BAD[name]
    w = world(start=False)
    w.path.write_text(json.dumps({**w.config, "settings": settings}))
    with pytest.raises(StartError) as why:
        Service(reactor_for(w), {"BALANCER_CONFIG": str(w.path)})
    assert word in str(why.value) and "\n" not in str(why.value)


@pytest.mark.parametrize("content", ["", "{", "[]", "null", '{"name": "n1"}', "\x00", '{"listen": 3}'])
def test_a_configuration_half_written_changes_nothing_and_is_told(world, content):
    w = world(engines=1)
    before = w.service.config.discovery_address, w.service.engines.descriptor_budget
    w.path.write_text(content)
    w.service.reload()
    assert (w.service.config.discovery_address, w.service.engines.descriptor_budget) == before and told(
        w, "configurations rejected"
    ) == 1
    c = w.client()
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED


@pytest.mark.parametrize(
    "told_",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b'{"no": 2}',
        b'{"no": 2, "items": [{"no": 2, "roster": {"all": false, "targets": [{"uid": "s-0", '
        b'"endpoint": "127.0.0.1:9", "state": "ODD"}]}}]}',
        b'{"no": 2, "items": [{"no": 2, "roster": {"all": true}}]}',
    ],
)
def test_a_list_that_cannot_be_read_changes_nothing(world, told_):
    w = world(engines=1)
    w.bulletin.garbage = told_
    calls = w.bulletin.calls
    for line in list(w.bulletin.lines):
        line.transport.abortConnection()
    until(lambda: w.bulletin.calls > calls + 1)
    c = w.client()
    assert answered(c, c.ask())[0] == frames.AnswerCode.COMPLETED and list(w.service.engines_by_id) == ["s-0"]
    w.bulletin.garbage = None
    w.tell(w.engines[0], "DRAINING")
    until(lambda: w.service.discovery.last_number == 2, 3)
