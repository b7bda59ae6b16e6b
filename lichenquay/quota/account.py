"""Amounts of the ledger, in whole microseconds of engine work: of a tenant, and of a front's book."""

TOTALS = ("issued", "spilled", "spent", "lent", "given_back", "borrowed", "repaid", "lost")


class Account:
    """One tenant's. Running sums (`held`, `written`) are checked against the rows."""

    __slots__ = ("figures", "allowed", "brim", "pool", "part", "part_repay", "held", "written", *TOTALS)

    def __init__(self, figures):
        """`figures`: a quota_pb2.Open; what the tenant may use and owe."""
        self.figures, self.allowed, self.brim = figures, figures.limit_us, figures.bucket_us
        self.pool = self.part = self.part_repay = self.held = self.written = 0
        for name in TOTALS:
            setattr(self, name, 0)

    @property
    def owes(self):
        """What it has borrowed and not repaid."""
        return self.borrowed - self.repaid

    @property
    def claims(self):
        """What it has lent and not back."""
        return self.lent - self.given_back

    @property
    def room(self):
        """Up to its bucket; under 0 while it has borrowed over that. What it lent still counts, so that a
        lender accrues as if it had not lent."""
        return self.figures.bucket_us - self.pool - self.held - self.claims

    @property
    def spare(self):
        """What it may lend: unused, over the part of its bucket that it keeps."""
        return max(0, self.pool - self.figures.bucket_us * self.figures.lend_permille // 1000)


class Row:
    """One tenant's in one book of a front."""

    __slots__ = ("granted", "spent", "returned", "sealed")

    def __init__(self, granted=0, spent=0, returned=0, sealed=False):
        """Totals since the book was opened; `sealed`: the front uses it no more."""
        self.granted, self.spent, self.returned, self.sealed = granted, spent, returned, sealed

    @property
    def left(self):
        """Granted, and neither told as spent nor returned."""
        return self.granted - self.spent - self.returned
