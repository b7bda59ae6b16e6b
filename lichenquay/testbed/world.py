"""A whole world on loopback: emulated engines with their endpoint list, and gateways, each in a process of
its own.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import structlog
from google.protobuf import text_format

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.load.child import ROOT, child_environment, read_line, start_module

START_TIMEOUT_S = 15.0
EFFECT_NAMES = {pb.READ_ONLY: "safe", pb.TOKENED: "keyed", pb.MUTATING: "unsafe"}
log = structlog.get_logger()


class WorldStartError(Exception):
    """A process of the world did not start. The message is one line."""


def platform_settings(testbed):
    """Returns the settings that the world's gateways get, under the platform's names."""
    engines = testbed.engines
    return {
        "seed": testbed.seed,
        "resolution_us": 5000,
        "replicas_of_me": testbed.front.count,
        "my_zone": (list(engines.zones) or ["a"])[0],
        "kinds": ["std"],
        "over_share_worth": 0.1,
        "classes": [
            {
                "name": group.name,
                "effect": EFFECT_NAMES[group.effect],
                "aim_us": int(group.target_ms * 1000),
                "aim_stretch": group.stretch,
                "deadline_us": int(group.timeout_ms * 1000),
                "worth": group.value,
                "late_worth": group.late_value,
            }
            for group in testbed.groups
        ],
        "tenants": [
            {"name": tenant.name, "share": tenant.share, "allowance_per_s": tenant.allowance_per_s}
            for tenant in testbed.tenants
        ],
        "limits": {
            "most_tries": 6,
            "cancel": True,
            "keepalive_us": int(engines.keepalive_ms * 1000),
            "connect_timeout_us": 250000,
        },
        "rules": {
            "answer_slack_us": 20000,
            "stop_sending_within_us": 250000,
            "start_capacity": engines.cold_share,
            "ramp_time_us": int(engines.cold_ms * 1000),
            "overload_factor": engines.cold_multiple,
            "fall_us": int(engines.fall_ms * 1000),
        },
        "report": {"how": "answers", "columns": ["active", "waiting", "cpu"]},
        "family_info": {
            "width_by_class": [group.threads for group in testbed.groups],
            "loads": [group.load for group in testbed.groups],
            "size_cores": [engines.cores],
            "memory_by_kind_mb": [engines.memory_mb],
            "most_grant": 0.4,
            "progress_pace_us": 500000,
            "says_cost": True,
            "takes_grants": True,
            "ranks_heeded": True,
            "out_of_memory": "queue",
        },
    }


def start_emulator(testbed, folder, ledger):
    """Starts the emulator of engines and endpoint list, with settings written into `folder`; returns its
    process.
    """
    conf = folder / "world.textproto"
    conf.write_text(text_format.MessageToString(testbed))
    return start_module("lichenquay.testbed.emulator", "--conf", str(conf), "--ledger", str(ledger))


class World:
    """A context that starts and ends all processes. `gateway_module` is run as the gateway."""

    def __init__(self, testbed, out, gateway_module="lichenquay.gateway", arguments=()):
        """Writes all files into the folder `out`; `arguments` are the gateway's command line."""
        self.testbed, self.out, self.gateway_module, self.arguments = (
            testbed,
            Path(out),
            gateway_module,
            arguments,
        )
        self.processes, self.gateways, self.addresses = [], [], []
        self.ledger = self.out / "ledger.jsonl"

    def __enter__(self):
        """Starts the emulator, then the gateways. Raises WorldStartError."""
        self.out.mkdir(parents=True, exist_ok=True)
        try:
            self.emulator = start_emulator(self.testbed, self.out, self.ledger)
            self.processes.append(self.emulator)
            line = read_line(self.emulator, START_TIMEOUT_S)
            if not line:
                raise WorldStartError("the emulator did not start")
            self.emulator_info = json.loads(line)
            for index in range(self.testbed.front.count):
                self.start_gateway(index)
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def start_gateway(self, index):
        """Starts a gateway on a free port and waits until it accepts connections. Raises WorldStartError."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        config = {
            "name": f"n{index}",
            "listen": address,
            "seed": f"{self.testbed.seed * 65537 + index:016x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self.testbed.front.memory_mb,
                "sockets": self.testbed.front.sockets,
            },
            "bulletin": self.emulator_info["bulletin"],
            "known": self.emulator_info["known"],
            "settings": platform_settings(self.testbed),
        }
        path = self.out / f"front-{index}.json"
        path.write_text(json.dumps(config))
        extra_env = {"BALANCER_CONFIG": str(path)}
        own_settings = self.gateway_settings(index)
        if own_settings is not None:
            settings = self.out / f"settings-{index}.textproto"
            settings.write_text(text_format.MessageToString(own_settings))
            extra_env["LICHENQUAY_SETTINGS"] = str(settings)
        with open(self.out / f"front-{index}.log", "w", encoding="utf-8") as out:
            gateway = subprocess.Popen(
                [sys.executable, "-m", self.gateway_module, *self.arguments],
                stderr=out,
                stdout=out,
                stdin=subprocess.DEVNULL,
                env={**child_environment(), **extra_env},
                cwd=ROOT,
                start_new_session=True,
            )
        self.processes.append(gateway)
        self.gateways.append(gateway)
        self.addresses.append(address)
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s and gateway.poll() is None:
            try:
                with socket.create_connection(tuple(address.split(":")), 0.2):
                    return
            except OSError:
                time.sleep(0.02)
        log_lines = (self.out / f"front-{index}.log").read_text().strip().splitlines()
        raise WorldStartError(
            f"gateway {index} did not start: {log_lines[-1] if log_lines else 'its log is empty'}"
        )

    def gateway_settings(self, index):
        """Returns a gateway's settings of Lichenquay's own features, or None."""
        return pb.Settings(gate=self.testbed.front.gate) if self.testbed.front.HasField("gate") else None

    def start_script(self):
        """Starts the fault script; its times count from now."""
        self.emulator.stdin.write("START\n")
        self.emulator.stdin.flush()

    def stall(self, seconds, index=0):
        """Suspends a gateway by SIGSTOP for some seconds."""
        gateway = self.gateways[index]
        gateway.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        gateway.send_signal(signal.SIGCONT)

    def cpu_s(self, index=0):
        """Returns the CPU seconds that a gateway has used."""
        fields = Path(f"/proc/{self.gateways[index].pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def peak_mb(self, index=0):
        """Returns a gateway's peak resident memory in MB; 0 if the kernel doesn't report it."""
        for line in Path(f"/proc/{self.gateways[index].pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
        return 0.0

    def leave(self, index=0, seconds=6.0):
        """Ends a gateway by SIGTERM, as at a planned restart, and kills it after `seconds`; returns its exit
        code.
        """
        gateway = self.gateways[index]
        gateway.terminate()
        try:
            return gateway.wait(seconds)
        except subprocess.TimeoutExpired:
            gateway.kill()
            return gateway.wait()

    def __exit__(self, *_):
        """Ends all processes that still run, the emulator last."""
        for gateway in self.gateways:
            if gateway.poll() is None:
                gateway.terminate()
        for process in self.processes[::-1]:
            try:
                if process is self.processes[0]:
                    process.terminate()
                process.wait(6)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            for stream in (process.stdin, process.stdout):
                if stream:
                    stream.close()
