"""Invariants of gateways in virtual time, checked after every step and at rest. The audit sees all processes,
which no gateway does. Amounts are in microseconds of work.
"""

from hashlib import blake2b

from virtual_fleet import ACCOUNTS

from lichenquay.membership.member_state import MemberState
from lichenquay.quota.errors import LedgerError
from lichenquay.quota.ledger import Ledger

LIMITS_US = {account[0]: account[3] * 1000 for account in ACCOUNTS}
MAX_CLOCK_RATE = 1.05


class InvariantViolationError(AssertionError):
    """An invariant does not hold."""


class RetainingDict(dict):
    """A dict that keeps its deleted items in `deleted`."""

    def __init__(self, items):
        """Starts with these items."""
        super().__init__(items)
        self.deleted = []

    def __delitem__(self, key):
        """Deletes an item and keeps it in `deleted`."""
        self.deleted.append((key, self[key]))
        super().__delitem__(key)


class Audit:
    """The checks, and what they need of the past. `world` is set by the world itself."""

    def __init__(self):
        """Starts before the first process."""
        self.ledger, self.digests, self.rows = Ledger(), {}, {}
        self.expired_epochs, self.violations, self.generations = set(), [], {}
        self.within_count = self.beyond_count = 0
        self.max_debt_us, self.max_lent_us, self.max_repaid_us = 0, 0, 0

    def fail(self, text):
        """Records a violation and raises it. The record is needed, as a part that catches all errors would
        also catch the audit's.
        """
        self.violations.append(text)
        raise InvariantViolationError(text)

    def require(self, condition, text, *arguments):
        """Fails with the formatted text unless the condition holds."""
        if not condition:
            self.fail(text.format(*arguments))

    # after every step

    def check(self, process):
        """Checks all invariants after a step of a process."""
        holders = [
            other
            for other in self.world.processes.values()
            if other.runtime is not None
            and other.runtime.quota_participant is not None
            and other.runtime.quota_participant.group.holds(other.now_ms())
        ]
        if holders:
            names = [holder.name for holder in holders]
            self.require(len(holders) < 2, "several processes hold the ledger's lease: {}", names)
            holder = holders[0]
            generation = holder.runtime.quota_participant.group.generation
            first = self.generations.setdefault(generation, (holder.name, holder.start_count))
            self.require(
                first == (holder.name, holder.start_count),
                "generation {} is held by {} and {}",
                generation,
                first,
                holder.name,
            )
        if process.runtime is None:
            return
        self.check_members(process)
        self.check_ledger(process)
        self.check_escrow(process)

    def check_members(self, process):
        """Checks that a process's view of the members only advances, and lists only what existed."""
        detector, observed = process.runtime.detector, getattr(process, "observed_members", None)
        if observed is None or observed[0] is not detector:
            observed = process.observed_members = [detector, 0, {}]
            if detector.incarnation not in process.incarnations:
                process.incarnations.append(detector.incarnation)
        for name, member in detector.table.members.items():
            has_ended = member.state in (MemberState.LEFT, MemberState.REMOVED)
            refutation = 0 if has_ended else member.refutation
            claim = (member.incarnation, has_ended, refutation, member.state.number)
            old = observed[2].get(name)
            if claim == old:
                continue
            self.require(
                old is None or claim > old,
                "{}: the state of {} regressed: {} after {}",
                process.name,
                name,
                claim,
                old,
            )
            listed = self.world.processes.get(name)
            self.require(
                listed and member.incarnation in listed.incarnations,
                "{} lists {} {}, an incarnation that never existed",
                process.name,
                name,
                member.incarnation,
            )
            self.require(
                member.state is not MemberState.LEFT or member.incarnation in listed.left_incarnations,
                "{} lists {} as left, which it has not",
                process.name,
                name,
            )
            self.require(
                old is None or detector.view.number >= observed[1],
                "{}: the view's number decreased",
                process.name,
            )
            observed[2][name] = claim
        observed[1] = detector.view.number

    def check_ledger(self, process):
        """Checks a process's committed ledger against itself and against all committed before."""
        ledger = process.runtime.quota_participant.leader.committed
        old = getattr(process, "observed_ledger", (None, 0))
        if ledger is None or ledger is old[0] and ledger.record_number == old[1]:
            return
        is_new_object = ledger is not old[0]
        process.observed_ledger = ledger, ledger.record_number
        try:
            ledger.check()
        except LedgerError as error:
            self.fail(f"the ledger at {process.name}: {error}")
        state = ledger.state()
        digest = blake2b(state, digest_size=8).digest()
        self.require(
            not is_new_object or ledger.record_number >= self.ledger.record_number,
            "{} starts at record {}, but {} is committed",
            process.name,
            ledger.record_number,
            self.ledger.record_number,
        )
        self.require(
            self.digests.setdefault(ledger.record_number, digest) == digest,
            "record {} differs at {}",
            ledger.record_number,
            process.name,
        )
        if ledger.record_number > self.ledger.record_number:
            self.apply_ledger(Ledger.load(state))

    def apply_ledger(self, ledger):
        """Checks a newer committed ledger against the one before, and keeps it."""
        for epoch_key, rows in ledger.epochs.items():
            for tenant, row in rows.items():
                key = *epoch_key, tenant
                before = self.rows.get(key)
                if before:
                    increases_us = (
                        row.granted_us - before.granted_us,
                        row.spent_us - before.spent_us,
                        row.returned_us - before.returned_us,
                    )
                    self.require(min(increases_us) >= 0, "totals of {} decrease", key)
                self.require(
                    epoch_key not in self.expired_epochs or before and row.granted_us == before.granted_us,
                    "{} got a grant after it had expired",
                    key,
                )
                self.rows[key] = row
        self.expired_epochs |= ledger.expired
        for tenant, account in ledger.accounts.items():
            old = self.ledger.accounts.get(tenant)
            self.require(account.debt_us <= LIMITS_US[tenant], "{}: the debt exceeds the limit", tenant)
            self.require(
                old is None or account.spent_us >= old.spent_us, "the spent work of {} decreases", tenant
            )
            self.require(
                account.issued_us <= self.max_issued_us(account),
                "{}: more is issued than rate and bucket allow",
                tenant,
            )
            self.max_debt_us = max(self.max_debt_us, account.debt_us)
            self.max_lent_us = max(self.max_lent_us, account.lent_us)
            self.max_repaid_us = max(self.max_repaid_us, account.repaid_us)
        self.ledger = ledger
        self.check_totals()

    def max_issued_us(self, account):
        """Returns what rate and bucket allow by now, by the fastest clock."""
        return account.terms.bucket_us + account.terms.rate_us * self.world.now_ms * MAX_CLOCK_RATE / 1000

    def check_escrow(self, process):
        """Checks that a process's escrow spends only what committed records granted to it."""
        escrow = process.runtime.quota_participant.escrow
        if not process.escrows or process.escrows[-1][1] is not escrow:
            escrow.sealed_holdings = RetainingDict(escrow.sealed_holdings)
            process.escrows.append((escrow.incarnation, escrow))
        open_holdings = [((escrow.epoch, tenant), holding) for tenant, holding in escrow.holdings.items()]
        for (epoch, tenant), holding in open_holdings + list(escrow.sealed_holdings.items()):
            used_us = holding.spent_us + holding.reserved_us
            least_us = min(holding.free_us, holding.spent_us, holding.reserved_us, holding.returned_us)
            self.require(least_us >= 0, "{}: a negative amount in a holding", process.name)
            if holding.granted_us or used_us:
                row = self.rows.get((process.name, escrow.incarnation, epoch, tenant))
                self.require(
                    row and holding.granted_us <= row.granted_us,
                    "{} holds what no record granted",
                    process.name,
                )
                self.require(
                    used_us <= row.granted_us - row.returned_us,
                    "{} spends what it returned",
                    process.name,
                )

    def record_decision(self, process, tenant, within):
        """Counts a quota decision, and checks that a query within quota has a grant behind it."""
        self.within_count += within
        self.beyond_count += not within
        if within:
            escrow = process.runtime.quota_participant.escrow
            epoch_key = process.name, escrow.incarnation, escrow.epoch
            self.require(epoch_key not in self.expired_epochs, "{} spends from an expired epoch", epoch_key)
            self.require((*epoch_key, tenant) in self.rows, "{} spends what no record granted", epoch_key)
            self.check_totals()

    def used_us(self, tenant, spent_only=False):
        """Returns what the escrows of all starts of all processes have spent, and reserved."""
        total_us = 0
        for process in self.world.processes.values():
            for _, escrow in process.escrows:
                holdings = [holding for name, holding in escrow.holdings.items() if name == tenant]
                holdings += [
                    holding
                    for (_, name), holding in [
                        *escrow.sealed_holdings.items(),
                        *escrow.sealed_holdings.deleted,
                    ]
                    if name == tenant
                ]
                total_us += sum(
                    holding.spent_us + (0 if spent_only else holding.reserved_us)
                    for holding in {id(holding): holding for holding in holdings}.values()
                )
        return total_us

    def check_totals(self):
        """Checks each tenant's account against what the gateways really used."""
        for tenant, account in self.ledger.accounts.items():
            used_us = self.used_us(tenant)
            granted_us = account.spent_us + account.held_us + account.written_off_us + account.lost_us
            self.require(used_us <= granted_us, "{}: more is used than was granted", tenant)
            self.require(
                used_us <= self.max_issued_us(account) + account.debt_us,
                "{}: more is used than rate, bucket and credit allow",
                tenant,
            )
            self.require(
                account.spent_us <= self.used_us(tenant, True),
                "{}: more is counted as spent than any gateway spent",
                tenant,
            )

    # at rest

    def unsettled_reason(self):
        """Returns why the fleet is not at rest, or None if it is."""
        running = [process for process in self.world.processes.values() if process.runtime is not None]
        holders = [
            process for process in running if process.runtime.quota_participant.group.holds(process.now_ms())
        ]
        if len(holders) != 1 or holders[0].runtime.quota_participant.leader.committed is None:
            return "the ledger has no leader"
        if len({process.runtime.detector.view.digest for process in running}) > 1:
            views = [(process.name, process.runtime.detector.members()) for process in running]
            return f"views differ: {views}"
        group = holders[0].runtime.quota_participant.group
        for process in running:
            states = {name: process.runtime.detector.state_of(name) for name in self.world.processes}
            for other in self.world.processes.values():
                if states[other.name] not in (
                    ("alive",) if other.runtime is not None else ("left", "faulty", "removed")
                ):
                    return f"{process.name} lists {other.name} as {states[other.name]}"
            escrow = process.runtime.quota_participant.escrow
            if (
                process.runtime.is_leaving
                or escrow.sealed_holdings
                or escrow.reservations
                or any(escrow.overruns_us.values())
            ):
                reason = (
                    "leaving" if process.runtime.is_leaving else "sealed epochs, reservations or overruns"
                )
                return f"{process.name}: {reason}"
            if escrow.leader != (holders[0].name, group.generation):
                return f"{process.name} takes {escrow.leader} for the ledger's leader"
            for tenant, holding in escrow.holdings.items():
                rows = self.ledger.epochs.get((process.name, escrow.incarnation, escrow.epoch), {})
                row = rows.get(tenant)
                recorded = (row.granted_us, row.spent_us, row.returned_us) if row else (0, 0, 0)
                if recorded != (holding.granted_us, holding.spent_us, holding.returned_us):
                    return f"{process.name} and the ledger differ on {tenant}"
        if self.ledger.loans:
            return "loans are not repaid"
        for epoch_key in self.ledger.epochs:
            runtime = self.world.processes[epoch_key[0]].runtime
            if epoch_key not in self.ledger.expired and not (
                runtime and epoch_key[1:] == (runtime.incarnation, runtime.quota_participant.escrow.epoch)
            ):
                return f"epoch {epoch_key} is not closed"
        for process in self.world.processes.values():
            for incarnation, escrow in process.escrows:
                for (epoch, tenant), holding in escrow.sealed_holdings.deleted:
                    row = self.rows.get((process.name, incarnation, epoch, tenant))
                    self.require(
                        holding.spent_us <= (row.granted_us if row else 0),
                        "{} spent more than its last record granted",
                        process.name,
                    )
        return None
