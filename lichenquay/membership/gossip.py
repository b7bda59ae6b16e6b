"""How rows get about: rumours on every message and in rounds of their own, and a comparison of tables with one member
at a time.

Work: a rumour goes out at most `3 log2(members)` times from here; a round sends to `FANOUT` members every `period / 5`
while there are rumours, and is silent otherwise. A comparison sends 32 digests; parts that differ go in at most
`MAX_PIECES` messages each way.
"""

from heapq import nsmallest
from math import ceil, log2

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.member_table import rank
from lichenquay.membership.message_format import MAX_BODY, PARTS, checked, fill

FANOUT = 3
MAX_PIECES = 16
MAX_PARTS_AT_ONCE = 8
MOST_ROWS = 40  # A row is 25 bytes or more.


class Spread:
    def __init__(self, watch):
        self.watch, self.table, self.rng = watch, watch.table, watch.rng
        self.rumours = {}  # name -> times sent
        self.round_ms = float("inf")
        self.sync_ms = float("inf")

    @property
    def due_ms(self):
        return min(self.round_ms, self.sync_ms)

    def rumour(self, name, at_once=True):
        """This name's row is news: it is passed on, from now or from the next round."""
        self.rumours[name] = 0
        gap = 0 if at_once else self.watch.settings.period_ms / 5
        self.round_ms = min(self.round_ms, self.watch.now_ms + gap)

    def dress(self, message, first=(), rumours=True):
        """Adds the sender's own row to a message, the rows that it must carry, and rumours as far as it bears them."""
        own = self.watch.own
        message.word, message.state = own.word, own.state
        rows = [self.watch.row(m) for m in first]
        fill(message, rows)
        if rumours and self.rumours:
            said = {m.name for m in first}
            said.add(own.name)
            often = 3 * ceil(log2(len(self.table.live()) + 2))
            names = [n for n in nsmallest(MOST_ROWS, self.rumours, key=self.rumours.get) if n not in said]
            took = fill(message, [self.watch.row(self.table.get(n)) for n in names])
            for name in names[:took]:
                self.rumours[name] += 1
                if self.rumours[name] >= often:
                    del self.rumours[name]
        return checked(message)

    def round(self, now_ms):
        """Tells some members what is news. Our own row rides on every message, so it counts a round, not a message."""
        own = self.watch.own.name
        for name in self.watch.some(FANOUT):
            self.watch.send(name, pb.Message(gossip=pb.Gossip()))
        if own in self.rumours:
            self.rumours[own] += FANOUT
            if self.rumours[own] >= 3 * ceil(log2(len(self.table.live()) + 2)):
                del self.rumours[own]
        self.round_ms = (
            now_ms + self.watch.jitter(self.watch.settings.period_ms / 5) if self.rumours else float("inf")
        )

    # --- the comparison of tables

    def sync(self, now_ms):
        for name in self.watch.some(1):
            self.send_digests(name)
        self.sync_ms = now_ms + self.watch.jitter(self.watch.settings.sync_ms)

    def soon(self):
        """Tables differed: compare again within a period, until none differs."""
        self.sync_ms = min(self.sync_ms, self.watch.now_ms + self.watch.jitter(self.watch.settings.period_ms))

    def send_digests(self, name):
        self.watch.send(name, pb.Message(sync=pb.Sync(digests=self.table.digests)), rumours=False)

    def heard_digests(self, sender, digests):
        parts = [p for p in range(PARTS) if digests[p] != self.table.digests[p]]
        if not parts:
            return
        self.soon()
        parts = sorted(self.rng.sample(parts, min(len(parts), MAX_PARTS_AT_ONCE)))
        self._send_parts(sender, parts)

    def _send_parts(self, sender, parts):
        """All our rows of these parts, whole parts to a message where they fit, else a part in stretches of names."""
        sent, piece, rows, room = 0, [], [], MAX_BODY - 120

        def out(parts, rows, after="", until=""):
            message = pb.Message(piece=pb.Piece(parts=parts, after=after, until=until))
            message.rows.extend(rows)
            self.watch.send(sender, message, rumours=False)

        for part in parts:
            own = [self.watch.row(m, bare=True) for m in self.table.of_parts((part,))]
            size = sum(r.ByteSize() + 3 for r in own)
            if size > room and piece:
                out(piece, rows)
                sent, piece, rows, room = sent + 1, [], [], MAX_BODY - 120
            if sent >= MAX_PIECES:
                return
            if size <= room:
                piece, rows, room = piece + [part], rows + own, room - size
                continue
            sent += self._send_stretches(part, own, MAX_PIECES - sent, out)
        if piece and sent < MAX_PIECES:
            out(piece, rows)

    def _send_stretches(self, part, own, most, out):
        after, at, sent = "", 0, 0
        while at < len(own) and sent < most:
            room, to = MAX_BODY - 220, at
            while to < len(own) and room >= own[to].ByteSize() + 3:
                room -= own[to].ByteSize() + 3
                to += 1
            until = own[to - 1].name if to < len(own) else ""
            out([part], own[at:to], after, until)
            after, at, sent = until, to, sent + 1
        return sent

    def heard_piece(self, sender, piece, rows):
        """What the sender lacks or holds older goes back, unasked for a third time (`back`)."""
        if piece.back:
            return
        theirs = {r.name: rank(r.incarnation, r.word, r.state) for r in rows}
        news = [
            m
            for m in self.table.of_parts(piece.parts, piece.after, piece.until)
            if m.name not in theirs or theirs[m.name] < rank(m.incarnation, m.word, m.state)
        ]
        for _ in range(MAX_PIECES):
            if not news:
                break
            message = pb.Message(piece=pb.Piece(back=True))
            message.word, message.state = self.watch.own.word, self.watch.own.state
            took = fill(message, (self.watch.row(m, bare=True) for m in news))
            self.watch.send(sender, message, rumours=False)
            news = news[took:]
