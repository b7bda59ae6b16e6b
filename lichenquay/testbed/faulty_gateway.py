"""A gateway that breaks one rule on purpose, to test that the audit finds it. Not for service.

    BALANCER_CONFIG=... python -m lichenquay.testbed.faulty_gateway FAULT

It sends each query to the next engine in turn and returns the result; FAULT selects the rule that it breaks.
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
    """One HTTP request on a connection of its own; `result` fires with the reply."""

    def __init__(self):
        """Waits for a reply."""
        self.reader, self.result = http.ReplyReader(), Deferred()

    def dataReceived(self, data):
        """Fires the result once the reply is complete, and closes the connection."""
        reply = self.reader.feed(data)
        if reply is not None:
            reply.body = bytes(reply.body)
            self.transport.loseConnection()
            done, self.result = self.result, None
            done.callback(reply)

    def connectionLost(self, reason):
        """Fails the result if the reply is not complete."""
        if self.result is not None:
            self.result.errback(reason)


@inlineCallbacks
def send_request(address, data):
    """Sends a request to an address and returns its reply."""
    host, _, port = address.rpartition(":")
    connection = yield ClientCreator(reactor, EngineCall).connectTCP(host, int(port), timeout=1)
    connection.transport.write(data)
    return (yield connection.result)


class FaultyGateway(Factory):
    """Forwards queries to engines and commits one fault."""

    noisy = False

    def __init__(self, config, fault):
        """Reads the gateway configuration and starts to poll the endpoint list."""
        self.fault, self.pick_count, self.groups = (
            fault,
            0,
            {group["name"]: group for group in config["settings"]["classes"]},
        )
        self.engines = {}
        self.endpoint_list_address, self.event_number = config["bulletin"], 0
        self.apply_events(config["known"])
        self.poll_endpoint_list()

    def apply_events(self, events):
        """Applies watch events to the set of engines; one fault ignores drains."""
        for event in events["items"]:
            for row in event["roster"]["targets"]:
                if row["state"] == "SERVING":
                    self.engines[row["uid"]] = row["endpoint"]
                elif self.fault != "ignores drains":
                    self.engines.pop(row["uid"], None)
        self.event_number = events["no"]

    @inlineCallbacks
    def poll_endpoint_list(self):
        """Polls the endpoint list forever; retries 50 ms after an error."""
        while True:
            try:
                reply = yield send_request(
                    self.endpoint_list_address,
                    http.encode_request("GET", f"/bulletins?after={self.event_number}&patience=1000", "b"),
                )
                self.apply_events(json.loads(reply.body))
            except Exception:
                yield sleep(0.05)

    def next_address(self):
        """Returns the address of the next engine in turn, or always of the last one."""
        self.pick_count += 1
        uids = sorted(self.engines)
        return self.engines[uids[-1] if self.fault == "one engine" else uids[self.pick_count % len(uids)]]

    def buildProtocol(self, address):
        """Returns the protocol of a client's connection."""
        return ClientConnection(self)

    @inlineCallbacks
    def serve(self, connection, stream, request, statement):
        """Runs a query and answers it; the fault affects one query in ten."""
        group = self.groups[request.group]
        is_affected = self.pick_count % 10 == 5
        if is_affected and self.fault == "silent":
            self.pick_count += 1
            return
        if is_affected and self.fault == "makes up":
            self.pick_count += 1
            return connection.transport.write(
                frames.encode_answer(stream, frames.AnswerCode.COMPLETED, b"1\ta\tb\n")
            )
        address = self.next_address()
        try:
            if is_affected and self.fault == "copies":
                self.run_query(self.next_address(), request, statement).addErrback(lambda _: None)
            result = yield self.run_query(address, request, statement)
            if is_affected and self.fault == "runs twice" and group["effect"] == "unsafe":
                result = yield self.run_query(self.next_address(), request, statement)
        except Exception:
            result = None
        if is_affected and self.fault == "late":
            yield sleep(group["deadline_us"] / 1e6 + 0.2)
        if result is None:
            return connection.transport.write(frames.encode_answer(stream, frames.AnswerCode.FAILED, b"no"))
        if is_affected and self.fault == "rows":
            result = result[:-1] + b"x\n" + result[-8:]
        answer = frames.encode_answer(stream, frames.AnswerCode.COMPLETED, result)
        if is_affected and self.fault == "strange":
            answer += frames.encode_answer(stream + 90_000, frames.AnswerCode.COMPLETED, result)
        connection.transport.write(answer * (2 if is_affected and self.fault == "twice" else 1))

    @inlineCallbacks
    def run_query(self, address, request, statement):
        """Returns a query's complete result from one engine, or None if it failed."""
        reply = yield send_request(
            address,
            engine_protocol.encode_start("e", request.request_id, request.group, 4000, 0, None, statement),
        )
        while reply.status == 202:
            reply = yield send_request(address, engine_protocol.encode_page("e", request.request_id, 0))
        if reply.status != 200:
            return None
        pages = [reply.body]
        for number in range(1, engine_protocol.page_count(reply)):
            page = yield send_request(address, engine_protocol.encode_page("e", request.request_id, number))
            pages.append(page.body)
        return b"".join(pages)


def sleep(seconds):
    """Returns a Deferred that fires in so many seconds."""
    done = Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done


class ClientConnection(Protocol):
    """One client's connection; passes on its queries."""

    def __init__(self, gateway):
        """Serves a client of `gateway`."""
        self.gateway, self.reader = gateway, frames.FrameReader()

    def dataReceived(self, data):
        """Starts to serve each complete query."""
        for kind, stream, payload in self.reader.feed(data):
            if kind == frames.FrameType.QUERY:
                request = frames.read_query(bytes(payload))
                self.gateway.serve(self, stream, request, bytes(request.statement))


@click.command()
@click.argument("fault", type=click.Choice(FAULTS))
def main(fault):
    """Runs a gateway with this fault until it is killed."""
    with open(os.environ["BALANCER_CONFIG"], encoding="utf-8") as file:
        config = json.load(file)
    host, _, port = config["listen"].rpartition(":")
    reactor.listenTCP(int(port), FaultyGateway(config, fault), interface=host)
    reactor.run()


if __name__ == "__main__":
    main()
