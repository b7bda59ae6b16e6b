"""Emulates engines and their endpoint list on loopback sockets, with faults from a timed script, in one
process.

    python -m lichenquay.testbed.emulator --conf WORLD --ledger FILE

Prints one JSON line with the addresses once it listens, and starts its script when a line `START` comes on
standard input. The ledger has one JSON line for each event, with the monotonic clock's time in ms.
"""

import json
import signal
import sys

import click
import numpy as np
from twisted.internet import reactor, stdio
from twisted.protocols.basic import LineReceiver

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.reader import read_file
from lichenquay.testbed.engine_host import EngineHost
from lichenquay.testbed.http_server import HttpServer, now_ms


class EndpointListServer(HttpServer):
    """Serves the endpoint list as numbered watch events, which the script can delay or hold back."""

    def __init__(self, emulator):
        """Starts with no events."""
        super().__init__()
        self.emulator, self.items, self.waiting_polls, self.delay_ms, self.is_held = (
            emulator,
            [],
            [],
            0.0,
            False,
        )

    def publish_delayed(self, rows, whole=False):
        """Publishes rows after the delay in force; `whole` marks a complete list."""
        reactor.callLater(self.delay_ms / 1000, self.publish, {"roster": {"all": whole, "targets": rows}})

    def publish(self, item):
        """Appends an event and answers waiting polls; retries each 50 ms while events are held back."""
        if self.is_held:
            return reactor.callLater(0.05, self.publish, item)
        item["no"] = item["roster"]["rev"] = len(self.items) + 1
        self.items.append(item)
        for row in item["roster"]["targets"]:
            self.emulator.record("told", row["uid"], "", state=row["state"])
        waiting, self.waiting_polls = self.waiting_polls, []
        for connection, after, timeout in waiting:
            if timeout.active():
                timeout.cancel()
            self.answer_poll(connection, after)

    def answer_poll(self, connection, after):
        """Replies with the events after a number."""
        connection.answer(200, (), json.dumps(self.events_since(after)).encode())

    def events_since(self, after=0):
        """Returns the latest event's number and the events after `after`."""
        return {"no": len(self.items), "items": self.items[after:]}

    def on_message(self, connection, method, path, headers, body):
        """Answers a poll at once if there are newer events; else it waits for as long as the poll allows, 5 s
        at most.
        """
        query = dict(each.partition("=")[::2] for each in path.partition("?")[2].split("&"))
        try:
            after, patience_ms = int(query["after"]), min(5000.0, float(query.get("patience", 0)))
        except (KeyError, ValueError):
            return connection.answer(400)
        if after < len(self.items):
            return self.answer_poll(connection, after)
        self.waiting_polls.append(
            (connection, after, reactor.callLater(patience_ms / 1000, self.answer_empty_poll, connection))
        )

    def answer_empty_poll(self, connection):
        """Replies to a poll that timed out."""
        after = next((after for each, after, _ in self.waiting_polls if each is connection), len(self.items))
        self.waiting_polls = [each for each in self.waiting_polls if each[0] is not connection]
        self.answer_poll(connection, after)


class Emulator:
    """All emulated engines, their endpoint list, and the fault script."""

    def __init__(self, settings, ledger):
        """Starts all engines and publishes the first complete list. `ledger` is an open text file."""
        self.settings, self.ledger, self.cuts = settings, ledger, {}
        self.seed_sequence, self.engines_made = np.random.SeedSequence([settings.seed, 1]), 0
        self.endpoint_list = EndpointListServer(self)
        zones = list(settings.engines.zones) or ["a"]
        self.engines = [self.make_engine(zones[i % len(zones)]) for i in range(settings.engines.count)]
        self.endpoint_list.publish(
            {"roster": {"all": True, "targets": [self.endpoint_row(host) for host in self.engines]}}
        )

    def make_engine(self, zone, port=0, cold=False):
        """Starts an engine process with its own name and random generator."""
        self.engines_made += 1
        rng = np.random.default_rng(self.seed_sequence.spawn(1)[0])
        return EngineHost(self, f"e-{self.engines_made:04d}", zone, self.settings.engines, rng, port, cold)

    def endpoint_row(self, host, state="SERVING"):
        """Returns the engine's row in the endpoint list."""
        return {
            "uid": host.uid,
            "endpoint": host.address,
            "az": host.zone,
            "model": "std",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1,
            "boot_ms": host.boot_ms,
        }

    def record(self, kind, uid, ref, **facts):
        """Writes an event to the ledger."""
        self.ledger.write(
            json.dumps({"ms": round(now_ms(), 3), "kind": kind, "engine": uid, "ref": ref, **facts}) + "\n"
        )

    def start(self):
        """Schedules all faults, with times relative to now."""
        for fault in self.settings.faults:
            reactor.callLater(fault.at_ms / 1000, self.apply_fault, fault)

    def call_later(self, ms, call, *arguments):
        """Schedules a call in `ms` milliseconds."""
        reactor.callLater(ms / 1000, call, *arguments)

    def apply_fault(self, fault):
        """Starts a fault and schedules its end."""
        kinds, host = pb.Fault, self.engines[fault.engine]
        self.record("fault", host.uid, "", fault=kinds.Kind.Name(fault.kind))
        if fault.kind in (kinds.HANG, kinds.PAUSE):
            host.pause()
            self.call_later(fault.for_ms, host.resume, fault.kind == kinds.PAUSE)
        elif fault.kind == kinds.ZONE_CUT:
            for cut in [each for each in self.engines if each.zone == fault.zone and not each.is_dead]:
                cut.pause()
                self.call_later(fault.for_ms, cut.resume, False)
        elif fault.kind == kinds.SLOW:
            self.set_speed(host, fault.amount)
            self.call_later(fault.for_ms, self.set_speed, host, 1.0)
        elif fault.kind in (kinds.RESET, kinds.SPOIL, kinds.LOSE):
            host.fault_shares[fault.kind] = fault.amount
            self.call_later(fault.for_ms, host.fault_shares.pop, fault.kind, None)
        elif fault.kind == kinds.DRAIN:
            self.endpoint_list.publish_delayed([self.endpoint_row(host, "DRAINING")])
            self.call_later(fault.for_ms, self.remove, host)
        elif fault.kind == kinds.DIE:
            host.die()
            if fault.for_ms:
                self.call_later(
                    fault.for_ms, self.endpoint_list.publish_delayed, [self.endpoint_row(host, "DELETED")]
                )
        elif fault.kind == kinds.SUCCEED:
            port = int(host.address.rpartition(":")[2])
            host.is_dead = True
            self.record("died", host.uid, "")
            host.close().addCallback(lambda _: self.replace_engine(fault.engine, host, port))
        elif fault.kind == kinds.BULLETIN_LATE:
            self.endpoint_list.delay_ms = fault.amount
            self.call_later(fault.for_ms, setattr, self.endpoint_list, "delay_ms", 0.0)
        elif fault.kind == kinds.BULLETIN_HELD:
            self.endpoint_list.is_held = True
            self.call_later(fault.for_ms, setattr, self.endpoint_list, "is_held", False)

    def set_speed(self, host, speed):
        """Sets an engine's speed, 1 being normal, from now on."""
        host.engine.advance(now_ms())
        host.engine.speed = speed
        host.schedule_tick()

    def remove(self, host):
        """Kills an engine and removes it from the endpoint list."""
        host.die()
        self.endpoint_list.publish_delayed([self.endpoint_row(host, "DELETED")])

    def replace_engine(self, index, old, port):
        """Starts a cold engine on the address of a dead one and publishes the change."""
        new = self.engines[index] = self.make_engine(old.zone, port, cold=True)
        self.record("cold", new.uid, "")
        self.endpoint_list.publish_delayed([self.endpoint_row(old, "DELETED"), self.endpoint_row(new)])


class CommandReader(LineReceiver):
    """Reads the parent's commands from standard input."""

    delimiter = b"\n"

    def __init__(self, emulator):
        """Controls `emulator`."""
        self.emulator = emulator

    def lineReceived(self, line):
        """Starts the fault script on START."""
        if line.strip() == b"START":
            self.emulator.start()

    def connectionLost(self, reason):
        """Stops the emulator: its parent process has ended."""
        if reactor.running:
            reactor.stop()


@click.command()
@click.option("--conf", required=True, type=click.Path())
@click.option("--ledger", required=True, type=click.Path())
def main(conf, ledger):
    """Runs the emulator until SIGTERM or the end of standard input."""
    with open(ledger, "w", buffering=1) as file:
        emulator = Emulator(read_file(conf), file)
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
        print(
            json.dumps(
                {
                    "bulletin": emulator.endpoint_list.address,
                    "known": emulator.endpoint_list.events_since(),
                    "engines": [host.address for host in emulator.engines],
                }
            ),
            flush=True,
        )
        stdio.StandardIO(CommandReader(emulator))
        reactor.run(installSignalHandlers=False)
    sys.exit(0)


if __name__ == "__main__":
    main()
