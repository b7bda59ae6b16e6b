"""The bulletin: the list of engines as numbered events, followed over HTTP (the operators' PROTOCOL)."""

import json

from twisted.internet.protocol import ClientFactory, Protocol

from lichenquay.admission import domain
from lichenquay.endpoint_record import EndpointRecord
from lichenquay.gateway.http import BadReply, ReplyReader, request

PATIENCE_MS = 1000  # of one call; PROTOCOL allows 5,000: shorter, a half-open connection shows sooner
FIRST_PATIENCE_MS = 1  # of the calls until one is answered: what is known from before is in doubt till then
SILENT_MS = PATIENCE_MS + 500  # well within the 7 s after which an event counts as told (PROTOCOL, 'Figures')
AGAIN_MS = 100  # between calls that bring nothing
STATES = {
    "SERVING": domain.EndpointState.SERVING,
    "DRAINING": domain.EndpointState.DRAINING,
    "DELETED": domain.EndpointState.REMOVED,
}


class BadList(ValueError):
    """An event that cannot be read; the text says why."""


def read_rows(item):
    """(whole list or not, [EndpointRecord]) of one event."""
    try:
        roster, rows = item["roster"], []
        for t in roster["targets"]:
            host, _, port = t["endpoint"].rpartition(":")
            if t["state"] not in STATES or not host or not 0 < int(port) < 65536:
                raise BadList(f"an engine in no known state or place: {t['uid']!r}")
            rows.append(
                EndpointRecord(
                    str(t["uid"]),
                    f"{host}:{int(port)}",
                    str(t.get("az", "")),
                    str(t.get("model", "")),
                    int(t.get("pod_group") or 0),
                    STATES[t["state"]],
                    float(t.get("capacity_hint", 1.0)),
                    float(t.get("boot_ms") or 0),
                )
            )
        return bool(roster["all"]), rows
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as bad:
        raise BadList(f"an event that cannot be read: {bad}") from None


def read_events(told, after=0):
    """The number of the last event, and the events after one of them, in turn."""
    try:
        items = [(int(item["no"]), *read_rows(item)) for item in told["items"] if int(item["no"]) > after]
        last = int(told["no"])
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as bad:
        raise BadList(f"an answer that cannot be read: {bad}") from None
    if [no for no, *_ in items] != sorted(no for no, *_ in items):
        raise BadList("events go back")
    return last, items


class Discovery:
    """What has been told so far, and who wants to know: `news(whole, rows)`, and `confirmed()` once the bulletin itself has
    answered since this front started."""

    def __init__(self, known, news, log, confirmed=lambda: None):
        self.no, self.news, self.log, self.confirmed, self.answered = 0, news, log, confirmed, False
        self.follow(known)

    def heard(self, told):
        """An answer of the bulletin itself: what it has told by now is all known."""
        self.follow(told)
        self.confirm()

    def confirm(self):
        """What is in force was told since this front started."""
        if not self.answered:
            self.answered = True
            self.confirmed()

    def follow(self, told):
        """An answer of the bulletin, or what was known at start: all of its events, or none of them."""
        last, items = read_events(told, self.no)
        if last < self.no:
            raise BadList(f"events go back: {last} after {self.no}")
        for no, whole, rows in items:
            self.news(whole, rows)
        self.no = max([last] + [no for no, *_ in items])


class DiscoveryConnection(Protocol):
    """One connection to the bulletin; calls follow each other on it."""

    def __init__(self, factory):
        self.factory, self.reader, self.timer = factory, ReplyReader(), None
        self.asked_s, self.patience_ms = 0.0, PATIENCE_MS  # of its call

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        self.ask()

    def stop_timer(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def ask(self):
        self.stop_timer()
        self.patience_ms = PATIENCE_MS if self.factory.discovery.answered else FIRST_PATIENCE_MS
        path = f"/bulletins?after={self.factory.discovery.no}&patience={self.patience_ms}"
        self.asked_s = self.factory.reactor.seconds()
        self.timer = self.factory.reactor.callLater(SILENT_MS / 1000, self.transport.abortConnection)
        self.transport.write(request("GET", path, self.factory.host))

    def dataReceived(self, data):
        if self.factory.stopped:
            return
        try:
            reply = self.reader.feed(data)
            if reply is None:
                return
            if reply.status != 200:
                raise BadReply(f"status {reply.status}")
            before = self.factory.discovery.no
            self.factory.discovery.heard(json.loads(bytes(reply.body)))
        except (BadReply, ValueError, RecursionError) as bad:
            self.factory.discovery.log("bulletin", f"bulletin: {bad}; the list stays as it was")
            return self.transport.abortConnection()
        if not reply.keep:
            self.transport.loseConnection()
        elif (
            before == self.factory.discovery.no
            and self.factory.reactor.seconds() - self.asked_s < self.least_s()
        ):
            # Risk: a bulletin that answers at once with nothing new keeps the front busy with nothing else.
            self.stop_timer()
            self.timer = self.factory.reactor.callLater(AGAIN_MS / 1000, self.ask)
        else:
            self.ask()

    def least_s(self):
        """An answer that comes sooner than this brings something, or its bulletin does not wait as it was asked to."""
        return min(AGAIN_MS, self.patience_ms) / 1000

    def connectionLost(self, reason):
        self.stop_timer()


class DiscoveryFactory(ClientFactory):
    """Connects again at once, or after a short pause where the last connection brought nothing.
    Risk: a drain is told while the front waits to connect again."""

    noisy = False

    def __init__(self, reactor, discovery, host, port, connect_ms):
        self.reactor, self.discovery, self.host, self.up_s, self.stopped = (
            reactor,
            discovery,
            f"{host}:{port}",
            0.0,
            False,
        )
        self.connector = reactor.connectTCP(host, port, self, timeout=connect_ms / 1000)

    def stop(self):
        """The bulletin is elsewhere by now: nothing more is asked or heard here."""
        self.stopped = True
        self.connector.disconnect()

    def buildProtocol(self, address):
        self.up_s = self.reactor.seconds()
        return DiscoveryConnection(self)

    def clientConnectionLost(self, connector, reason):
        if self.reactor.seconds() - self.up_s < AGAIN_MS / 1000:
            self.clientConnectionFailed(connector, reason)
        else:
            self.again(connector)

    def clientConnectionFailed(self, connector, reason):
        self.reactor.callLater(AGAIN_MS / 1000, self.again, connector)

    def again(self, connector):
        if not self.stopped:
            connector.connect()
