"""Tests of graceful shutdown with clients that go on sending on open connections after GO_AWAY."""

import contextlib
import json
import signal
import subprocess
import sys
import time

import pytest
from gateway_world import SETTINGS
from interleavings import ask_readiness, gateway_environment
from loopback import until, wait
from ports import allocate_free_port

CLIENT_COUNT = 5
ALLOW_MS = 400
SEND_INTERVAL_S = 0.005
# PROTOCOL: connections come until 0.4 s after SIGTERM, and requests on open ones for 0.2 s more.
REQUESTS_UNTIL_S = 0.6
CROSSING_S = 0.05  # PROTOCOL: a request that crosses a close within this time is sent again
CLOSE_S = 0.3  # for a client to close its side, and for the process to end
SIGKILL_S = 3.7  # PROTOCOL: at the earliest, with deadlines of 3 s or more


@contextlib.contextmanager
def gateway_process(make_world, engine_count):
    """Runs a gateway process; yields its world and the process."""
    world = make_world(engines=engine_count, start=False)
    world.port = allocate_free_port()
    world.path.write_text(json.dumps({**world.config, "listen": f"127.0.0.1:{world.port}"}))
    process = subprocess.Popen(
        [sys.executable, "-m", "lichenquay.gateway"],
        stderr=subprocess.PIPE,
        text=True,
        env=gateway_environment(world.path),
    )
    try:
        until(lambda: world.discovery.polls > 1, 10)
        if engine_count:
            until(lambda: ask_readiness(world.port), 5)
        yield world, process
    finally:
        process.kill()
        process.communicate()


class PersistentClient:
    """Sends requests on one connection until the gateway ends that.

    sent_s: the time of each request, by stream. ended_s: when the connection ended, else None.
    """

    def __init__(self, world, group):
        """Connects; `group` is that of the requests."""
        self.connection = world.client()
        self.group = group
        self.sent_s = {}
        self.ended_s = None
        self.next_send_s = 0.0

    def run(self):
        """Sends a request if one is due; notes the end of the connection."""
        now_s = time.monotonic()
        if self.connection.is_closed:
            self.ended_s = self.ended_s or now_s
            return
        open_count = len(self.sent_s) - len(self.connection.answers)
        if now_s >= self.next_send_s and open_count < 20:
            self.next_send_s = now_s + SEND_INTERVAL_S
            self.sent_s[self.connection.ask(self.group, allow=ALLOW_MS)] = now_s

    def unanswered(self):
        """Returns the streams without an answer, other than of requests that crossed the close."""
        return [
            stream
            for stream, sent_s in self.sent_s.items()
            if stream not in self.connection.answers and sent_s < self.ended_s - CROSSING_S
        ]


@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM,),
        (signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1, signal.SIGTERM, signal.SIGHUP),
    ],
)
@pytest.mark.parametrize("group, engines", [("status", 0), ("report", 2), ("manifest", 2)])
def test_clients_that_go_on_sending_do_not_delay_the_exit(make_world, group, engines, signals):
    """Guards against a gateway that ends only by the clock, just before it is killed, as one query is always
    open: it exits once what came in the page's time is answered.
    """
    with gateway_process(make_world, engines) as (world, process):
        for engine in world.engines:
            engine.behaviours = ["hold"] * 10_000
        clients = [PersistentClient(world, group) for _ in range(CLIENT_COUNT)]

        def run_for(seconds):
            end_s = time.monotonic() + seconds
            while time.monotonic() < end_s and process.poll() is None:
                for client in clients:
                    client.run()
                wait(0.001)

        run_for(0.3)
        started_s = time.monotonic()
        for signal_number in signals:
            process.send_signal(signal_number)
            run_for(0.02)
        run_for(SIGKILL_S - (time.monotonic() - started_s))
        ended_s = time.monotonic() - started_s
        assert process.poll() == 0 and "Traceback" not in process.stderr.read()
        until(lambda: all(client.connection.is_closed for client in clients))
        for client in clients:
            client.run()
            assert not client.unanswered()
            assert max(client.sent_s.values()) > started_s + REQUESTS_UNTIL_S
        assert ended_s < REQUESTS_UNTIL_S + ALLOW_MS / 1000 + CLOSE_S
    assert SETTINGS["classes"][0]["deadline_us"] < SIGKILL_S * 1e6
