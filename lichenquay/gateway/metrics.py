"""Metrics: how attempts and queries end, the counters of it, and letting go of what is over."""

import sys
from collections import Counter

from lichenquay.admission import domain
from lichenquay.gateway import http

LINES_A_SECOND = 5  # of one kind on standard error


class Log:
    """Plain lines on standard error, a few of each kind a second; what was left out is counted."""

    def __init__(self, seconds, out=sys.stderr):
        self.seconds, self.out, self.kinds = seconds, out, {}

    def __call__(self, kind, text):
        now = self.seconds()
        since, lines, left_out = self.kinds.get(kind, (now, 0, 0))
        if now - since >= 1:
            if left_out:
                self.line(f"{kind}: {left_out} more lines left out")
            since, lines, left_out = now, 0, 0
        if lines < LINES_A_SECOND:
            self.line(text)
        self.kinds[kind] = (since, lines + 1, left_out + (lines >= LINES_A_SECOND))

    def line(self, text):
        try:
            print(text, file=self.out, flush=True)
        except OSError:  # nobody reads the log any more: the front goes on
            pass


class Metrics:
    """The end of an attempt goes back up the chain from here."""

    def __init__(self, back):
        self.back, self.counters, self.out = back, Counter(), 0

    def count(self, what):
        self.counters[what] += 1

    def opened(self):
        self.out += 1
        self.count("attempts sent")

    def end(self, flight, ending, reply=None, result=None):
        """The one ending of an attempt; what comes later for it is nothing any more."""
        if flight.over:
            return
        flight.over, flight.connection, flight.late = True, None, None
        flight.settle()
        self.out -= 1
        self.count(f"attempts {ending}")
        cost = http.cost_of(reply) if ending == domain.Outcome.COMPLETED else None
        # None: nothing came from the engine. Empty: it spoke, and reported nothing.
        report = None if reply is None else http.report_of(reply) or {}
        if report:
            self.count("load reports")
        self.back(flight, ending, cost, report, result)

    def lines(self):
        return [f"{what}: {n}" for what, n in sorted(self.counters.items())]
