"""Fronts of the real program that follow distributed configuration, and the command line that changes it."""

import json
import os
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass

import pytest
from click.testing import CliRunner
from cluster import Cluster
from gateway_world import SETTINGS
from installation import FLEET, FRONT, RELAYS, ROOT, START_S, VOTERS, Installation
from ports import allocate_free_ports
from running import until

from lichenquay.cli.config import config
from lichenquay.cli.main import check

pytestmark = pytest.mark.together
GATE = "address { connections: 1 }"
IN_DOUBT = 3


class Front:
    """A context: one front beside an installation, which it follows; without members and accounts."""

    def __init__(self, installation, name=FRONT, more="", known=()):
        """Its links to relays are the faulty ones. more: settings. known: engines of its configuration."""
        self.installation = installation
        self.name = name
        self.more = more
        self.known = list(known)
        self.port, self.listen = allocate_free_ports(2)
        installation.links.targets[name] = ("127.0.0.1", self.listen)

    def settings_text(self):
        """What it follows."""
        relays = " ".join(
            f'relays {{ name: "{r}" address: "{self.installation.links.address(self.name, r)}" '
            f'region: "g{r[1]}" zone: "z{r[1]}" }}'
            for r in RELAYS
        )
        return (
            f'distribution {{ fleet: "{FLEET}" name: "{self.name}" listen: "127.0.0.1:{self.listen}" '
            f'zone: "z1" {self.more} {relays} figures {{ {self.installation.figures} }} }}'
        )

    def __enter__(self):
        """It follows."""
        path = self.installation.path
        platform, settings = path / "front.json", path / "front.textproto"
        platform.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"127.0.0.1:{self.port}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "bulletin": "127.0.0.1:9",
                    "known": known_of(self.known),
                    "settings": SETTINGS,
                }
            )
        )
        settings.write_text(self.settings_text())
        with open(path / f"{self.name}.log", "a", encoding="utf-8") as out:
            self.installation.running[self.name] = subprocess.Popen(
                [sys.executable, "-m", "lichenquay.gateway"],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                cwd=ROOT,
                env={**os.environ, "BALANCER_CONFIG": str(platform), "LICHENQUAY_SETTINGS": str(settings)},
            )
        until(lambda: "serving on" in self.log(), START_S)
        return self

    def __exit__(self, *_):
        """The installation ends it with all others."""

    def log(self):
        """All that it said."""
        return self.installation.log(self.name)

    def applied_version(self):
        """The version, by its own word."""
        return version_in_force(self.installation.told(self.name))

    def takes(self, count):
        """How many of so many connections at once are taken: a refused one is closed at once."""
        clients = [socket.create_connection(("127.0.0.1", self.port), 5) for _ in range(count)]
        taken = 0
        for client in clients:
            client.settimeout(0.5)
            try:
                client.recv(4096)
            except TimeoutError:
                taken += 1
            except ConnectionError:
                pass
        for client in clients:
            client.close()
        return taken


def known_of(rows):
    """A front's configuration of these engines."""
    event = {"no": 1, "roster": {"rev": 1, "all": True, "targets": rows}}
    return {"no": 1, "items": [event]} if rows else {"no": 0, "items": []}


class FollowingCluster(Cluster):
    """Fronts among others that follow an installation's relays, on the one socket of each."""

    def __init__(self, path, count, installation):
        """Without faults between them and the relays."""
        self.installation = installation
        super().__init__(path, count)

    def fleet_text(self, name):
        """Both parts; names and addresses are said once."""
        fleet = super().fleet_text(name).replace('"yard"', f'"{FLEET}"')
        relays = " ".join(
            f'relays {{ name: "{r}" address: "127.0.0.1:{self.installation.ports[r]}" '
            f'region: "g{r[1]}" zone: "z{r[1]}" }}'
            for r in RELAYS
        )
        return f'{fleet} distribution {{ zone: "z1" {relays} }}'


def version_in_force(told):
    """By SIGUSR1's lines; None where a front follows nothing."""
    for words in told:
        if words[:2] == ["distribution", "version"]:
            return int(words[words.index("force") + 1])
    return None


@dataclass(frozen=True)
class Said:
    """What a command said, and its exit code."""

    code: int
    out: str
    err: str


def run_command(installation, *arguments, fleet=FLEET):
    """The command line, of the voters' real addresses, in this process."""
    voters = ",".join(f"127.0.0.1:{installation.ports[name]}" for name in VOTERS)
    got = CliRunner().invoke(config, [*arguments, "--voters", voters, "--fleet", fleet])
    return Said(got.exit_code, got.stdout, got.stderr)


def test_a_front_puts_a_gate_in_force_and_the_files_again_when_it_is_deleted(tmp_path):
    """By the command line; what makes no sense is refused and changes nothing."""
    with Installation(tmp_path, subscribers=0) as installation, Front(installation) as front:
        assert front.takes(3) == 3
        figures = tmp_path / "put.json"
        put = run_command(installation, "put", "config/gate", GATE, "--json", str(figures))
        assert (put.code, put.out) == (0, "accepted: version 1\n"), put.err
        assert json.loads(figures.read_text())["version"] == 1
        until(lambda: front.applied_version() == 1, 10)
        assert front.takes(3) == 1
        bad = run_command(installation, "put", "config/gate", "address { connections: -1 }")
        assert bad.code == 1 and bad.err.startswith("refused: config/gate"), bad.err
        assert bad.err.count("\n") == 1
        deleted = run_command(installation, "delete", "config/gate")
        assert deleted.code == 0, deleted.err
        until(lambda: front.applied_version() == 2, 10)
        assert front.takes(3) == 3
        assert installation.leave(front.name) == 0


def test_a_front_goes_on_with_what_it_has_while_everything_else_is_gone(tmp_path):
    """It says that it may be old, and follows again when they are back."""
    with Installation(tmp_path, subscribers=0) as installation, Front(installation) as front:
        assert run_command(installation, "put", "config/gate", GATE).code == 0
        until(lambda: front.applied_version() == 1, 10)
        for name in RELAYS:
            installation.kill(name)
        until(lambda: "stale" in sum(installation.told(front.name), []), 10)
        assert front.applied_version() == 1 and front.takes(3) == 1
        for name in RELAYS:
            installation.back(name)
        assert run_command(installation, "delete", "config/gate").code == 0
        until(lambda: front.applied_version() == 2, 20)
        assert front.takes(3) == 3


def test_fronts_among_others_follow_on_the_same_socket(tmp_path):
    """Members and distribution side by side; a front that comes again has what is in force."""
    fronts = tmp_path / "fronts"
    fronts.mkdir()
    installation = Installation(tmp_path, subscribers=0)
    with installation, FollowingCluster(fronts, 2, installation) as cluster:
        assert run_command(installation, "put", "config/gate", GATE).code == 0
        for name in cluster.names:
            until(lambda name=name: version_in_force(cluster.told(name)) == 1, 15)
        until(lambda: cluster.agree(states={"a": "alive", "b": "alive"}), 10, 0.2)
        cluster.kill("a")
        cluster.back("a")
        until(lambda: version_in_force(cluster.told("a")) == 1, 15)
        assert cluster.leave("b") == 0


def test_the_command_line_says_what_became_of_a_change(tmp_path):
    """Exit codes: 0 accepted, 1 refused, 3 in doubt; one line each."""
    with Installation(tmp_path, subscribers=0) as installation:
        value = tmp_path / "value"
        value.write_bytes(b"x" * 100)
        assert run_command(installation, "put", "config/file", "--file", str(value)).code == 0
        for arguments, said in (
            (("put", "nothing/x", "1"), "refused: key 'nothing/x': of an unknown kind"),
            (("put", "config/x", "1" * 700), "refused: key 'config/x': a value of 700 bytes"),
            (("delete", "config/none"), "refused: key 'config/none': to be deleted"),
            (("put", "config/x", "--file", str(tmp_path / "no")), "Error: "),
        ):
            got = run_command(installation, *arguments)
            assert got.code == 1 and got.err.startswith(said), (arguments, got.err)
            assert got.err.count("\n") == 1
        assert run_command(installation, "put", "config/x").code == 2
        assert run_command(installation, "status", "--seconds", "1", fleet="moor").code == 1
        figures = tmp_path / "status.json"
        assert run_command(installation, "status", "--json", str(figures)).code == 0
        status = json.loads(figures.read_text())
        assert (status["newest"], status["keys"], status["refused"]) == (1, 1, 0)
        for name in VOTERS:
            installation.signal(name, signal.SIGSTOP)
        got = run_command(installation, "put", "config/x", "1", "--seconds", "1")
        assert got.code == IN_DOUBT and got.err.startswith("in doubt: it may have been made or not")
        assert got.err.count("\n") == 1


def test_settings_that_make_no_sense_are_one_line_and_no_process(tmp_path):
    """At the start, and by `check`."""
    settings = tmp_path / "v1.textproto"
    settings.write_text('control { fleet: "yard" name: "v1" listen: "127.0.0.1:9" role: BOSS }')
    for command in (["lichenquay.control_plane"], ["lichenquay.cli", "check", "--settings"]):
        got = subprocess.run(
            [sys.executable, "-m", *command, str(settings)],
            capture_output=True,
            text=True,
            cwd=ROOT,
            timeout=30,
        )
        assert got.returncode == 1 and got.stderr.count("\n") == 1 and "BOSS" in got.stderr


def test_settings_that_work_with_less_are_told_by_check(tmp_path):
    """And are no reason to refuse them."""
    settings = tmp_path / "v1.textproto"
    settings.write_text(
        'control { fleet: "yard" name: "v1" listen: "127.0.0.1:9" role: VOTER folder: "f" '
        'voters { name: "v1" address: "127.0.0.1:9" region: "north" } }'
    )
    got = CliRunner().invoke(check, ["--settings", str(settings)])
    assert (got.exit_code, got.stdout) == (0, f"{settings}: well\n")
    assert got.stderr.startswith(f"{settings}: control.voters: one alone") and got.stderr.count("\n") == 1
