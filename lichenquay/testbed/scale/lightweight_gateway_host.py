"""A process of many lightweight gateways: each follows the configuration and the list of engines on a socket
of its own.

    python -m lichenquay.testbed.scale.lightweight_gateway_host WORLD NUMBER

WORLD is the file of a `WorldSpec`; NUMBER is the index of this process among its kind. Commands come on
standard input. A lightweight gateway is production's `FollowerRuntime`, as a gateway that follows distributed
configuration runs it. It has no membership (at most 1,024 names), no account client and no clients, and a
controller only where the world has queries.
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
from lichenquay.testbed.scale.command_reader import start_command_reader, stop, write_answer
from lichenquay.testbed.scale.digest import values_digest
from lichenquay.testbed.scale.impaired_transport import ImpairedTransport, SharedNetwork
from lichenquay.testbed.scale.impairment import Impairment
from lichenquay.testbed.scale.scenario import zone_of_name
from lichenquay.testbed.scale.settings_files import gateway_listen_address, gateway_settings
from lichenquay.testbed.scale.world_spec import PREFIXES, WorldSpec, read

MAX_LIFETIMES = 50_000  # Over all gateways of one process.
LISTEN_RETRY_S = 0.05  # Before another start of a gateway whose address is still in use.
MAX_LISTEN_RETRIES = 100


class CannotListenError(Exception):
    """Raised where a lightweight gateway can't open its socket. The text is one line."""


class LightweightGateway(FollowerRuntime):
    """A gateway without client traffic, from its start to its end."""

    def __init__(self, reactor, settings, seed, network, controller=None):
        """`settings`: its own `distribution` settings. `controller`: receives the engines, or None."""
        super().__init__(reactor, settings, seed, self)
        self.datagrams = ImpairedTransport(self.datagrams, network)
        self.lifetime = record.GatewayLifetime(settings.name, boot_ms())
        self.gate, self.controller = None, controller

    def apply_connection_rules(self, gate):
        """Stores the connection rules in force, which nothing here enforces."""
        self.gate = gate

    def apply_endpoints(self, is_whole, rows):
        """Passes the engines in force to the controller, if there is one."""
        if self.controller is not None:
            self.controller.update_endpoints(is_whole, rows)

    def begin(self):
        """Opens the socket and starts. Raises CannotListenError."""
        fault = self.open()
        if fault is not None:
            self.close_controller()
            raise CannotListenError(fault)
        super().begin()

    def after_flush(self):
        """Records the version in force, whether it rose or fell."""
        super().after_flush()
        self.lifetime.record_version(self.applied_configuration.subscriber.applied_version, boot_ms())

    def end(self):
        """Closes the socket without notifying anyone, and records the final state."""
        self.lifetime.ended_ms = boot_ms()
        self.close()
        self.close_controller()
        self.record_final_state()

    def close_controller(self):
        """Stops the controller's queries."""
        if self.controller is not None:
            self.controller.close()

    def record_final_state(self):
        """Records the values held now, and the counts."""
        subscriber = self.applied_configuration.subscriber
        self.lifetime.values_digest = values_digest(subscriber.applied_values)
        self.lifetime.prefixes_wrong = sum(not key.startswith(PREFIXES) for key in subscriber.applied_values)
        self.lifetime.counts = dict(subscriber.counts)
        if self.controller is not None:
            self.lifetime.counts |= self.controller.counts()


class LightweightGatewayHost:
    """Runs all lightweight gateways of this process."""

    def __init__(self, reactor, spec: WorldSpec, number: int):
        """`number`: the index of this process among its kind."""
        self.reactor, self.spec, self.number = reactor, spec, number
        self.network = SharedNetwork(reactor, Impairment(f"{spec.shape.seed}/hollow/{number}"))
        self.settings = gateway_settings(spec)
        self.gateways: dict[str, LightweightGateway] = {}
        self.lifetimes: list[record.GatewayLifetime] = []
        self.deployment = None  # Shared by all controllers; created with the first one.
        self.ended_counts = commands.Counts()  # Counts of gateways that have ended.

    def execute(self, command):
        """Executes one command."""
        match command:
            case commands.StartFronts(names):
                self.start_gateways(names)
            case commands.StopFronts(names):
                self.stop_gateways(names)
            case commands.ReadSlowly(names, on):
                for name in names:
                    if name in self.gateways:
                        self.gateways[name].datagrams.read_slowly(on)
            case commands.Impair(rules):
                self.network.impairment.rules = list(rules)
            case commands.Count():
                write_answer(commands.encode_counts(self.counts()))
            case commands.End():
                self.end()

    def start_gateways(self, names):
        """Starts those of the gateways that do not run."""
        for name in names:
            if name not in self.gateways and len(self.lifetimes) < MAX_LIFETIMES:
                self.start_gateway(name, MAX_LISTEN_RETRIES)

    def start_gateway(self, name, retries_left):
        """Starts one gateway, and retries up to `retries_left` times where it can't listen.

        The reactor closes a socket only in its next iteration, so that a busy process can't listen on the
        same address at once.
        """
        if name in self.gateways:
            return
        gateway = self.new_gateway(name)
        try:
            gateway.begin()
        except CannotListenError as fault:
            if retries_left:
                self.reactor.callLater(LISTEN_RETRY_S, self.start_gateway, name, retries_left - 1)
            else:
                print(f"{name}: {fault}", file=sys.stderr, flush=True)
            return
        self.gateways[name] = gateway
        self.lifetimes.append(gateway.lifetime)

    def new_gateway(self, name):
        """Returns a gateway of this name that has not started."""
        settings = type(self.settings)()
        settings.CopyFrom(self.settings)
        settings.name, settings.zone = name, zone_of_name(name)
        settings.listen = gateway_listen_address(self.spec.shape, self.spec.loopbacks[self.number], name)
        seed = f"{self.spec.shape.seed}/{len(self.lifetimes)}"
        return LightweightGateway(self.reactor, settings, seed, self.network, self.new_controller(name, seed))

    def new_controller(self, name, seed):
        """Returns a controller where the shape has queries, else None; the module is imported only then."""
        per_s = self.spec.shape.queries_per_s
        if not per_s:
            return None
        from lichenquay.testbed.scale import lightweight_controller

        if self.deployment is None:
            self.deployment = lightweight_controller.deployment_settings(self.spec.shape.seed)
        rng = random.Random(f"{name}/{seed}")
        return lightweight_controller.LightweightController(self.reactor, self.deployment, rng, per_s)

    def stop_gateways(self, names):
        """Ends those of the gateways that run."""
        for name in names:
            gateway = self.gateways.pop(name, None)
            if gateway is not None:
                gateway.end()
                self.ended_counts = gateway.datagrams.added_to(self.ended_counts)

    def counts(self):
        """Returns the counts of all gateways that run or ran here."""
        counts = self.ended_counts
        for gateway in self.gateways.values():
            counts = gateway.datagrams.added_to(counts)
        in_force = [
            gateway.applied_configuration.subscriber.applied_version for gateway in self.gateways.values()
        ]
        return replace(counts, fronts=len(self.gateways), oldest=min(in_force, default=0))

    def end(self):
        """Writes the record and stops the reactor."""
        for gateway in self.gateways.values():
            gateway.record_final_state()
        record.write(Path(self.spec.folder) / f"hollow-{self.number}.npz", self.lifetimes)
        stop(self.reactor)


def main(arguments):
    """Runs the process until it receives `End` or its input ends."""
    from twisted.internet import reactor

    signal.signal(signal.SIGINT, signal.SIG_IGN)  # On Ctrl-C the run ends its processes itself.
    spec, number = read(arguments[0]), int(arguments[1])
    host = LightweightGatewayHost(reactor, spec, number)
    gc.freeze()
    start_command_reader(reactor, host.execute, lambda: stop(reactor))
    reactor.callWhenRunning(write_answer, "READY")
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(sys.argv[1:])
