"""Measures fleet traffic on real sockets, one process for each gateway: reactor, timers and disk included."""

import json
import socket
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path

from lichenquay.load.child import child_environment
from lichenquay.testbed.scale.sample import Progress, Sample

WARM_UP_S, MEASURED_S, EXIT_TIMEOUT_S = 3.0, 3.0, 60.0
ACCOUNT = 'accounts { tenant: "tenant" rate_ms: 1000 bucket_ms: 5000 }'
# Gateways with membership alone, and with an idle account too.
SETTINGS_BY_KIND = {"members": "", "quota": ACCOUNT}


def free_ports(number: int) -> list[int]:
    """Returns UDP ports on which nothing listens now."""
    with ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(number)
        ]
        for opened in sockets:
            opened.bind(("127.0.0.1", 0))
        return [opened.getsockname()[1] for opened in sockets]


def settings_of(folder: Path, ports: Sequence[int], number: int, more: str) -> str:
    """Returns one gateway's settings, in protobuf text format."""
    peers = "".join(
        f'peers {{ name: "front-{i}" address: "127.0.0.1:{port}" }} '
        for i, port in enumerate(ports)
        if i != number
    )
    own = f'name: "front-{number}" listen: "127.0.0.1:{ports[number]}" folder: "{folder / str(number)}"'
    return f'fleet {{ fleet: "scale" {own} {peers} {more} }}'


def run_gateways(size: int, kind: str) -> list[dict[str, float]]:
    """Runs `size` gateways and returns the rates that each reports. Raises RuntimeError where one of them
    fails.
    """
    ports, running = free_ports(size), []
    with tempfile.TemporaryDirectory(prefix="lichenquay-scale-") as name:
        folder = Path(name)
        try:
            for number in range(size):
                path = folder / f"{number}.settings"
                path.write_text(settings_of(folder, ports, number, SETTINGS_BY_KIND[kind]), encoding="utf-8")
                command = [
                    sys.executable,
                    "-m",
                    "lichenquay.testbed.scale.fleet_only_gateway",
                    path,
                    WARM_UP_S,
                    MEASURED_S,
                ]
                running.append(
                    subprocess.Popen(
                        [str(argument) for argument in command],
                        env=child_environment(),
                        stdout=subprocess.PIPE,
                        stderr=subprocess.DEVNULL,
                        text=True,
                    )
                )
            outputs = [process.communicate(timeout=EXIT_TIMEOUT_S)[0] for process in running]
        finally:
            for process in running:
                process.kill()
                process.wait()
    try:
        return [json.loads(line) for line in outputs]
    except ValueError:
        raise RuntimeError(f"one of {size} gateways exited without its figures") from None


def measure(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """Returns the samples. `sizes`: gateways, all on 127.0.0.1. Real time: the seed is not used."""
    samples, steps = [], len(sizes) * len(SETTINGS_BY_KIND)
    for size in sizes:
        for kind in SETTINGS_BY_KIND:
            rates = run_gateways(size, kind)
            samples += [
                Sample(size, f"host.{kind}.processor", "ms/s", tuple(t["processor"] for t in rates)),
                Sample(size, f"host.{kind}.datagrams", "1/s", tuple(t["datagrams"] for t in rates)),
                Sample(size, f"host.{kind}.bytes_out", "B/s", tuple(t["bytes"] for t in rates)),
            ]
            progress(len(samples) / 3 / steps)
    return samples
