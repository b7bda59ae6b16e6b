"""A server that completes each query at once, to measure the load generator itself.

    python -m lichenquay.load.null_server

prints its address. SIGSTOP suspends it, which simulates a stall of the server.
"""

import click
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

from lichenquay.gateway import frames

LISTEN_BACKLOG = 4096


class NullServer(Protocol):
    """A server connection that completes each query as soon as it is read."""

    def __init__(self):
        """Initializes the frame reader of the connection."""
        self.frame_reader = frames.FrameReader()

    def connectionMade(self):
        """Disables Nagle's algorithm, which delays small packets."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):
        """Completes the queries in the data."""
        answers = [
            frames.encode_answer(stream, frames.AnswerCode.COMPLETED)
            for frame_type, stream, _ in self.frame_reader.feed(data)
            if frame_type == frames.FrameType.QUERY
        ]
        self.transport.write(b"".join(answers))


@click.command()
def main():
    """Prints the listening address, and completes each query at once."""
    factory = Factory.forProtocol(NullServer)
    factory.noisy = False
    port = reactor.listenTCP(0, factory, interface="127.0.0.1", backlog=LISTEN_BACKLOG)
    print(f"127.0.0.1:{port.getHost().port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
