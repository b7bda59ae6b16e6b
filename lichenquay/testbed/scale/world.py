"""The processes of a scale run: starts, commands, kills, pauses and ends them, always by process id."""

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
from lichenquay.testbed.world import WorldStartError

READY_TIMEOUT_S = 60.0  # A loaded machine starts many processes slowly.
ANSWER_TIMEOUT_S = 10.0
END_TIMEOUT_S = 20.0
READY = "READY"


@dataclass
class ChildProcess:
    """Holds a process of the run, which may be started several times."""

    name: str
    arguments: list[str]
    log: Path
    process: subprocess.Popen | None = None
    paused: bool = False
    ready: bool = False

    def start(self):
        """Starts the process; `wait_ready` waits until it is ready."""
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
        """Whether the process runs now."""
        return self.process is not None and self.process.poll() is None

    @property
    def answers(self) -> bool:
        """Whether it accepts commands now."""
        return self.runs and self.ready and not self.paused

    def wait_ready(self, seconds=READY_TIMEOUT_S):
        """Waits for READY. Raises WorldStartError on a timeout."""
        if not self.ready and read_line(self.process, seconds) != READY:
            lines = self.log.read_text().strip().splitlines()
            raise WorldStartError(f"{self.name} did not start: {lines[-1] if lines else 'its log is empty'}")
        self.ready = True

    def poll_ready(self) -> bool:
        """Reads READY if it has been written, and returns whether the process became ready by it."""
        if self.ready or not self.runs or self.paused or read_line(self.process, 0.0) != READY:
            return False
        self.ready = True
        return True

    def pause(self):
        """Sends SIGSTOP."""
        if self.runs:
            self.paused = True
            self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Sends SIGCONT."""
        if self.runs:
            self.process.send_signal(signal.SIGCONT)
            self.paused = False

    def send_command(self, command) -> bool:
        """Sends a command; returns False where the process has ended."""
        try:
            self.process.stdin.write(commands.encode_command(command) + "\n")
            self.process.stdin.flush()
        except (OSError, ValueError):
            return False
        return True

    def count(self) -> commands.Counts | None:
        """Requests the counts; returns None where it does not answer."""
        if not self.answers or not self.send_command(commands.Count()):
            return None
        line = read_line(self.process, ANSWER_TIMEOUT_S)
        return commands.decode_counts(line) if line else None

    def kill(self):
        """Sends SIGKILL, and waits for the process to end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process.stdin.close()
            self.process.stdout.close()
            self.process = None


@dataclass(frozen=True)
class ProcessUsage:
    """Holds the counters of one process at one time."""

    name: str
    usage: measure.Usage
    counts: commands.Counts


@dataclass
class ScaleWorld:
    """Holds all processes; as a context it ends them in every case."""

    shape: Shape
    folder: Path
    spec: WorldSpec = None
    control: dict[str, ChildProcess] = field(default_factory=dict)
    hosts: list[ChildProcess] = field(default_factory=list)
    running: set[str] = field(default_factory=set)  # Names of lightweight gateways.
    rules: list = field(default_factory=list)  # The impairment rules now.

    def __enter__(self):
        """Starts the control processes and the gateway hosts, without any gateway."""
        self.folder.mkdir(parents=True, exist_ok=True)
        names = self.shape.control_names()
        loopbacks = loopback_addresses(self.shape.hosts)
        self.spec = WorldSpec(self.shape, free_addresses(names), loopbacks, str(self.folder))
        self.spec.write()
        for name in names:
            self.control[name] = self._child(
                name, ["lichenquay.testbed.scale.control", str(self.spec.path), name]
            )
        for i in range(self.shape.hosts):
            self.hosts.append(
                self._child(
                    f"hollow-{i}",
                    ["lichenquay.testbed.scale.lightweight_gateway_host", str(self.spec.path), str(i)],
                )
            )
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
        """Kills every process by its id."""
        for child in self.children():
            child.kill()

    def _child(self, name, arguments):
        return ChildProcess(name, ["-m", *arguments], self.folder / f"{name}.log")

    def children(self) -> list[ChildProcess]:
        """Returns the processes of all roles."""
        return [*self.control.values(), *self.hosts]

    def host_of(self, gateway: str) -> ChildProcess:
        """Returns the process that holds a gateway."""
        return self.hosts[int(gateway.rpartition("f")[2]) % len(self.hosts)]

    def start_gateways(self, names):
        """Starts lightweight gateways, all at once."""
        self._send_to_hosts(commands.StartFronts, names)
        self.running.update(names)

    def stop_gateways(self, names):
        """Ends lightweight gateways without notifying anyone."""
        self._send_to_hosts(commands.StopFronts, names)
        self.running.difference_update(names)

    def read_slowly(self, names, on):
        """Makes gateways stop reading their sockets, or resume."""
        self._send_to_hosts(commands.ReadSlowly, names, on)

    def impair(self, rules):
        """Replaces the network's rules in all processes."""
        self.rules = list(rules)
        for child in self.children():
            if child.runs:
                child.send_command(commands.Impair(self.rules))

    def poll_ready(self):
        """Sends the network's rules to processes that were restarted and became ready."""
        for child in self.children():
            if child.poll_ready():
                child.send_command(commands.Impair(self.rules))

    def usage(self) -> list[ProcessUsage]:
        """Returns the counters of every process that answers."""
        usages = []
        for child in self.children():
            counts = child.count()
            if counts is not None:
                usages.append(ProcessUsage(child.name, measure.usage_of(child.process.pid), counts))
        return usages

    def leader(self) -> str | None:
        """Returns the publisher that reports that it leads, or None."""
        for name in self.shape.publisher_names():
            counts = self.control[name].count()
            if counts is not None and counts.leads:
                return name
        return None

    def settled(self, version: int) -> bool:
        """Whether every lightweight gateway has this version in force."""
        counts = [host.count() for host in self.hosts]
        return all(c is not None and (not c.fronts or c.oldest >= version) for c in counts)

    def end_hosts(self):
        """Makes the gateway hosts write their records and exit."""
        for host in self.hosts:
            host.send_command(commands.End())
        until = time.monotonic() + END_TIMEOUT_S
        for host in self.hosts:
            try:
                host.process.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                raise WorldStartError(f"{host.name} did not end in {END_TIMEOUT_S:g} s") from None

    def record_paths(self) -> list[Path]:
        """Returns the paths of the hosts' records, which exist after `end_hosts`."""
        return [self.folder / f"{host.name}.npz" for host in self.hosts]

    def _send_to_hosts(self, command_class, names, *more):
        for host in self.hosts:
            own_names = [name for name in names if self.host_of(name) is host]
            if own_names:
                host.send_command(command_class(own_names, *more))


def loopback_addresses(hosts: int) -> list[str]:
    """Returns a loopback address for each host's gateways, which no other run on this machine uses at the
    same time.
    """
    own = os.getpid()
    return [f"127.{100 + own // 250 % 100}.{own % 250}.{2 + number}" for number in range(hosts)]


def free_addresses(names) -> dict[str, tuple[str, int]]:
    """Returns loopback addresses for these names, with UDP ports that are free now."""
    sockets, addresses = [], {}
    try:
        for name in names:
            sockets.append(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            sockets[-1].bind(("127.0.0.1", 0))
            addresses[name] = sockets[-1].getsockname()
    finally:
        for opened in sockets:
            opened.close()
    return addresses
