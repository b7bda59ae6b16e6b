"""The runtime of a gateway that only follows distributed configuration, without membership and quota."""

import random

from lichenquay.fleet.applied_configuration import (
    MESSAGE_TYPES,
    AppliedConfiguration,
    ConfigurationTarget,
    open_layers,
    relay_addresses,
)
from lichenquay.fleet.datagram_transport import DatagramTransport
from lichenquay.fleet.message_envelope import Layer, MessageEnvelope
from lichenquay.fleet.runtime import Environment, Identity, Runtime, json_logger

NO_FINGERPRINT = 0  # there are no other layers than the open one


class FollowerRuntime(Runtime):
    """It has the interface of `GatewayRuntime` that the gateway uses."""

    tenant_usage = None

    def __init__(self, reactor, settings, seed, configuration_target: ConfigurationTarget):
        """settings: the `distribution` section, which has fleet, name and address itself."""
        envelope = MessageEnvelope(
            settings.fleet, NO_FINGERPRINT, settings.name, (), open_layers(settings.fleet)
        )
        super().__init__(
            Environment(reactor),
            Identity(settings.fleet, settings.name, settings.listen),
            DatagramTransport(envelope, relay_addresses(settings), MESSAGE_TYPES, self.on_message),
            json_logger().bind(front=settings.name),
        )
        self.settings = settings
        self.configuration_target = configuration_target
        self.applied_configuration: AppliedConfiguration | None = None
        self.rng = random.Random(f"{seed}:{settings.name}")

    def begin(self) -> None:
        """Starts to follow; called once the gateway serves."""
        settings = self.settings
        self.applied_configuration = AppliedConfiguration(
            settings, settings.name, self.rng, self.now_ms(), self.configuration_target, self.log
        )
        self.parts[Layer.DISTRIBUTION] = self.applied_configuration.subscriber
        self.log.info("following", incarnation=self.incarnation, fleet=settings.fleet, zone=settings.zone)
        self.run_due_parts()

    def after_flush(self) -> None:
        """Applies the first endpoint list once it is complete."""
        if self.applied_configuration is not None:
            self.applied_configuration.apply_first_list()

    def leave(self) -> None:
        """Stops following. The configuration in force stays."""
        if self.applied_configuration is not None:
            self.applied_configuration.subscriber.stop()

    def is_leave_complete(self) -> bool:
        """After `leave`: always, as no other process has to be told."""
        return True

    def lines(self) -> list[str]:
        """Status lines for SIGUSR1."""
        if self.applied_configuration is None:
            return ["distribution: not begun"]
        return [*self.applied_configuration.lines(self.now_ms()), *self.datagram_lines()]
