"""A gateway process, started as DEPLOY says, between stand-ins; standard library alone."""

import asyncio
import json
import os
import random
import signal
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

from clients import Client
from record import HOST, CannotRunError, Record, free_port
from servers import Bulletin, Engine

ROOT = Path(__file__).resolve().parent.parent


def small_settings() -> dict:
    """Returns the settings of a small deployment, in the form of the simulator's first message.

    Classes, deadlines and rules are those of the deployment in `next/3/LATER.md`, for few gateways.
    """
    groups = [
        {
            "name": "lookup",
            "effect": "safe",
            "aim_us": 1_000_000,
            "deadline_us": 5_000_000,
            "aim_stretch": 2.0,
            "worth": 1,
        },
        {
            "name": "report",
            "effect": "safe",
            "aim_us": 3_000_000,
            "deadline_us": 25_000_000,
            "aim_stretch": 2.5,
            "worth": 5,
        },
        {
            "name": "load",
            "effect": "unsafe",
            "aim_us": 4_000_000,
            "deadline_us": 25_000_000,
            "aim_stretch": 3.0,
            "worth": 4,
        },
    ]
    return {
        "seed": 1,
        "resolution_us": 5000,
        "replicas_of_me": 3,
        "slot_no": 0,
        "my_zone": "a",
        "kinds": ["k"],
        "failure_domains": ["a"],
        "over_share_worth": 0.2,
        "classes": groups,
        "tenants": [{"name": "acme", "share": 1.0, "allowance_per_s": 200.0}],
        "limits": {
            "most_tries": 4,
            "cancel": True,
            "keepalive_us": 15_000_000,
            "connect_timeout_us": 250_000,
            "second_copies": False,
        },
        "rules": {
            "answer_slack_us": 20_000,
            "stop_sending_within_us": 2_000_000,
            "start_capacity": 0.32,
            "ramp_time_us": 15_000_000,
            "overload_factor": 4.0,
            "fall_us": 1_500_000,
        },
        "report": {"how": "none", "columns": []},
        "family_info": {
            "width_by_class": [1, 4, 2],
            "loads": [False, False, True],
            "yields_to_loads": [True, False, False],
            "size_cores": [16],
            "memory_by_kind_mb": [16384.0],
            "most_grant": 0.4,
            "progress_pace_us": 500_000,
            "says_cost": False,
            "takes_grants": True,
            "ranks_heeded": True,
            "out_of_memory": "queue",
        },
    }


class Gateway:
    """A gateway process, started with the `run` command of the deploy file as DEPLOY says."""

    def __init__(self, record: Record, bulletin: Bulletin, sockets: int = 256, memory_mb: int = 192):
        """Writes the configuration into a temporary folder of its own."""
        self.record = record
        self.port = free_port()
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.path = Path(self.folder.name) / "config.json"
        self.log = Path(self.folder.name) / "log.txt"
        self.config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "bulletin": bulletin.address,
            "known": bulletin.after(0),
            "settings": small_settings(),
        }
        self.process = None

    def start(self) -> None:
        """Starts the process."""
        self.path.write_text(json.dumps(self.config), encoding="utf-8")
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": self.folder.name,
            "BALANCER_NAME": "n1",
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_CONFIG": str(self.path),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"gateway: started, listens on {self.config['listen']}")

    async def wait_ready(self, rng: random.Random, timeout_s: float = 20.0) -> None:
        """Waits until the gateway answers a readiness check positively. Errors: CannotRunError."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if self.process.poll() is not None:
                raise CannotRunError(f"the gateway ended: {self.log.read_text()[-500:]}")
            client = Client(self.record, "ready", rng)
            try:
                await client.connect(self.port)
                client.ask_ready()
                await asyncio.sleep(0.1)
                if 0 in client.ready_codes:
                    self.record("gateway: ready")
                    return
            except OSError:
                await asyncio.sleep(0.1)
            finally:
                client.close()
        raise CannotRunError("the gateway did not become ready")

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self.record(f"gateway: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self) -> None:
        """Ends the process, and copies the end of its log to the record."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.send_signal(signal.SIGUSR1)
                time.sleep(0.3)
                self.process.kill()
            self.process.wait()
            for line in self.log.read_text(encoding="utf-8", errors="replace").splitlines()[-60:]:
                self.record(f"log of the gateway: {line}")
        self.folder.cleanup()


class World:
    """Three engines, the discovery service and a gateway between them; ended by `close`."""

    def __init__(self, record: Record, make_engine: Callable[[str, Record], Engine] = Engine):
        """Creates them; nothing is started yet."""
        self.record = record
        self.rng = random.Random(1)
        self.engines = [make_engine(f"s-{number}", record) for number in range(3)]
        self.bulletin = Bulletin(record)
        self.bulletin.add([engine.row() for engine in self.engines], whole=True)
        self.gateway = Gateway(record, self.bulletin)
        self.clients: list[Client] = []

    async def start(self) -> None:
        """Starts all, and waits until the gateway is ready. Errors: CannotRunError."""
        for stand_in in (*self.engines, self.bulletin):
            await stand_in.start()
        self.gateway.start()
        await self.gateway.wait_ready(self.rng)

    async def client(self, name: str) -> Client:
        """Returns a new client that is connected."""
        client = Client(self.record, name, self.rng)
        self.clients.append(client)
        await client.connect(self.gateway.port)
        return client

    def close(self) -> None:
        """Ends the gateway and the stand-ins."""
        for client in self.clients:
            client.close()
        self.gateway.end()
        for stand_in in (*self.engines, self.bulletin):
            stand_in.close()
