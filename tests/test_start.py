"""Signals during the start of a gateway: it shuts down gracefully at any time after its first line."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from gateway_world import SETTINGS
from ports import allocate_free_port

from lichenquay.gateway import frames

ROOT = Path(__file__).resolve().parents[1]
# Runs the program as `python -m` does, and writes `up` just before its first line.
FIRST_LINE = (
    "import os, runpy, sys, lichenquay.gateway; os.write(1, b'up'); sys.argv = ['lichenquay.gateway'];"
    "runpy.run_module('lichenquay.gateway', run_name='__main__', alter_sys=True)"
)
FIRST_LINE_CPU_S = 0.03  # processor time of the first line; the imports that follow take ten times as much


def start_gateway(tmp_path, port):
    """Starts the program, which writes `up` before its first line."""
    config = tmp_path / "config.json"
    config.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": f"127.0.0.1:{port}",
                "seed": "8c1f30d27a5be964",
                "settings": SETTINGS,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"no": 0, "items": []},
                "bulletin": f"127.0.0.1:{allocate_free_port()}",
            }
        )
    )
    return subprocess.Popen(
        [sys.executable, "-c", FIRST_LINE],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(config)},
    )


def cpu_s(process):
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def blocks_signals(process):
    """Returns whether the process has blocked SIGTERM."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("SigBlk"):
            return bool(int(line.split()[1], 16) >> (signal.SIGTERM - 1) & 1)


def wait_for_first_line(process):
    """Waits until the program has executed its first line.

    It measures processor time, so that the load of the machine makes no difference.
    """
    assert process.stdout.read(2) == b"up"
    started_cpu_s = cpu_s(process)
    while not blocks_signals(process) and cpu_s(process) < started_cpu_s + FIRST_LINE_CPU_S:
        time.sleep(0.001)


@pytest.mark.parametrize(
    "numbers", [(signal.SIGTERM,), (signal.SIGINT,), (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM)]
)
def test_a_signal_at_any_time_of_the_start_ends_the_gateway_gracefully(tmp_path, numbers):
    """The exit code is 0, and the counters are reported."""
    rng, gateways = random.Random(str(numbers)), []
    for i in range(6):
        (tmp_path / str(i)).mkdir()
        gateways.append(start_gateway(tmp_path / str(i), allocate_free_port()))
    try:
        for process in gateways:
            wait_for_first_line(process)
            time.sleep(rng.random() * 0.08)
            for number in numbers:
                process.send_signal(number)
        for process in gateways:
            log = process.communicate(timeout=20)[1].decode()
            assert process.returncode == 0 and "Traceback" not in log, log
            assert "state: ended" in log
    finally:
        for process in gateways:
            process.kill()
            process.wait()


def test_a_client_that_can_connect_is_answered_whenever_sigterm_arrives(tmp_path):
    """A request just before or after SIGTERM has one answer."""
    rng = random.Random(30)
    for i in range(4):
        port = allocate_free_port()
        process = start_gateway(tmp_path, port)
        try:
            for _ in range(2000):
                try:
                    client = socket.create_connection(("127.0.0.1", port), 1)
                    break
                except ConnectionRefusedError:
                    time.sleep(0.005)
            with client:
                fields = {
                    "service": "report",
                    "ref": f"{i:016x}",
                    "allow": "300",
                    "project": "acme",
                    "effort": "5",
                    "memory": "1",
                }
                query = frames.encode_frame(
                    frames.FrameType.QUERY, 1, frames.encode_fields(fields.items()), b"select 1"
                )
                if rng.random() < 0.5:
                    process.send_signal(signal.SIGTERM)
                    client.sendall(query)
                else:
                    client.sendall(query)
                    process.send_signal(signal.SIGTERM)
                client.settimeout(5)
                reader, answers = frames.FrameReader(), []
                while data := client.recv(65_536):
                    answers += [
                        (stream, payload[0])
                        for kind, stream, payload in reader.feed(data)
                        if kind == frames.FrameType.ANSWER
                    ]
            assert (
                process.wait(10) == 0
                and [answered_stream for answered_stream, _ in answers] == [1]
                and answers[0][1] in (frames.AnswerCode.REJECTED, frames.AnswerCode.FAILED)
            )
        finally:
            process.kill()
            process.communicate()
