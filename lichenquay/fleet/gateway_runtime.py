"""The runtime of a gateway that is a member of a fleet: membership, quota and distributed configuration.

It is used only if the settings name a fleet. Times are milliseconds of CLOCK_BOOTTIME, which also counts
while the machine is suspended.
"""

import random
from collections.abc import Callable

from lichenquay.config.fleet_settings import fingerprint, gateway_names
from lichenquay.config.process_entries import parse_address
from lichenquay.fleet.datagram_transport import DatagramTransport
from lichenquay.fleet.message_envelope import Layer, MessageEnvelope
from lichenquay.fleet.quota_participant import SECTION_PREFIX, QuotaPart
from lichenquay.fleet.runtime import (
    Environment,
    Identity,
    Runtime,
    boot_ms,
    json_logger,
    unix_now_ms,
)
from lichenquay.fleet.tenant_usage import TenantUsage
from lichenquay.lease import lease_pb2
from lichenquay.membership import members_pb2
from lichenquay.membership.failure_detector import FailureDetector
from lichenquay.membership.member_state import MemberState
from lichenquay.membership.settings import Settings as MembershipSettings
from lichenquay.quota import quota_pb2
from lichenquay.storage.incarnation import incarnation_change
from lichenquay.storage.store import DurableStore
from lichenquay.storage.writer import StoreWriter

STORE_MAX_BYTES = 16 << 20
MESSAGE_TYPES = {
    Layer.MEMBERS: members_pb2.Message,
    Layer.LEASE: lease_pb2.Message,
    Layer.QUOTA: quota_pb2.Message,
}


class GatewayRuntime(Runtime):
    """Membership, and where the settings say so quota and distributed configuration, of one gateway."""

    section_prefix = SECTION_PREFIX

    def __init__(
        self,
        reactor,
        settings,
        seed,
        is_under_pressure: Callable[[], bool],
        now_ms: Callable[[], float] = boot_ms,
        unix_ms: Callable[[], float] = unix_now_ms,
        log=None,
        new_store: Callable = DurableStore,
        new_writer: Callable = StoreWriter,
        distribution=None,
        configuration_target=None,
    ):
        """Parameters.

        settings: the `fleet` section. is_under_pressure: whether the controller has no room beyond quota.
        distribution: the `distribution` section, or None. configuration_target: puts distributed configuration in force
        (`ConfigurationTarget`). Clocks and store classes are as in `Environment`.
        """
        self.settings = settings
        self.is_under_pressure = is_under_pressure
        self.distribution = distribution
        self.configuration_target = configuration_target
        self.rng = random.Random(f"{seed}:{settings.name}")
        self.names = gateway_names(settings)
        self.is_leaving = False
        self.detector: FailureDetector | None = None
        self.quota_participant: QuotaPart | None = None
        self.tenant_usage: TenantUsage | None = None
        self.applied_configuration = None
        self.next_incarnation: int | None = None  # while it is being stored
        super().__init__(
            Environment(reactor, now_ms, unix_ms, new_store, new_writer),
            Identity(settings.fleet, settings.name, settings.listen, settings.folder, STORE_MAX_BYTES),
            self._new_transport(settings),
            (log or json_logger()).bind(front=settings.name),
        )

    def _new_transport(self, settings):
        addresses = {peer.name: parse_address(peer.address) for peer in settings.peers}
        message_types = MESSAGE_TYPES
        open_layers = {}
        if self.distribution is not None:
            # Imported here: a gateway that follows nothing does not load these modules.
            from lichenquay.fleet import applied_configuration

            addresses |= applied_configuration.relay_addresses(self.distribution)
            message_types = message_types | applied_configuration.MESSAGE_TYPES
            open_layers = applied_configuration.open_layers(settings.fleet)
        envelope = MessageEnvelope(
            settings.fleet, fingerprint(settings), settings.name, self.names, open_layers
        )
        return DatagramTransport(envelope, addresses, message_types, self.on_message)

    # start and end

    def begin(self) -> None:
        """Joins the fleet; called once the gateway serves."""
        self.start_writer()
        self._start_detector()
        if self.settings.accounts:
            self._start_quota()
        if self.distribution is not None:
            self._start_following()
        self.log.info(
            "fleet", incarnation=self.incarnation, fleet=self.settings.fleet, peers=len(self.names) - 1
        )
        self.run_due_parts()

    def _start_detector(self):
        self.detector = self.new_detector()
        self.parts[Layer.MEMBERS] = self.detector

    def new_detector(self) -> FailureDetector:
        """A failure detector for the current incarnation."""
        peers = [name for name in self.names if name != self.settings.name]
        return FailureDetector(
            self.settings.name, self.incarnation, peers, self.rng, MembershipSettings(), self.now_ms()
        )

    def _start_quota(self):
        self.quota_participant = QuotaPart(
            self.settings,
            self.incarnation,
            self.rng,
            self.now_ms(),
            self.stored_sections(),
            lambda name: self.detector.state_of(name),  # The detector is replaced after a removal.
            self.is_under_pressure,
            self.log,
        )
        self.parts[Layer.QUOTA] = self.quota_participant
        if self.quota_participant.group is not None:
            self.parts[Layer.LEASE] = self.quota_participant.group
        self.tenant_usage = TenantUsage(self.quota_participant, self.now_ms, self.set_timer)

    def _start_following(self):
        # Imported here, as above.
        from lichenquay.fleet.applied_configuration import AppliedConfiguration

        self.applied_configuration = AppliedConfiguration(
            self.distribution,
            self.settings.name,
            self.rng,
            self.now_ms(),
            self.configuration_target,
            self.log,
        )
        self.parts[Layer.DISTRIBUTION] = self.applied_configuration.subscriber

    def leave(self) -> None:
        """Tells the other members; `close` follows once `is_leave_complete`."""
        if not self.parts or self.is_leaving:
            return
        self.is_leaving = True
        self.detector.leave(self.now_ms())
        if self.quota_participant is not None:
            self.quota_participant.leave(self.now_ms())
        if self.applied_configuration is not None:
            self.applied_configuration.subscriber.stop()
        self.run_due_parts()

    def is_leave_complete(self) -> bool:
        """After `leave`: whether all has been sent that others have to know."""
        has_quota_left = self.quota_participant is None or self.quota_participant.is_leaving
        return self.detector.end_reason is not None and has_quota_left

    # events

    def after_flush(self) -> None:
        """Logs membership changes, rejoins after a removal and applies a first endpoint list."""
        self._log_member_changes()
        was_removed = self.detector.end_reason is MemberState.REMOVED
        if was_removed and not self.is_leaving and self.next_incarnation is None:
            self._start_rejoin()
        if self.applied_configuration is not None:
            self.applied_configuration.apply_first_list()

    def _log_member_changes(self):
        changes = list(self.detector.changes)
        self.detector.changes[:] = []
        for change in changes:
            self.log.info(
                "member",
                member=change.name,
                incarnation=change.incarnation,
                was=change.old_state,
                state=change.new_state,
                view=change.view_number,
            )

    def _start_rejoin(self):
        """Stores a new incarnation before it is used: for all other members the current one has ended."""
        self.next_incarnation = max(
            int(self.unix_ms()), self.detector.ended_incarnation + 1, self.incarnation + 1
        )
        if self.writer is None:
            self._schedule_rejoin(False)
        else:
            self.writer.store(incarnation_change(self.next_incarnation), self._schedule_rejoin)

    def _schedule_rejoin(self, is_stored):
        self.reactor.callLater(0, self._rejoin, is_stored)

    def _rejoin(self, is_stored):
        if self.is_closed or self.is_leaving:
            return
        self.incarnation = self.next_incarnation
        self.next_incarnation = None
        self.log.warning("rejoined after removal", incarnation=self.incarnation, stored=is_stored)
        self._start_detector()
        if self.quota_participant is not None:
            self.quota_participant.restart_as(self.incarnation)
        self.run_due_parts()

    # status

    def lines(self) -> list[str]:
        """Status lines for SIGUSR1."""
        if not self.parts:
            return ["fleet: not begun"]
        lines = [
            *self._member_lines(),
            *self.datagram_lines(),
        ]
        if self.quota_participant is not None:
            lines += self.quota_participant.lines(self.now_ms())
            lines += self.tenant_usage.lines()
        if self.applied_configuration is not None:
            lines += self.applied_configuration.lines(self.now_ms())
        return lines + self.store_lines()

    def _member_lines(self):
        view_number, view_digest = self.detector.view
        return [
            *(f"member {name} {incarnation} {state}" for name, incarnation, state in self.detector.members()),
            f"view {view_number} {view_digest:016x}",
            f"reach {' '.join(self.detector.reachable) or '-'}",
        ]
