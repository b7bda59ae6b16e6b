"""Groups with idempotency keys, and groups ordered by key: the keys of clients reach engines unchanged."""

import json

import pytest
from gateway_world import RESULT, SETTINGS, answered, start_with_settings
from loopback import until, wait

from lichenquay.gateway import frames

TOKEN = "3e0a76d25c62fbf2eed3ea015e6f0776"


@pytest.fixture
def make_keyed_world(make_world):
    """Makes a deployment whose manifests have idempotency keys, or are ordered by key."""

    def make(**group_settings):
        settings = json.loads(json.dumps(SETTINGS))
        settings["classes"][2].update(group_settings)
        return start_with_settings(make_world, settings, engines=2)

    return make


def headers(world):
    """The headers of all attempts that came to engines."""
    return [said for engine in world.engines for said, _ in engine.posts]


def test_an_idempotency_key_goes_with_every_attempt(make_keyed_world):
    """By it, the engine drops a repeat."""
    world = make_keyed_world(effect="keyed", key_ttl_us=5_000_000, group="all")
    behaviours = ["error", "ok"]
    for engine in world.engines:
        engine.behaviours = behaviours
    world.on_attempt = lambda *sent: None  # its rule on mutating queries knows the name only
    client = world.client()
    assert answered(client, client.ask("manifest", replay=TOKEN)) == (frames.AnswerCode.COMPLETED, RESULT)
    assert [said["X-Replay-Key"] for said in headers(world)] == [TOKEN, TOKEN]
    assert (
        answered(client, client.ask("status"))[0] == frames.AnswerCode.COMPLETED
        and "X-Replay-Key" not in headers(world)[-1]
    )


def test_without_its_idempotency_key_a_query_is_not_retried(make_keyed_world):
    """Nothing would tell its engine that it is a repeat."""
    world = make_keyed_world(effect="keyed", key_ttl_us=5_000_000, group="all")
    behaviours = ["error", "ok"]
    for engine in world.engines:
        engine.behaviours = behaviours
    client = world.client()
    assert answered(client, client.ask("manifest"))[0] == frames.AnswerCode.FAILED and world.posts() == 1


def test_queries_of_one_ordering_key_run_one_at_a_time(make_keyed_world):
    """The key reaches the engine, too."""
    world = make_keyed_world(serial_by_key=True)
    for engine in world.engines:
        engine.behaviours = ["hold"] * 4
    client = world.client()
    first, second, third = (
        client.ask("manifest", lookup=key, allow=4000) for key in ("ds:7", "ds:7", "ds:8")
    )
    until(lambda: world.posts() == 2)
    wait(0.2)
    assert world.posts() == 2 and sorted(said["X-Thing"] for said in headers(world)) == ["ds:7", "ds:8"]
    for engine in world.engines:
        engine.behaviours, engine.running = [], dict.fromkeys(engine.running, "ok")
    assert [answered(client, stream)[0] for stream in (first, second, third)] == [
        frames.AnswerCode.COMPLETED
    ] * 3 and world.posts() == 3


@pytest.mark.parametrize(
    "odd", [{"replay": "a\r\nX-Nice: 3"}, {"lookup": "a b"}, {"replay": "x" * 257}, {"lookup": "\u00e9"}]
)
def test_a_key_that_is_not_valid_makes_no_query(make_keyed_world, odd):
    """It would become another header, or another call, on an engine's connection."""
    world = make_keyed_world()
    client = world.client()
    assert (
        answered(client, client.ask("manifest", **odd))[0] == frames.AnswerCode.FAILED and not world.posts()
    )
    assert answered(client, client.ask("manifest"))[0] == frames.AnswerCode.COMPLETED
