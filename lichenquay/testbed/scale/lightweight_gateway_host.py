"""A process of many hollow fronts: each follows the configuration and the engines' list on a socket of its
own.

    python -m lichenquay.testbed.scale.lightweight_gateway_host WORLD NUMBER

WORLD is the file of a `WorldSpec`; NUMBER tells this process from its likes. Orders come on standard input.
A hollow front is production's `FollowerRuntime`, as a front that follows distributed configuration has it.
It has no membership (at most 1,024 names), no account client, no controller, and no clients.
"""

import gc
import random
import signal
import sys
from dataclasses import replace
from pathlib import Path

from lichenquay.fleet.follower_runtime import FollowerRuntime
from lichenquay.fleet.runtime import boot_ms
from lichenquay.testbed.scale import commands, record
from lichenquay.testbed.scale.command_reader import answer, read_orders, stop
from lichenquay.testbed.scale.digest import values_digest
from lichenquay.testbed.scale.impaired_transport import LabPost, Network
from lichenquay.testbed.scale.impairment import Impairment
from lichenquay.testbed.scale.scenario import zone_of_name
from lichenquay.testbed.scale.settings_files import front_listen, front_settings
from lichenquay.testbed.scale.world_spec import PREFIXES, WorldSpec, read

MOST_LIVES = 50_000  # Of one process's fronts.
AGAIN_S = 0.05  # Before a front whose address is still taken is started again ...
MOST_TRIES = 100  # ... so often at most.


class CannotListenError(Exception):
    """A hollow front has no socket. The text is one line."""


class HollowFront(FollowerRuntime):
    """One front without traffic, from its start to its end."""

    def __init__(self, reactor, settings, seed, network, controller=None):
        """`settings`: the `distribution` part of its own. `controller`: takes the engines, where there is
        one.
        """
        super().__init__(reactor, settings, seed, self)
        self.datagrams = LabPost(self.datagrams, network)
        self.life = record.Life(settings.name, boot_ms())
        self.gate, self.controller = None, controller

    def apply_connection_rules(self, gate):
        """The gate that is in force, where a front's own would be put."""
        self.gate = gate

    def apply_endpoints(self, whole, rows):
        """The engines that are in force go to the controller, where there is one."""
        if self.controller is not None:
            self.controller.take(whole, rows)

    def begin(self):
        """Raises CannotListenError."""
        fault = self.open()
        if fault is not None:
            self.end_controller()
            raise CannotListenError(fault)
        super().begin()

    def after_flush(self):
        """Keeps the version in force, whichever way it moved."""
        super().after_flush()
        self.life.step(self.applied_configuration.subscriber.applied_version, boot_ms())

    def end(self):
        """Closes the socket without a word, and keeps what was held."""
        self.life.ended_ms = boot_ms()
        self.close()
        self.end_controller()
        self.keep_state()

    def end_controller(self):
        """It asks nothing more."""
        if self.controller is not None:
            self.controller.close()

    def keep_state(self):
        """What is held now goes into the record."""
        subscriber = self.applied_configuration.subscriber
        self.life.values_digest = values_digest(subscriber.applied_values)
        self.life.prefixes_wrong = sum(not key.startswith(PREFIXES) for key in subscriber.applied_values)
        self.life.counts = dict(subscriber.counts)
        if self.controller is not None:
            self.life.counts |= self.controller.counts()


class HollowHost:
    """All hollow fronts of this process."""

    def __init__(self, reactor, spec: WorldSpec, number: int):
        """`number`: of this process among its likes."""
        self.reactor, self.spec, self.number = reactor, spec, number
        self.network = Network(reactor, Impairment(f"{spec.shape.seed}/hollow/{number}"))
        self.settings = front_settings(spec)
        self.fronts: dict[str, HollowFront] = {}
        self.lives: list[record.Life] = []
        self.opening = None  # Of all controllers, made with the first.
        self.gone = commands.Counts()  # What fronts that have ended sent and heard.

    def take(self, order):
        """Does one order."""
        match order:
            case commands.StartFronts(names):
                self.start(names)
            case commands.StopFronts(names):
                self.stop(names)
            case commands.ReadSlowly(names, on):
                for name in names:
                    if name in self.fronts:
                        self.fronts[name].datagrams.read_slowly(on)
            case commands.Impair(rules):
                self.network.impairment.rules = list(rules)
            case commands.Count():
                answer(commands.line_of_counts(self.counts()))
            case commands.End():
                self.end()

    def start(self, names):
        """Starts the fronts that do not run."""
        for name in names:
            if name not in self.fronts and len(self.lives) < MOST_LIVES:
                self.start_one(name, MOST_TRIES)

    def start_one(self, name, tries):
        """Risk: a socket is closed only after the reactor's turn, so that a busy process can't listen there
        again at once. Then it is tried again, `tries` times at most.
        """
        if name in self.fronts:
            return
        front = self.new_front(name)
        try:
            front.begin()
        except CannotListenError as fault:
            if tries:
                self.reactor.callLater(AGAIN_S, self.start_one, name, tries - 1)
            else:
                print(f"{name}: {fault}", file=sys.stderr, flush=True)
            return
        self.fronts[name] = front
        self.lives.append(front.life)

    def new_front(self, name):
        """A front of this name, not begun."""
        settings = type(self.settings)()
        settings.CopyFrom(self.settings)
        settings.name, settings.zone = name, zone_of_name(name)
        settings.listen = front_listen(self.spec.shape, self.spec.loopbacks[self.number], name)
        seed = f"{self.spec.shape.seed}/{len(self.lives)}"
        return HollowFront(self.reactor, settings, seed, self.network, self.new_controller(name, seed))

    def new_controller(self, name, seed):
        """Where the shape has queries; the module is not imported otherwise."""
        per_s = self.spec.shape.queries_per_s
        if not per_s:
            return None
        from lichenquay.testbed.scale import lightweight_controller

        if self.opening is None:
            self.opening = lightweight_controller.opening_of(self.spec.shape.seed)
        rng = random.Random(f"{name}/{seed}")
        return lightweight_controller.HollowController(self.reactor, self.opening, rng, per_s)

    def stop(self, names):
        """Ends the fronts that run."""
        for name in names:
            front = self.fronts.pop(name, None)
            if front is not None:
                front.end()
                self.gone = front.datagrams.add_to(self.gone)

    def counts(self):
        """Of all fronts that run or ran here."""
        counts = self.gone
        for front in self.fronts.values():
            counts = front.datagrams.add_to(counts)
        in_force = [front.applied_configuration.subscriber.applied_version for front in self.fronts.values()]
        return replace(counts, fronts=len(self.fronts), oldest=min(in_force, default=0))

    def end(self):
        """Writes the record and stops the reactor."""
        for front in self.fronts.values():
            front.keep_state()
        record.write(Path(self.spec.folder) / f"hollow-{self.number}.npz", self.lives)
        stop(self.reactor)


def main(arguments):
    """Runs the process until it is told to end, or its input ends."""
    from twisted.internet import reactor

    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C goes to the run, which ends its processes in order.
    spec, number = read(arguments[0]), int(arguments[1])
    host = HollowHost(reactor, spec, number)
    gc.freeze()
    read_orders(reactor, host.take, lambda: stop(reactor))
    reactor.callWhenRunning(answer, "READY")
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(sys.argv[1:])
