"""Tests of time-outs of engines and of discovery that fire before what has arrived was read or noticed."""

import socket
import time

import pytest
from gateway_world import RESULT, answered
from interleavings import counter, wait_until_complete
from loopback import until, wait

from lichenquay.gateway import frames
from lichenquay.gateway.service import REPLY_TIMEOUT_MS

PAUSE_S = 0.4  # longer than the time-outs of replies and of connections


@pytest.mark.parametrize("group", ["report", "manifest"])
@pytest.mark.parametrize("call", ["POST", "page"])
def test_a_reply_that_has_arrived_but_is_unread_is_not_overdue(make_world, call, group):
    """Guards against polls and closes after each pause of this process: its timers fire before it reads."""
    world = make_world(engines=1)
    client, engine, pool = world.client(), world.engines[0], world.service.engines
    reply, paused = getattr(engine, "start" if call == "POST" else "page"), []

    def reply_in_a_pause(*arguments):
        if paused:
            reply(*arguments)
            return
        connection = next(each for each in pool.connections if each.call is not None)
        paused.append(connection)
        connection.transport.pauseProducing()  # stands for a process that stood still until the check below
        reply(*arguments)
        connection.reply_due_s -= PAUSE_S

    setattr(engine, "start" if call == "POST" else "page", reply_in_a_pause)
    stream = client.ask(group, allow=4000)
    until(lambda: paused)
    wait(0.05)  # the kernel delivers it; the gateway's own timer checks its calls as well
    pool.check_connections()
    paused[0].transport.resumeProducing()
    assert answered(client, stream) == (frames.AnswerCode.COMPLETED, RESULT)
    assert not counter(world, "first calls timed out") and not counter(world, "polls retried")
    assert world.posts() == 1
    wait_until_complete(world)


def test_a_reply_that_has_not_arrived_is_overdue(make_world):
    """Guards against a time-out that is lost: a silent connection is replaced."""
    world = make_world(engines=1)
    world.engines[0].behaviours = ["silent"]
    client = world.client()
    began_s = time.monotonic()
    assert answered(client, client.ask("manifest")) == (frames.AnswerCode.COMPLETED, RESULT)
    assert REPLY_TIMEOUT_MS / 1000 < time.monotonic() - began_s < 2 * REPLY_TIMEOUT_MS / 1000
    assert counter(world, "first calls timed out") == 1
    wait_until_complete(world)


def test_a_connection_that_came_up_during_a_pause_is_used(make_world):
    """Guards against attempts that fail as not connected: the time-out fires before the reactor notices."""
    world = make_world(engines=1)
    client, pool = world.client(), world.service.engines
    connect, paused = pool.reactor.connectTCP, []

    def connect_and_pause(*arguments, **options):
        connector = connect(*arguments, **options)
        if not paused:
            paused.append(connector)
            time.sleep(PAUSE_S)  # the kernel goes on
        return connector

    pool.reactor.connectTCP = connect_and_pause
    assert answered(client, client.ask("manifest", allow=4000)) == (frames.AnswerCode.COMPLETED, RESULT)
    assert paused and world.posts() == 1 and not counter(world, "attempts not connected")
    wait_until_complete(world)


def test_a_connection_that_does_not_come_up_ends_in_time(make_world):
    """Guards against a time-out that is lost: what does not answer must not hold a descriptor."""
    world = make_world(engines=1)
    pool, outcomes = world.service.engines, []
    with socket.socket() as listener, socket.socket() as only_client:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        only_client.connect(listener.getsockname())  # the kernel drops further ones
        host, port = listener.getsockname()
        engine = next(iter(world.service.engines_by_id.values()))
        call = pool.start_call(engine, b"", lambda reply: True, address=f"{host}:{port}")
        call.reply.addBoth(outcomes.append)
        began_s = time.monotonic()
        until(lambda: outcomes)
    timeout_s = pool.connect_timeout_ms / 1000
    assert timeout_s <= time.monotonic() - began_s < timeout_s + 0.2 and pool.open_count == 0
    assert not outcomes[0].value.is_refused


def test_an_answer_of_discovery_that_has_arrived_but_is_unread_confirms_the_list(make_world):
    """Guards against evidence that is dropped after a pause, as the endpoint list counts as unconfirmed."""
    world = make_world(engines=1)
    watch, outcomes = world.service.endpoint_watch, []
    watch.confirm().addCallback(outcomes.append)
    until(lambda: any(connection.is_polling for connection in watch.connections[1:]) or outcomes)
    asking = watch.connections[-1]
    asking.transport.pauseProducing()
    watch._check_timer.cancel()  # stands for a process that stood still until the time-out below
    wait(0.05)
    assert not outcomes
    watch._on_confirmation_due()
    assert outcomes == [True]
    asking.transport.resumeProducing()
    watch._check()


def test_a_poll_of_discovery_whose_answer_is_unread_is_answered(make_world):
    """Guards against a watch that is closed after a long pause, with the news that it has brought."""
    world = make_world(engines=1)
    watch = world.service.endpoint_watch
    connection = watch.connections[-1]
    connection.transport.pauseProducing()
    watch._check_timer.cancel()  # stands for a process that stood still until the time-out below
    world.announce(world.engines[0], "DRAINING")
    wait(0.05)
    timer, answers = connection.timer, connection.answer_count
    timer.reset(0)
    until(lambda: not timer.active())
    assert connection.answer_count == answers + 1 and not connection.is_over
    connection.transport.resumeProducing()
    watch._check()
