"""What a gateway reads at its start and on SIGHUP: the platform's configuration, and settings of our own.

Modules of our own features (`fleet`, `config`) are imported only where the settings ask for them: on the
platform, `run` must import nothing for what stays off.
"""

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from lichenquay.connection_admission.limits import ConnectionRules
from lichenquay.deployment_settings import DeploymentSettings, SettingsError, SettingsSection
from lichenquay.gateway.errors import GatewayError

CONFIG_VARIABLE = "BALANCER_CONFIG"  # the path of the platform's configuration
LISTEN_VARIABLE = "BALANCER_LISTEN"  # an address to listen on, in place of the configuration's
# the path of settings of our own features; unset on the platform
FEATURE_SETTINGS_VARIABLE = "LICHENQUAY_SETTINGS"
PROCESS_MB = 32.0  # memory of the process itself (docs/evaluation.md)
MIN_CLIENT_MB = 4.0  # what clients may fill at least
CLIENT_MEMORY_SHARE = 0.5  # of the memory beyond that of the process


class StartError(GatewayError):
    """Something that the program needs is missing; the text names it, in one line."""


class HostPort(NamedTuple):
    """An address."""

    host: str
    port: int

    def __str__(self):
        """As HOST:PORT."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class GatewayConfig:
    """The platform's configuration."""

    listen_address: HostPort
    discovery_address: HostPort
    max_descriptors: int
    client_memory_bytes: int  # for what clients make the gateway hold
    seed: int
    known_endpoints: Any  # an answer of the discovery service, as parsed from JSON; None once it is applied
    settings: Any  # the deployment's, as parsed from JSON


def read_config(environment: Mapping[str, str]) -> GatewayConfig:
    """Reads the file that the environment names. Errors: StartError."""
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        raise StartError(f"{CONFIG_VARIABLE} is not set")
    try:
        with open(path, encoding="utf-8") as file:
            config = json.load(file)
        return _config_from(config, environment)
    except OSError as error:
        raise StartError(f"configuration {path}: {error.strerror}") from None
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError) as error:
        raise StartError(f"configuration {path}: {type(error).__name__}: {error}") from None


def _config_from(config, environment):
    limits = config["limits"]
    allowed_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    client_mb = max(MIN_CLIENT_MB, (float(limits["memory_mb"]) - PROCESS_MB) * CLIENT_MEMORY_SHARE)
    return GatewayConfig(
        listen_address=_read_address(environment.get(LISTEN_VARIABLE) or config["listen"]),
        discovery_address=_read_address(config["bulletin"]),
        max_descriptors=min(int(limits["sockets"]), allowed_descriptors),
        client_memory_bytes=int(client_mb) << 20,
        seed=int(config["seed"], 16),
        known_endpoints=config["known"],
        settings=config["settings"],
    )


def _read_address(text):
    host, _, port = text.rpartition(":")
    return HostPort(host, int(port))


def read_deployment_settings(settings: Any, seed: int) -> DeploymentSettings:
    """The deployment's settings as objects, from the parsed JSON. Errors: StartError."""
    try:
        deployment_settings = DeploymentSettings(SettingsSection.from_json(settings), seed)
        if not deployment_settings.groups:
            raise SettingsError("no classes")
    except (SettingsError, AttributeError) as error:
        raise StartError(f"settings: {error}") from None
    return deployment_settings


def read_feature_settings(environment: Mapping[str, str]):
    """The settings of our own features; None where the environment names no file. Errors: StartError."""
    path = environment.get(FEATURE_SETTINGS_VARIABLE)
    if not path:
        return None
    # Imported here: the platform's gateways have no such settings, and import nothing for them.
    from lichenquay.config.errors import ConfigurationError
    from lichenquay.config.reader import read_file, read_settings

    try:
        return read_file(path, read_settings)
    except ConfigurationError as error:
        raise StartError(str(error)) from None


def start_only_settings(feature_settings) -> tuple:
    """What of the settings of our own features counts from the next start only."""
    if feature_settings is None:
        return (None, None)
    return tuple(
        getattr(feature_settings, part) if feature_settings.HasField(part) else None
        for part in ("fleet", "distribution")
    )


def effective_connection_rules(
    feature_settings, max_connections: int, distributed_rules=None
) -> ConnectionRules:
    """The rules of connection admission; `distributed_rules` take the place of the file's."""
    if feature_settings is None:
        return ConnectionRules(max_connections, 0, max_lag_ms=0.0)
    # Imported here, as above.
    from lichenquay.config.connection_admission_settings import connection_rules

    return connection_rules(
        feature_settings.gate if distributed_rules is None else distributed_rules, max_connections
    )


def make_fleet(feature_settings, reactor, seed, is_under_pressure, configuration_target):
    """This gateway's part in a fleet, or as a follower of distributed configuration, if settings say so.

    configuration_target: puts distributed configuration in force.
    """
    if feature_settings is None:
        return None
    distribution = feature_settings.distribution if feature_settings.HasField("distribution") else None
    # Imported here, as above.
    if feature_settings.HasField("fleet"):
        from lichenquay.fleet.gateway_runtime import GatewayRuntime

        return GatewayRuntime(
            reactor,
            feature_settings.fleet,
            seed,
            is_under_pressure,
            distribution=distribution,
            configuration_target=configuration_target,
        )
    if distribution is not None:
        from lichenquay.fleet.follower_runtime import FollowerRuntime

        return FollowerRuntime(reactor, distribution, seed, configuration_target)
    return None
