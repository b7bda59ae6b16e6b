"""An installation of real voter and relay processes, clients and subscribers, with faults on every link."""

import os
import subprocess
import sys
from pathlib import Path

from ports import allocate_free_ports
from recording_subscriber import ReaderThread, RecordingSubscriber
from relay import Relay
from running import ProcessGroup, until

ROOT = Path(__file__).resolve().parents[2]
FLEET = f"test-{os.getpid()}"  # Different in each test process.
VOTERS = ("v1", "v2", "v3")
RELAYS = ("r1", "r2")
CLIENTS = ("c1", "c2")
GATEWAY = "f1"  # A gateway process, which some tests start.
LEASE_MS = 600.0
START_TIMEOUT_S = 40.0  # For imports alone, on a machine with five times its capacity in load.
FIGURES = "report_ms: 200 silent_ms: 800 expire_ms: 3000 stale_ms: 1200 merge_ms: 20"
SITECUSTOMIZE_FOLDER = str(ROOT / "tests" / "fleet")  # Its sitecustomize.py simulates a full disk.


class UdpLinks(Relay):
    """Forwards datagrams from the address that the receiver answers to, so that any sender gets answers."""

    def send(self, pair, data):
        """Sends a datagram of the pair (a, b) through the socket that receives datagrams of b to a."""
        sender, receiver = pair
        target = self.targets.get(receiver)
        if target is None:  # From an earlier owner of the port.
            return
        self.links[pair].forwarded += 1
        try:
            self.sockets[receiver, sender].sendto(data, target)
        except OSError:  # Nothing listens there now.
            return


class Installation(ProcessGroup):
    """Runs three voters in three regions, two relays in two zones, and subscribers; a context manager."""

    def __init__(self, path, subscriber_count=4, seed=1, figures=FIGURES, refusing=(), discovery=""):
        """`refusing`: names of subscribers that refuse values with b"refuse" in them.

        `discovery`: the discovery address in the voters' settings.
        """
        super().__init__(Path(path))
        self.figures = figures
        self.seed = seed
        self.discovery = discovery
        self.subscriber_names = tuple(f"s{number}" for number in range(1, subscriber_count + 1))
        names = (*VOTERS, *RELAYS, *self.subscriber_names, *CLIENTS, GATEWAY)
        self.links = UdpLinks(names, seed)
        listeners = VOTERS + RELAYS
        self.ports = dict(zip(listeners, allocate_free_ports(len(listeners)), strict=True))
        self.links.targets = {name: ("127.0.0.1", port) for name, port in self.ports.items()}
        self.starts = dict.fromkeys(listeners, 0)
        self.subscribers = {}
        self.reader_thread = ReaderThread()
        self.refusing = refusing

    def __enter__(self):
        """Starts everything and waits until the state of all subscribers is confirmed."""
        self.links.start()
        try:
            for name in VOTERS + RELAYS:
                self.start(name)
            for name in VOTERS + RELAYS:
                self.wait_started(name)
            for number, name in enumerate(self.subscriber_names):
                sources = RELAYS if number % 2 == 0 else RELAYS[::-1]
                self.subscribers[name] = self._add_subscriber(name, sources)
            self.reader_thread.start()
            until(lambda: all(subscriber.is_fresh() for subscriber in self.subscribers.values()), 20)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        """Stops all threads and processes."""
        self.reader_thread.stop()
        self.end_all()
        self.links.close()

    def _add_subscriber(self, name, sources):
        """Returns a new recording subscriber, which the reader thread runs."""
        addresses = {source: self.address(name, source) for source in RELAYS}
        subscriber = RecordingSubscriber(name, FLEET, sources, addresses, self.seed, name in self.refusing)
        self.links.targets[name] = subscriber.address
        self.reader_thread.add(subscriber)
        return subscriber

    def address(self, sender, receiver):
        """Returns the (host, port) to which `sender` sends datagrams for `receiver`."""
        return self.links.sockets[sender, receiver].getsockname()

    # Settings.

    def _address_seen_by(self, name, other):
        """Returns the address of `other` in the settings of process `name`."""
        return f"127.0.0.1:{self.ports[name]}" if name == other else self.links.address(name, other)

    def settings_text(self, name):
        """Returns the settings of a voter or a relay."""
        voters = " ".join(
            f'voters {{ name: "{voter}" address: "{self._address_seen_by(name, voter)}" '
            f'region: "g{voter[1]}" }}'
            for voter in VOTERS
        )
        relays = " ".join(
            f'relays {{ name: "{relay}" address: "{self._address_seen_by(name, relay)}" '
            f'region: "g{relay[1]}" zone: "z{relay[1]}" }}'
            for relay in RELAYS
        )
        own = f'role: VOTER folder: "{self.path}/folder-{name}"' if name in VOTERS else "role: RELAY"
        own += f' discovery: "{self.discovery}"' if self.discovery and name in VOTERS else ""
        return (
            f'control {{ fleet: "{FLEET}" name: "{name}" listen: "127.0.0.1:{self.ports[name]}" {own} '
            f"lease_ms: {LEASE_MS} {voters} {relays} figures {{ {self.figures} }} }}"
        )

    # Processes.

    def start(self, name):
        """Starts a process; its disk is full while the file `full-NAME` exists."""
        settings = self.path / f"{name}.textproto"
        settings.write_text(self.settings_text(name))
        self.starts[name] += 1
        environment = {"PYTHONPATH": SITECUSTOMIZE_FOLDER, "LICHENQUAY_TEST_FULL": str(self.full_file(name))}
        with open(self.path / f"{name}.log", "a", encoding="utf-8") as out:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "lichenquay.control_plane", str(settings)],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                cwd=ROOT,
                env={**os.environ, **environment},
            )

    def wait_started(self, name, seconds=START_TIMEOUT_S):
        """Waits until the latest start of a process has logged that it takes part."""
        process = self.running[name]
        until(
            lambda: process.poll() is not None or len(self.events(name, "control")) >= self.starts[name],
            seconds,
        )
        assert process.poll() is None, self.log(name)[-2000:]

    def restart(self, name):
        """Starts a process again that has ended, and waits for it."""
        self.start(name)
        self.wait_started(name)

    def full_file(self, name):
        """Returns the path of the file that makes a process's disk full while it exists."""
        return self.path / f"full-{name}"

    def publisher(self, among=VOTERS, seconds=15.0):
        """Waits until a voter holds the lease, and returns its name."""
        holders = []

        def find_holders():
            holders[:] = [
                name
                for name in among
                if ["lease", "holds"] in [words[:2] for words in self.status_report(name)]
            ]
            return bool(holders)

        until(find_holders, seconds, 0.1)
        assert len(holders) == 1, f"the lease is held by several voters: {holders}"
        return holders[0]

    def count(self, name, *words):
        """Returns the number in the SIGUSR1 report's line with these words, 0 if there is none."""
        label = [*words[:-1], f"{words[-1]}:"]
        return next((float(line[-1]) for line in self.status_report(name) if line[:-1] == label), 0.0)
