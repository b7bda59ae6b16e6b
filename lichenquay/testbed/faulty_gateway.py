"""A front that breaks one rule on purpose, so that the audit can be seen to find it.

    BALANCER_CONFIG=... python -m lichenquay.testbed.faulty_gateway FAULT

It sends each query to an engine in turn and passes on the result; FAULT says what it does wrong. Never for use.
"""

import json
import os

import click
from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.protocol import ClientCreator, Factory, Protocol

from lichenquay.gateway import engine_protocol, frames, http

FAULTS = (
    "none",
    "silent",
    "twice",
    "late",
    "rows",
    "runs twice",
    "copies",
    "ignores drains",
    "one engine",
    "makes up",
    "strange",
)


class EngineCall(Protocol):
    """One call on a connection of its own."""

    def __init__(self):
        self.reader, self.done = http.ReplyReader(), Deferred()

    def dataReceived(self, data):
        reply = self.reader.feed(data)
        if reply is not None:
            reply.body = bytes(reply.body)
            self.transport.loseConnection()
            done, self.done = self.done, None
            done.callback(reply)

    def connectionLost(self, reason):
        if self.done is not None:
            self.done.errback(reason)


@inlineCallbacks
def call(address, data):
    host, _, port = address.rpartition(":")
    line = yield ClientCreator(reactor, EngineCall).connectTCP(host, int(port), timeout=1)
    line.transport.write(data)
    return (yield line.done)


class BadFront(Factory):
    noisy = False

    def __init__(self, config, fault):
        self.fault, self.turn, self.groups = fault, 0, {c["name"]: c for c in config["settings"]["classes"]}
        self.engines = {}
        self.bulletin, self.no = config["bulletin"], 0
        self.take(config["known"])
        self.follow()

    def take(self, told):
        for item in told["items"]:
            for row in item["roster"]["targets"]:
                if row["state"] == "SERVING":
                    self.engines[row["uid"]] = row["endpoint"]
                elif self.fault != "ignores drains":
                    self.engines.pop(row["uid"], None)
        self.no = told["no"]

    @inlineCallbacks
    def follow(self):
        while True:
            try:
                reply = yield call(
                    self.bulletin,
                    http.encode_request("GET", f"/bulletins?after={self.no}&patience=1000", "b"),
                )
                self.take(json.loads(reply.body))
            except Exception:
                yield wait(0.05)

    def pick(self):
        self.turn += 1
        uids = sorted(self.engines)
        return self.engines[uids[-1] if self.fault == "one engine" else uids[self.turn % len(uids)]]

    def buildProtocol(self, address):
        return BadLine(self)

    @inlineCallbacks
    def serve(self, line, stream, request, statement):
        group = self.groups[request.group]
        bad = self.turn % 10 == 5
        if bad and self.fault == "silent":
            self.turn += 1
            return
        if bad and self.fault == "makes up":
            self.turn += 1
            return line.transport.write(
                frames.encode_answer(stream, frames.AnswerCode.COMPLETED, b"1\ta\tb\n")
            )
        address = self.pick()
        try:
            if bad and self.fault == "copies":
                self.run(self.pick(), request, statement).addErrback(lambda _: None)
            result = yield self.run(address, request, statement)
            if bad and self.fault == "runs twice" and group["effect"] == "unsafe":
                result = yield self.run(self.pick(), request, statement)
        except Exception:
            result = None
        if bad and self.fault == "late":
            yield wait(group["deadline_us"] / 1e6 + 0.2)
        if result is None:
            return line.transport.write(frames.encode_answer(stream, frames.AnswerCode.FAILED, b"no"))
        if bad and self.fault == "rows":
            result = result[:-1] + b"x\n" + result[-8:]
        answer = frames.encode_answer(stream, frames.AnswerCode.COMPLETED, result)
        if bad and self.fault == "strange":
            answer += frames.encode_answer(stream + 90_000, frames.AnswerCode.COMPLETED, result)
        line.transport.write(answer * (2 if bad and self.fault == "twice" else 1))

    @inlineCallbacks
    def run(self, address, request, statement):
        reply = yield call(
            address,
            engine_protocol.encode_start("e", request.request_id, request.group, 4000, 0, None, statement),
        )
        while reply.status == 202:
            reply = yield call(address, engine_protocol.encode_page("e", request.request_id, 0))
        if reply.status != 200:
            return None
        pages = [reply.body]
        for n in range(1, engine_protocol.page_count(reply)):
            page = yield call(address, engine_protocol.encode_page("e", request.request_id, n))
            pages.append(page.body)
        return b"".join(pages)


def wait(seconds):
    done = Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done


class BadLine(Protocol):
    def __init__(self, front):
        self.front, self.reader = front, frames.FrameReader()

    def dataReceived(self, data):
        for kind, stream, payload in self.reader.feed(data):
            if kind == frames.FrameType.QUERY:
                request = frames.read_query(bytes(payload))
                self.front.serve(self, stream, request, bytes(request.statement))


@click.command()
@click.argument("fault", type=click.Choice(FAULTS))
def main(fault):
    with open(os.environ["BALANCER_CONFIG"], encoding="utf-8") as file:
        config = json.load(file)
    host, _, port = config["listen"].rpartition(":")
    reactor.listenTCP(int(port), BadFront(config, fault), interface=host)
    reactor.run()


if __name__ == "__main__":
    main()
