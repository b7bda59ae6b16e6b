"""Several gateways of the real program with the fleet on, and a datagram relay between any two of them."""

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
CUT_STATES = ("faulty", "left", "removed")  # of a member that gets no messages


class Cluster(ProcessGroup):
    """A context with `count` gateways named a, b, c, ...; each has its folder, configuration and settings
    under `path`.
    """

    def __init__(
        self,
        path,
        count,
        seed=1,
        more="",
        discovery_address="127.0.0.1:9",
        known=None,
        settings=SETTINGS,
        folders=True,
        env=None,
        fleet=True,
    ):
        """`more` is appended to the fleet's settings; `env` to the environment. Without `folders`, nothing is
        stored; without `fleet`, the gateways run alone.
        """
        super().__init__(Path(path))
        self.seed, self.extra_settings, self.discovery_address, self.known = (
            seed,
            more,
            discovery_address,
            known or {"no": 0, "items": []},
        )
        self.settings, self.folders, self.env, self.with_fleet = settings, folders, env or {}, fleet
        self.names = [chr(97 + index) for index in range(count)]
        self.client_ports = dict(zip(self.names, allocate_free_ports(count), strict=True))
        self.fleet_ports = dict(zip(self.names, allocate_free_ports(count), strict=True))
        self.relay, self.start_counts = Relay(self.names, seed), dict.fromkeys(self.names, 0)
        self.relay.targets = {name: ("127.0.0.1", port) for name, port in self.fleet_ports.items()}

    def __enter__(self):
        """Starts all gateways and waits until their fleet runs."""
        self.relay.start()
        try:
            for name in self.names:
                self.start(name)
            for name in self.names:
                self.wait_until_started(name)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        """Kills all gateways and stops the relay."""
        self.end_all()
        self.relay.close()

    def fleet_settings_text(self, name):
        """Returns a gateway's fleet settings as text; its peers' addresses are the relay's."""
        peers = " ".join(
            f'peers {{ name: "{peer}" address: "{self.relay.address(name, peer)}" }}'
            for peer in self.names
            if peer != name
        )
        folder = f'folder: "{self.path / ("folder-" + name)}"' if self.folders else ""
        listen = f"127.0.0.1:{self.fleet_ports[name]}"
        return (
            f'fleet {{ fleet: "yard" name: "{name}" listen: "{listen}" {folder} {peers} '
            f"{self.extra_settings} }}"
        )

    def start(self, name):
        """Starts a gateway with new files."""
        config, settings = self.path / f"{name}.json", self.path / f"{name}.textproto"
        config.write_text(
            json.dumps(
                {
                    "name": name,
                    "listen": f"127.0.0.1:{self.client_ports[name]}",
                    "seed": f"{self.seed * 65537 + ord(name):016x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "bulletin": self.discovery_address,
                    "known": self.known,
                    "settings": {**self.settings, "replicas_of_me": len(self.names)},
                }
            )
        )
        settings.write_text(self.fleet_settings_text(name))
        self.start_counts[name] += 1
        settings_env = {"LICHENQUAY_SETTINGS": str(settings)} if self.with_fleet else {}
        with open(self.path / f"{name}.log", "a", encoding="utf-8") as out:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "lichenquay.gateway"],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                cwd=ROOT,
                env={**os.environ, **self.env, "BALANCER_CONFIG": str(config), **settings_env},
            )

    def wait_until_started(self, name, seconds=15.0):
        """Waits until a gateway's latest start has its fleet running. Before its first log line, a gateway
        has no signal handlers, and a signal would end it.
        """
        until(
            lambda: (
                self.running[name].poll() is not None
                or len(self.events(name, "fleet")) >= self.start_counts[name]
                or not self.with_fleet
                and "serving on" in self.log(name)
            ),
            seconds,
        )
        assert self.running[name].poll() is None, self.log(name)[-2000:]

    def restart(self, name):
        """Starts a gateway that has ended, and waits for it."""
        self.start(name)
        self.wait_until_started(name)

    def members(self, name):
        """Returns {member: (incarnation, state)} in a gateway's view."""
        return {
            words[1]: (int(words[2]), words[3])
            for words in self.status_report(name)
            if words[:1] == ["member"]
        }

    def digest(self, name):
        """Returns the digest of a gateway's view, or None."""
        return next((words[2] for words in self.status_report(name) if words[:1] == ["view"]), None)

    def views_agree(self, names=None, states=None):
        """Returns whether the gateways have the same view, and whether its members have these states if
        given.
        """
        views = [self.members(name) for name in names or self.names]
        return (
            bool(views[0])
            and all(view == views[0] for view in views)
            and (
                states is None
                or {name: state for name, (_, state) in views[0].items() if name in states} == states
            )
        )
