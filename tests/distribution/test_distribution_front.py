"""Real gateway processes that follow distributed configuration, and the command line that changes it."""

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
from installation import FLEET, GATEWAY, RELAYS, ROOT, START_TIMEOUT_S, VOTERS, Installation
from ports import allocate_free_ports
from running import until

from lichenquay.cli.config import config
from lichenquay.cli.main import check

pytestmark = pytest.mark.together
GATE = "address { connections: 1 }"
EXIT_IN_DOUBT = 3


class GatewayProcess:
    """Runs one gateway that follows an installation, without membership and quotas; a context manager."""

    def __init__(self, installation, name=GATEWAY, extra_settings="", known_engines=()):
        """`known_engines`: the engines of its own configuration. Its links to relays can be impaired."""
        self.installation = installation
        self.name = name
        self.extra_settings = extra_settings
        self.known_engines = list(known_engines)
        self.port, self.distribution_port = allocate_free_ports(2)
        installation.links.targets[name] = ("127.0.0.1", self.distribution_port)

    def settings_text(self):
        """Returns its distribution settings."""
        relays = " ".join(
            f'relays {{ name: "{relay}" address: "{self.installation.links.address(self.name, relay)}" '
            f'region: "g{relay[1]}" zone: "z{relay[1]}" }}'
            for relay in RELAYS
        )
        return (
            f'distribution {{ fleet: "{FLEET}" name: "{self.name}" '
            f'listen: "127.0.0.1:{self.distribution_port}" zone: "z1" '
            f"{self.extra_settings} {relays} figures {{ {self.installation.figures} }} }}"
        )

    def __enter__(self):
        """Starts the process and waits until it serves."""
        path = self.installation.path
        platform, settings = path / "gateway.json", path / "gateway.textproto"
        platform.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"127.0.0.1:{self.port}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "bulletin": "127.0.0.1:9",
                    "known": known_endpoints(self.known_engines),
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
        until(lambda: "serving on" in self.log(), START_TIMEOUT_S)
        return self

    def __exit__(self, *_):
        """Does nothing: the installation ends all its processes."""

    def log(self):
        """Returns its log."""
        return self.installation.log(self.name)

    def applied_version(self):
        """Returns the version in force according to its report."""
        return version_in_force(self.installation.status_report(self.name))

    def count_accepted(self, count):
        """Opens `count` connections and returns how many are accepted, that is, not closed at once."""
        clients = [socket.create_connection(("127.0.0.1", self.port), 5) for _ in range(count)]
        accepted = 0
        for client in clients:
            client.settimeout(0.5)
            try:
                client.recv(4096)
            except TimeoutError:
                accepted += 1
            except ConnectionError:
                pass
        for client in clients:
            client.close()
        return accepted


def known_endpoints(rows):
    """Returns the `known` section of a gateway's configuration for these engines."""
    event = {"no": 1, "roster": {"rev": 1, "all": True, "targets": rows}}
    return {"no": 1, "items": [event]} if rows else {"no": 0, "items": []}


class FollowingCluster(Cluster):
    """A cluster of gateways that follow an installation's relays, each on its membership socket."""

    def __init__(self, path, count, installation):
        """Sets up `count` gateways, without faults between them and the relays."""
        self.installation = installation
        super().__init__(path, count)

    def fleet_settings_text(self, name):
        """Returns the fleet and distribution settings; names and addresses are only in the former."""
        fleet = super().fleet_settings_text(name).replace('"yard"', f'"{FLEET}"')
        relays = " ".join(
            f'relays {{ name: "{relay}" address: "127.0.0.1:{self.installation.ports[relay]}" '
            f'region: "g{relay[1]}" zone: "z{relay[1]}" }}'
            for relay in RELAYS
        )
        return f'{fleet} distribution {{ zone: "z1" {relays} }}'


def version_in_force(report_lines):
    """Returns the version in a SIGUSR1 report, None if the gateway follows no distribution."""
    for words in report_lines:
        if words[:2] == ["distribution", "version"]:
            return int(words[words.index("force") + 1])
    return None


@dataclass(frozen=True)
class CommandResult:
    """The exit code and output of a command."""

    exit_code: int
    stdout: str
    stderr: str


def run_command(installation, *arguments, fleet=FLEET):
    """Runs a `config` command with the voters' real addresses in this process."""
    voters = ",".join(f"127.0.0.1:{installation.ports[name]}" for name in VOTERS)
    result = CliRunner().invoke(config, [*arguments, "--voters", voters, "--fleet", fleet])
    return CommandResult(result.exit_code, result.stdout, result.stderr)


def test_a_gateway_applies_connection_limits_and_reverts_to_its_file_when_they_are_deleted(tmp_path):
    """By the command line; invalid limits are refused and change nothing."""
    with Installation(tmp_path, subscriber_count=0) as installation, GatewayProcess(installation) as gateway:
        assert gateway.count_accepted(3) == 3
        json_path = tmp_path / "put.json"
        put = run_command(installation, "put", "config/gate", GATE, "--json", str(json_path))
        assert (put.exit_code, put.stdout) == (0, "accepted: version 1\n"), put.stderr
        assert json.loads(json_path.read_text())["version"] == 1
        until(lambda: gateway.applied_version() == 1, 10)
        assert gateway.count_accepted(3) == 1
        bad = run_command(installation, "put", "config/gate", "address { connections: -1 }")
        assert bad.exit_code == 1 and bad.stderr.startswith("refused: config/gate"), bad.stderr
        assert bad.stderr.count("\n") == 1
        deleted = run_command(installation, "delete", "config/gate")
        assert deleted.exit_code == 0, deleted.stderr
        until(lambda: gateway.applied_version() == 2, 10)
        assert gateway.count_accepted(3) == 3
        assert installation.leave(gateway.name) == 0


def test_a_gateway_keeps_its_configuration_while_all_relays_are_down(tmp_path):
    """It reports it as stale, and follows again after their restart."""
    with Installation(tmp_path, subscriber_count=0) as installation, GatewayProcess(installation) as gateway:
        assert run_command(installation, "put", "config/gate", GATE).exit_code == 0
        until(lambda: gateway.applied_version() == 1, 10)
        for name in RELAYS:
            installation.kill(name)
        until(lambda: "stale" in sum(installation.status_report(gateway.name), []), 10)
        assert gateway.applied_version() == 1 and gateway.count_accepted(3) == 1
        for name in RELAYS:
            installation.restart(name)
        assert run_command(installation, "delete", "config/gate").exit_code == 0
        until(lambda: gateway.applied_version() == 2, 20)
        assert gateway.count_accepted(3) == 3


def test_gateways_use_one_socket_for_membership_and_distribution(tmp_path):
    """A restarted gateway has the values in force again."""
    cluster_path = tmp_path / "gateways"
    cluster_path.mkdir()
    installation = Installation(tmp_path, subscriber_count=0)
    with installation, FollowingCluster(cluster_path, 2, installation) as cluster:
        assert run_command(installation, "put", "config/gate", GATE).exit_code == 0
        for name in cluster.names:
            until(lambda name=name: version_in_force(cluster.status_report(name)) == 1, 15)
        until(lambda: cluster.views_agree(states={"a": "alive", "b": "alive"}), 10, 0.2)
        cluster.kill("a")
        cluster.restart("a")
        until(lambda: version_in_force(cluster.status_report("a")) == 1, 15)
        assert cluster.leave("b") == 0


def test_the_command_line_reports_the_outcome_of_a_change(tmp_path):
    """Exit codes are 0 for accepted, 1 for refused and 3 for in doubt, each with one line."""
    with Installation(tmp_path, subscriber_count=0) as installation:
        value = tmp_path / "value"
        value.write_bytes(b"x" * 100)
        assert run_command(installation, "put", "config/file", "--file", str(value)).exit_code == 0
        for arguments, message in (
            (("put", "nothing/x", "1"), "refused: key 'nothing/x': of an unknown kind"),
            (("put", "config/x", "1" * 700), "refused: key 'config/x': a value of 700 bytes"),
            (("delete", "config/none"), "refused: key 'config/none': to be deleted"),
            (("put", "config/x", "--file", str(tmp_path / "no")), "Error: "),
        ):
            result = run_command(installation, *arguments)
            assert result.exit_code == 1 and result.stderr.startswith(message), (arguments, result.stderr)
            assert result.stderr.count("\n") == 1
        assert run_command(installation, "put", "config/x").exit_code == 2
        assert run_command(installation, "status", "--seconds", "1", fleet="other").exit_code == 1
        json_path = tmp_path / "status.json"
        assert run_command(installation, "status", "--json", str(json_path)).exit_code == 0
        status = json.loads(json_path.read_text())
        assert (status["newest"], status["keys"], status["refused"]) == (1, 1, 0)
        for name in VOTERS:
            installation.signal(name, signal.SIGSTOP)
        result = run_command(installation, "put", "config/x", "1", "--seconds", "1")
        assert result.exit_code == EXIT_IN_DOUBT and result.stderr.startswith(
            "in doubt: it may have been made or not"
        )
        assert result.stderr.count("\n") == 1


def test_invalid_settings_are_reported_in_one_line(tmp_path):
    """By the process, which does not start, and by `check`."""
    settings = tmp_path / "v1.textproto"
    settings.write_text('control { fleet: "yard" name: "v1" listen: "127.0.0.1:9" role: BOSS }')
    for command in (["lichenquay.control_plane"], ["lichenquay.cli", "check", "--settings"]):
        result = subprocess.run(
            [sys.executable, "-m", *command, str(settings)],
            capture_output=True,
            text=True,
            cwd=ROOT,
            timeout=30,
        )
        assert result.returncode == 1 and result.stderr.count("\n") == 1 and "BOSS" in result.stderr


def test_check_warns_about_settings_without_redundancy(tmp_path):
    """It accepts them."""
    settings = tmp_path / "v1.textproto"
    settings.write_text(
        'control { fleet: "yard" name: "v1" listen: "127.0.0.1:9" role: VOTER folder: "f" '
        'voters { name: "v1" address: "127.0.0.1:9" region: "north" } }'
    )
    result = CliRunner().invoke(check, ["--settings", str(settings)])
    assert (result.exit_code, result.stdout) == (0, f"{settings}: well\n")
    assert (
        result.stderr.startswith(f"{settings}: control.voters: one alone") and result.stderr.count("\n") == 1
    )
