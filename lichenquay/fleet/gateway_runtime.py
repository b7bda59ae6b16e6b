"""A front among the others of its installation: one socket, one disk, and the clock, round decisions that have no I/O.

Off where the settings name no fleet. Times are milliseconds of CLOCK_BOOTTIME, which runs on while a machine is suspended.
"""

import random

from lichenquay.config.fleet_settings import fingerprint, gateway_names, parse_address
from lichenquay.fleet.datagram_transport import DatagramTransport
from lichenquay.fleet.message_envelope import Layer, MessageEnvelope
from lichenquay.fleet.quota_part import PREFIX, Accounts
from lichenquay.fleet.runtime import Environment, Identity, Runtime, boot_ms, json_logger, unix_now_ms
from lichenquay.fleet.tenant_usage import Tenants
from lichenquay.lease import lease_pb2
from lichenquay.membership import members_pb2
from lichenquay.membership.failure_detector import FailureDetector
from lichenquay.membership.member_state import MemberState
from lichenquay.membership.settings import Settings as MembershipSettings
from lichenquay.quota import quota_pb2
from lichenquay.storage.incarnation import incarnation_change
from lichenquay.storage.store import DurableStore
from lichenquay.storage.writer import StoreWriter

FOLDER_MOST = 16 << 20  # bytes that a front's folder may take
KINDS = {Layer.MEMBERS: members_pb2.Message, Layer.OWNER: lease_pb2.Message, Layer.QUOTA: quota_pb2.Message}


class GatewayRuntime(Runtime):
    """`folder`, `writer`: what makes them; a test in virtual time has its own, as it has its own reactor and clocks."""

    section_prefix = PREFIX

    def __init__(
        self,
        reactor,
        settings,
        seed,
        pressed,
        now_ms=boot_ms,
        unix_ms=unix_now_ms,
        log=None,
        folder=DurableStore,
        writer=StoreWriter,
        distribution=None,
        apply_to=None,
    ):
        self.settings, self.pressed = settings, pressed
        self.distribution, self.apply_to, self.following = distribution, apply_to, None
        self.rng = random.Random(f"{seed}:{settings.name}")
        self.names = gateway_names(settings)
        self.left, self.accounts, self.quota, self.rising = False, None, None, None
        super().__init__(
            Environment(reactor, now_ms, unix_ms, folder, writer),
            Identity(settings.fleet, settings.name, settings.listen, settings.folder, FOLDER_MOST),
            self.new_post(settings),
            (log or json_logger()).bind(front=settings.name),
        )

    def new_post(self, settings):
        addresses, kinds, layers = {p.name: parse_address(p.address) for p in settings.peers}, KINDS, {}
        if self.distribution is not None:
            from lichenquay.fleet import applied_configuration as following

            addresses |= following.relay_addresses(self.distribution)
            kinds, layers = kinds | following.KINDS, following.open_layers(settings.fleet)
        envelope = MessageEnvelope(settings.fleet, fingerprint(settings), settings.name, self.names, layers)
        return DatagramTransport(envelope, addresses, kinds, self.on_message)

    # from start to end

    def begin(self):
        """The front serves: it tells the others."""
        self.start_writer()
        self.watch = self.parts[Layer.MEMBERS] = self.new_watch()
        if self.settings.accounts:
            self.keep_accounts()
        if self.distribution is not None:
            self.follow()
        self.log.info(
            "fleet", incarnation=self.incarnation, fleet=self.settings.fleet, peers=len(self.names) - 1
        )
        self.run_due_parts()

    def keep_accounts(self):
        self.accounts = self.parts[Layer.QUOTA] = Accounts(
            self.settings,
            self.incarnation,
            self.rng,
            self.now_ms(),
            self.stored_sections(),
            lambda name: self.watch.state_of(name),
            self.pressed,
            self.log,
        )
        if self.accounts.group is not None:
            self.parts[Layer.OWNER] = self.accounts.group
        self.quota = Tenants(self.accounts, self.now_ms, self.set_timer)

    def follow(self):
        """Distributed configuration, where the settings name relays."""
        from lichenquay.fleet.applied_configuration import Following

        self.following = Following(
            self.distribution, self.settings.name, self.rng, self.now_ms(), self.apply_to, self.log
        )
        self.parts[Layer.DISTRIBUTION] = self.following.subscriber

    def new_watch(self):
        peers = [n for n in self.names if n != self.settings.name]
        return FailureDetector(
            self.settings.name, self.incarnation, peers, self.rng, MembershipSettings(), self.now_ms()
        )

    def leave(self):
        """SIGTERM: the others are told; what follows is `close`."""
        if self.parts and not self.left:
            self.left = True
            self.watch.leave(self.now_ms())
            if self.accounts is not None:
                self.accounts.leave(self.now_ms())
            if self.following is not None:
                self.following.subscriber.stop()
            self.run_due_parts()

    def is_over(self):
        """After `leave`: whether it has said all that it had to."""
        return self.watch.end_reason is not None and (self.accounts is None or self.accounts.over)

    # turns

    def after_flush(self):
        self.tell_changes()
        if self.following is not None:
            self.following.put_first_list()

    def tell_changes(self):
        changes, self.watch.changes[:] = list(self.watch.changes), []
        for c in changes:
            self.log.info(
                "member",
                member=c.name,
                incarnation=c.incarnation,
                was=c.old_state,
                state=c.new_state,
                view=c.view_number,
            )
        if self.watch.end_reason is MemberState.REMOVED and not self.left and self.rising is None:
            # Risk: it acts on as if nothing had happened. What it was is over for all others: it comes again as another one,
            # once its folder has that (the folder is the writer's by now).
            self.rising = max(int(self.unix_ms()), self.watch.ended_incarnation + 1, self.incarnation + 1)
            if self.writer is None:
                self.reactor.callLater(0, self.risen, False)
            else:
                self.writer.store(
                    incarnation_change(self.rising), lambda kept: self.reactor.callLater(0, self.risen, kept)
                )

    def risen(self, kept):
        if self.is_closed or self.left:
            return
        self.incarnation, self.rising = self.rising, None
        self.log.warning("gone, and back", incarnation=self.incarnation, kept=kept)
        self.watch = self.parts[Layer.MEMBERS] = self.new_watch()
        if self.accounts is not None:
            self.accounts.reborn(self.incarnation)
        self.run_due_parts()

    # what is seen

    def lines(self):
        if not self.parts:
            return ["fleet: not begun"]
        number, digest = self.watch.view
        lines = [f"member {name} {incarnation} {state}" for name, incarnation, state in self.watch.members()]
        lines += [
            f"view {number} {digest:016x}",
            f"reach {' '.join(self.watch.reachable) or '-'}",
            *self.datagram_lines(),
        ]
        if self.accounts is not None:
            lines += self.accounts.lines(self.now_ms()) + self.quota.lines()
        if self.following is not None:
            lines += self.following.lines(self.now_ms())
        return lines + self.store_lines()
