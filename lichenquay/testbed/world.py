"""A whole world on loopback: emulated engines and their bulletin, fronts amid them, each in a process of its own."""

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

READY_S = 15.0
EFFECTS = {pb.READ_ONLY: "safe", pb.TOKENED: "keyed", pb.MUTATING: "unsafe"}
log = structlog.get_logger()


class WorldStartError(Exception):
    """One line."""


def platform_settings(lab):
    """What the world's fronts are told of it, in the platform's names."""
    e = lab.engines
    return {
        "seed": lab.seed,
        "resolution_us": 5000,
        "replicas_of_me": lab.front.count,
        "my_zone": (list(e.zones) or ["a"])[0],
        "kinds": ["std"],
        "over_share_worth": 0.1,
        "classes": [
            {
                "name": g.name,
                "effect": EFFECTS[g.effect],
                "aim_us": int(g.target_ms * 1000),
                "aim_stretch": g.stretch,
                "deadline_us": int(g.timeout_ms * 1000),
                "worth": g.value,
                "late_worth": g.late_value,
            }
            for g in lab.groups
        ],
        "tenants": [
            {"name": t.name, "share": t.share, "allowance_per_s": t.allowance_per_s} for t in lab.tenants
        ],
        "limits": {
            "most_tries": 6,
            "cancel": True,
            "keepalive_us": int(e.keepalive_ms * 1000),
            "connect_timeout_us": 250000,
        },
        "rules": {
            "answer_slack_us": 20000,
            "stop_sending_within_us": 250000,
            "start_capacity": e.cold_share,
            "ramp_time_us": int(e.cold_ms * 1000),
            "overload_factor": e.cold_multiple,
            "fall_us": int(e.fall_ms * 1000),
        },
        "report": {"how": "answers", "columns": ["active", "waiting", "cpu"]},
        "family_info": {
            "width_by_class": [g.threads for g in lab.groups],
            "loads": [g.load for g in lab.groups],
            "size_cores": [e.cores],
            "memory_by_kind_mb": [e.memory_mb],
            "most_grant": 0.4,
            "progress_pace_us": 500000,
            "says_cost": True,
            "takes_grants": True,
            "ranks_heeded": True,
            "out_of_memory": "queue",
        },
    }


def start_emulator(lab, folder, ledger):
    """Starts the emulator of engines and bulletin on settings that it writes into the folder; returns its process."""
    conf = folder / "world.textproto"
    conf.write_text(text_format.MessageToString(lab))
    return start_module("lichenquay.testbed.emulator", "--conf", str(conf), "--ledger", str(ledger))


class World:
    """Starts it all and ends it all; a context. `front`: the module that plays the front."""

    def __init__(self, lab, out, front="lichenquay.gateway", arguments=()):
        self.lab, self.out, self.front, self.arguments = lab, Path(out), front, arguments
        self.processes, self.gateways, self.addresses = [], [], []
        self.ledger = self.out / "ledger.jsonl"

    def __enter__(self):
        self.out.mkdir(parents=True, exist_ok=True)
        try:
            self.emulator = start_emulator(self.lab, self.out, self.ledger)
            self.processes.append(self.emulator)
            line = read_line(self.emulator, READY_S)
            if not line:
                raise WorldStartError("the emulator did not start")
            self.told = json.loads(line)
            for i in range(self.lab.front.count):
                self.start_front(i)
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def start_front(self, i):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            address = "127.0.0.1:%d" % free.getsockname()[1]
        config = {
            "name": f"n{i}",
            "listen": address,
            "seed": f"{self.lab.seed * 65537 + i:016x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self.lab.front.memory_mb,
                "sockets": self.lab.front.sockets,
            },
            "bulletin": self.told["bulletin"],
            "known": self.told["known"],
            "settings": platform_settings(self.lab),
        }
        path = self.out / f"front-{i}.json"
        path.write_text(json.dumps(config))
        more = {"BALANCER_CONFIG": str(path)}
        own = self.gateway_settings(i)
        if own is not None:
            settings = self.out / f"settings-{i}.textproto"
            settings.write_text(text_format.MessageToString(own))
            more["LICHENQUAY_SETTINGS"] = str(settings)
        with open(self.out / f"front-{i}.log", "w", encoding="utf-8") as out:
            front = subprocess.Popen(
                [sys.executable, "-m", self.front, *self.arguments],
                stderr=out,
                stdout=out,
                stdin=subprocess.DEVNULL,
                env={**child_environment(), **more},
                cwd=ROOT,
                start_new_session=True,
            )
        self.processes.append(front)
        self.gateways.append(front)
        self.addresses.append(address)
        until = time.monotonic() + READY_S
        while time.monotonic() < until and front.poll() is None:
            try:
                with socket.create_connection(tuple(address.split(":")), 0.2):
                    return
            except OSError:
                time.sleep(0.02)
        text = (self.out / f"front-{i}.log").read_text().strip().splitlines()
        raise WorldStartError(f"front {i} did not start: {text[-1] if text else 'no word of it'}")

    def gateway_settings(self, i):
        """A front's settings of our own features, or None."""
        return pb.Settings(gate=self.lab.front.gate) if self.lab.front.HasField("gate") else None

    def start_script(self):
        """The faults' times count from here."""
        self.emulator.stdin.write("START\n")
        self.emulator.stdin.flush()

    def stall(self, seconds, which=0):
        """A front stands still: what a stall is."""
        front = self.gateways[which]
        front.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        front.send_signal(signal.SIGCONT)

    def cpu_s(self, which=0):
        """CPU seconds that a front has used."""
        fields = Path(f"/proc/{self.gateways[which].pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def peak_mb(self, which=0):
        for line in Path(f"/proc/{self.gateways[which].pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024
        return 0.0

    def leave(self, which=0, seconds=6.0):
        """SIGTERM, as at a planned restart; its exit code."""
        front = self.gateways[which]
        front.terminate()
        try:
            return front.wait(seconds)
        except subprocess.TimeoutExpired:
            front.kill()
            return front.wait()

    def __exit__(self, *_):
        for front in self.gateways:
            if front.poll() is None:
                front.terminate()
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
