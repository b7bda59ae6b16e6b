"""Settings of other deployments: unusual ones are served, impossible ones are named in one line."""

import json

import pytest
from gateway_world import RESULT, SETTINGS, answered, reactor_for
from interleavings import counter, wait_until_over
from loopback import until

from lichenquay.gateway import frames
from lichenquay.gateway.configuration import StartError
from lichenquay.gateway.service import Service


def changed(**parts):
    """The usual settings with these parts changed; `classes`: in each class."""
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


def start(make_world, settings, **more):
    """A world whose gateway runs with these settings."""
    world = make_world(start=False, engines=2)
    world.path.write_text(json.dumps({**world.config, "settings": settings, **more}))
    world.start()
    until(world.service.is_ready, 2)
    return world


ODD = {
    "no tenants": changed(tenants=[]),
    "no zone": changed(my_zone=""),
    "one gateway": changed(replicas_of_me=1, slot_no=0),
    "1,024 gateways": changed(replicas_of_me=1024, slot_no=1023),
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
def test_unusual_settings_are_served(make_world, name):
    """A query of each group is completed."""
    world = start(make_world, ODD[name])
    client = world.client()
    project = {"project": None} if name == "no tenants" else {}
    assert [
        answered(client, client.ask(group, allow=2000, replay="a1", **project))
        for group in ("status", "report", "manifest")
    ] == [(frames.AnswerCode.COMPLETED, RESULT)] * 3
    wait_until_over(world)


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
def test_what_may_not_be_retried_is_not(make_world, name):
    """Settings that allow no retry, after an attempt that may have run."""
    world = start(make_world, ODD[name])
    behaviours = ["error"] * 9
    for engine in world.engines:
        engine.behaviours = behaviours
    world.on_attempt = lambda *sent: None
    client = world.client()
    if name == "a window shorter than the connect limit":  # it may be, within its window
        assert answered(client, client.ask("manifest", replay="a1"))[0] in (
            frames.AnswerCode.FAILED,
            frames.AnswerCode.REJECTED,
        )
    else:
        assert (
            answered(client, client.ask("manifest", replay="a1"))[0]
            in (frames.AnswerCode.FAILED, frames.AnswerCode.REJECTED)
            and world.posts() == 1
        )
    wait_until_over(world)


def test_a_deadline_of_50_ms_is_kept(make_world):
    """The final answer comes in time, and is not 'completed'."""
    world = start(make_world, changed(classes={"deadline_us": 50_000, "aim_us": 20_000}))
    for engine in world.engines:
        engine.behaviours = ["hold"] * 9
    client = world.client()
    until(lambda: world.service.is_ready())
    query = client.ask("report", allow=5000)
    assert answered(client, query, 0.3)[0] in (frames.AnswerCode.FAILED, frames.AnswerCode.REJECTED)
    wait_until_over(world)
    assert counter(world, "answers completed") == 0


BAD = {
    "no classes": (changed(classes=[]) | {"classes": []}, "no classes"),
    "an effect unknown": (changed(classes={"effect": "odd"}), "effect"),
    "no deadline": (changed(classes={"deadline_us": None}), "deadline"),
    "words for figures": (changed(resolution_us="soon"), "resolution"),
    "nothing": (None, "settings"),
    "a list": ([1], "settings"),
}


@pytest.mark.parametrize("name", BAD)
def test_impossible_settings_are_named_in_one_line(make_world, name):
    """The error names what is wrong."""
    settings, word = BAD[name]
    world = make_world(start=False)
    world.path.write_text(json.dumps({**world.config, "settings": settings}))
    with pytest.raises(StartError) as error:
        Service(reactor_for(world), {"BALANCER_CONFIG": str(world.path)})
    assert word in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize("content", ["", "{", "[]", "null", '{"name": "n1"}', "\x00", '{"listen": 3}'])
def test_a_configuration_half_written_changes_nothing(make_world, content):
    """It is counted as rejected, and the gateway serves."""
    world = make_world(engines=1)
    before = world.service.config.discovery_address, world.service.engines.descriptor_budget
    world.path.write_text(content)
    world.service.reload()
    assert (
        world.service.config.discovery_address,
        world.service.engines.descriptor_budget,
    ) == before and counter(world, "configurations rejected") == 1
    client = world.client()
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED


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
def test_an_endpoint_list_that_cannot_be_read_changes_nothing(make_world, told_):
    """The gateway serves by the last one, and follows the next good one."""
    world = make_world(engines=1)
    world.discovery.raw_answer = told_
    calls = world.discovery.polls
    for connection in list(world.discovery.connections):
        connection.transport.abortConnection()
    until(lambda: world.discovery.polls > calls + 1)
    client = world.client()
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED and list(
        world.service.engines_by_id
    ) == ["s-0"]
    world.discovery.raw_answer = None
    world.announce(world.engines[0], "DRAINING")
    until(lambda: world.service.discovery.last_number == 2, 3)
