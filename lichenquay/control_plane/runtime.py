"""A control process round its parts: socket, disk, timer, log. What a voter and a relay have of their own."""

import random
import socket

from lichenquay.config.control_settings import (
    VOTER,
    group_fingerprint,
    lease_duration_ms,
    region_of,
    warnings_of,
)
from lichenquay.config.distributed_values import CHECKS_BY_PREFIX as CHECKS
from lichenquay.config.distribution_settings import distribution_fingerprint, distribution_settings
from lichenquay.config.fleet_settings import parse_address
from lichenquay.control_plane.endpoint_importer import EngineImporter
from lichenquay.control_plane.lease_candidate import Candidate
from lichenquay.control_plane.report import publisher_lines, relay_lines
from lichenquay.distribution import distribution_pb2, publisher
from lichenquay.distribution.relay import Relay
from lichenquay.distribution.validation import find_change_error
from lichenquay.fleet.addresses import EXPIRE_MS, Addresses
from lichenquay.fleet.datagram_transport import Post
from lichenquay.fleet.message_envelope import DISTRIBUTION, OWNER, Envelope
from lichenquay.fleet.runtime import Host, Identity, Outside, boot_ms, json_logger
from lichenquay.fleet.source_ranking import ranked
from lichenquay.gateway.discovery import Discovery, DiscoveryFactory
from lichenquay.lease import lease_pb2

FOLDER_MOST = 256 << 20  # bytes: two states, and eight times that (folder.SHARES)
# Answers of all subscribers to one delta, while this process is at something else; the system may allow less.
RECEIVE_BYTES = 4 << 20
LEAVE_MOST_MS = 1500.0  # for the lease to be given up, and that to be told
SAY_EACH_MS = 1000.0  # at most one line on versions
CANDIDATE, IMPORTER = "candidate", "importer"  # in place of a layer: they say nothing themselves
CONNECT_MS = 1000.0  # for a connection to discovery
NO_EVENTS = {"no": 0, "items": []}  # known of discovery before it answers


def check(entries, store, settings):
    """The publisher's check of a change: the same that fronts make of the values that they read."""
    return find_change_error(entries, store, settings, CHECKS)


class Control(Host):
    """What a voter and a relay have in common."""

    kinds = {DISTRIBUTION: distribution_pb2.Message}

    def __init__(self, reactor, said, log=None):
        """`said`: the settings of one control process, checked."""
        self.settings = settings = said.control
        self.figures, self.warnings = distribution_settings(settings.figures), warnings_of(said)
        self.rng = random.Random(random.SystemRandom().getrandbits(128))
        self.addresses = self._new_addresses()
        self.leave_by_ms, self.said_version, self.said_ms = None, 0, float("-inf")
        identity = Identity(settings.fleet, settings.name, settings.listen, settings.folder, FOLDER_MOST)
        post = Post(_envelope(settings), self.addresses, self.kinds, self.heard, self.addresses.learn)
        super().__init__(Outside(reactor), identity, post, (log or json_logger()).bind(process=settings.name))

    def _new_addresses(self):
        """Room for all sessions, and as many clients and earlier starts; none expires before its session."""
        expire_ms = max(EXPIRE_MS, self.figures.expire_ms)
        return Addresses(_named(self.settings), boot_ms, 2 * self.figures.most_sessions, expire_ms)

    def open(self):
        """As any host, with more room for datagrams that wait."""
        why = super().open()
        if why is None:
            self.port.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        return why

    def begin(self):
        """Takes part from now on."""
        self.start_writer()
        for line in self.warnings:
            self.log.warning("settings", why=line)
        self.make_parts(self.now_ms())
        self.log.info(
            "control",
            role=self.role,
            fleet=self.settings.fleet,
            region=region_of(self.settings),
            incarnation=self.incarnation,
        )
        self.turn()

    def leave(self):
        """SIGTERM; `is_over` tells when the process may end."""
        if self.leave_by_ms is None:
            self.leave_by_ms = self.now_ms() + LEAVE_MOST_MS
            self.give_up(self.now_ms())
            self.turn()

    def is_over(self):
        """After `leave`: all is said, or there is no more time for it."""
        return self.has_given_up() or self.now_ms() >= self.leave_by_ms

    def tell_version(self, version, generation, **more):
        """One line on the newest version, now and then."""
        now_ms = self.now_ms()
        if version != self.said_version and now_ms - self.said_ms >= SAY_EACH_MS:
            self.said_version, self.said_ms = version, now_ms
            self.log.info("version", version=version, generation=generation, **more)

    def lines(self):
        """For SIGUSR1: what is in force, and all counters."""
        if not self.parts:
            return ["control: not begun"]
        return [
            f"control {self.settings.name} {self.role} incarnation {self.incarnation}",
            *self.part_lines(self.now_ms()),
            *self.addresses.lines(),
            *self.post_lines(),
            *self.folder_lines(),
        ]


class VoterHost(Control):
    """A voter: the group's messages and disk, the publisher, and the claim to be it."""

    role = "voter"
    prefix = f"owner/{publisher.GROUP}/"
    kinds = {**Control.kinds, OWNER: lease_pb2.Message}
    was_generation = 0
    importer = discovery = None
    said_fault_ms = float("-inf")

    def make_parts(self, now_ms):
        """The group from what the folder kept."""
        settings = self.settings
        self.group, self.publisher = publisher.make_voter(
            settings.name,
            self.incarnation,
            sorted(voter.name for voter in settings.voters),
            self.rng,
            publisher.group_settings(self.figures, lease_duration_ms(settings)),
            self.figures,
            now_ms,
            self.kept_sections(),
            check=check,
        )
        self.candidate = Candidate(self.group, now_ms)
        self.parts = {OWNER: self.group, DISTRIBUTION: self.publisher, CANDIDATE: self.candidate}
        if settings.discovery:
            self.import_engines(now_ms)

    def import_engines(self, now_ms):
        """The list of engines is followed here, and published while this voter holds the lease."""
        self.importer = self.parts[IMPORTER] = EngineImporter(self.publisher, self.rng, now_ms, self.log)
        discovery = Discovery(NO_EVENTS, self.announced, self.tell_discovery)
        host, port = parse_address(self.settings.discovery)
        self.discovery = DiscoveryFactory(self.reactor, discovery, host, port, CONNECT_MS)

    def announced(self, whole, rows):
        """Discovery's word."""
        if not self.closed:
            self.importer.announced(self.now_ms(), whole, rows)
            self.turn()

    def tell_discovery(self, kind, line):
        """Discovery's word on a fault, now and then."""
        now_ms = self.now_ms()
        if now_ms - self.said_fault_ms >= SAY_EACH_MS:
            self.said_fault_ms = now_ms
            self.log.warning("discovery", why=line)

    def close(self):
        """Discovery is not followed any more, too."""
        if self.discovery is not None:
            self.discovery.stop()
        super().close()

    def after_turn(self):
        """The log says who publishes, and what."""
        generation = self.group.generation
        if generation != self.was_generation:
            what = "holds the lease" if generation else "lost the lease"
            self.log.info("publisher", what=what, generation=generation or self.was_generation)
            self.was_generation = generation
        if generation:
            self.tell_version(self.publisher.source.version, generation)

    def give_up(self, now_ms):
        """Another voter may claim at once."""
        self.candidate.leave(now_ms)

    def has_given_up(self):
        """And the others were told, more than once."""
        return not self.group.generation and not self.group.is_announcing_release

    def part_lines(self, now_ms):
        """The group's and the publisher's, and the importer's where there is one."""
        more = self.importer.lines() if self.importer is not None else []
        return [*publisher_lines(self.group, self.publisher, now_ms), *more]


class RelayHost(Control):
    """A relay: a subscriber of everything, and a source for the fronts of its zone."""

    role = "relay"
    was_source = None

    def make_parts(self, now_ms):
        """Follows the voters, those of its own region first."""
        settings = self.settings
        voters = ranked(settings.voters, settings.name, region=region_of(settings))
        self.relay = Relay(settings.name, voters, self.rng, self.figures, now_ms, self.told)
        self.parts = {DISTRIBUTION: self.relay}

    def told(self, now_ms, line):
        """The subscriber's word on a fault."""
        self.log.warning("distribution", why=line, source=self.relay.subscriber.source)

    def after_turn(self):
        """The log says whom it follows, and how far."""
        subscriber = self.relay.subscriber
        if subscriber.source != self.was_source:
            self.was_source = subscriber.source
            self.log.info("source", source=subscriber.source)
        self.tell_version(subscriber.version, subscriber.generation, source=subscriber.source)

    def give_up(self, now_ms):
        """Its subscribers find another one by themselves."""
        self.relay.subscriber.stop()

    def has_given_up(self):
        """It holds nothing that is missed."""
        return True

    def part_lines(self, now_ms):
        """The subscriber's and the source's."""
        return relay_lines(self.relay, now_ms)


def control_of(reactor, said):
    """The process that settings speak of."""
    kind = VoterHost if said.control.role == VOTER else RelayHost
    return kind(reactor, said)


def _named(settings):
    """{name: address} of all others that the settings name."""
    places = [*settings.voters, *settings.relays]
    return {place.name: parse_address(place.address) for place in places if place.name != settings.name}


def _envelope(settings):
    layers = {DISTRIBUTION: distribution_fingerprint(settings.fleet)}
    voters = {voter.name for voter in settings.voters}
    return Envelope(settings.fleet, group_fingerprint(settings), settings.name, voters, layers)
