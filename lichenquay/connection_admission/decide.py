"""The gate's decisions, free of I/O. Times are milliseconds of one clock; a step back or a long jump only counts as none.

Asked 'a connection from this address?' it says take, take and end that one, or refuse and why; 'a query on this connection?'
likewise; 'how are we off?' it names a state. Who asks carries it out and tells what became of it.

Everything is held by an address and, at once, by its prefix. What an address holds is counted exactly while it holds anything;
of those that hold nothing, the `most_seen` last seen are remembered for their rates. One that is forgotten comes back with a full
bucket: a sender with more addresses than that can have `burst` from each, and no more connections than any other.
"""

from collections import OrderedDict
from dataclasses import dataclass
from heapq import nsmallest
from ipaddress import ip_address, ip_network

from lichenquay.connection_admission.client_accounts import (
    BUSY,
    ENDING,
    GOING,
    IDLE,
    SILENT,
    Holder,
    Line,
    Ranks,
)

# answers
TAKE, REFUSE = "take", "refuse"
# states, by what is used up
CALM, TIGHT, CRITICAL, FULL = "calm", "tight", "critical", "full"
STATES = (CALM, TIGHT, CRITICAL, FULL)
# why a refusal; each is a counter
CONNECTIONS, RATE, QUERIES, BYTES, SENSELESS, NO_ROOM, OVERLOAD, LEAVING = (
    "connections of one address",
    "new connections a second",
    "open queries of one address",
    "bytes of one address",
    "requests that make no sense",
    "no room",
    "overload",
    "leaving",
)


@dataclass(frozen=True)
class Caps:
    """Of one address, or of one prefix; 0: none."""

    connections: int = 0
    per_s: float = 0.0  # new connections; a bucket of `burst`
    burst: float = 0.0
    queries: int = 0
    held_bytes: int = 0
    senseless_per_s: float = 0.0  # requests that make no sense; a bucket of as many


@dataclass(frozen=True)
class Rules:
    most: int  # connections, those that end not counted
    most_queries: int  # open ones; 0: no bound of its own
    address: Caps = Caps()
    prefix: Caps = Caps()
    prefix4: int = 24  # bits of the wider one; IPv6: 48 over /64
    known: tuple = ()  # networks of known clients
    reserve: int = 0  # connections for them
    spare: int = 8  # connections that end, beyond `most`
    most_seen: int = 4096  # addresses and prefixes remembered that hold nothing
    quiet_ms: float = 20.0  # a client that has something to say says it by then
    again_ms: float = 1000.0  # what a refusal tells, unless its cap knows better
    up: tuple = (0.75, 0.9, 0.98)  # parts used up from which a state counts ...
    down: tuple = (0.65, 0.8, 0.92)  # ... and under which it ends, ...
    rest_ms: float = 250.0  # ... after so long
    lag_ms: float = 50.0  # turn lag that stands for this counts as all used up
    lag_window_ms: float = 200.0  # how long it must stand: the least of a window counts


def networks(texts):
    """Address ranges from text; ValueError names the one that is none."""
    return tuple(ip_network(text, strict=False) for text in texts)


@dataclass(frozen=True)
class Verdict:
    answer: str
    why: str = ""
    again_ms: float = 0.0
    end: Line = None  # a connection to be ended for it, its queries with their final answers first
    abort: Line = None  # one that ends already, to be cut off now


class Gate:
    def __init__(self, rules, now):
        self.rules, self.now = rules, now
        self.holders, self.idle_holders = (
            {},
            OrderedDict(),
        )  # by name; those that hold nothing, last seen last
        self.lines = {False: set(), True: set()}  # by known or not
        self.stand = {
            (kind, known): OrderedDict() for kind in (SILENT, IDLE, ENDING, GOING) for known in (False, True)
        }
        self.ranks = {False: Ranks(), True: Ranks()}
        self.queries = {False: 0, True: 0}
        self.asking = {
            False: OrderedDict(),
            True: OrderedDict(),
        }  # connections with open queries, who asked last last
        self.state, self.below_ms, self.lags, self.leaving, self.forgotten = CALM, now, [], False, 0
        self.refusals = {}

    def clock(self, now):
        """A clock that stands still or steps back passes no time."""
        self.now = max(self.now, now)
        return self.now

    # who

    def holder(self, address):
        """An address's holder, with its prefix behind it; known ones have no prefix, as they share none with others."""
        found = self.holders.get(address)
        if found is None:
            try:
                ip = ip_address(address)
            except ValueError:  # a local socket's: one holder for all that have no address
                ip = ip_address("127.0.0.0")
            known = any(ip.version == net.version and ip in net for net in self.rules.known)
            wide, narrow = (self.rules.prefix4, 32) if ip.version == 4 else (48, 64)
            name = address if ip.version == 4 else str(ip_network(f"{ip}/{narrow}", strict=False))
            found = self.add(name, known, self.rules.address)
            found.prefix = "" if known else str(ip_network(f"{ip}/{wide}", strict=False))
        if found.prefix and (found.wider is None or self.holders.get(found.prefix) is not found.wider):
            found.wider = self.add(
                found.prefix, False, self.rules.prefix
            )  # it was forgotten, and it held nothing
        return found

    def add(self, name, known, caps):
        found = self.holders.get(name)
        if found is None:
            found = self.holders[name] = Holder(
                name, known, tokens=caps.burst, sense=caps.senseless_per_s, at_ms=self.now
            )
            self.rest(found)
        return found

    def rest(self, holder):
        """It holds nothing: it is remembered for a while, among as many others."""
        self.idle_holders[holder.name] = holder
        self.idle_holders.move_to_end(holder.name)
        while len(self.idle_holders) > max(2, self.rules.most_seen):  # an address and its prefix at least
            name, gone = self.idle_holders.popitem(last=False)
            del self.holders[name]
            self.forgotten += 1

    def chain(self, holder):
        """(holder, caps) of an address and its prefix."""
        yield holder, self.rules.address
        if holder.wider is not None:
            yield holder.wider, self.rules.prefix

    # a connection

    def arrives(self, address, now):
        """A connection from this address: taken or not. If taken, `opened` follows at once."""
        now, holder = self.clock(now), self.holder(address)
        if self.leaving:
            return self.refuse(LEAVING)
        for h, caps in self.chain(holder):
            h.fill(now, caps)
            if caps.connections and h.count >= caps.connections:
                return self.refuse(CONNECTIONS)
            if caps.per_s and h.tokens < 1:
                return self.refuse(RATE, 1000 * (1 - h.tokens) / caps.per_s)
        if not holder.known and self.state == FULL:
            return self.refuse(OVERLOAD)
        lines, full, end, abort = len(self.lines[True]) + len(self.lines[False]), self.is_full(), None, None
        if lines >= self.rules.most + self.rules.spare:
            abort = next(iter(self.stand[GOING, False]), None) or next(iter(self.stand[GOING, True]), None)
        if full:
            end = self.victim(holder, now)
        if full and end is None or lines >= self.rules.most + self.rules.spare and abort is None:
            return self.refuse(NO_ROOM)
        for h, caps in self.chain(holder):
            h.tokens -= 1 if caps.per_s else 0
        return Verdict(TAKE, end=end, abort=abort)

    def is_full(self):
        """Whether all places are taken; what ends has none any more."""
        ending = sum(len(self.stand[kind, known]) for kind in (ENDING, GOING) for known in (True, False))
        return len(self.lines[True]) + len(self.lines[False]) - ending >= self.rules.most

    def soon(self, now):
        """Whether room is likely to come within `quiet_ms`: some have not yet had their time to speak."""
        now = self.clock(now)
        first = [next(iter(self.stand[kind, False]), None) for kind in (SILENT, IDLE)]
        return any(x is not None and now - x.since_ms < self.rules.quiet_ms for x in first)

    def victim(self, holder, now):
        """Which connection gives way to one of this holder, if any: one that never said a thing, the
        longest idle, then one with queries of whoever holds most and at least two more than it: the one with the youngest.
        Known clients give way to known ones alone, and unknown to known always: the reserve is only lent."""
        sides = (False, True) if holder.known else (False,)
        for known in sides:
            for kind in (SILENT, IDLE):
                line = next(iter(self.stand[kind, known]), None)
                if line is not None and now - line.since_ms >= self.rules.quiet_ms:
                    return line
            most = self.ranks[known].most()
            if (
                most is not None
                and most is not holder
                and (known < holder.known or most.active > holder.active + 1)
            ):
                return next(x for x in reversed(most.lines) if x.stands not in (ENDING, GOING))
        return None

    def opened(self, address, now, what=None):
        holder = self.holder(address)
        line = Line(holder, SILENT, self.clock(now), what=what)
        self.lines[holder.known].add(line)
        self.stand[SILENT, holder.known][line] = True
        holder.lines[line] = True
        self.count(holder, 1)
        self.activate(holder, 1)
        return line

    def count(self, holder, by):
        for h, _ in self.chain(holder):
            h.count += by
            self.settle(h)

    def activate(self, holder, by):
        self.ranks[holder.known].move(holder, holder.active, holder.active + by)
        holder.active += by

    def settle(self, h):
        """Whether it holds something, and so must be kept."""
        if h.count or h.queries or h.held:
            self.idle_holders.pop(h.name, None)
        elif h.name not in self.idle_holders:
            self.rest(h)

    def stands(self, line, kind, now):
        known = line.holder.known
        if line.stands != BUSY:
            self.stand[line.stands, known].pop(line, None)
        line.stands, line.since_ms = kind, self.clock(now)
        if kind != BUSY:
            self.stand[kind, known][line] = True

    def spoke(self, line, now):
        """A whole frame came on it."""
        if line.stands in (SILENT, IDLE):
            self.stands(line, IDLE, now)

    def goes(self, line, now):
        """It is being ended: once its queries have their final answers, if it has any."""
        if line.stands not in (ENDING, GOING):
            self.stands(line, ENDING if line.queries else GOING, now)
            self.activate(line.holder, -1)

    def closed(self, line, now):
        holder = line.holder
        if line not in self.lines[holder.known]:
            return
        while line.queries:
            self.answered(line, now)
        self.holds(line, -line.held)
        self.lines[holder.known].discard(line)
        if line.stands not in (ENDING, GOING):
            self.activate(holder, -1)
        if line.stands != BUSY:
            self.stand[line.stands, holder.known].pop(line, None)
        holder.lines.pop(line, None)
        self.clock(now)
        self.count(holder, -1)

    # queries

    def asks(self, line, size, now):
        """A query of `size` bytes on this connection."""
        now, holder = self.clock(now), line.holder
        for h, caps in self.chain(holder):
            if caps.queries and h.queries >= caps.queries:
                return self.refuse(QUERIES)
            if caps.held_bytes and h.held + size > caps.held_bytes:
                return self.refuse(BYTES)
        total, most, known = self.queries[True] + self.queries[False], self.rules.most_queries, holder.known
        if not known and (self.state == FULL or self.state == CRITICAL and holder.queries >= self.share()):
            return self.refuse(OVERLOAD)
        if most and total >= most:
            end = self.gives_way(holder)
            return self.refuse(NO_ROOM) if end is None else Verdict(TAKE, end=end)
        return Verdict(TAKE)

    def share(self):
        """A fair share of the open queries among the addresses that hold connections."""
        holders = sum(len(g) for ranks in self.ranks.values() for g in ranks.by.values())
        return max(1, (self.queries[True] + self.queries[False]) // max(1, holders))

    def gives_way(self, holder):
        """Whose youngest query gives way to one of this holder: the unknown client's that asked last, to known ones alone."""
        return next(reversed(self.asking[False]), None) if holder.known else None

    def asked(self, line, now):
        """A query was taken on it."""
        line.queries += 1
        self.queries[line.holder.known] += 1
        for h, _ in self.chain(line.holder):
            h.queries += 1
            self.settle(h)
        line.holder.lines.move_to_end(line)
        self.asking[line.holder.known][line] = True
        self.asking[line.holder.known].move_to_end(line)
        self.stands(line, ENDING if line.stands in (ENDING, GOING) else BUSY, now)

    def answered(self, line, now):
        """One of its queries has its final answer, or was left."""
        if not line.queries:
            return
        line.queries -= 1
        if not line.queries:
            del self.asking[line.holder.known][line]
        self.queries[line.holder.known] -= 1
        for h, _ in self.chain(line.holder):
            h.queries -= 1
            self.settle(h)
        if not line.queries and line.stands in (BUSY, ENDING):
            self.stands(line, IDLE if line.stands == BUSY else GOING, now)

    def holds(self, line, more):
        """It makes us hold so many bytes more, or less. What is closed holds nothing any more."""
        if line not in self.lines[line.holder.known]:
            return
        line.held += more
        for h, _ in self.chain(line.holder):
            h.held += more
            self.settle(h)

    def senseless(self, line, now):
        """A request on it made no sense: True if the connection has to end."""
        now = self.clock(now)
        for h, caps in self.chain(line.holder):
            if caps.senseless_per_s:
                h.fill(now, caps)
                h.sense -= 1
                if h.sense < 0:
                    self.note(SENSELESS)
                    return True
        return False

    # how we are off

    def measured(self, used, lag, now):
        """`used`: the largest part used up of descriptors, memory and the like; `lag`: how late a turn came, ms."""
        now, r = self.clock(now), self.rules
        self.lags = [(at, x) for at, x in self.lags if at > now - r.lag_window_ms][-63:] + [(now, lag)]
        stands = min(x for _, x in self.lags) if self.lags[0][0] <= now - r.lag_window_ms / 2 else 0.0
        used, at = max(used, stands / r.lag_ms if r.lag_ms else 0.0), STATES.index(self.state)
        rises = sum(used >= part for part in r.up)
        if rises > at:
            self.state, self.below_ms = STATES[rises], now
        elif at and used < r.down[at - 1]:
            if now - self.below_ms >= r.rest_ms:
                self.state, self.below_ms = STATES[at - 1], now
        else:
            self.below_ms = now
        return self.state

    def refuse(self, why, again_ms=None):
        self.note(why)
        return Verdict(REFUSE, why, self.rules.again_ms if again_ms is None else again_ms)

    def note(self, why):
        self.refusals[why] = self.refusals.get(why, 0) + 1

    def change(self, rules):
        """New rules: what is open stays open, and counts by them from now on."""
        self.rules = rules

    def top(self, n):
        """(name, known, connections, queries, bytes) of the addresses that hold most connections."""
        found = (
            (h.name, h.known, h.count, h.queries, h.held)
            for ranks in self.ranks.values()
            for g in ranks.by.values()
            for h in g
        )
        return nsmallest(n, found, key=lambda x: (-x[2], x[0]))
