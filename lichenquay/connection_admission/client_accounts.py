"""What the gate keeps of addresses, prefixes and connections, free of I/O. Times are milliseconds of one clock, said by
`decide`, which decides by it."""

from collections import OrderedDict
from dataclasses import dataclass, field

# in which a connection can stand: silent, idle and busy ones are given up in this order; ending ones have queries still
# to be answered, going ones only last words to be sent
SILENT, IDLE, BUSY, ENDING, GOING = "silent", "idle", "busy", "ending", "going"


@dataclass(eq=False)
class Holder:
    """An address or a prefix, and what it holds."""

    name: str
    known: bool
    lines: OrderedDict = field(default_factory=OrderedDict)  # the one with the youngest query last
    count: int = 0
    active: int = 0  # of them, those that do not end
    queries: int = 0
    held: int = 0
    tokens: float = 0.0
    sense: float = 0.0
    at_ms: float = 0.0
    prefix: str = ""
    wider: object = None

    def fill(self, now, caps):
        """Its buckets, filled up for the time that has passed; a clock that went back gives nothing."""
        passed = max(0.0, now - self.at_ms) / 1000
        self.at_ms = now
        self.tokens = min(caps.burst, self.tokens + passed * caps.per_s)
        self.sense = min(caps.senseless_per_s, self.sense + passed * caps.senseless_per_s)


@dataclass(eq=False)
class Line:
    """A connection that was taken."""

    holder: Holder
    stands: str = SILENT
    since_ms: float = 0.0
    queries: int = 0
    held: int = 0
    what: object = None  # the connection, for who carries things out


class Ranks:
    """Holders by how many connections they have; the one with the most at hand."""

    def __init__(self):
        self.by, self.top = {}, 0

    def move(self, holder, was, now):
        if was:
            group = self.by[was]
            del group[holder]
            if not group:
                del self.by[was]
        if now:
            self.by.setdefault(now, OrderedDict())[holder] = True
            self.top = max(self.top, now)
        while self.top and self.top not in self.by:
            self.top -= 1

    def most(self):
        return next(iter(self.by[self.top])) if self.top else None
