"""The processes of a scale run: started, told what to do, killed and paused by process id, and ended."""

import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from lichenquay.load.child import ROOT, child_environment, read_line
from lichenquay.testbed.scale import commands, measure
from lichenquay.testbed.scale.scenario import Shape
from lichenquay.testbed.scale.world_spec import WorldSpec
from lichenquay.testbed.world import CannotStart

READY_S = 60.0  # A busy machine starts many processes slowly.
ANSWER_S = 10.0
END_S = 20.0
READY = "READY"


@dataclass
class Child:
    """A process of the run, which may have been started several times."""

    name: str
    arguments: list[str]
    log: Path
    process: subprocess.Popen | None = None
    paused: bool = False
    ready: bool = False

    def start(self):
        """Starts it; `wait_ready` waits for its first word."""
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                env=child_environment(),
                cwd=ROOT,
                start_new_session=True,
            )
        self.ready = self.paused = False

    @property
    def runs(self) -> bool:
        """Whether there is a process now."""
        return self.process is not None and self.process.poll() is None

    @property
    def answers(self) -> bool:
        """Whether it takes orders now."""
        return self.runs and self.ready and not self.paused

    def wait_ready(self, seconds=READY_S):
        """Raises CannotStart where it does not say so in time."""
        if not self.ready and read_line(self.process, seconds) != READY:
            lines = self.log.read_text().strip().splitlines()
            raise CannotStart(f"{self.name} did not start: {lines[-1] if lines else 'no word of it'}")
        self.ready = True

    def look_ready(self) -> bool:
        """Whether it said READY just now."""
        if self.ready or not self.runs or self.paused or read_line(self.process, 0.0) != READY:
            return False
        self.ready = True
        return True

    def pause(self):
        """SIGSTOP."""
        if self.runs:
            self.paused = True
            self.process.send_signal(signal.SIGSTOP)

    def go_on(self):
        """SIGCONT."""
        if self.runs:
            self.process.send_signal(signal.SIGCONT)
            self.paused = False

    def tell(self, order) -> bool:
        """Gives an order; False: it has ended."""
        try:
            self.process.stdin.write(commands.line_of(order) + "\n")
            self.process.stdin.flush()
        except (OSError, ValueError):
            return False
        return True

    def count(self) -> commands.Counts | None:
        """Its counts; None where it does not answer."""
        if not self.answers or not self.tell(commands.Count()):
            return None
        line = read_line(self.process, ANSWER_S)
        return commands.counts_of(line) if line else None

    def kill(self):
        """SIGKILL, and waits for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process.stdin.close()
            self.process.stdout.close()
            self.process = None


@dataclass(frozen=True)
class RoleUsage:
    """Counters of one process at one time."""

    name: str
    usage: measure.Usage
    counts: commands.Counts


@dataclass
class World:
    """All processes; a context that ends them whatever happens."""

    shape: Shape
    folder: Path
    spec: WorldSpec = None
    control: dict[str, Child] = field(default_factory=dict)
    hosts: list[Child] = field(default_factory=list)
    running: set[str] = field(default_factory=set)  # Hollow fronts.
    rules: list = field(default_factory=list)  # Of the network, now.

    def __enter__(self):
        """Starts the control processes and the hosts, without a front yet."""
        self.folder.mkdir(parents=True, exist_ok=True)
        names = self.shape.control_names()
        loopbacks = loopback_addresses(self.shape.hosts)
        self.spec = WorldSpec(self.shape, free_addresses(names), loopbacks, str(self.folder))
        self.spec.write()
        module = "lichenquay.testbed.scale"
        for name in names:
            self.control[name] = self._child(name, [f"{module}.control", str(self.spec.path), name])
        for i in range(self.shape.hosts):
            self.hosts.append(self._child(f"hollow-{i}", [f"{module}.hollow", str(self.spec.path), str(i)]))
        try:
            for child in self.children():
                child.start()
            for child in self.children():
                child.wait_ready()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *exception):
        """Ends every process by its id."""
        for child in self.children():
            child.kill()

    def _child(self, name, arguments):
        return Child(name, ["-m", *arguments], self.folder / f"{name}.log")

    def children(self) -> list[Child]:
        """Of all roles."""
        return [*self.control.values(), *self.hosts]

    def host_of(self, front: str) -> Child:
        """The process that holds a front."""
        return self.hosts[int(front.rpartition("f")[2]) % len(self.hosts)]

    def start_fronts(self, names):
        """Starts hollow fronts, all at once."""
        self._tell_hosts(commands.StartFronts, names)
        self.running.update(names)

    def stop_fronts(self, names):
        """Ends hollow fronts without a word."""
        self._tell_hosts(commands.StopFronts, names)
        self.running.difference_update(names)

    def read_slowly(self, names, on):
        """Fronts stop reading their sockets, or read on."""
        self._tell_hosts(commands.ReadSlowly, names, on)

    def impair(self, rules):
        """The network's rules, for all processes."""
        self.rules = list(rules)
        for child in self.children():
            if child.runs:
                child.tell(commands.Impair(self.rules))

    def look_ready(self):
        """Processes that were started anew and are ready get the network's rules."""
        for child in self.children():
            if child.look_ready():
                child.tell(commands.Impair(self.rules))

    def usage(self) -> list[RoleUsage]:
        """Of every process that answers."""
        found = []
        for child in self.children():
            counts = child.count()
            if counts is not None:
                found.append(RoleUsage(child.name, measure.usage_of(child.process.pid), counts))
        return found

    def leader(self) -> str | None:
        """The publisher that says that it leads."""
        for name in self.shape.publisher_names():
            counts = self.control[name].count()
            if counts is not None and counts.leads:
                return name
        return None

    def settled(self, version: int) -> bool:
        """Whether every hollow front has a version in force."""
        counts = [host.count() for host in self.hosts]
        return all(c is not None and (not c.fronts or c.oldest >= version) for c in counts)

    def end_hosts(self):
        """The hosts write their records and exit."""
        for host in self.hosts:
            host.tell(commands.End())
        until = time.monotonic() + END_S
        for host in self.hosts:
            try:
                host.process.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                raise CannotStart(f"{host.name} did not end in {END_S:g} s") from None

    def record_paths(self) -> list[Path]:
        """Where the hosts' records are, after `end_hosts`."""
        return [self.folder / f"{host.name}.npz" for host in self.hosts]

    def _tell_hosts(self, order, names, *more):
        for host in self.hosts:
            mine = [name for name in names if self.host_of(name) is host]
            if mine:
                host.tell(order(mine, *more))


def loopback_addresses(hosts: int) -> list[str]:
    """Addresses for the fronts of each host, which another run on this machine does not have at the same
    time.
    """
    own = os.getpid()
    return [f"127.{100 + own // 250 % 100}.{own % 250}.{2 + number}" for number in range(hosts)]


def free_addresses(names) -> dict[str, tuple[str, int]]:
    """Loopback addresses whose UDP ports are free now, for these names."""
    sockets, addresses = [], {}
    try:
        for name in names:
            sockets.append(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            sockets[-1].bind(("127.0.0.1", 0))
            addresses[name] = sockets[-1].getsockname()
    finally:
        for one in sockets:
            one.close()
    return addresses
