"""A process that runs only a gateway's fleet runtime, to measure its cost on real sockets.

    python -m lichenquay.testbed.scale.fleet_only_gateway SETTINGS WARM_UP_S MEASURED_S

Prints one line of JSON at the end: processor time, datagrams and bytes sent, each a second.
"""

import json
import sys
import time

from twisted.internet import reactor

from lichenquay.config.reader import read_file, read_settings
from lichenquay.fleet.gateway_runtime import GatewayRuntime


def read_counters(fleet: GatewayRuntime) -> tuple[float, int, int]:
    """Returns processor time in milliseconds, datagrams and bytes sent so far."""
    transport = fleet.datagrams
    return time.process_time() * 1_000, transport.counters["datagrams sent"], transport.bytes_out


def main(path: str, warm_up_s: float, measured_s: float) -> None:
    """Runs for the warm-up and the measured time, then prints the rates of the latter."""
    fleet = GatewayRuntime(reactor, read_file(path, read_settings).fleet, 1, lambda: False)
    problem = fleet.open()
    if problem:
        sys.exit(problem)
    fleet.begin()
    readings: list[tuple[float, int, int]] = []
    reactor.callLater(warm_up_s, lambda: readings.append(read_counters(fleet)))
    reactor.callLater(warm_up_s + measured_s, lambda: (readings.append(read_counters(fleet)), reactor.stop()))
    reactor.run()
    fleet.close()
    rates = [(after - before) / measured_s for before, after in zip(*readings, strict=True)]
    print(json.dumps(dict(zip(("processor", "datagrams", "bytes"), rates, strict=True))))


if __name__ == "__main__":
    main(sys.argv[1], float(sys.argv[2]), float(sys.argv[3]))
