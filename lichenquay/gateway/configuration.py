"""The configuration that a gateway reads at its start and on SIGHUP: the platform's, and feature settings.

Feature settings configure what the platform does not know (`fleet`, `config`). The modules of a feature are
imported only if it is enabled: on the platform, `run` must import nothing for features that are off.
"""

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from lichenquay.connection_admission.limits import ConnectionRules
from lichenquay.deployment_settings import DeploymentSettings, SettingsError, SettingsSection
from lichenquay.gateway.errors import GatewayError

CONFIG_VARIABLE = "BALANCER_CONFIG"  # path of the platform's configuration
LISTEN_VARIABLE = "BALANCER_LISTEN"  # listen address that overrides the configuration's
# Path of the feature settings; unset on the platform.
FEATURE_SETTINGS_VARIABLE = "LICHENQUAY_SETTINGS"
PROCESS_MB = 32.0  # memory of the process without clients (docs/evaluation.md)
MIN_CLIENT_MB = 6.0  # lower bound of the memory for clients; the largest request has room in it
CLIENT_MEMORY_SHARE = 0.5  # of the configured memory, less that of the process


class StartError(GatewayError):
    """The gateway cannot start, as something is missing or invalid; the text names it in one line."""


class HostPort(NamedTuple):
    """A TCP address."""

    host: str
    port: int

    def __str__(self):
        """Returns the address as HOST:PORT."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class GatewayConfig:
    """The platform's configuration."""

    listen_address: HostPort
    discovery_address: HostPort
    max_descriptors: int
    client_memory_bytes: int  # limit for what the gateway holds for clients
    seed: int
    known_endpoints: Any  # an answer of the discovery service, parsed from JSON; None once it is applied
    settings: Any  # the deployment settings, parsed from JSON


def read_config(environment: Mapping[str, str]) -> GatewayConfig:
    """Reads the configuration file that the environment names. Errors: StartError."""
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
    """Reads deployment settings from parsed JSON. Errors: StartError."""
    try:
        deployment_settings = DeploymentSettings(SettingsSection.from_json(settings), seed)
        if not deployment_settings.groups:
            raise SettingsError("no classes")
    except (SettingsError, AttributeError) as error:
        raise StartError(f"settings: {error}") from None
    return deployment_settings


def read_feature_settings(environment: Mapping[str, str]):
    """Reads the feature settings; returns None if the environment names no file. Errors: StartError."""
    path = environment.get(FEATURE_SETTINGS_VARIABLE)
    if not path:
        return None
    # Imported here: gateways on the platform have no feature settings and must not import these modules.
    from lichenquay.config.errors import ConfigurationError
    from lichenquay.config.reader import read_file, read_settings

    try:
        return read_file(path, read_settings)
    except ConfigurationError as error:
        raise StartError(str(error)) from None


def restart_only_settings(feature_settings) -> tuple:
    """Returns the sections of the feature settings that take effect only at a start."""
    if feature_settings is None:
        return (None, None)
    return tuple(
        getattr(feature_settings, part) if feature_settings.HasField(part) else None
        for part in ("fleet", "distribution")
    )


def effective_connection_rules(
    feature_settings, max_connections: int, distributed_rules=None
) -> ConnectionRules:
    """Returns the rules of connection admission; `distributed_rules` override those of the settings file."""
    if feature_settings is None:
        return ConnectionRules(max_connections, 0, max_lag_ms=0.0)
    # Imported here, as above.
    from lichenquay.config.connection_admission_settings import connection_rules

    return connection_rules(
        feature_settings.gate if distributed_rules is None else distributed_rules, max_connections
    )


def create_fleet_runtime(feature_settings, reactor, seed, is_under_pressure, configuration_target):
    """Returns the runtime of a fleet member or of a configuration follower, or None if neither is enabled.

    configuration_target: the object whose `apply_` methods put distributed configuration in force.
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
