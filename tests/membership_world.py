"""Fleets of failure detectors in virtual time, with invariants that are checked after every call."""

from lichenquay.membership.member_state import MemberState
from lichenquay.membership.member_table import MAX_MEMBERS
from lichenquay.membership.message_format import MAX_BODY_BYTES
from lichenquay.membership.probing import MAX_EXTRA_PROBES, MAX_RELAYED_PINGS
from lichenquay.membership.settings import Settings
from lichenquay.testbed.observed_fleet import ObservedFleet
from lichenquay.testbed.virtual_network import LinkConditions

ALIVE, SUSPECT = MemberState.ALIVE, MemberState.SUSPECT
FAULTY = MemberState.FAULTY
LEFT = MemberState.LEFT
REMOVED = MemberState.REMOVED
MAX_OUTBOX = 200
MAX_JOIN_MS = 20_000
SETTLING_MS = 3_000
LOSSLESS_NETWORK = LinkConditions()
DEFAULT_SETTINGS = Settings()
QUICK = Settings(
    probe_period_ms=100,
    suspicion_timeout_ms=600,
    removal_timeout_ms=3_000,
    sync_interval_ms=1_000,
    faulty_probe_interval_ms=300,
    max_tick_delay_ms=150,
    rejoin_delay_ms=300,
)


class MembershipInvariants:
    """Checks after every call: claims only gain precedence, changes are complete, bounds hold."""

    def __init__(self, fleet):
        """Checks a fleet from now on."""
        self.check_count = 0
        self.observed = {}  # {(host, start): (view number, precedences, states after the changes)}
        fleet.observers.append(self)

    def __call__(self, host, detector, changes):
        """Checks one detector after a call that made `changes`."""
        self.check_count += 1
        key = host.name, host.life
        view_number, precedences, states = self.observed.setdefault(key, (0, {}, {}))
        for change in changes:
            view_number += 1
            self.check_change(change, view_number, states)
        assert view_number == detector.view.number
        assert states == {member.name: (member.incarnation, member.state) for member in detector.members()}
        for member in detector.table.members.values():
            self.check_precedence(member, precedences)
        self.check_bounds(host, detector)
        self.observed[key] = view_number, precedences, states

    @staticmethod
    def check_change(change, view_number, states):
        """Checks that changes are numbered without gaps, name the old state and are allowed transitions."""
        assert change.view_number == view_number, f"view number {change.view_number}, expected {view_number}"
        incarnation, state = states.get(change.name, (None, None))
        assert change.old_state == (state if incarnation == change.incarnation else None)
        if incarnation not in (None, change.incarnation):
            assert change.incarnation > incarnation and state.is_final
        assert change.old_state != REMOVED
        assert (change.old_state, change.new_state) != (LEFT, ALIVE)
        states[change.name] = change.incarnation, change.new_state

    @staticmethod
    def check_precedence(member, precedences):
        """Checks that a member's entry never loses precedence, and that removed is the last state."""
        now, before = member.precedence, precedences.get(member.name)
        precedences[member.name] = now
        if before is None or now == before:
            return
        assert now > before, f"{member.name}: precedence fell from {before} to {now}"
        may_change = not before.is_final or before.state_number == LEFT.number
        assert now.incarnation > before.incarnation or may_change

    @staticmethod
    def check_bounds(host, detector):
        """Checks that memory, messages and the time of the next call are bounded."""
        assert len(detector.table.members) <= MAX_MEMBERS
        assert host.max_message_bytes <= MAX_BODY_BYTES
        assert len(detector.prober.probes) <= MAX_EXTRA_PROBES + 1
        assert len(detector.prober.relayed_pings) <= MAX_RELAYED_PINGS
        assert len(detector.outbox) < MAX_OUTBOX
        is_due = detector.due_ms >= detector.now_ms - 1e-6 or detector.due_ms <= host.now_ms()
        assert detector.end_reason or is_due
        live = {member.name for member in detector.members() if member.state in (ALIVE, SUSPECT)}
        assert set(detector.table.live_names()) == live


def make_fleet(count, seed, impairment=LOSSLESS_NETWORK, settings=DEFAULT_SETTINGS, joined=True, **options):
    """Returns a fleet f0, f1, ... with invariants; `joined`: once all know each other and have settled."""
    fleet = ObservedFleet([f"f{number}" for number in range(count)], seed, impairment, settings, **options)
    fleet.invariants = MembershipInvariants(fleet)
    if joined:
        assert fleet.until(fleet.views_agree, MAX_JOIN_MS) is not None
        fleet.run(SETTLING_MS)
        fleet.log.clear()
    return fleet


def failure_changes(fleet, *states):
    """Returns (time, host, member, state) of all changes to one of `states`, by default faulty or removed."""
    return [
        (at_ms, host, change.name, change.new_state)
        for at_ms, host, change in fleet.log
        if change.new_state in (states or (FAULTY, REMOVED))
    ]


def states_at(fleet, name):
    """Returns the states of all members in one member's table, in the order of the fleet."""
    return [fleet.watch(name).state_of(member) for member in fleet.names]
