"""A control process of a scale run: production's voter or relay (`lichenquay.control_plane`), which can be
told of faults.

    python -m lichenquay.testbed.scale.control WORLD NAME

WORLD is the file of a `WorldSpec`, NAME one of its control processes. Orders come on standard input. Added to
production's host are the network's faults, a disk that can be full or slow, and counts.
"""

import gc
import signal
import sys
from dataclasses import replace
from functools import partial

from google.protobuf import text_format

from lichenquay.config.reader import read_control
from lichenquay.control_plane.runtime import ControlRuntime
from lichenquay.control_plane.service import make_runtime
from lichenquay.control_plane.voter_runtime import VoterRuntime
from lichenquay.fleet.runtime import boot_ms
from lichenquay.storage.store import DurableStore
from lichenquay.testbed.scale import commands
from lichenquay.testbed.scale.command_reader import answer, read_orders, stop
from lichenquay.testbed.scale.faulty_disk import FaultyOs
from lichenquay.testbed.scale.impaired_transport import LabPost, Network
from lichenquay.testbed.scale.impairment import Impairment
from lichenquay.testbed.scale.settings_files import control_settings
from lichenquay.testbed.scale.world_spec import WorldSpec, read


class ControlProcess:
    """A production host, and orders."""

    def __init__(self, reactor, spec: WorldSpec, name: str):
        """The settings go through production's own reading and checks."""
        self.reactor = reactor
        process_settings = read_control(text_format.MessageToString(control_settings(spec, name)), name)
        self.host: ControlRuntime = make_runtime(reactor, process_settings)
        self.network = Network(reactor, Impairment(f"{spec.shape.seed}/{name}"))
        self.host.datagrams = LabPost(self.host.datagrams, self.network)
        self.disk = FaultyOs()
        self.host.new_store = partial(DurableStore, file_system=self.disk)

    def start(self):
        """Opens folder and socket, and takes part; a problem ends the process with one line."""
        problem = self.host.open()
        if problem is not None:
            print(problem, file=sys.stderr, flush=True)
            stop(self.reactor)
            return
        self.host.begin()
        answer("READY")

    def take(self, order):
        """Does one order."""
        match order:
            case commands.Impair(rules):
                self.network.impairment.rules = list(rules)
            case commands.FailDisk(full, delay_ms):
                self.disk.full, self.disk.delay_ms = full, delay_ms
            case commands.Count():
                answer(commands.line_of_counts(self.counts()))
            case commands.End():
                stop(self.reactor)

    def counts(self):
        """Of this process."""
        counts = self.host.datagrams.add_to(commands.Counts())
        if isinstance(self.host, VoterRuntime):
            return replace(counts, leads=self.host.group.holds(boot_ms()))
        return replace(counts, oldest=self.host.relay.subscriber.applied_version)


def main(arguments):
    """Runs the process until it is told to end, or its input ends."""
    from twisted.internet import reactor

    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C goes to the run, which ends its processes in order.
    process = ControlProcess(reactor, read(arguments[0]), arguments[1])
    gc.freeze()
    reactor.callWhenRunning(process.start)
    read_orders(reactor, process.take, lambda: stop(reactor))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(sys.argv[1:])
