"""A process of hollow fronts: one that ends and starts again in one turn of the reactor comes up again."""

import json
import subprocess
import sys
import time

import pytest

from lichenquay.load.child import ROOT, child_environment, read_line
from lichenquay.testbed.scale import commands
from lichenquay.testbed.scale.scenario import Shape
from lichenquay.testbed.scale.world import free_addresses, loopback_addresses
from lichenquay.testbed.scale.world_spec import WorldSpec

pytestmark = pytest.mark.together

WAIT_S = 30.0


def test_fronts_that_end_and_start_at_once_come_up_again(tmp_path):
    """Risk: their sockets are not closed yet when they listen again."""
    shape = Shape(fronts=6, hosts=1, least_zones=1)
    addresses = free_addresses(shape.control_names())
    spec = WorldSpec(shape, addresses, loopback_addresses(1), str(tmp_path))
    spec.write()
    process = subprocess.Popen(
        [sys.executable, "-m", "lichenquay.testbed.scale.lightweight_gateway_host", str(spec.path), "0"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env=child_environment(),
        cwd=ROOT,
    )
    try:
        assert read_line(process, WAIT_S) == "READY"
        names = shape.front_names()
        said = [commands.StartFronts(names), commands.StopFronts(names), commands.StartFronts(names)]
        process.stdin.write("".join(commands.line_of(order) + "\n" for order in said))
        until = time.monotonic() + WAIT_S
        while count(process)["fronts"] < len(names):
            assert time.monotonic() < until
    finally:
        process.kill()
        process.wait()
        process.stdin.close()
        process.stdout.close()


def count(process):
    """The process's counts, a moment later."""
    time.sleep(0.1)
    process.stdin.write(commands.line_of(commands.Count()) + "\n")
    process.stdin.flush()
    return json.loads(read_line(process, WAIT_S))
