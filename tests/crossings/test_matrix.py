"""Tests of each event in each state of a query.

A test brings the query to the state, causes the event, and lets the query continue. The client then has one
answer, or none if it has left; no forbidden attempt was sent; and nothing is held for the query.
docs/crossings.md lists the combinations, and those that cannot occur.
"""

import pytest
from gateway_world import STATEMENT, answered
from interleavings import DelayedConnections, assert_all_released, counter, query_frame
from loopback import until, wait

from lichenquay.gateway import frames

CLIENT_DEPARTURES = {"client_cancels", "client_closes", "client_resets"}
FINAL_CODES = {frames.AnswerCode.COMPLETED, frames.AnswerCode.REJECTED, frames.AnswerCode.FAILED}
REQUEST_ID = "00000000000000fe"


class Case:
    """A query in a state.

    resume: lets the query leave its state. check_event_result: checks what the event caused beside the query.
    """

    def __init__(self, world, group):
        """Connects a client that has not sent its query yet."""
        self.world = world
        self.group = group
        self.service = world.service
        self.adapter = world.service.adapter
        self.client = world.client()
        self.resume = lambda: None

    def ask(self):
        """Sends the query."""
        self.stream = self.client.ask(self.group, ref=REQUEST_ID, allow=3000)

    def current_engine(self):
        """Returns the engine that received the query, or the first one if none did."""
        return next((engine for engine in self.world.engines if engine.posts), self.world.engines[0])

    def exhaust_descriptors(self):
        """Makes calls to engines wait for a descriptor; returns the function that ends this."""
        engines = self.service.engines
        budget = engines.descriptor_budget
        engines.descriptor_budget = 0

        def resume():
            engines.descriptor_budget = budget
            engines.send_waiting()

        return resume

    # States.

    def received(self):
        """Sends the query; it is read, and the controller's next turn is delayed."""
        self.adapter.min_loop_interval_ms = 400.0
        self.adapter.last_turn_ms = self.adapter.clock_ms()
        self.ask()
        until(lambda: counter(self.world, "queries received") == 1)

        def resume():
            self.adapter.min_loop_interval_ms = 5.0
            self.adapter.schedule_turn(0.0)

        self.resume = resume

    def awaiting_endpoint_list(self):
        """Sends the query; it waits, as the endpoint list may be stale and nothing is dispatched."""
        self.adapter.endpoints_stale(2000.0)
        self.ask()
        until(lambda: not self.adapter.controller.waiting.is_empty())
        self.resume = self.adapter.endpoints_confirmed

    def connecting(self):
        """Sends the query; its attempt waits for a connection to be established."""
        delayed_connections = DelayedConnections(self.world)
        self.ask()
        until(lambda: delayed_connections.delayed)
        self.resume = delayed_connections.resume

    def awaiting_descriptor(self):
        """Sends the query; its attempt waits for a descriptor."""
        self.resume = self.exhaust_descriptors()
        self.ask()
        until(lambda: self.service.engines.waiting_calls)

    def written(self):
        """Sends the query; the POST is written, but no engine reads it."""
        for engine in self.world.engines:
            engine.is_paused = True
        self.ask()
        until(lambda: any(engine.paused_requests for engine in self.world.engines))

        def resume():
            for engine in self.world.engines:
                engine.resume()

        self.resume = resume

    def running(self):
        """Sends the query; its engine runs it and answers polls."""
        behaviours = ["hold"]
        for engine in self.world.engines:
            engine.behaviours = behaviours
        self.ask()
        until(lambda: any(engine.polls > 1 for engine in self.world.engines))

        def resume():
            for engine in self.world.engines:
                engine.running.update(dict.fromkeys(engine.running, "ok"))

        self.resume = resume

    def fetching_pages(self):
        """Sends the query; its first page arrives, and the request for the next is not answered."""
        delayed = []

        def delay(engine):
            answer_page = engine.page
            engine.page = lambda *arguments: delayed.append((answer_page, engine, arguments))
            return answer_page

        pages = [delay(engine) for engine in self.world.engines]
        self.ask()
        until(lambda: delayed)

        def resume():
            for engine, answer_page in zip(self.world.engines, pages, strict=True):
                engine.page = answer_page
            for answer_page, engine, arguments in delayed:
                connection, request_id, _ = arguments
                if connection.transport.connected and request_id in engine.running:
                    answer_page(*arguments)

        self.resume = resume

    def evicted(self):
        """Sends the query and evicts it; its engine does not answer the cancellation."""
        self.running()
        (query,) = self.adapter.open_queries
        engine = self.current_engine()
        engine.is_silent = True
        self.adapter.evict(query)
        until(lambda: self.stream in self.client.answers)

        def resume():
            engine.is_silent = False

        self.resume = resume

    def completed(self):
        """Sends the query and waits for its answer."""
        self.ask()
        answered(self.client, self.stream)

    # Events.

    def another_request(self):
        """Sends another request on the connection."""
        second_stream = self.client.ask("status", allow=3000)
        self.check_event_result = lambda: answered(self.client, second_stream)[0] in FINAL_CODES

    def client_cancels(self):
        """Sends the client's cancellation of the query."""
        self.client.transport.write(frames.encode_frame(frames.FrameType.CANCEL, self.stream))

    def client_closes(self):
        """Closes the client's connection."""
        self.client.transport.loseConnection()

    def client_resets(self):
        """Resets the client's connection."""
        self.client.transport.abortConnection()

    def partial_frame(self):
        """Sends half of another request, and the rest once the query has continued."""
        frame = query_frame(77, ref="00000000000000fd", statement=STATEMENT)
        self.client.transport.write(frame[:40])

        def check_event_result():
            self.client.transport.write(frame[40:])
            return answered(self.client, 77)[0] in FINAL_CODES

        self.check_event_result = check_event_result

    def invalid_frame(self):
        """Sends bytes that are not a frame."""
        self.client.transport.write(b"\0\0\0\0" + b"x" * 100)

    def engine_drains(self):
        """Announces that the engine drains."""
        self.world.announce(self.current_engine(), "DRAINING")
        until(lambda: self.service.discovery.last_number == 2)

    def engine_removed(self):
        """Announces that the engine is removed from the endpoint list."""
        self.world.announce(self.current_engine(), "DELETED")
        until(lambda: self.service.discovery.last_number == 2)

    def engine_connections_reset(self):
        """Resets all connections to engines."""
        for engine in self.world.engines:
            for connection in list(engine.connections):
                connection.transport.abortConnection()

    def partial_reply(self):
        """Sends half of a reply from each engine."""
        for engine in self.world.engines:
            for connection in list(engine.connections):
                connection.transport.write(b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Le")

    def sigterm(self):
        """Starts the graceful shutdown, as SIGTERM does."""
        self.service.leave()

    def sighup(self):
        """Reloads the configuration, as SIGHUP does."""
        self.service.reload()

    def descriptors_exhausted(self):
        """Leaves no descriptor until the query continues."""
        resume_state = self.resume
        restore_descriptors = self.exhaust_descriptors()

        def resume():
            restore_descriptors()
            resume_state()

        self.resume = resume

    def check_event_result(self):
        """Returns True: most events cause nothing beside the query that has to be checked."""
        return True


STATES = [
    "received",
    "awaiting_endpoint_list",
    "connecting",
    "awaiting_descriptor",
    "written",
    "running",
    "fetching_pages",
    "evicted",
    "completed",
]
EVENTS = [
    "another_request",
    "client_cancels",
    "client_closes",
    "client_resets",
    "partial_frame",
    "invalid_frame",
    "engine_drains",
    "engine_removed",
    "engine_connections_reset",
    "partial_reply",
    "sigterm",
    "sighup",
    "descriptors_exhausted",
]


@pytest.mark.parametrize("group", ["report", "manifest"])
@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("state", STATES)
def test_an_event_in_a_state(make_world, state, event, group):
    """The client has one answer, or none if it left before; nothing is held for the query in the end."""
    world = make_world(engines=2)
    case = Case(world, group)
    getattr(case, state)()
    had_answer = case.stream in case.client.answers
    getattr(case, event)()
    if event in CLIENT_DEPARTURES and not had_answer:
        until(lambda: counter(world, "queries cancelled by their clients") == 1, 1.0)
    unread_posts = [
        request for engine in world.engines for request in engine.paused_requests if request[1] == "POST"
    ]
    posts_written = world.posts() + len(unread_posts)
    wait(0.05)
    case.resume()
    if event in CLIENT_DEPARTURES:
        wait(0.15)
        assert world.posts() == posts_written, "attempt sent for a client that has left"
        assert had_answer or case.stream not in case.client.answers
    else:
        answer_code = answered(case.client, case.stream)[0]
        # The query is completed unless it had started to run and the event ends it.
        may_fail = had_answer or event in ("engine_connections_reset", "partial_reply", "engine_removed")
        assert answer_code == frames.AnswerCode.COMPLETED or (may_fail and answer_code in FINAL_CODES), (
            answer_code
        )
        assert case.check_event_result()
    assert_all_released(world)
    if event == "sigterm":
        until(lambda: world.ended, 4.5)
