"""What a member does with a message: its rows first, then what it asks. What is dropped is counted by its cause.

Dropped: unreadable (no kind, or parts that cannot be), range (a row or sender out of bounds), own (our own name),
older (an incarnation before the one known), final (one that left or is gone; these two are told so), full, misrouted
(meant for another), late (an answer to nothing that is under way), busy (more pings for others than we make at a
time).
"""

from lichenquay.membership import members_pb2 as pb
from lichenquay.membership.member_table import CUT, LEFT, SUSPECT
from lichenquay.membership.message_format import MAX_BY, MAX_INCARNATION, PARTS, good_name, good_row


class Hearing:
    """The part of a Watch that reads messages."""

    def _heard(self, name, incarnation, message):
        kind = message.WhichOneof("kind")
        if kind is None or not good_name(name) or not 0 < incarnation < MAX_INCARNATION:
            self.counts["unreadable" if kind is None else "range"] += 1
            return
        head = pb.Row(name=name, incarnation=incarnation, word=message.word, state=message.state)
        if name == self.name:
            self.counts["own"] += 1
            if incarnation > self.incarnation and good_row(head, incarnation):
                self._about_me(head)
            return
        m = self.table.get(name)
        if m and (incarnation < m.incarnation or (incarnation == m.incarnation and m.state >= LEFT)):
            self.counts["older" if incarnation < m.incarnation else "final"] += 1
            if kind != "leave" and message.state < LEFT:
                self.send(name, pb.Message(gossip=pb.Gossip()), [m], rumours=False)
            return
        if not self._row(head, True, incarnation):
            return
        for row in message.rows:
            self._row(row, kind != "piece")
            if self.over:
                return
        getattr(self, "_heard_" + kind)(name, getattr(message, kind), message)

    def _row(self, row, news, known=0):
        """One row; False if it is out of bounds or of a name for which there is no room."""
        m = self.table.get(row.name)
        if not good_row(row, known or (m.incarnation if m else 0)):
            self.counts["range"] += 1
            return False
        if row.name == self.name:
            self._about_me(row)
            return True
        if self.table.full(row.name):
            self.counts["full"] += 1
            return False
        took = self.table.take(self.now_ms, row.name, row.incarnation, row.word, row.state)
        m = self.table.get(row.name)
        if took and row.state in (SUSPECT, CUT):
            self._judge_at(self._deadline(m) if row.state == SUSPECT else m.since_ms + self.gone_ms)
        if took and news:
            self.spread.rumour(row.name, at_once=row.state in (SUSPECT, CUT))
        elif took:
            self.spread.soon()
        if row.state == SUSPECT == m.state and (row.incarnation, row.word) == (m.incarnation, m.word):
            self._accused(m, row, took)
        return True

    def _accused(self, m, row, first):
        """Another's accusation: one more witness; and we ask ourselves, so that who can reach it tells it, and who
        cannot says so."""
        more = [b for b in row.by if b not in m.accusers][: MAX_BY - len(m.accusers)]
        m.accusers.update(dict.fromkeys(more))
        m.sign_ms = max(m.sign_ms, self.now_ms - row.silent_ms)
        if more:
            self.spread.rumour(m.name)
            self._judge_at(self._deadline(m))
        if first and not self.leaving and self._by_lot():
            self.ask.probe(m.name, self.settings.period_ms)

    def _heard_ping(self, name, ping, _):
        if ping.name != self.name:
            self.counts["misrouted"] += 1
            return
        self.send_about(
            name, pb.Message(ack=pb.Ack(no=ping.no, name=self.name, incarnation=self.incarnation, ok=True))
        )

    def _heard_ping_ask(self, name, ask, _):
        m = self.table.get(ask.name)
        if m is None or m.state >= LEFT or ask.name in (self.name, name):
            self.counts["misrouted"] += 1
        elif not self.ask.ping_for(name, ask.no, ask.name, self.settings.period_ms / 3):
            self.counts["busy"] += 1

    def _heard_ack(self, name, ack, _):
        p, direct, ours = self.ask.acked(name, ack)
        if p is None and not ours:
            self.counts["late"] += 1
            return
        m = self.table.get(ack.name)
        if p is not None and ack.incarnation == m.incarnation:
            m.sign_ms = self.now_ms
            if direct:
                m.direct_ms, m.missed = self.now_ms, 0
            else:
                m.missed += 1
        if p is not None and p.asker is not None:
            told = pb.Ack(no=p.ask_no, name=ack.name, incarnation=ack.incarnation, ok=True)
            self.send_about(p.asker, pb.Message(ack=told), about=ack.name)
        elif p is not None:
            self.score = max(0, self.score - 1)
        self.answered_ms = self.now_ms
        self._come_back()

    def _heard_join(self, name, *_):
        self.spread.send_digests(name)

    def _heard_leave(self, *_):
        pass

    def _heard_gossip(self, *_):
        pass

    def _heard_sync(self, name, sync, _):
        if len(sync.digests) != PARTS:
            self.counts["unreadable"] += 1
            return
        self.spread.heard_digests(name, sync.digests)

    def _heard_piece(self, name, piece, message):
        if any(p >= PARTS for p in piece.parts):
            self.counts["unreadable"] += 1
            return
        self.spread.heard_piece(name, piece, message.rows)
