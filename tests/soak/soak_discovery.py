"""The discovery service of a soak run, with faults; records when an event counts as told."""

import time

from loopback import StandInDiscovery
from twisted.internet import reactor

MAX_TOLD_DELAY_S = 7.0  # PROTOCOL: an event counts as told after at most this time


class SoakDiscovery(StandInDiscovery):
    """A discovery service with faults.

    An event counts as told once it is on the list (PROTOCOL). While the open polls are never answered, or are
    answered late, it counts as told when the gateway asks again or the answer is written, at the latest after
    `MAX_TOLD_DELAY_S` (LATER, 'Bad peers').

    delay_s: before each answer. lost_polls: polls that are never answered.
    """

    def __init__(self, history):
        """Starts without events and without faults."""
        super().__init__()
        self.history = history
        self.delay_s = 0.0
        self.lost_polls = 0
        self._untold = []  # (engine, since) of drains that are on the list and do not count as told yet
        self._has_lost_poll = False

    # Faults

    def be_silent(self, seconds):
        """Answers nothing for this long, also not what was asked before."""
        self.is_silent = True
        self.lose_open_polls()
        reactor.callLater(seconds, setattr, self, "is_silent", False)

    def lose_open_polls(self):
        """Never answers the polls that are open now; the connections stay open."""
        self.lost_polls += len(self.waiting_polls)
        self._has_lost_poll = self._has_lost_poll or bool(self.waiting_polls)
        self.waiting_polls = []

    def be_slow(self, seconds, delay_s):
        """Answers each poll this much later, for some seconds."""
        self.delay_s = delay_s
        reactor.callLater(seconds, setattr, self, "delay_s", 0.0)

    def refuse(self, seconds):
        """Closes all connections and refuses new ones for this long."""
        port = int(self.address.rpartition(":")[2])
        self.port.stopListening()
        self.waiting_polls = []
        self._has_lost_poll = True
        for connection in list(self.connections):
            connection.transport.abortConnection()
        reactor.callLater(seconds, self._listen, port)

    def _listen(self, port):
        self.port = reactor.listenTCP(port, self, interface="127.0.0.1")

    # Polls

    def on_request(self, connection, verb, path, headers, body):
        """Answers a poll; with it, the gateway asks again, and all that is on the list counts as told.

        A service that answers nobody tells nothing, whoever asks.
        """
        self._has_lost_poll = self.is_silent
        if not self.is_silent:
            self._tell_all()
        if self.delay_s:
            reactor.callLater(self.delay_s, self._answer_late, connection, verb, path, headers, body)
        else:
            super().on_request(connection, verb, path, headers, body)

    def _answer_late(self, connection, *request):
        if connection.transport.connected:
            super().on_request(connection, *request)

    def events_after(self, after):
        """Returns the answer to a poll; its events count as told."""
        self._tell_all()
        return super().events_after(after)

    def add_event(self, *rows, whole=False):
        """Adds an event, and notes when the drains in it count as told."""
        now_s = time.monotonic()
        for row in rows:
            if row["state"] == "SERVING":
                continue
            if self._has_lost_poll or self.is_silent or self.delay_s:
                self._untold.append((row["uid"], now_s))
                reactor.callLater(MAX_TOLD_DELAY_S, self._tell_all)
            else:
                self._tell(row["uid"])
        super().add_event(*rows, whole=whole)

    def _tell(self, uid):
        self.history.drained_s.setdefault(uid, time.monotonic())
        self.history.note(f"drain of {uid} counts as told")

    def _tell_all(self):
        untold = self._untold
        self._untold = []
        for uid, _ in untold:
            self._tell(uid)
