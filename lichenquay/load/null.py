"""A null server: answers each query at once. It shows what the generator alone can do.

    python -m lichenquay.load.null

prints its address. It stands still while it is stopped (SIGSTOP), which is how a stall is inserted.
"""

import click
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

from lichenquay.gateway import frames


class Null(Protocol):
    def __init__(self):
        self.reader = frames.FrameReader()

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):
        self.transport.write(
            b"".join(
                frames.encode_answer(stream, frames.AnswerCode.COMPLETED)
                for kind, stream, _ in self.reader.feed(data)
                if kind == frames.FrameType.QUERY
            )
        )


@click.command()
def main():
    factory = Factory.forProtocol(Null)
    factory.noisy = False
    port = reactor.listenTCP(0, factory, interface="127.0.0.1", backlog=4096)
    print(f"127.0.0.1:{port.getHost().port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
