"""A process that is a front's part in the fleet and nothing else: what its talk costs on real sockets.

    python -m lichenquay.testbed.scale.fleet_only_gateway SETTINGS WARM_S MEASURED_S

Prints one line of JSON when the time is over: processor time, datagrams and bytes sent, each a second.
"""

import json
import sys
import time

from twisted.internet import reactor

from lichenquay.config.reader import read_file, read_settings
from lichenquay.fleet.gateway_runtime import GatewayRuntime


def spent(fleet: GatewayRuntime) -> tuple[float, int, int]:
    """Processor time in milliseconds, datagrams and bytes sent so far."""
    post = fleet.datagrams
    return time.process_time() * 1_000, post.counters["datagrams sent"], post.bytes_out


def main(path: str, warm_s: float, measured_s: float) -> None:
    """Talks for the two times, then tells of the second one."""
    fleet = GatewayRuntime(reactor, read_file(path, read_settings).fleet, 1, lambda: False)
    trouble = fleet.open()
    if trouble:
        sys.exit(trouble)
    fleet.begin()
    marks: list[tuple[float, int, int]] = []
    reactor.callLater(warm_s, lambda: marks.append(spent(fleet)))
    reactor.callLater(warm_s + measured_s, lambda: (marks.append(spent(fleet)), reactor.stop()))
    reactor.run()
    fleet.close()
    rates = [(after - before) / measured_s for before, after in zip(*marks, strict=True)]
    print(json.dumps(dict(zip(("processor", "datagrams", "bytes"), rates, strict=True))))


if __name__ == "__main__":
    main(sys.argv[1], float(sys.argv[2]), float(sys.argv[3]))
