"""Voters and relays as processes of the real program, clients, subscribers, and faults between any two."""

import os
import subprocess
import sys
from pathlib import Path

from ports import allocate_free_ports
from recording_subscriber import ReaderThread, RecordingSubscriber
from relay import Relay
from running import Running, until

ROOT = Path(__file__).resolve().parents[2]
FLEET = f"yard-{os.getpid()}"  # another one in each process that tests
VOTERS = ("v1", "v2", "v3")
RELAYS = ("r1", "r2")
CLIENTS = ("c1", "c2")
FRONT = "f1"  # a real one, where a test starts it
LEASE_MS = 600.0
START_S = 40.0  # for imports alone, on a machine that has five times as much to do as it can
FIGURES = "report_ms: 200 silent_ms: 800 expire_ms: 3000 stale_ms: 1200 merge_ms: 20"
FULL_DISK = str(ROOT / "tests" / "fleet")  # where sitecustomize.py is


class Links(Relay):
    """Sends on from the address that the receiver answers to: senders whom nobody lists are found by that."""

    def send(self, pair, data):
        """Of `a` to `b`: by the socket that takes what `b` has for `a`."""
        sender, receiver = pair
        target = self.targets.get(receiver)
        if target is None:  # of an earlier owner of the port
            return
        self.links[pair].passed += 1
        try:
            self.sockets[receiver, sender].sendto(data, target)
        except OSError:  # nobody listens there now
            return


class Installation(Running):
    """A context: three voters in three regions, two relays in two zones, subscribers of both zones."""

    def __init__(self, path, subscribers=4, seed=1, figures=FIGURES, refuses=(), discovery=""):
        """refuses: names of subscribers that refuse a value with b"refuse" in it. discovery: voters'."""
        super().__init__(Path(path))
        self.figures = figures
        self.seed = seed
        self.discovery = discovery
        self.fronts = tuple(f"s{i}" for i in range(1, subscribers + 1))
        names = (*VOTERS, *RELAYS, *self.fronts, *CLIENTS, FRONT)
        self.links = Links(names, seed)
        listeners = VOTERS + RELAYS
        self.ports = dict(zip(listeners, allocate_free_ports(len(listeners)), strict=True))
        self.links.targets = {name: ("127.0.0.1", port) for name, port in self.ports.items()}
        self.starts = dict.fromkeys(listeners, 0)
        self.recording = {}
        self.reading = ReaderThread()
        self.refuses = refuses

    def __enter__(self):
        """All are up, somebody publishes, and all subscribers have heard of it."""
        self.links.start()
        try:
            for name in VOTERS + RELAYS:
                self.start(name)
            for name in VOTERS + RELAYS:
                self.begun(name)
            for number, name in enumerate(self.fronts):
                sources = RELAYS if number % 2 == 0 else RELAYS[::-1]
                self.recording[name] = self.subscriber(name, sources)
            self.reading.start()
            until(lambda: all(h.is_fresh() for h in self.recording.values()), 20)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        """Nothing is left behind."""
        self.reading.stop()
        self.end_all()
        self.links.close()

    def subscriber(self, name, sources):
        """A recording subscriber, read by this process's thread."""
        addresses = {source: self.address(name, source) for source in RELAYS}
        subscriber = RecordingSubscriber(name, FLEET, sources, addresses, self.seed, name in self.refuses)
        self.links.targets[name] = subscriber.address
        self.reading.add(subscriber)
        return subscriber

    def address(self, sender, receiver):
        """(host, port) where `sender` sends what is for `receiver`."""
        return self.links.sockets[sender, receiver].getsockname()

    # settings

    def _seen_from(self, name, other):
        """The address of another one, as a process is told it."""
        return f"127.0.0.1:{self.ports[name]}" if name == other else self.links.address(name, other)

    def settings_text(self, name):
        """Of a voter or a relay."""
        voters = " ".join(
            f'voters {{ name: "{v}" address: "{self._seen_from(name, v)}" region: "g{v[1]}" }}'
            for v in VOTERS
        )
        relays = " ".join(
            f'relays {{ name: "{r}" address: "{self._seen_from(name, r)}" '
            f'region: "g{r[1]}" zone: "z{r[1]}" }}'
            for r in RELAYS
        )
        own = f'role: VOTER folder: "{self.path}/folder-{name}"' if name in VOTERS else "role: RELAY"
        own += f' discovery: "{self.discovery}"' if self.discovery and name in VOTERS else ""
        return (
            f'control {{ fleet: "{FLEET}" name: "{name}" listen: "127.0.0.1:{self.ports[name]}" {own} '
            f"lease_ms: {LEASE_MS} {voters} {relays} figures {{ {self.figures} }} }}"
        )

    # processes

    def start(self, name):
        """One process; its disk is full while the file `full-NAME` is there."""
        settings = self.path / f"{name}.textproto"
        settings.write_text(self.settings_text(name))
        self.starts[name] += 1
        more = {"PYTHONPATH": FULL_DISK, "LICHENQUAY_TEST_FULL": str(self.full_file(name))}
        with open(self.path / f"{name}.log", "a", encoding="utf-8") as out:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "lichenquay.control_plane", str(settings)],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                cwd=ROOT,
                env={**os.environ, **more},
            )

    def begun(self, name, seconds=START_S):
        """Waits until the latest start takes part."""
        process = self.running[name]
        until(
            lambda: process.poll() is not None or len(self.events(name, "control")) >= self.starts[name],
            seconds,
        )
        assert process.poll() is None, self.log(name)[-2000:]

    def back(self, name):
        """A new start of one that ended."""
        self.start(name)
        self.begun(name)

    def full_file(self, name):
        """While this file is there, that process's disk is full."""
        return self.path / f"full-{name}"

    def publisher(self, among=VOTERS, seconds=15.0):
        """The name of the one that holds the lease, once one does."""
        found = []

        def look():
            found[:] = [n for n in among if ["lease", "holds"] in [w[:2] for w in self.told(n)]]
            return bool(found)

        until(look, seconds, 0.1)
        assert len(found) == 1, f"the lease is held twice: {found}"
        return found[0]

    def count(self, name, *words):
        """The number in a line of SIGUSR1 that begins with these words; 0 where there is none."""
        wanted = [*words[:-1], f"{words[-1]}:"]
        return next((float(w[-1]) for w in self.told(name) if w[:-1] == wanted), 0.0)
