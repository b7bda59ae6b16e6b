"""A loopback TCP server that parses HTTP requests and writes replies; subclasses decide the replies."""

import time

import h11
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol


def now_ms():
    """Returns the monotonic clock's time in ms."""
    return time.monotonic() * 1000


class HttpConnection(Protocol):
    """One connection. Passes complete requests to `server.on_message(connection, method, path, headers,
    body)`, one at a time.
    """

    def __init__(self, server):
        """Parses requests for `server`."""
        self.server, self.http, self.request, self.body = server, h11.Connection(h11.SERVER), None, b""

    def connectionMade(self):
        """Registers the connection with its server."""
        self.transport.setTcpNoDelay(True)
        self.server.connections.add(self)

    def connectionLost(self, reason):
        """Removes the connection from its server."""
        self.server.connections.discard(self)

    def dataReceived(self, data):
        """Parses received bytes; resets the connection on malformed HTTP."""
        try:
            self.http.receive_data(data)
            self.read_requests()
        except h11.RemoteProtocolError:
            self.transport.abortConnection()

    def read_requests(self):
        """Passes on each request that is complete."""
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                self.request, self.body = event, b""
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                headers = {name.decode(): value.decode("latin-1") for name, value in self.request.headers}
                self.server.on_message(
                    self, self.request.method.decode(), self.request.target.decode(), headers, self.body
                )
            else:
                return

    def answer(self, status, headers=(), body=b""):
        """Writes a reply, unless the connection is closed or awaits none; then reads the next request or
        closes.
        """
        if not self.transport.connected or self.http.our_state is not h11.SEND_RESPONSE:
            return
        headers = [*headers, *([] if status == 204 else [("Content-Length", str(len(body)))])]
        data = self.http.send(h11.Response(status_code=status, headers=headers, reason=b"-"))
        if body:
            data += self.http.send(h11.Data(data=body))
        self.transport.write(data + self.http.send(h11.EndOfMessage()))
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
            self.read_requests()
        else:
            self.transport.loseConnection()


class HttpServer(Factory):
    """A TCP server on loopback; tracks its open connections."""

    noisy = False

    def __init__(self, port=0):
        """Listens on `port` of 127.0.0.1; 0 picks a free one."""
        self.connections = set()
        self.port = reactor.listenTCP(port, self, interface="127.0.0.1", backlog=1024)
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def buildProtocol(self, address):
        """Returns the protocol of a new connection."""
        return HttpConnection(self)

    def close(self):
        """Resets all connections, as when a process dies, and stops listening; returns a Deferred."""
        for connection in list(self.connections):
            connection.transport.abortConnection()
        return self.port.stopListening()
