"""What the fleet's talk costs a front on real sockets, a process each: reactor, timers and disk too."""

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

WARM_S, MEASURED_S, PATIENCE_S = 3.0, 3.0, 60.0
ACCOUNT = 'accounts { tenant: "tenant" rate_ms: 1000 bucket_ms: 5000 }'
KINDS = {"members": "", "quota": ACCOUNT}  # what the fronts talk of: members alone, or an idle account too


def free_ports(number: int) -> list[int]:
    """UDP ports that nothing listens on now."""
    with ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(number)
        ]
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]


def settings_of(folder: Path, ports: Sequence[int], number: int, more: str) -> str:
    """One front's settings, in protobuf text format."""
    peers = "".join(
        f'peers {{ name: "front-{i}" address: "127.0.0.1:{port}" }} '
        for i, port in enumerate(ports)
        if i != number
    )
    own = f'name: "front-{number}" listen: "127.0.0.1:{ports[number]}" folder: "{folder / str(number)}"'
    return f'fleet {{ fleet: "scale" {own} {peers} {more} }}'


def talk(size: int, kind: str) -> list[dict[str, float]]:
    """What each of so many fronts tells of itself. Raises RuntimeError where one of them fails."""
    ports, running = free_ports(size), []
    with tempfile.TemporaryDirectory(prefix="lichenquay-scale-") as name:
        folder = Path(name)
        try:
            for number in range(size):
                path = folder / f"{number}.settings"
                path.write_text(settings_of(folder, ports, number, KINDS[kind]), encoding="utf-8")
                command = [
                    sys.executable,
                    "-m",
                    "lichenquay.testbed.scale.fleet_only_gateway",
                    path,
                    WARM_S,
                    MEASURED_S,
                ]
                running.append(
                    subprocess.Popen(
                        [str(word) for word in command],
                        env=child_environment(),
                        stdout=subprocess.PIPE,
                        stderr=subprocess.DEVNULL,
                        text=True,
                    )
                )
            said = [process.communicate(timeout=PATIENCE_S)[0] for process in running]
        finally:
            for process in running:
                process.kill()
                process.wait()
    try:
        return [json.loads(line) for line in said]
    except ValueError:
        raise RuntimeError(f"a front of {size} ended without its figures") from None


def measure(sizes: Sequence[int], seed: int, progress: Progress) -> list[Sample]:
    """`sizes`: fronts, all on 127.0.0.1. Real time: the seed is not used."""
    samples, steps = [], len(sizes) * len(KINDS)
    for size in sizes:
        for kind in KINDS:
            told = talk(size, kind)
            samples += [
                Sample(size, f"host.{kind}.processor", "ms/s", tuple(t["processor"] for t in told)),
                Sample(size, f"host.{kind}.datagrams", "1/s", tuple(t["datagrams"] for t in told)),
                Sample(size, f"host.{kind}.bytes_out", "B/s", tuple(t["bytes"] for t in told)),
            ]
            progress(len(samples) / 3 / steps)
    return samples
