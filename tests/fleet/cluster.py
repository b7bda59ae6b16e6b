"""Several processes of the real program with the fleet on, and a relay between any two of them."""

import json
import os
import subprocess
import sys
from pathlib import Path

from gateway_world import SETTINGS
from ports import allocate_free_ports
from relay import Relay
from running import ProcessGroup, until

ROOT = Path(__file__).resolve().parents[2]
GOES, CUT = ("alive", "suspect"), ("faulty", "left", "removed")


class Cluster(ProcessGroup):
    """A context: `count` fronts named a, b, c, ...; each with its own folder, configuration and settings under `path`."""

    def __init__(
        self,
        path,
        count,
        seed=1,
        more="",
        bulletin="127.0.0.1:9",
        known=None,
        settings=SETTINGS,
        folders=True,
        env=None,
        fleet=True,
    ):
        super().__init__(Path(path))
        self.seed, self.more, self.bulletin, self.known = (
            seed,
            more,
            bulletin,
            known or {"no": 0, "items": []},
        )
        self.settings, self.folders, self.env, self.fleet = settings, folders, env or {}, fleet
        self.names = [chr(97 + i) for i in range(count)]
        self.doors = dict(zip(self.names, allocate_free_ports(count)))
        self.ports = dict(zip(self.names, allocate_free_ports(count)))
        self.relay, self.starts = Relay(self.names, seed), dict.fromkeys(self.names, 0)
        self.relay.targets = {n: ("127.0.0.1", p) for n, p in self.ports.items()}

    def __enter__(self):
        self.relay.start()
        try:
            for name in self.names:
                self.start(name)
            for name in self.names:
                self.begun(name)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        self.end_all()
        self.relay.close()

    def fleet_settings_text(self, name):
        peers = " ".join(
            f'peers {{ name: "{p}" address: "{self.relay.address(name, p)}" }}'
            for p in self.names
            if p != name
        )
        folder = f'folder: "{self.path / ("folder-" + name)}"' if self.folders else ""
        return f'fleet {{ fleet: "yard" name: "{name}" listen: "127.0.0.1:{self.ports[name]}" {folder} {peers} {self.more} }}'

    def start(self, name):
        config, text = self.path / f"{name}.json", self.path / f"{name}.textproto"
        config.write_text(
            json.dumps(
                {
                    "name": name,
                    "listen": f"127.0.0.1:{self.doors[name]}",
                    "seed": f"{self.seed * 65537 + ord(name):016x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "bulletin": self.bulletin,
                    "known": self.known,
                    "settings": {**self.settings, "replicas_of_me": len(self.names)},
                }
            )
        )
        text.write_text(self.fleet_settings_text(name))
        self.starts[name] += 1
        more = {"LICHENQUAY_SETTINGS": str(text)} if self.fleet else {}
        with open(self.path / f"{name}.log", "a", encoding="utf-8") as out:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "lichenquay.gateway"],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                cwd=ROOT,
                env={**os.environ, **self.env, "BALANCER_CONFIG": str(config), **more},
            )

    def begun(self, name, seconds=15.0):
        """Waits until the latest start has its fleet on. Risk: a signal before a front's first line ends it."""
        until(
            lambda: (
                self.running[name].poll() is not None
                or len(self.events(name, "fleet")) >= self.starts[name]
                or not self.fleet
                and "serving on" in self.log(name)
            ),
            seconds,
        )
        assert self.running[name].poll() is None, self.log(name)[-2000:]

    def restart(self, name):
        self.start(name)
        self.begun(name)

    def members(self, name):
        """{member: (incarnation, state)} as that front has it."""
        return {w[1]: (int(w[2]), w[3]) for w in self.status_report(name) if w[:1] == ["member"]}

    def digest(self, name):
        return next((w[2] for w in self.status_report(name) if w[:1] == ["view"]), None)

    def views_agree(self, names=None, states=None):
        """Whether all hold the same of everybody; and `states`, where given: {member: state}."""
        views = [self.members(n) for n in names or self.names]
        return (
            bool(views[0])
            and all(v == views[0] for v in views)
            and (states is None or {n: s for n, (_, s) in views[0].items() if n in states} == states)
        )
