"""A process of lightweight gateways restarts a gateway that stops and starts within one reactor iteration."""

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


def test_gateways_that_stop_and_start_at_once_run_again(tmp_path):
    """The reactor has not closed the old sockets yet when the gateways listen again."""
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
        names = shape.gateway_names()
        sent_commands = [commands.StartFronts(names), commands.StopFronts(names), commands.StartFronts(names)]
        process.stdin.write("".join(commands.encode_command(command) + "\n" for command in sent_commands))
        until = time.monotonic() + WAIT_S
        while count(process)["fronts"] < len(names):
            assert time.monotonic() < until
    finally:
        process.kill()
        process.wait()
        process.stdin.close()
        process.stdout.close()


def count(process):
    """Returns the process's counts after a short wait."""
    time.sleep(0.1)
    process.stdin.write(commands.encode_command(commands.Count()) + "\n")
    process.stdin.flush()
    return json.loads(read_line(process, WAIT_S))
