"""What the front's queries tell the fleet's account: taken, finished with so much work, or over without."""

from lichenquay.admission import domain
from lichenquay.admission.query_size import expected_work_ms


class Tenants:
    def __init__(self, accounts, now_ms, set_timer):
        self.accounts, self.now_ms, self.set_timer = accounts, now_ms, set_timer
        self.taken = {
            f.tenant: [0, 0.0, 0] for f in accounts.figures
        }  # within quota, their work in ms; beyond it

    def beyond(self, q):
        """Whether it is beyond its tenant's quota; if not, its work is set aside until it is over. None: no account tells."""
        if q.tenant is None or q.tenant.name not in self.taken:
            return None
        within, taken = self.accounts.take(self.now_ms(), q, expected_work_ms(q)), self.taken[q.tenant.name]
        taken[0 if within else 2] += 1
        taken[1] += expected_work_ms(q) * within
        self.set_timer()  # it may ask for more, now
        return not within

    def finished(self, q, cost):
        """`cost`: (work in ms, memory in MB), None where engines do not tell."""
        if cost is None:
            self.accounts.rights.settle_at_estimate(self.now_ms(), q)
        else:
            self.accounts.rights.settle(self.now_ms(), q, cost[0])

    def lines(self):
        return [
            f"taken {t} within {n} of {ms:.1f} ms, beyond {beyond}"
            for t, (n, ms, beyond) in sorted(self.taken.items())
        ]

    def over(self, q):
        """Not finished. What surely never ran costs nothing; anything else its estimate."""
        if all(s.outcome in domain.NEVER_EXECUTED for s in q.attempts):
            self.accounts.rights.settle(self.now_ms(), q, 0.0)
        else:
            self.accounts.rights.settle_at_estimate(self.now_ms(), q)
