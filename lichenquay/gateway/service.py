"""The program's phases, from start to exit, as named states of one object."""

import gc
import json
import os
import resource
import signal
import time

from twisted.internet.error import CannotListenError

from lichenquay.admission import domain
from lichenquay.connection_admission.decide import Rules
from lichenquay.deployment_settings import DeploymentSettings, SettingsError, SettingsSection
from lichenquay.gateway.controller_adapter import Admit
from lichenquay.gateway.discovery import BadList, Discovery, DiscoveryFactory, read_events
from lichenquay.gateway.dispatch import Send
from lichenquay.gateway.engine_pool import Engines, FrontEngine
from lichenquay.gateway.metrics import Log, Metrics
from lichenquay.gateway.request_intake import TakeIn
from lichenquay.gateway.result_relay import Relay
from lichenquay.gateway.routing import Route
from lichenquay.process import hear_signals

STARTED_S = time.time() - time.monotonic()  # risk: the wall clock steps, and no timer fires, or all at once
STARTING, SERVING, LEAVING, DRAINING, ENDED = "starting", "serving", "leaving", "draining", "ended"
NEWS_MS = 250.0  # PROTOCOL: an engine answers a call for news after this at the latest
SILENT_MS = (
    1.2 * NEWS_MS
)  # then it is asked on another connection, before its query is late or counts as lost
LISTEN_ON_MS = 450.0  # PROTOCOL: new connections go on coming 0.4 s after SIGTERM; what came last is accepted
REQUESTS_ON_MS = 200.0  # PROTOCOL: and requests on open ones for this long more
DEADLINE_MS = 3000.0  # PROTOCOL: SIGKILL comes no sooner than the longest deadline, 3 s at most, ...
KILLED_MS = 700.0  # ... and this long more after SIGTERM
TOLD_MS = 7000.0  # PROTOCOL: what the bulletin has to tell counts as told this much later at the latest
LAST_MS = 300.0  # before that, what is still open gets its final answer
RESERVE = 48  # descriptors for the reactor, accepting, the bulletin and DELETEs
CLIENTS_SHARE = 3  # PROTOCOL: clients hold a third of the descriptors at most
WATCH_MS = 25.0  # between two looks at calls that have waited too long
SWEEP_MS = 250.0  # between two looks at connections that have outlived their use
BASE_MB, LEAST_MB = (
    32.0,
    4.0,
)  # memory of the program itself (docs/evaluation.md); what clients may fill at least
CLIENTS_PART = 0.5  # of the memory beyond that


class CannotStart(Exception):
    """Something that the program needs is missing; the text names it."""


def open_from(settings, seed):
    try:
        opening = DeploymentSettings(SettingsSection.from_json(settings), seed)
        if not opening.groups:
            raise SettingsError("no classes")
    except (SettingsError, AttributeError) as bad:
        raise CannotStart(f"settings: {bad}") from None
    return opening


def now_ms():
    return (STARTED_S + time.monotonic()) * 1000


def read_config(environment):
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise CannotStart("BALANCER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            config = json.load(file)
        listen = environment.get("BALANCER_LISTEN") or config["listen"]
        host, _, port = listen.rpartition(":")
        discovery_host, _, discovery_port = config["bulletin"].rpartition(":")
        sockets = min(int(config["limits"]["sockets"]), resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        room = int(max(LEAST_MB, (float(config["limits"]["memory_mb"]) - BASE_MB) * CLIENTS_PART)) << 20
        return (
            (host, int(port)),
            (discovery_host, int(discovery_port)),
            sockets,
            room,
            int(config["seed"], 16),
            config["known"],
            config["settings"],
        )
    except OSError as bad:
        raise CannotStart(f"configuration {path}: {bad.strerror}") from None
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError) as bad:
        raise CannotStart(f"configuration {path}: {type(bad).__name__}: {bad}") from None


def read_more(environment):
    """The settings of our own features, where this installation has some: None on the platform, which then imports nothing for it."""
    path = environment.get("LICHENQUAY_SETTINGS")
    if not path:
        return None
    from lichenquay.config.reader import BadSettings, read_file, read_settings

    try:
        return read_file(path, read_settings)
    except BadSettings as bad:
        raise CannotStart(str(bad)) from None


def fleet_of(more, reactor, seed, pressed, apply_to):
    """This front among others, or following distributed configuration, where its settings say so."""
    if more is None:
        return None
    distribution = more.distribution if more.HasField("distribution") else None
    if more.HasField("fleet"):
        from lichenquay.fleet.gateway_runtime import Fleet

        return Fleet(reactor, more.fleet, seed, pressed, distribution=distribution, apply_to=apply_to)
    if distribution is not None:
        from lichenquay.fleet.follower_runtime import Follower

        return Follower(reactor, distribution, seed, apply_to)
    return None


def shared_of(more):
    """What of the settings counts from the next start only."""
    if more is None:
        return None, None
    return tuple(getattr(more, part) if more.HasField(part) else None for part in ("fleet", "distribution"))


def rules_for(more, most, distributed=None):
    """`distributed`: a gate that takes the place of the file's."""
    if more is None:
        return Rules(most, 0, lag_ms=0.0)
    from lichenquay.config.reader import rules_of

    return rules_of(more.gate if distributed is None else distributed, most)


class Service:
    def __init__(self, reactor, environment):
        self.state, self.reactor, self.environment, self.watch_ms = STARTING, reactor, environment, 0.0
        self.listen, self.discovery_at, sockets, room, seed, known, self.settings = read_config(environment)
        opening = open_from(self.settings, seed)
        self.opening, self.by_uid = opening, {}
        self.log = Log(time.monotonic)
        self.metrics = Metrics(lambda *ending: self.admit.back(*ending))
        self.engines = Engines(
            reactor,
            RESERVE // 2,
            opening.capabilities.connect_timeout_ms or NEWS_MS,
            SILENT_MS,
            opening.idle_ms or 4 * NEWS_MS,
        )
        self.admit = Admit(opening, reactor, self.engines, now_ms, self.metrics, self.log)
        self.relay = Relay(self.engines, self.metrics, self.admit.noted, now_ms, self.log)
        self.send = Send(
            self.engines, self.relay, self.metrics, self.admit.call_at, self.admit.may_go, now_ms
        )
        self.route = self.admit.route = Route(self.send, self.relay)
        self.clients = TakeIn(opening, reactor, self.admit, self.metrics, self.log, now_ms, self.is_ready)
        self.more, self.distributed_gate = read_more(environment), None
        self.bound(sockets, room)
        self.list_distributed = self.more is not None and self.more.distribution.engines
        self.following = None
        self.fleet = fleet_of(self.more, reactor, seed, self.admit.controller.is_under_pressure, self)
        try:
            self.discovery = Discovery(known, self.news, self.log, self.admit.list_confirmed)
        except BadList as bad:
            raise CannotStart(f"known: {bad}") from None

    def bound(self, sockets, room):
        """Shares of the configured limits: of descriptors for engines and clients, of memory for what clients send."""
        self.engines.budget = sockets - sockets // CLIENTS_SHARE - RESERVE
        self.sockets = sockets
        most = sockets // CLIENTS_SHARE + RESERVE // 4
        self.clients.bound(room, rules_for(self.more, most, self.distributed_gate))

    def put_gate(self, gate):
        """A distributed gate takes the place of the file's; None: the file's again. What is open stays open."""
        self.distributed_gate = gate
        self.bound(self.sockets, self.clients.room)

    def put_engines(self, whole, rows):
        """Distributed engines take the place of discovery's: all there are, or those that changed."""
        self.news(whole, rows)
        self.discovery.confirm()

    def news(self, whole, rows):
        named, gone = [], set(self.by_uid.values()) if whole else set()
        for uid, address, place, kind, cell, state, units, started in rows:
            e = self.by_uid.get(uid)
            if e is None:
                e = self.by_uid[uid] = FrontEngine(uid)
            if e.address != address:
                self.engines.close_idle(e)
                e.address = address
            # Risk: the clock that it started by has stepped since this front took its own from it.
            started += now_ms() - time.time() * 1000 if started else 0.0
            self.opening.describe(e, place, kind, cell, state, units, started)
            named.append(e)
            (gone.add if state == domain.EndpointState.REMOVED else gone.discard)(e)
        self.admit.listed(named, whole)
        for e in gone:  # no longer listed; its address may be another's by now
            e.state = domain.EndpointState.REMOVED
            self.engines.close_idle(e)
            self.by_uid.pop(e.id, None)

    # the phases

    def start(self):
        if self.fleet is not None:
            why = self.fleet.open()
            if why:
                raise CannotStart(why)
        try:
            self.clients.listen(*self.listen)
        except CannotListenError as bad:
            raise CannotStart(
                f"cannot listen on {'%s:%d' % self.listen}: {bad.socketError.strerror}"
            ) from None
        self.admit.list_doubted(TOLD_MS)
        self.follow_discovery()
        self.reactor.callWhenRunning(self.run)

    def follow_discovery(self):
        """Where the list does not come as distributed configuration."""
        if self.list_distributed:
            return
        self.following = DiscoveryFactory(
            self.reactor, self.discovery, *self.discovery_at, self.engines.connect_ms
        )

    def run(self):
        calls = {
            signal.SIGTERM: self.leave,
            signal.SIGINT: self.leave,
            signal.SIGUSR1: self.tell,
            signal.SIGHUP: self.read_again,
        }
        hear_signals(self.reactor, calls)
        self.admit.turn()
        gc.collect()
        gc.freeze()
        self.sweep()
        self.watch()
        self.state = SERVING
        if self.fleet is not None:
            self.fleet.begin()
            self.admit.quota = self.fleet.quota
        self.log(
            "service",
            f"serving on {'%s:%d' % self.listen}, {len(self.by_uid)} engines known; {self.engines.budget} "
            f"descriptors for engines, {self.clients.most} for clients, {self.clients.room >> 20} MB for them",
        )

    def is_ready(self):
        """Risk: with the bulletin out of reach for long, a front that would serve by its last list is never taken in."""
        return (
            self.state == SERVING
            and bool(self.by_uid)
            and (self.discovery.answered or not self.admit.controller.are_endpoints_stale(now_ms()))
        )

    def sweep(self):
        self.engines.later(SWEEP_MS, self.sweep)
        self.clients.sweep()

    def watch(self):
        now, clients = self.reactor.seconds() * 1000, self.clients
        lag, self.watch_ms = max(0.0, now - self.watch_ms) if self.watch_ms else 0.0, now + WATCH_MS
        used = max(
            (self.engines.open + len(clients.connections) + RESERVE // 2) / self.sockets,
            clients.held / max(1, clients.room),
        )
        clients.gate.measured(used, lag, now)
        self.engines.later(WATCH_MS, self.watch)
        self.engines.watch()

    def read_again(self):
        """SIGHUP: bulletin and limits as the configuration now has them, or nothing where any of it cannot be read.
        Risk: half of a new configuration, or none and no bulletin either. Nothing that is open is touched."""
        if self.state in (STARTING, ENDED):
            return
        try:
            listen, discovery_at, sockets, room, seed, known, settings = read_config(self.environment)
            open_from(settings, seed)
            more = read_more(self.environment)
            distributed = self.list_distributed and self.discovery.answered
            if read_events(known)[0] > self.discovery.no and not distributed:
                self.discovery.follow(known)
        except (CannotStart, BadList) as bad:
            self.metrics.count("configurations not taken")
            return self.log("service", f"{bad}; the old configuration stays in force")
        self.metrics.count("configurations read again")
        if (listen, settings) != (self.listen, self.settings) or shared_of(more) != shared_of(self.more):
            self.log(
                "service",
                "new settings, another address to listen on or another fleet: these count from the next start",
            )
        self.more = more
        self.bound(sockets, room)
        if discovery_at != self.discovery_at and self.following is not None:
            self.following.stop()
            self.discovery_at = discovery_at
            self.follow_discovery()

    def leave(self):
        """SIGTERM: listen on for as long as PROTOCOL says; answer all that is taken; tell clients to go."""
        if self.state != SERVING:
            return
        longest = max(g.queue_timeout_ms or DEADLINE_MS for g in self.opening.groups.values())
        self.state, self.killed_ms = LEAVING, now_ms() + min(DEADLINE_MS, longest) + KILLED_MS
        self.clients.tell_no_more()
        self.engines.later(LISTEN_ON_MS, self.close_door)
        self.engines.later(self.killed_ms - LAST_MS - now_ms(), self.admit.time_up)

    def close_door(self):
        self.clients.close_door()
        if self.fleet is not None:
            self.fleet.leave()
        self.engines.later(REQUESTS_ON_MS, self.drain)

    def drain(self):
        """Until all that was taken is answered, what was given up is over, and the answers have gone."""
        self.state = DRAINING
        left_ms = self.killed_ms - now_ms()
        late = left_ms < LAST_MS / 2
        if left_ms < LAST_MS:  # risk: what came since `time_up` ends with the program, without an answer
            self.clients.full = True
            self.admit.time_up()
        if (not self.admit.open and not self.admit.events or left_ms < 0) and (self.metrics.out == 0 or late):
            self.clients.close_all()
            if late or not self.clients.connections and (self.fleet is None or self.fleet.is_over()):
                self.state = ENDED
                if self.following is not None:
                    self.following.stopped = True
                if self.fleet is not None:
                    self.fleet.close()
                return self.reactor.stop()
        self.engines.later(10.0, self.drain)

    def tell(self):
        counters = self.metrics.lines() + [
            f"clients now: {len(self.clients.connections)}",
            f"clients at most: {self.clients.most_connections}",
            f"engine connections now: {self.engines.open}",
            f"engine connections at most: {self.engines.most}",
            f"engines listed: {len(self.by_uid)}",
            f"attempts out: {self.metrics.out}",
            f"queries open: {len(self.admit.open)}",
            f"descriptors: {len(os.listdir('/proc/self/fd'))}",
            f"cpu seconds: {time.process_time():.2f}",
            f"memory MB at most: {peak_mb()}",
            f"state: {self.state}",
            f"gate: {self.clients.gate.state}",
            *(
                f"holds most: {name}{' (known)' * known}: {connections} connections, {queries} queries, {held} bytes"
                for name, known, connections, queries, held in self.clients.gate.top(5)
            ),
            *(self.fleet.lines() if self.fleet is not None else ()),
        ]
        for line in counters:
            self.log.line(line)


def peak_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
