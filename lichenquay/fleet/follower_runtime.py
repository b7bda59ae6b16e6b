"""A front that follows distributed configuration and is among no others: one socket, one part."""

import random

from lichenquay.fleet.applied_configuration import KINDS, Following, open_layers, relay_addresses
from lichenquay.fleet.datagram_transport import DatagramTransport
from lichenquay.fleet.message_envelope import Layer, MessageEnvelope
from lichenquay.fleet.runtime import Environment, Identity, Runtime, json_logger


class FollowerRuntime(Runtime):
    """As `host.Fleet` for the front's phases; there is no account of tenants."""

    quota = None

    def __init__(self, reactor, settings, seed, apply_to):
        """`settings`: the `distribution` part, which says fleet, name and listen itself."""
        log = json_logger().bind(front=settings.name)
        envelope = MessageEnvelope(settings.fleet, 0, settings.name, (), open_layers(settings.fleet))
        post = DatagramTransport(envelope, relay_addresses(settings), KINDS, self.on_message)
        super().__init__(
            Environment(reactor), Identity(settings.fleet, settings.name, settings.listen), post, log
        )
        self.settings, self.apply_to, self.following = settings, apply_to, None
        self.rng = random.Random(f"{seed}:{settings.name}")

    def begin(self):
        """The front serves: it asks for what is in force."""
        s = self.settings
        self.following = Following(s, s.name, self.rng, self.now_ms(), self.apply_to, self.log)
        self.parts[Layer.DISTRIBUTION] = self.following.subscriber
        self.log.info("following", incarnation=self.incarnation, fleet=s.fleet, zone=s.zone)
        self.run_due_parts()

    def after_flush(self):
        """A first list of engines may be whole by now."""
        if self.following is not None:
            self.following.put_first_list()

    def leave(self):
        """What is in force stays; nothing new is taken."""
        if self.following is not None:
            self.following.subscriber.stop()

    def is_over(self):
        """It owes nobody a word."""
        return True

    def lines(self):
        """For SIGUSR1."""
        if self.following is None:
            return ["distribution: not begun"]
        return [*self.following.lines(self.now_ms()), *self.datagram_lines()]
