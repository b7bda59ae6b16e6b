"""Idempotency keys and ordering keys of clients reach engines unchanged and have their effect."""

import json

import pytest
from gateway_world import RESULT, SETTINGS, answered, start_with_settings
from loopback import until, wait

from lichenquay.gateway import frames

IDEMPOTENCY_KEY = "3e0a76d25c62fbf2eed3ea015e6f0776"


@pytest.fixture
def make_keyed_world(make_world):
    """Returns a function that makes a world with changed settings of the resource group `manifest`."""

    def make(**group_settings):
        settings = json.loads(json.dumps(SETTINGS))
        settings["classes"][2].update(group_settings)
        return start_with_settings(make_world, settings, engines=2)

    return make


def attempt_headers(world):
    """Returns the headers of all attempts that arrived at engines."""
    return [headers for engine in world.engines for headers, _ in engine.posts]


def test_each_attempt_carries_the_idempotency_key(make_keyed_world):
    """By the key, the engine recognizes a retry."""
    world = make_keyed_world(effect="keyed", key_ttl_us=5_000_000, group="all")
    behaviours = ["error", "ok"]
    for engine in world.engines:
        engine.behaviours = behaviours
    world.on_attempt = lambda *attempt: None  # its rule 2 knows non-idempotent queries by their group only
    client = world.client()
    assert answered(client, client.ask("manifest", replay=IDEMPOTENCY_KEY)) == (
        frames.AnswerCode.COMPLETED,
        RESULT,
    )
    assert [headers["X-Replay-Key"] for headers in attempt_headers(world)] == [
        IDEMPOTENCY_KEY,
        IDEMPOTENCY_KEY,
    ]
    assert (
        answered(client, client.ask("status"))[0] == frames.AnswerCode.COMPLETED
        and "X-Replay-Key" not in attempt_headers(world)[-1]
    )


def test_a_query_without_idempotency_key_is_not_retried(make_keyed_world):
    """An engine could not recognize the retry."""
    world = make_keyed_world(effect="keyed", key_ttl_us=5_000_000, group="all")
    behaviours = ["error", "ok"]
    for engine in world.engines:
        engine.behaviours = behaviours
    client = world.client()
    assert answered(client, client.ask("manifest"))[0] == frames.AnswerCode.FAILED and world.posts() == 1


def test_queries_of_one_ordering_key_run_one_at_a_time(make_keyed_world):
    """The ordering key also reaches the engine."""
    world = make_keyed_world(serial_by_key=True)
    for engine in world.engines:
        engine.behaviours = ["hold"] * 4
    client = world.client()
    first, second, third = (
        client.ask("manifest", lookup=key, allow=4000) for key in ("ds:7", "ds:7", "ds:8")
    )
    until(lambda: world.posts() == 2)
    wait(0.2)
    assert world.posts() == 2
    assert sorted(headers["X-Thing"] for headers in attempt_headers(world)) == ["ds:7", "ds:8"]
    for engine in world.engines:
        engine.behaviours, engine.running = [], dict.fromkeys(engine.running, "ok")
    assert [answered(client, stream)[0] for stream in (first, second, third)] == [
        frames.AnswerCode.COMPLETED
    ] * 3 and world.posts() == 3


@pytest.mark.parametrize(
    "invalid_key",
    [{"replay": "a\r\nX-Nice: 3"}, {"lookup": "a b"}, {"replay": "x" * 257}, {"lookup": "\u00e9"}],
)
def test_a_request_with_an_invalid_key_fails(make_keyed_world, invalid_key):
    """The key could inject a header, or a call, on the connection to an engine."""
    world = make_keyed_world()
    client = world.client()
    assert (
        answered(client, client.ask("manifest", **invalid_key))[0] == frames.AnswerCode.FAILED
        and not world.posts()
    )
    assert answered(client, client.ask("manifest"))[0] == frames.AnswerCode.COMPLETED
