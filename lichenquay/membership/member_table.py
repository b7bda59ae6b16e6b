"""What one front holds of every member: one row a name, the largest that it heard of, and the view made of them.

The order of rows (`rank`) is total, so all who heard the same rows hold the same table, whatever came twice, late or in
another order.
State: about 0.5 KB a member, at most `MAX_MEMBERS` names; a name keeps its row when it left or is gone (an older word
must not bring it back).
"""

from hashlib import blake2b
from typing import NamedTuple

from lichenquay.membership.message_format import PARTS

ALIVE, SUSPECT, CUT, LEFT, GONE = range(5)
STATES = ("alive", "suspect", "cut", "left", "gone")
MAX_MEMBERS = 1_024
NEVER = float("-inf")


class Change(NamedTuple):
    """One step of the view: `old` is None for an incarnation not known before."""

    name: str
    incarnation: int
    old: str | None
    new: str
    view: int


class View(NamedTuple):
    """`number` rises with every change, here; `digest` is equal wherever the same members are held for the same (a
    suspect counts as alive: suspicion passes, and is not agreed upon)."""

    number: int
    digest: int


def rank(incarnation, word, state):
    """The larger wins. Left and gone are final for their incarnation, whatever the word, and gone is over left."""
    return (incarnation, 1, 0, state) if state >= LEFT else (incarnation, 0, word, state)


def mark(*what):
    return int.from_bytes(blake2b(repr(what).encode(), digest_size=8).digest(), "big")


class Member:
    """A name's row, and what was seen of it from here (none of which is told as its state)."""

    __slots__ = (
        "name",
        "part",
        "incarnation",
        "word",
        "state",
        "row_mark",
        "view_mark",
        "accusers",
        "since_ms",
        "sign_ms",
        "direct_ms",
        "missed",
        "later_ms",
    )

    def __init__(self, name):
        self.name, self.part = name, blake2b(name.encode(), digest_size=1).digest()[0] % PARTS
        self.state = None
        self.row_mark = self.view_mark = 0
        self.fresh(NEVER)

    def fresh(self, now_ms):
        """Another incarnation: nothing seen of the one before counts for it."""
        self.accusers = {}  # Who found it silent, by own asking; in the order heard of.
        self.since_ms = now_ms  # Its state's beginning, here.
        self.sign_ms = NEVER  # The last answer of it that anybody told us of.
        self.direct_ms = NEVER  # The last answer to us.
        self.missed = 0  # Our own pings in a row that it left without one.
        self.later_ms = NEVER  # No verdict on it before this.


class Table:
    def __init__(self):
        self.members, self.changes = {}, []
        self.suspects, self.cut = {}, {}
        self.digests = [0] * PARTS
        self.number, self.digest = 0, 0
        self._live = None

    def get(self, name):
        return self.members.get(name)

    @property
    def view(self):
        return View(self.number, self.digest)

    def live(self):
        """Names that are alive or suspect, in order; the list is kept until one comes or goes."""
        if self._live is None:
            self._live = sorted(m.name for m in self.members.values() if m.state <= SUSPECT)
        return self._live

    def full(self, name):
        return name not in self.members and len(self.members) >= MAX_MEMBERS

    def take(self, now_ms, name, incarnation, word, state):
        """Takes a row if it is the larger; True if it was."""
        m = self.members.get(name)
        if m is None:
            m = self.members[name] = Member(name)
        elif rank(incarnation, word, state) <= rank(m.incarnation, m.word, m.state):
            return False
        old = m.state
        if old is None or incarnation > m.incarnation:
            if old is not None and old < LEFT:
                self._change(name, m.incarnation, STATES[old], STATES[GONE])
            old = None
            m.fresh(now_ms)
        m.incarnation, m.word, m.state = incarnation, word if state < LEFT else 0, state
        row_mark = mark(name, incarnation, m.word, state)
        self.digests[m.part] ^= m.row_mark ^ row_mark
        view_mark = mark(name, incarnation, max(state, SUSPECT))
        self.digest ^= m.view_mark ^ view_mark
        m.row_mark, m.view_mark = row_mark, view_mark
        if state != SUSPECT:
            m.accusers = {}
        if old != state:
            m.since_ms = now_ms
            self._place(m, old)
            self._change(name, incarnation, None if old is None else STATES[old], STATES[state])
        elif state == SUSPECT:  # Accused afresh, of a higher word.
            m.accusers, m.since_ms = {}, now_ms
        return True

    def _place(self, m, old):
        if old is None or (old <= SUSPECT) != (m.state <= SUSPECT):
            self._live = None
        for state, names in ((SUSPECT, self.suspects), (CUT, self.cut)):
            if m.state == state:
                names[m.name] = m
            else:
                names.pop(m.name, None)

    def _change(self, name, incarnation, old, new):
        self.number += 1
        self.changes.append(Change(name, incarnation, old, new, self.number))

    def of_parts(self, parts, after="", until=""):
        """The members of these parts with names over `after` up to `until`, part by part and by name."""
        wanted = set(parts)
        found = [
            m
            for m in self.members.values()
            if m.part in wanted and m.name > after and (not until or m.name <= until)
        ]
        return sorted(found, key=lambda m: (m.part, m.name))
