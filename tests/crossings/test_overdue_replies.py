"""Tests of time-outs of engines and of discovery that fire before what has arrived was read or noticed."""

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
