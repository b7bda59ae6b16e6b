"""The distributed configuration that a gateway follows, and which of it is in force. No I/O."""

from collections.abc import Mapping
from random import Random
from typing import Protocol

from lichenquay.admission import domain
from lichenquay.config.distributed_values import GATE_KEY, parse_gate
from lichenquay.config.distribution_settings import (
    distribution_fingerprint,
    distribution_settings,
    followed_prefixes,
)
from lichenquay.config.endpoint_list import COMPLETE_KEY, ENGINE_PREFIX, decode_endpoint
from lichenquay.config.errors import ConfigurationError, InvalidEndpointError
from lichenquay.config.process_entries import parse_address
from lichenquay.distribution import distribution_pb2
from lichenquay.distribution.subscriber import Subscriber
from lichenquay.endpoint_record import EndpointRecord
from lichenquay.fleet.message_envelope import Layer
from lichenquay.fleet.source_ranking import rank_sources

MESSAGE_TYPES = {Layer.DISTRIBUTION: distribution_pb2.Message}
NEVER_MS = float("inf")


class ConfigurationTarget(Protocol):
    """The port through which a gateway puts distributed configuration in force."""

    def apply_connection_rules(self, rules) -> None:
        """Applies connection admission rules; None restores those of the settings file."""

    def apply_endpoints(self, is_whole: bool, records: list[EndpointRecord]) -> None:
        """Applies all engines (`is_whole`), or those that changed."""


def relay_addresses(settings) -> dict[str, tuple[str, int]]:
    """Returns the addresses of the relays that a gateway may follow, by name."""
    return {relay.name: parse_address(relay.address) for relay in settings.relays}


def open_layers(fleet: str) -> dict[int, int]:
    """Returns the distribution layer with its fingerprint."""
    return {Layer.DISTRIBUTION: distribution_fingerprint(fleet)}


class AppliedConfiguration:
    """Follows a relay; applies each change as a whole, or rejects it and keeps the last valid values."""

    def __init__(self, settings, name: str, rng: Random, now_ms: float, target: ConfigurationTarget, log):
        """Creates a subscriber that sends nothing before its first tick.

        settings: the `distribution` section. name: of this gateway.
        """
        self.target = target
        self.log = log
        self.fault: str | None = None  # why the newest values are not in force
        self.follows_engines = settings.engines
        self.has_first_list = False
        region = next((relay.region for relay in settings.relays if relay.zone == settings.zone), "")
        self.subscriber = Subscriber(
            name,
            rank_sources(settings.relays, name, settings.zone, region),
            followed_prefixes(settings),
            rng,
            distribution_settings(settings.figures),
            now_ms,
            self.apply,
            self._on_fault,
        )

    def apply(self, now_ms: float, changed: Mapping[str, bytes | None], is_whole: bool) -> str | None:
        """Puts all changes in force, or none of them and returns one line with the reason.

        changed: values by key, None for a deleted key. is_whole: whether `changed` holds all existing values.
        """
        self.fault = None
        try:
            gate_value = changed.get(GATE_KEY)
            rules = parse_gate(gate_value) if gate_value is not None else None
            records = self._endpoint_records(changed) if self.follows_engines else []
        except (ConfigurationError, InvalidEndpointError) as error:
            self.fault = str(error)
            return self.fault
        if GATE_KEY in changed or is_whole:
            self.target.apply_connection_rules(rules)
            self.log.info("gate", version=self.subscriber.version, distributed=rules is not None)
        if self.has_first_list and (records or is_whole):
            self.target.apply_endpoints(is_whole, records)
        return None

    def apply_first_list(self) -> None:
        """Applies the first endpoint list once it is complete; called after each tick and message.

        While a gateway starts or the first list is published, engines arrive in several steps. If each step
        were applied, the first few engines would receive all queries.
        """
        if self.follows_engines and not self.has_first_list and self._is_list_complete():
            self.has_first_list = True
            self.target.apply_endpoints(True, self._endpoint_records(self.subscriber.applied_values))

    def _is_list_complete(self):
        subscriber = self.subscriber
        is_current = subscriber.version == subscriber.applied_version == subscriber.newest_version
        return is_current and COMPLETE_KEY in subscriber.applied_values

    def _endpoint_records(self, changed):
        """Returns the engines that changed, removed ones first. Raises InvalidEndpointError."""
        applied_values = self.subscriber.applied_values
        removed = []
        listed = []
        for key, value in changed.items():
            if not key.startswith(ENGINE_PREFIX):
                continue
            if value is not None:
                listed.append(decode_endpoint(key, value))
            elif key in applied_values:
                record = decode_endpoint(key, applied_values[key])
                removed.append(record._replace(state=domain.EndpointState.REMOVED))
        # An engine that moves to another zone is deleted under its old key and listed under its new one.
        listed_uids = {record.uid for record in listed}
        return [record for record in removed if record.uid not in listed_uids] + listed

    def _on_fault(self, now_ms, line):
        self.log.warning("distribution", why=line, source=self.subscriber.source)

    def lines(self, now_ms: float) -> list[str]:
        """Returns status lines: versions, source, counters and the last fault."""
        return [*subscriber_lines(self.subscriber, now_ms), f"distribution fault: {self.fault or 'none'}"]


def subscriber_lines(subscriber: Subscriber, now_ms: float) -> list[str]:
    """Returns status lines of a subscriber, the same for gateways and relays."""
    age_ms = subscriber.age_ms(now_ms)
    age = "-" if age_ms == NEVER_MS else f"{age_ms:.0f}"
    freshness = "stale" if subscriber.is_stale(now_ms) else "fresh"
    counts = [f"distribution {name}: {count}" for name, count in sorted(subscriber.counts.items())]
    return [
        f"distribution version {subscriber.version} in force {subscriber.applied_version} "
        f"generation {subscriber.generation} digest {subscriber.digest:016x}",
        f"distribution source {subscriber.source} age {age} {freshness}",
        *counts,
    ]
