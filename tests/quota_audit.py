"""Invariants of a `quota_world`, checked after every step and in the quiescent state.

The audit sees the state of all gateways and the ledger, which no gateway does.
"""

from invariants import require

FASTEST_CLOCK = 1.03
MESSAGE_HORIZON_MS = 500  # in a quiescent world, no event is scheduled later than this


class DeletionTrackingDict(dict):
    """The sealed holdings of a gateway; `deleted` has those that the gateway deleted, for the audit."""

    def __init__(self):
        """Starts empty."""
        super().__init__()
        self.deleted = []

    def __delitem__(self, key):
        """Deletes a holding and adds it to `deleted`."""
        self.deleted.append((key, self[key]))
        super().__delitem__(key)


def holdings_of(escrow):
    """Yields ((epoch, tenant), holding) for all that an incarnation ever held; some may be repeated."""
    yield from (((escrow.epoch, tenant), holding) for tenant, holding in escrow.holdings.items())
    yield from escrow.sealed_holdings.items()
    yield from escrow.sealed_holdings.deleted


class Audit:
    """The audit of one world."""

    def __init__(self, world):
        """`world`: the quota_world.World to audit."""
        self.world = world

    def check_change(self, ledger, change):
        """Checks that a loan is allowed by the ledger before it."""
        if not change.HasField("loan"):
            return
        loan = change.loan
        borrower = ledger.accounts[loan.borrower]
        ages_ms = [other.age_ms for other in ledger.loans.values() if other.borrower == loan.borrower]
        require(
            max(ages_ms, default=0) <= borrower.terms.term_ms,
            f"{loan.borrower} borrows while a loan is overdue",
        )
        require(
            borrower.debt_us + loan.amount_us <= borrower.terms.limit_us,
            f"{loan.borrower} borrows over its limit",
        )

    def check(self):
        """Checks after a step that only granted tokens are spent and leaders have the committed ledger."""
        used_us = dict.fromkeys(self.world.group.ledger.accounts, 0)
        for gateway in self.world.gateways.values():
            for escrow in gateway.incarnations:
                self._check_holdings(gateway, escrow, used_us)
            self._check_leader(gateway)
        for tenant, account in self.world.group.ledger.accounts.items():
            self._check_account(tenant, account, used_us[tenant])

    def _check_holdings(self, gateway, escrow, used_us):
        for (epoch, tenant), holding in holdings_of(escrow):
            holding_used_us = holding.spent_us + holding.reserved_us
            free_us = holding.granted_us - holding_used_us - holding.returned_us
            min_amount_us = min(free_us, holding.spent_us, holding.reserved_us, holding.returned_us)
            require(min_amount_us >= 0, f"{gateway.name} spends tokens that it does not have")
            entry = self.world.group.entries.get((gateway.name, escrow.incarnation, epoch, tenant))
            if holding_used_us:
                used_us[tenant] += holding_used_us
            if entry is not None:
                require(
                    holding.granted_us <= entry.granted_us,
                    f"{gateway.name} holds tokens that no record granted",
                )
                require(
                    holding_used_us <= entry.granted_us - entry.returned_us,
                    f"{gateway.name} spends tokens that it returned",
                )

    def _check_leader(self, gateway):
        ledger = gateway.leader.committed
        if ledger is None or gateway.checked == (id(ledger), ledger.record_number):
            return
        gateway.checked = id(ledger), ledger.record_number
        require(
            ledger.state() == self.world.group.states.get(ledger.record_number),
            f"the leader at {gateway.name} differs from the committed ledger",
        )

    def _check_account(self, tenant, account, used_us):
        """`used_us`: spent and reserved by all incarnations of all gateways; no ledger knows it in time."""
        counted_us = account.spent_us + account.held_us + account.written_off_us + account.lost_us
        require(used_us <= counted_us, f"{tenant}: spent tokens that were not granted")
        accrued_us = account.terms.rate_us * self.world.now * FASTEST_CLOCK / 1000
        max_issued_us = account.terms.bucket_us + accrued_us
        require(account.issued_us <= max_issued_us, f"{tenant}: more issued than its rate and bucket")
        require(
            used_us <= max_issued_us + account.debt_us,
            f"{tenant}: spent more than its rate, bucket and loans",
        )

    def check_quiescent(self):
        """Checks that no message is in flight, no loan open, and gateways and ledger agree on all amounts."""
        ledger = self.world.group.ledger
        is_network_idle = all(
            at_ms < self.world.now + MESSAGE_HORIZON_MS for at_ms, _, _ in self.world.events
        )
        require(is_network_idle, "a message is still in flight")
        require(not ledger.loans, f"loans are not repaid: {list(ledger.loans)}")
        for gateway in self.world.gateways.values():
            for escrow in gateway.incarnations:
                self._check_deleted(gateway, escrow)
            self._check_quiescent_escrow(gateway)
        for key in ledger.epochs:
            gateway = self.world.gateways[key.gateway]
            current = (gateway.incarnation, gateway.escrow.epoch)
            require(
                key in ledger.expired or (key.incarnation, key.epoch) == current,
                f"epoch {tuple(key)} was not closed",
            )
            require(
                key not in ledger.expired or key.incarnation < gateway.incarnation,
                f"epoch {tuple(key)}: its gateway runs and has reported",
            )

    def _check_deleted(self, gateway, escrow):
        spent_us = {}  # a late answer may recreate an empty holding after a report
        for key, holding in escrow.sealed_holdings.deleted:
            spent_us[key] = max(holding.spent_us, spent_us.get(key, 0))
        for key, amount_us in spent_us.items():
            entry = self.world.group.entries.get((gateway.name, escrow.incarnation, *key))
            recorded_us = entry.spent_us if entry else 0
            require(
                amount_us == recorded_us,
                f"{gateway.name} spent {amount_us} us, the ledger has {recorded_us} us",
            )

    def _check_quiescent_escrow(self, gateway):
        escrow = gateway.escrow
        require(not escrow.leaving or escrow.is_returned, f"{gateway.name} has not left")
        unsettled = escrow.sealed_holdings or escrow.reservations
        require(not unsettled, f"{gateway.name} has sealed holdings that the ledger does not have")
        require(not any(escrow.overruns_us.values()), f"{gateway.name} has overruns")
        entries = self.world.group.ledger.epochs.get((gateway.name, gateway.incarnation, escrow.epoch), {})
        for tenant, holding in escrow.holdings.items():
            entry = entries.get(tenant)
            if entry is None:
                agrees = not holding.granted_us
            else:
                recorded = (entry.granted_us, entry.spent_us, entry.returned_us)
                agrees = recorded == (holding.granted_us, holding.spent_us, holding.returned_us)
            require(agrees, f"{gateway.name} and the ledger differ on {tenant}")
