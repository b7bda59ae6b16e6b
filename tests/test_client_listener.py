"""The listening socket of the gateway when accepting a connection fails."""

import errno
import os

from gateway_world import answered
from loopback import until

from lichenquay.gateway import client_listener, frames


def test_a_shortage_of_descriptors_that_passes_costs_no_connection(make_world, monkeypatch):
    """Guards against a connection that is closed over its request, as accepting it failed at first."""
    world = make_world(engines=1)
    real_socket, errors = world.service.clients.listener.port.socket, [errno.EMFILE]

    class SocketWithShortage:
        def __getattr__(self, name):
            return getattr(real_socket, name)

        def accept(self):
            if errors:
                raise OSError(errors.pop(), "injected")
            return real_socket.accept()

    world.service.clients.listener.port.socket = SocketWithShortage()
    client = world.client()
    assert answered(client, client.ask())[0] == frames.AnswerCode.COMPLETED
    world.service.clients.listener.port.socket = real_socket


def test_at_the_descriptor_limit_a_connection_is_rejected_with_a_reason(make_world, monkeypatch):
    """It would stay queued and keep the reactor busy otherwise. Accepted queries are answered."""
    world = make_world(engines=2)
    for engine in world.engines:
        engine.behaviours = ["hold"] * 9
    first = world.client()
    stream, port = first.ask("report", allow=4000), world.service.clients.listener.port
    until(lambda: len(world.in_flight) == 1)
    real_socket, remaining_calls = port.socket, [3]

    class SocketAtDescriptorLimit:
        def __getattr__(self, name):
            return getattr(real_socket, name)

        def accept(self):
            remaining_calls[0] -= 1
            # Fails until the spare descriptor is closed, and again after that.
            if remaining_calls[0] in (2, 0):
                raise OSError(errno.EMFILE, "too many")
            return real_socket.accept()

    open_file, failed_opens = os.open, []

    def open_at_descriptor_limit(path, flags):
        # The accepted connection has the last descriptor, until it is rejected.
        if path == os.devnull and not failed_opens:
            failed_opens.append(path)
            raise OSError(errno.EMFILE, "too many")
        return open_file(path, flags)

    port.socket = SocketAtDescriptorLimit()
    monkeypatch.setattr(client_listener.os, "open", open_at_descriptor_limit)
    second = world.client()
    until(lambda: second.is_closed)
    assert second.answers[0][:2] == (frames.AnswerCode.REJECTED, b"no descriptor; come back in 1000 ms")
    port.socket = real_socket
    assert failed_opens and world.service.clients.listener._spare_descriptor is not None
    assert world.service.metrics.counters["connections refused: no descriptor"] >= 1
    for engine in world.engines:
        engine.behaviours, engine.running = [], dict.fromkeys(engine.running, "ok")
    assert (
        answered(first, stream)[0] == frames.AnswerCode.COMPLETED
        and answered(third := world.client(), third.ask())[0] == frames.AnswerCode.COMPLETED
    )
