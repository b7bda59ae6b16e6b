"""The endpoint list in the gateway: faults of discovery, engines that are drained, removed or come back."""

import pytest
from gateway_world import answered
from loopback import until, wait

from lichenquay.admission import domain
from lichenquay.gateway import engine_protocol, frames
from lichenquay.gateway.discovery import Discovery
from lichenquay.gateway.endpoint_events import EndpointListError
from lichenquay.gateway.engine_call import EngineCall
from lichenquay.gateway.engine_pool import GatewayEngine


def test_event_numbers_that_go_back_change_nothing():
    """Nor does an answer that is invalid in part."""
    updates = []
    discovery = Discovery({"no": 2, "items": []}, lambda *update: updates.append(update), None)
    good = {"no": 3, "roster": {"all": True, "targets": []}}
    for answer in (
        {"no": 1, "items": []},
        {"no": 4, "items": [good, {"no": 4}]},
        [],
        {"no": "x", "items": []},
    ):
        with pytest.raises(EndpointListError):
            discovery.apply(answer)
    assert discovery.last_number == 2 and not updates
    discovery.apply({"no": 3, "items": [good, good | {"no": 2}]})
    assert discovery.last_number == 3 and updates == [(True, [])]


def test_a_drain_takes_effect_at_once_and_another_engine_may_reuse_an_address(make_world):
    """Connections belong to the engine, not to its address."""
    world = make_world(engines=2)
    client = world.client()
    world.announce(world.engines[0], "DRAINING")
    until(lambda: world.service.discovery.last_number == 2)
    for _ in range(8):
        assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED
    assert not world.engines[0].posts and len(world.engines[1].posts) == 8
    old = world.service.engines_by_id["s-1"]
    world.discovery.add_event(world.engines[1].row("DELETED"), {**world.engines[1].row(), "uid": "s-new"})
    until(lambda: world.service.discovery.last_number == 3)
    assert not old.idle_connections and "s-1" not in world.service.engines_by_id
    assert (
        answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED and len(world.engines[1].posts) == 9
    )
    world.drained.clear()
    world.discovery.add_event(world.engines[0].row(), whole=True)
    until(lambda: world.service.discovery.last_number == 4)
    assert (
        answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED and len(world.engines[0].posts) == 1
    )


def test_the_parsed_endpoint_list_of_the_configuration_is_not_kept(make_world):
    """With 25,000 engines it takes 14 MB, in addition to the 32 MB that the process is assumed to take."""
    world = make_world(engines=2)
    assert len(world.service.engines_by_id) == 2
    assert world.service.config.known_endpoints is None
    world.discovery.add_event(world.engines[1].row("DELETED"))
    until(lambda: world.service.discovery.last_number == 2)
    world.service.reload()  # an older list, which changes nothing
    assert list(world.service.engines_by_id) == ["s-0"]
    assert world.service.config.known_endpoints is None


def test_a_drain_announced_during_the_start_is_known_before_the_first_attempt(make_world):
    """22 queries were once sent to engines whose drain had been announced."""
    world = make_world(engines=2, start=False)
    world.announce(world.engines[0], "DRAINING")  # after the configuration was written
    world.drained[world.engines[0]] -= 1
    world.discovery.is_silent = True
    world.start()
    client = world.client()
    streams = [client.ask("report", allow=4000) for _ in range(4)]
    wait(0.05)
    assert not world.posts() and not world.service.is_ready()
    world.discovery.is_silent = False
    for connection in list(world.discovery.connections):
        connection.transport.abortConnection()
    assert (
        all(answered(client, stream)[0] == frames.AnswerCode.COMPLETED for stream in streams)
        and world.service.is_ready()
    )
    assert not world.engines[0].posts and world.engines[1].posts


def test_a_gateway_is_ready_as_soon_as_its_endpoint_list_is_confirmed(make_world):
    """The first poll does not wait."""
    world = make_world(engines=1)
    until(world.service.is_ready, 0.5)
    wait(0.1)
    assert world.discovery.polls == 2  # one is answered at once, one waits for an event


def test_a_call_that_starts_an_attempt_is_withdrawn_on_a_drain():
    """No byte of it is written."""
    engine = GatewayEngine("e", address="127.0.0.1:1")
    call, failures = EngineCall(engine, b"", engine_protocol.is_poll_reply, starts_attempt=True), []
    call.reply.addErrback(failures.append)
    assert not call.withdraw_if_engine_left()
    engine.state = domain.EndpointState.DRAINING
    assert call.withdraw_if_engine_left() and failures and not call.is_written


def test_discovery_that_fails_and_recovers_is_followed(make_world):
    """Meanwhile the last valid endpoint list is in force."""
    world = make_world(engines=1)
    client = world.client()
    world.discovery.raw_answer = b'{"no": 0, "items": []}'
    for connection in list(world.discovery.connections):
        connection.transport.abortConnection()
    polls_before = world.discovery.polls
    until(lambda: world.discovery.polls > polls_before + 1)
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED
    world.discovery.raw_answer = None
    world.discovery.add_event(world.engines[0].row("DRAINING"))
    until(lambda: world.service.discovery.last_number == 2)


def test_discovery_that_answers_at_once_without_events_is_polled_with_pauses(make_world):
    """It is polled about ten times a second."""
    world = make_world(engines=1)
    world.discovery.raw_answer = world.discovery.events_after(1)
    polls_before = world.discovery.polls
    world.discovery.add_event(world.engines[0].row())
    world.discovery.raw_answer = b'{"no": 2, "items": []}'
    wait(0.6)
    assert 2 < world.discovery.polls - polls_before < 10
