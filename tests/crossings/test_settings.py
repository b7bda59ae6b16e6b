"""Tests of settings: unusual ones are served, and invalid ones are reported in a one-line error."""

import json

import pytest
from gateway_world import RESULT, SETTINGS, answered, reactor_for
from interleavings import counter, wait_until_complete
from loopback import until

from lichenquay.gateway import frames
from lichenquay.gateway.configuration import StartError
from lichenquay.gateway.service import Service


def settings_with(**changes):
    """Returns the default settings with these parts changed; `classes` changes each resource group."""
    settings = json.loads(json.dumps(SETTINGS))
    for name, value in changes.items():
        if name == "classes":
            for group in settings["classes"]:
                group.update(value)
        elif isinstance(value, dict) and name in settings:
            settings[name].update(value)
        else:
            settings[name] = value
    return settings


def start_world(make_world, settings, **other_configuration):
    """Starts a world whose gateway runs with these settings, and waits until it is ready."""
    world = make_world(start=False, engines=2)
    world.path.write_text(json.dumps({**world.config, "settings": settings, **other_configuration}))
    world.start()
    until(world.service.is_ready, 2)
    return world


UNUSUAL_SETTINGS = {
    "no tenants": settings_with(tenants=[]),
    "no zone": settings_with(my_zone=""),
    "one gateway": settings_with(replicas_of_me=1, slot_no=0),
    "1,024 gateways": settings_with(replicas_of_me=1024, slot_no=1023),
    "a deadline of 30 s": settings_with(classes={"deadline_us": 30_000_000}),
    "a window shorter than the connect timeout": settings_with(
        classes={"effect": "keyed", "key_ttl_us": 100_000, "group": "all"}
    ),
    "no idempotency window": settings_with(classes={"effect": "keyed", "key_ttl_us": 0, "group": "zone"}),
    "all groups mutating": settings_with(classes={"effect": "unsafe"}),
    "one attempt": settings_with(limits={"most_tries": 1}),
    "no cancellation": settings_with(limits={"cancel": False}),
    "no further attempts": settings_with(
        rules={"extra_free": 0, "further_ratio": 0.0, "counted_over_us": 5_000_000}
    ),
    "no load reports": settings_with(report={"how": "none", "columns": []}),
    "no progress, no memory grants": settings_with(
        family_info={"progress_pace_us": 0, "takes_grants": False, "ranks_heeded": False, "says_cost": False}
    ),
    "a failure domain without engines": settings_with(classes={"failure_domains_only": ["a", "elsewhere"]}),
    "unknown fields": settings_with(whatever={"x": [1, {"y": None}]}),
}


@pytest.mark.parametrize("name", UNUSUAL_SETTINGS)
def test_unusual_settings_are_served(make_world, name):
    """Guards against unusual settings with which a query of some resource group is not completed."""
    world = start_world(make_world, UNUSUAL_SETTINGS[name])
    client = world.client()
    project = {"project": None} if name == "no tenants" else {}
    assert [
        answered(client, client.ask(group, allow=2000, replay="a1", **project))
        for group in ("status", "report", "manifest")
    ] == [(frames.AnswerCode.COMPLETED, RESULT)] * 3
    wait_until_complete(world)


@pytest.mark.parametrize(
    "name",
    [
        "a window shorter than the connect timeout",
        "no idempotency window",
        "all groups mutating",
        "one attempt",
        "no further attempts",
    ],
)
def test_a_query_that_may_not_be_retried_is_sent_once(make_world, name):
    """Guards against a retry, after an attempt that may have run, that the settings do not allow."""
    world = start_world(make_world, UNUSUAL_SETTINGS[name])
    behaviours = ["error"] * 9
    for engine in world.engines:
        engine.behaviours = behaviours
    world.on_attempt = lambda *attempt: None
    client = world.client()
    if name == "a window shorter than the connect timeout":  # a retry within the window is allowed
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
    wait_until_complete(world)


def test_a_deadline_of_50_ms_is_kept(make_world):
    """The final answer arrives in time and is not COMPLETED."""
    world = start_world(make_world, settings_with(classes={"deadline_us": 50_000, "aim_us": 20_000}))
    for engine in world.engines:
        engine.behaviours = ["hold"] * 9
    client = world.client()
    until(lambda: world.service.is_ready())
    query = client.ask("report", allow=5000)
    assert answered(client, query, 0.3)[0] in (frames.AnswerCode.FAILED, frames.AnswerCode.REJECTED)
    wait_until_complete(world)
    assert counter(world, "answers completed") == 0


INVALID_SETTINGS = {
    "no classes": (settings_with(classes=[]) | {"classes": []}, "no classes"),
    "unknown effect": (settings_with(classes={"effect": "odd"}), "effect"),
    "no deadline": (settings_with(classes={"deadline_us": None}), "deadline"),
    "text instead of a number": (settings_with(resolution_us="soon"), "resolution"),
    "null": (None, "settings"),
    "a list": ([1], "settings"),
}


@pytest.mark.parametrize("name", INVALID_SETTINGS)
def test_invalid_settings_are_reported_in_one_line(make_world, name):
    """The error names the invalid part of the settings."""
    settings, expected_word = INVALID_SETTINGS[name]
    world = make_world(start=False)
    world.path.write_text(json.dumps({**world.config, "settings": settings}))
    with pytest.raises(StartError) as error:
        Service(reactor_for(world), {"BALANCER_CONFIG": str(world.path)})
    assert expected_word in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize("content", ["", "{", "[]", "null", '{"name": "n1"}', "\x00", '{"listen": 3}'])
def test_an_incomplete_configuration_file_changes_nothing(make_world, content):
    """The file is counted as rejected, and the gateway continues with its previous configuration."""
    world = make_world(engines=1)
    previous = world.service.config.discovery_address, world.service.engines.descriptor_budget
    world.path.write_text(content)
    world.service.reload()
    assert (
        world.service.config.discovery_address,
        world.service.engines.descriptor_budget,
    ) == previous and counter(world, "configurations rejected") == 1
    client = world.client()
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED


@pytest.mark.parametrize(
    "raw_answer",
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
def test_an_invalid_endpoint_list_changes_nothing(make_world, raw_answer):
    """The gateway continues with its last endpoint list, and applies the next valid one."""
    world = make_world(engines=1)
    world.discovery.raw_answer = raw_answer
    polls_before = world.discovery.polls
    for connection in list(world.discovery.connections):
        connection.transport.abortConnection()
    until(lambda: world.discovery.polls > polls_before + 1)
    client = world.client()
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED and list(
        world.service.engines_by_id
    ) == ["s-0"]
    world.discovery.raw_answer = None
    world.announce(world.engines[0], "DRAINING")
    until(lambda: world.service.discovery.last_number == 2, 3)
