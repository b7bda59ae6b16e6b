"""A front's part in the fleet's quota: its rights, the group that keeps the ledger where it is a voter, and the keeper while it holds it.

Two parts of the host: `lease` (the group's messages) and itself (asks and answers). No I/O: the host brings time, messages and the disk.
"""

from lichenquay.config.fleet_settings import (
    DEFAULT_LEASE_MS,
    DEFAULT_TERM_MS,
    gateway_names,
    ledger_account,
    voter_names,
)
from lichenquay.lease.group import LeaseGroup
from lichenquay.lease.settings import LeaseSettings
from lichenquay.quota import ledger_records
from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.errors import LedgerError
from lichenquay.quota.escrow import TokenEscrow
from lichenquay.quota.ledger_leader import LedgerLeader

LEDGER = "ledger"
PREFIX = "owner/ledger/"  # of its sections in the folder
MOST_STATE = 1 << 20  # bytes of the ledger
STOCKS = 8  # of a bucket, one part of so many lies at the fronts where no query comes
LOOK_MS = 250.0  # between two looks at who holds the ledger
DEAF_MS = 1000.0  # an ask that nobody answers goes to another voter
SILENT = 3.0  # leases without a word of the ledger's holder; then others claim it
HANDS = 64  # messages to itself in a turn, at most


class Accounts:
    """`state_of(name)`: what membership holds of a front; `pressed()`: whether the controller has no room beyond quota."""

    def __init__(self, settings, incarnation, rng, now_ms, kept, state_of, pressed, log):
        self.name, self.incarnation, self.rng, self.log = settings.name, incarnation, rng, log
        self.state_of, self.pressed, self.voters = state_of, pressed, voter_names(settings)
        self.fronts = len(gateway_names(settings))
        self.figures = [ledger_account(a) for a in settings.accounts]
        self.term_ms = settings.term_ms or DEFAULT_TERM_MS
        self.group = self.keeper = None
        if self.name in self.voters:
            lease_ms = settings.lease_ms or DEFAULT_LEASE_MS
            owner = LeaseSettings(
                lease_ms=lease_ms,
                heartbeat_ms=lease_ms / 6,
                retry_ms=lease_ms / 15,
                backoff_ms=lease_ms / 10,
                max_state_bytes=MOST_STATE,
            )
            self.group = LeaseGroup(
                LEDGER,
                self.name,
                incarnation,
                self.voters,
                rng,
                owner,
                now_ms,
                kept,
                fold=ledger_records.fold,
                on_lease_event=self.told,
            )
            self.keeper = LedgerLeader(ledger_records.PiecewiseGroup(self.group), self.figures, self.term_ms)
        self.rights = self.new_rights()
        self.outbox, self.leaving, self.look_ms = [], False, now_ms
        self.asked_of, self.deaf_since_ms = rng.choice(self.voters), None
        self.answered = (None, 0)  # the keeper that last answered us, and its generation

    def new_rights(self):
        # Risk: the first queries of a tenant that come to a front count as beyond quota. So a little is held everywhere.
        stocks = {f.tenant: f.bucket_us // (STOCKS * self.fronts) for f in self.figures}
        return TokenEscrow(self.name, self.incarnation, stocks, self.term_ms, random=self.rng)

    def reborn(self, incarnation):
        """The front goes on as another one: what it held as the old one is not spent any more. Risk: debts are left behind."""
        debts, self.incarnation = self.rights.overruns_us, incarnation
        self.rights = self.new_rights()
        self.rights.overruns_us = debts
        if self.group is not None:
            self.group.incarnation = incarnation

    def told(self, now_ms, what):
        self.log.info("ledger", what=what, generation=self.group.generation)

    # queries

    def take(self, now_ms, q, work_ms):
        """Whether the query is within its tenant's quota (credit included)."""
        self.rights.under_pressure = self.pressed()
        return self.rights.reserve(now_ms, q.tenant.name, work_ms, q)

    # the host's calls

    @property
    def due_ms(self):
        return min(
            self.look_ms,
            self.rights.due_ms,
            self.keeper.due_ms if self.keeper and self.group.generation else float("inf"),
        )

    def tick(self, now_ms):
        if now_ms >= self.look_ms:
            self.look(now_ms)
        if self.keeper and self.group.generation and now_ms >= self.keeper.due_ms:
            self.keeper.tick(now_ms)
        if now_ms >= self.rights.due_ms:
            self.rights.under_pressure = self.pressed()
            self.rights.tick(now_ms)
        self.hand_over(now_ms)

    def heard(self, now_ms, sender, message):
        self.take_in(now_ms, sender, message)
        self.hand_over(now_ms)

    def take_in(self, now_ms, sender, message):
        """From another front or from itself."""
        if message.HasField("ask"):
            if self.keeper:
                self.keeper.heard(now_ms, sender, message.ask)
        elif message.HasField("answer"):
            self.deaf_since_ms = None
            if message.answer.generation >= self.answered[1]:
                self.answered = sender[0], message.answer.generation
            self.rights.heard(now_ms, sender, message.answer)

    def hand_over(self, now_ms):
        """What its own parts say to each other, and to others."""
        for _ in range(HANDS):
            rights, self.rights.outbox = self.rights.outbox, []
            answers = []
            if self.keeper:
                answers, self.keeper.outbox = self.keeper.outbox, []
            if rights and self.deaf_since_ms is None:
                self.deaf_since_ms = now_ms
            said = [(n, pb.Message(ask=m)) for n, m in rights] + [
                (n, pb.Message(answer=m)) for n, m in answers
            ]
            own = [m for n, m in said if n == self.name]
            self.outbox += [(n, m) for n, m in said if n != self.name]
            if not own:
                return
            for m in own:
                self.take_in(now_ms, (self.name, self.incarnation), m)

    def look(self, now_ms):
        """Who holds the ledger, as far as known here; and whether it should be us."""
        self.look_ms = now_ms + LOOK_MS
        holder = (None, 0)
        if self.group is not None:
            holder = self.group.holder
            # Risk: one that is alive but holds no more is waited for by all. So silence counts, whatever membership says.
            silent = now_ms - self.group.last_heartbeat_ms > SILENT * self.group.settings.lease_ms
            away = (
                silent
                or holder[0] in (None, self.name)
                or self.state_of(holder[0]) in (None, "faulty", "left", "removed")
            )
            self.group.set_candidate(
                now_ms, away and not self.leaving and self.state_of(self.name) == "alive"
            )
        self.rights.leader = self.keeper_now(now_ms, holder)

    def keeper_now(self, now_ms, holder):
        """A voter knows the holder; any other front asks one voter after the other until one answers."""
        if holder[0] is not None and holder[1] >= self.answered[1]:
            return holder
        if self.deaf_since_ms is not None and now_ms - self.deaf_since_ms > DEAF_MS:
            others = [v for v in self.voters if v != self.asked_of and v != self.name]
            self.asked_of, self.answered, self.deaf_since_ms = (
                self.rng.choice(others or self.voters),
                (None, self.answered[1]),
                now_ms,
            )
        return self.answered if self.answered[0] else (self.asked_of, 0)

    # the end

    def leave(self, now_ms):
        self.leaving = True
        self.rights.return_all(now_ms)
        if self.group is not None:
            self.group.release(now_ms)

    @property
    def over(self):
        return self.leaving and self.rights.is_returned and not (self.group and self.group.generation)

    # what is seen

    def conserved(self):
        """Risk: a fault of ours that makes rights out of nothing goes unseen."""
        try:
            if self.keeper.committed is None:
                return "not in office"
            self.keeper.committed.check()
        except LedgerError as bad:
            return str(bad)
        return "yes"

    def lines(self, now_ms):
        lines = [
            f"quota {t} {free:.1f} {spent:.1f} {owes:.1f} {limit:.1f}"
            for t, (free, spent, owes, limit) in sorted(self.rights.status(now_ms).items())
        ]
        known = self.rights.leader or ("-", 0)
        lines += [
            f"keeper {known[0]} {known[1]}",
            f"rights lapsed: {self.rights.expiries}",
            f"quota messages that make no sense: {self.rights.implausible_answers}",
        ]
        if self.group is not None:
            voter, leadership = self.group.voter, self.group.leadership
            lines.append(
                f"group {LEDGER} {leadership.phase} generation {leadership.generation} promised {voter.promise.generation} to "
                f"{voter.promise.name or '-'} candidate {leadership.is_candidate} failed {leadership.failed_acquisitions} "
                f"{'recovering ' * voter.is_recovering}waits {max(0.0, voter.no_grants_until_ms - now_ms):.0f} "
                f"acquires in {leadership.next_acquire_ms - now_ms:.0f} counts {leadership.counts} {voter.counts}"
            )
        if self.keeper and self.group.generation:
            lines += [
                f"ledger {t} {' '.join(f'{v:.1f}' for v in seen)}"
                for t, seen in sorted(self.keeper.status().items())
            ]
            lines += [
                f"ledger records: {self.keeper.records_committed}",
                f"ledger in doubt: {self.keeper.uncertain_writes}",
                f"ledger conserved: {self.conserved()}",
                f"loans barred: {self.keeper.loans_barred}",
                f"ledger trouble: {self.keeper.last_error or 'none'}",
            ]
        return lines
