"""Soak runs of a real gateway process, with faults drawn from a seed.

    scripts/soak [--first SEED] [--seeds COUNT] [--jobs COUNT]    runs and their summary
    scripts/soak --seed SEED [--fault NAME]                       one run; NAME: of planted_faults.py

Prints one line for a run without findings. Otherwise prints each finding with the command, the seed and the
history around it, and exits with 1.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from gateway_world import SETTINGS
from interleavings import ask_readiness, gateway_environment
from loopback import until, wait
from ports import allocate_free_port
from soak_audit import audit
from soak_clients import SoakClient
from soak_discovery import SoakDiscovery
from soak_engines import SoakEngine
from soak_history import History
from soak_report import report
from twisted.internet import reactor

PLANTED_FAULTS = Path(__file__).with_name("planted_faults.py")
FAULTY_SYSTEM = Path(__file__).with_name("faulty_system.py")
ENGINE_COUNT = 4
CLIENT_COUNT = 6
DESCRIPTORS = 200
CROWD_COUNT = 90  # more than the gateway's places for clients
SERVE_S = 3.0
QUIET_S = 6.0  # for attempts to be over, by their deadlines or forgotten, and idle connections closed
FAULTS_PER_RUN = 6
SIGKILL_S = 3.7  # PROTOCOL: at the earliest after SIGTERM, with deadlines of 3 s
KEEP_ALIVE_US = 2_000_000
LAG_CHECK_S = 0.01
FAULTS = (
    "drain",
    "drain and reuse",
    "hang",
    "vanish",
    "crash",
    "silence",
    "hup",
    "usr1",
    "pause",
    "slow discovery",
    "refusing discovery",
)
# In each run: the process stands still, or its watch is silent, while engines drain.
FAULTS_OF_EACH_RUN = ("pause and drain", "silent watch and drain")
# Which of these is repeated, where a planted fault of the gateway shows only sometimes.
REPEATED_FAULTS = {
    "news left unread": "pause and drain",
    "requests timed from their reading": "pause and drain",
}
REPEATS = 8
REPEAT_INTERVAL_S = 1.5
MAX_PAUSE_S = 1.2
MAX_PAUSE_IN_START_S = 0.4
MAX_PAUSE_AT_END_S = 0.2


class SoakWorld:
    """The gateway process of one run, and the engines, discovery and clients round it."""

    def __init__(self, seed, folder, fault=None):
        """Starts engines and discovery. fault: of planted_faults.py, or None."""
        self.seed = seed
        self.has_faulty_system = seed % 2 == 1
        self.rng = random.Random(f"soak/{seed}")
        self.fault = fault
        self.history = History()
        self.discovery = SoakDiscovery(self.history)
        self.engines = []
        self.engine_number = 0
        for _ in range(ENGINE_COUNT):
            self.engines.append(self._new_engine())
        self.all_engines = list(self.engines)
        self.discovery.add_event(*(engine.row() for engine in self.engines), whole=True)
        self.port = allocate_free_port()
        self.clients = []
        self.crowd = []
        self.has_crowd = seed % 3 == 0
        self.path = Path(folder) / "config.json"
        self.error_path = Path(folder) / "stderr"
        settings = json.loads(json.dumps(SETTINGS))
        settings["limits"]["keepalive_us"] = KEEP_ALIVE_US
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS},
            "bulletin": self.discovery.address,
            "known": json.loads(self.discovery.events_after(0)),
            "settings": settings,
        }
        self.path.write_text(json.dumps(config))
        self.process = None
        self.last_check_s = time.monotonic()

    def _new_engine(self):
        self.engine_number += 1
        return SoakEngine(self, f"s-{self.engine_number}")

    def start(self):
        """Starts the gateway process."""
        if self.has_faulty_system:
            arguments = [str(FAULTY_SYSTEM), str(self.seed), *([self.fault] if self.fault else [])]
        else:
            arguments = [str(PLANTED_FAULTS), self.fault] if self.fault else ["-m", "lichenquay.gateway"]
        error_file = os.open(self.error_path, os.O_CREAT | os.O_WRONLY)
        self.process = subprocess.Popen(
            [sys.executable, *arguments], stderr=error_file, env=gateway_environment(self.path)
        )
        os.close(error_file)

    def start_clients(self):
        """Starts clients that send until they are stopped."""
        self.clients = [SoakClient(self) for _ in range(CLIENT_COUNT)]

    def stop_clients(self):
        """Closes all connections of clients."""
        for client in self.clients:
            client.is_stopping = True
            if client.protocol is not None:
                client.protocol.leave()

    def measure_lag(self):
        """Measures the longest turn of this process, which delays all that it records."""
        now_s = time.monotonic()
        self.history.max_lag_s = max(self.history.max_lag_s, now_s - self.last_check_s - LAG_CHECK_S)
        self.last_check_s = now_s
        self.lag_timer = reactor.callLater(LAG_CHECK_S, self.measure_lag)

    # Faults

    def inject(self, fault):
        """Makes one fault happen now."""
        self.history.note(f"fault: {fault}")
        if fault == "silence":
            self.discovery.be_silent(self.rng.uniform(0.5, 2.5))
        elif fault in ("hup", "usr1"):
            self.send_signal(signal.SIGHUP if fault == "hup" else signal.SIGUSR1)
        elif fault == "pause":
            self._pause(self.rng.uniform(0.05, MAX_PAUSE_S))
        elif fault == "slow discovery":
            self.discovery.be_slow(self.rng.uniform(0.5, 1.5), self.rng.uniform(0.05, 0.8))
        elif fault == "refusing discovery":
            self.discovery.refuse(self.rng.uniform(0.1, 1.5))
        else:
            engine = self.rng.choice(self.engines)
            getattr(self, "_" + fault.replace(" ", "_"))(engine)

    def _pause(self, seconds):
        """Stops the gateway's process, and lets it go on after this time."""
        self.send_signal(signal.SIGSTOP)
        self.history.pauses.append((time.monotonic(), time.monotonic() + seconds))
        reactor.callLater(seconds, self._resume)

    def _resume(self):
        if self.process.poll() is None:
            self.send_signal(signal.SIGCONT)

    def _pause_and_drain(self, engine):
        """Stops the process; two engines drain meanwhile, one of them possibly late."""
        seconds = self.rng.uniform(0.2, MAX_PAUSE_S)
        self._pause(seconds)
        other = self.rng.choice([other for other in self.engines if other is not engine])
        reactor.callLater(self.rng.uniform(0.0, 0.1), self._drain, engine)
        reactor.callLater(self.rng.uniform(0.0, seconds), self._drain, other)

    def _silent_watch_and_drain(self, engine):
        """Never answers the open poll; an engine fails, which may lead to a question; others drain later."""
        self.discovery.lose_open_polls()
        if self.rng.random() < 0.5:
            self._crash(engine)
        else:
            engine.close_first_connections()
        for other in self.rng.sample([other for other in self.engines if other is not engine], 2):
            reactor.callLater(self.rng.uniform(0.05, 1.2), self._drain, other)

    def _hang(self, engine):
        engine.hang(self.rng.uniform(0.1, 1.5))

    def _drain(self, engine):
        if engine not in self.engines:
            return
        self.discovery.add_event(engine.row("DRAINING"))
        self._replace(engine)

    def _drain_and_reuse(self, engine):
        """Drains an engine, which closes the connections of its POSTs; another engine takes its address."""
        self.discovery.add_event(engine.row("DRAINING"))
        engine.port.stopListening()
        reactor.callLater(0.02, engine.close_first_connections)
        reactor.callLater(self.rng.uniform(0.02, 0.3), self._take_address, engine)

    def _take_address(self, engine):
        """Starts another engine at the address of one that has gone, unless there is one already."""
        if engine not in self.engines:
            return
        new = self._new_engine()
        new.port.stopListening()
        new.address = engine.address
        new.port = reactor.listenTCP(int(engine.address.rpartition(":")[2]), new, interface="127.0.0.1")
        self._add(engine, new)

    def _replace(self, engine):
        self._add(engine, self._new_engine())

    def _add(self, old, new):
        self.history.note(f"{new.uid} in place of {old.uid}")
        self.all_engines.append(new)
        if old in self.engines:
            self.engines.remove(old)
        self.engines.append(new)
        self.discovery.add_event(new.row())

    def _vanish(self, engine):
        engine.vanish()
        reactor.callLater(self.rng.uniform(0.2, 1.5), self.discovery.add_event, engine.row("DELETED"))
        self._replace(engine)

    def _crash(self, engine):
        engine.crash()
        reactor.callLater(self.rng.uniform(0.05, 0.8), self.discovery.add_event, engine.row("DELETED"))
        reactor.callLater(0.1, self._take_address, engine)

    def send_signal(self, signal_number):
        """Sends a signal to the gateway."""
        self.history.note(f"signal {signal_number.name}")
        self.process.send_signal(signal_number)

    def gather_crowd(self):
        """Opens idle connections, more than the gateway has places for."""
        self.history.note("a crowd of idle clients")
        for _ in range(CROWD_COUNT):
            idle = socket.socket()
            idle.setblocking(False)
            idle.connect_ex(("127.0.0.1", self.port))
            self.crowd.append(idle)

    # The run

    def run(self):
        """Plays the run and returns its history."""
        history = self.history
        self.measure_lag()
        self.start()
        self._disturb_start()
        until(lambda: self.discovery.polls > 1, 20)
        until(lambda: ask_readiness(self.port), 10)
        history.note("ready")
        history.descriptors_before = self._descriptors()
        memory_before = self._memory_mb()
        self.start_clients()
        serve_s = self._schedule_faults()
        if self.has_crowd:
            reactor.callLater(self.rng.uniform(0.2, SERVE_S), self.gather_crowd)
        wait(serve_s + 0.2)
        if self.rng.random() < 0.5:
            self._check_quiet(memory_before)
        self._end()
        return history

    def _schedule_faults(self):
        """Schedules the faults of the run; returns for how long it serves, in seconds."""
        for fault in (*FAULTS_OF_EACH_RUN, *self.rng.choices(FAULTS, k=FAULTS_PER_RUN)):
            reactor.callLater(self.rng.uniform(0.2, SERVE_S), self.inject, fault)
        repeated_fault = REPEATED_FAULTS.get(self.fault)
        if repeated_fault is None:
            return SERVE_S
        for number in range(REPEATS):
            reactor.callLater(SERVE_S + number * REPEAT_INTERVAL_S, self.inject, repeated_fault)
        return SERVE_S + REPEATS * REPEAT_INTERVAL_S

    def _disturb_start(self):
        """Sends signals while the process starts, and stops it for a moment."""
        for _ in range(2):
            wait(self.rng.uniform(0.0, 0.4))
            if self.rng.random() < 0.5:
                self._pause(self.rng.uniform(0.05, MAX_PAUSE_IN_START_S))
        until(self._holds_signals, 20)
        for _ in range(2):
            self.send_signal(self.rng.choice((signal.SIGHUP, signal.SIGUSR1)))
            wait(self.rng.uniform(0.0, 0.1))

    def _holds_signals(self):
        """Returns whether the process has begun to hold signals back, until it can handle them."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        masks = [line.split()[1] for line in status.splitlines() if line.startswith(("SigBlk", "SigCgt"))]
        return any(int(mask, 16) >> (signal.SIGHUP - 1) & 1 for mask in masks)

    def _check_quiet(self, memory_before):
        self.stop_clients()
        self._disperse_crowd()
        wait(QUIET_S)
        self.history.descriptors_after = self._descriptors()
        self.history.memory_growth_mb = self._memory_mb() - memory_before
        self.history.note("quiet")
        self.start_clients()
        wait(0.5)

    def _disperse_crowd(self):
        for idle in self.crowd:
            idle.close()
        self.crowd = []

    def _end(self):
        """Ends the gateway by signals in a series, while clients go on sending; kills it when that is due."""
        series = [signal.SIGTERM, *self.rng.choices((signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1), k=3)]
        self.rng.shuffle(series)
        term_s = None
        for signal_number in series:
            if self.process.poll() is None:
                self.send_signal(signal_number)
                if signal_number == signal.SIGTERM:
                    term_s = term_s or time.monotonic()
                wait(self.rng.choice((0.0, 0.02, 0.3)))
        if self.rng.random() < 0.4:
            self.inject("hang")
        if self.rng.random() < 0.4 and self.process.poll() is None:
            self._pause(self.rng.uniform(0.05, MAX_PAUSE_AT_END_S))
        until(lambda: self.process.poll() is not None or time.monotonic() > term_s + SIGKILL_S, SIGKILL_S + 2)
        if self.process.poll() is None:
            self.history.was_killed = True
            self.process.kill()
        self.history.exit_code = self.process.wait()
        self.history.ending_s = time.monotonic() - term_s
        self.history.note(f"ended {self.history.ending_s:.2f} s after SIGTERM")
        wait(0.1)  # for the last answers to be read

    def close(self):
        """Ends all that the run has started."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.history.error_output = self.error_path.read_text()
            self.history.lost_polls = self.discovery.lost_polls
        self.stop_clients()
        self._disperse_crowd()
        self.lag_timer.cancel()
        for stand_in in (*self.all_engines, self.discovery):
            for connection in list(stand_in.connections):
                connection.transport.abortConnection()
            stand_in.port.stopListening()
        wait(0.1)

    def _descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def _memory_mb(self):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        return int(line.split()[1]) / 1024


def run_soak(seed, fault=None):
    """Plays one run; returns its history and its findings."""
    with tempfile.TemporaryDirectory() as folder:
        world = SoakWorld(seed, folder, fault)
        try:
            history = world.run()
        finally:
            world.close()
        return history, audit(history, world.has_crowd)


def main():
    """Plays one run and prints its report."""
    seed = int(sys.argv[1])
    fault = sys.argv[2] if len(sys.argv) > 2 else None
    history, findings = run_soak(seed, fault)
    print("\n".join(report(seed, fault, history, findings)), flush=True)
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    main()
