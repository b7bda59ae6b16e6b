"""What a front follows of the distributed configuration, and puts in force. No I/O."""

from typing import Protocol

from lichenquay.admission import domain
from lichenquay.config.distributed_values import GATE_KEY, gate_of
from lichenquay.config.distribution_settings import (
    distribution_fingerprint,
    distribution_settings,
    followed_prefixes,
)
from lichenquay.config.endpoint_list import COMPLETE_KEY, ENGINE_PREFIX, record_of
from lichenquay.config.errors import ConfigurationError, InvalidEndpointError
from lichenquay.config.fleet_settings import parse_address
from lichenquay.distribution import distribution_pb2
from lichenquay.distribution.subscriber import Subscriber
from lichenquay.fleet.message_envelope import Layer
from lichenquay.fleet.source_ranking import ranked

KINDS = {Layer.DISTRIBUTION: distribution_pb2.Message}


class Applies(Protocol):
    """A front, as far as distributed configuration goes."""

    def apply_connection_rules(self, gate):
        """The gate in force; None: the file's."""

    def apply_endpoints(self, whole, rows):
        """Engines of the list: all there are, or those that changed."""


def relay_addresses(settings):
    """{name: address} of the relays that a front may follow."""
    return {relay.name: parse_address(relay.address) for relay in settings.relays}


def open_layers(fleet):
    """The layer that relays speak in, with its fingerprint."""
    return {Layer.DISTRIBUTION: distribution_fingerprint(fleet)}


class Following:
    """`settings`: the `distribution` part. `apply_to`: what the front puts in force with it."""

    def __init__(self, settings, name, rng, now_ms, apply_to, log):
        """Nothing is said before the host's first turn."""
        self.apply_to, self.log, self.fault = apply_to, log, None
        self.engines_follow, self.engines_known = settings.engines, False
        region = next((r.region for r in settings.relays if r.zone == settings.zone), "")
        sources = ranked(settings.relays, name, settings.zone, region)
        figures = distribution_settings(settings.figures)
        self.subscriber = Subscriber(
            name, sources, followed_prefixes(settings), rng, figures, now_ms, self.apply, self.told
        )

    def apply(self, now_ms, changed, whole):
        """Puts what changed in force, all of it; or a line that says why not, and what was in force stays."""
        self.fault, gate_changed = None, GATE_KEY in changed or whole
        try:
            gate = gate_of(changed[GATE_KEY]) if changed.get(GATE_KEY) is not None else None
            rows = self._rows(changed) if self.engines_follow else []
        except (ConfigurationError, InvalidEndpointError) as bad:
            self.fault = str(bad)
            return self.fault
        if gate_changed:
            self.apply_to.apply_connection_rules(gate)
            self.log.info("gate", version=self.subscriber.version, distributed=gate is not None)
        if self.engines_known and (rows or whole):
            self.apply_to.apply_endpoints(whole, rows)
        return None

    def put_first_list(self):
        """After each turn: the engines that came in several steps are put in force once all are there.

        Risk: while a front starts, or the first list is published, a few engines are sent all there is.
        """
        subscriber = self.subscriber
        caught_up = subscriber.version == subscriber.applied_version == subscriber.newest_version
        if (
            self.engines_follow
            and not self.engines_known
            and caught_up
            and COMPLETE_KEY in subscriber.applied_values
        ):
            self.engines_known = True
            self.apply_to.apply_endpoints(True, self._rows(subscriber.applied_values))

    def _rows(self, changed):
        """The engines that changed, those that are gone first. Errors: InvalidEndpointError."""
        gone, listed = [], []
        for key, value in changed.items():
            if not key.startswith(ENGINE_PREFIX):
                continue
            if value is not None:
                listed.append(record_of(key, value))
            elif key in self.subscriber.applied_values:
                gone.append(
                    record_of(key, self.subscriber.applied_values[key])._replace(
                        state=domain.EndpointState.REMOVED
                    )
                )
        still = {row.uid for row in listed}  # in another zone by now
        return [row for row in gone if row.uid not in still] + listed

    def told(self, now_ms, line):
        """The subscriber's word on a fault."""
        self.log.warning("distribution", why=line, source=self.subscriber.source)

    def lines(self, now_ms):
        """What is held and in force, how sure that is, and what came."""
        return [*subscriber_lines(self.subscriber, now_ms), f"distribution fault: {self.fault or 'none'}"]


def subscriber_lines(subscriber, now_ms):
    """Alike at fronts and at relays."""
    age_ms = subscriber.age_ms(now_ms)
    counts = [f"distribution {what}: {number}" for what, number in sorted(subscriber.counts.items())]
    return [
        f"distribution version {subscriber.version} in force {subscriber.applied_version} "
        f"generation {subscriber.generation} digest {subscriber.digest:016x}",
        f"distribution source {subscriber.source} age {'-' if age_ms == float('inf') else f'{age_ms:.0f}'} "
        f"{'stale' if subscriber.is_stale(now_ms) else 'fresh'}",
        *counts,
    ]
