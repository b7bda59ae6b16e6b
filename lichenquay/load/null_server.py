"""A null server: it answers each query at once, and so shows what the generator alone can do.

    python -m lichenquay.load.null_server

prints its address. It is suspended by SIGSTOP, which is how a stall is inserted.
"""

import click
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

from lichenquay.gateway import frames

LISTEN_BACKLOG = 4096


class NullServer(Protocol):
    """A connection that completes each query as soon as it is read."""

    def __init__(self):
        """Creates the connection's own frame reader."""
        self.frame_reader = frames.FrameReader()

    def connectionMade(self):
        """Turns off delays of small packets."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):
        """Answers the queries in the data."""
        answers = [
            frames.encode_answer(stream, frames.AnswerCode.COMPLETED)
            for frame_type, stream, _ in self.frame_reader.feed(data)
            if frame_type == frames.FrameType.QUERY
        ]
        self.transport.write(b"".join(answers))


@click.command()
def main():
    """Answers every query at once; prints the address that it listens on."""
    factory = Factory.forProtocol(NullServer)
    factory.noisy = False
    port = reactor.listenTCP(0, factory, interface="127.0.0.1", backlog=LISTEN_BACKLOG)
    print(f"127.0.0.1:{port.getHost().port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
