"""What listens on loopback and speaks HTTP: whole calls in, answers out. No part of it knows what is asked."""

import time

import h11
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol


def now_ms():
    return time.monotonic() * 1000


class HttpLine(Protocol):
    """One connection: whole calls go to `host.on_message(line, verb, path, headers, body)`, one at a time."""

    def __init__(self, host):
        self.host, self.http, self.request, self.body = host, h11.Connection(h11.SERVER), None, b""

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.host.lines.add(self)

    def connectionLost(self, reason):
        self.host.lines.discard(self)

    def dataReceived(self, data):
        try:
            self.http.receive_data(data)
            self.read()
        except h11.RemoteProtocolError:
            self.transport.abortConnection()

    def read(self):
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                self.request, self.body = event, b""
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                headers = {n.decode(): v.decode("latin-1") for n, v in self.request.headers}
                self.host.on_message(
                    self, self.request.method.decode(), self.request.target.decode(), headers, self.body
                )
            else:
                return

    def answer(self, status, headers=(), body=b""):
        if not self.transport.connected or self.http.our_state is not h11.SEND_RESPONSE:
            return
        headers = [*headers, *([] if status == 204 else [("Content-Length", str(len(body)))])]
        data = self.http.send(h11.Response(status_code=status, headers=headers, reason=b"-"))
        if body:
            data += self.http.send(h11.Data(data=body))
        self.transport.write(data + self.http.send(h11.EndOfMessage()))
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
            self.read()
        else:
            self.transport.loseConnection()


class Host(Factory):
    """Something that listens on loopback."""

    noisy = False

    def __init__(self, port=0):
        self.lines = set()
        self.port = reactor.listenTCP(port, self, interface="127.0.0.1", backlog=1024)
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def buildProtocol(self, address):
        return HttpLine(self)

    def close(self):
        """As a process that dies: its connections are reset."""
        for line in list(self.lines):
            line.transport.abortConnection()
        return self.port.stopListening()
