"""A fleet of watches in the virtual network, with what its hosts do: those told that they are gone come again with a
higher incarnation."""

from lichenquay.membership.failure_detector import FailureDetector
from lichenquay.membership.settings import Settings
from lichenquay.testbed.virtual_network import LinkConditions, VirtualNetwork

AGAIN_MS = 10


class ObservedFleet:
    """`log`: [(ms, host, member_state.StateChange)] of all hosts in the order in which they came."""

    def __init__(
        self,
        names,
        seed,
        weather=LinkConditions(),
        settings=Settings(),
        seeds=None,
        start=True,
        make=FailureDetector,
    ):
        self.names, self.settings, self.log, self.rejoined = list(names), settings, [], 0
        self.net = VirtualNetwork(seed, weather)
        self.net.after = self._after
        self.observers = []  # Called as look(host, watch, changes) after each call of a watch.
        for name in self.names:
            self.net.host(
                name,
                lambda h: {
                    "members": make(h.name, h.incarnation, seeds or self.names, h.rng, settings, h.now_ms())
                },
                rate=self.net.rng.uniform(0.975, 1.025),
                offset_ms=self.net.rng.uniform(0, 1e9),
                start=False,
            )
            if start:
                self.net.at(0, self.net.start, name)

    def _after(self, host, _, watch):
        changes = list(watch.changes)
        watch.changes.clear()
        self.log.extend((self.net.now_ms, host.name, c) for c in changes)
        for look in self.observers:
            look(host, watch, changes)
        if watch.ended_incarnation is not None:
            self.net.at(self.net.now_ms + AGAIN_MS, self._again, host, watch)

    def _again(self, host, watch):
        if host.up and host.parts["members"] is watch:
            self.rejoined += 1
            self.net.start(host.name, watch.ended_incarnation)

    def watch(self, name):
        return self.net.hosts[name].parts["members"]

    def up(self):
        return [
            h.parts["members"] for h in self.net.hosts.values() if h.up and not h.parts["members"].end_reason
        ]

    def run(self, ms):
        self.net.run(self.net.now_ms + ms)

    def all_consider(self, name, state, besides=()):
        return all(w.state_of(name) == state for w in self.up() if w.name != name and w.name not in besides)

    def views_agree(self):
        """Those that run, and no others, are alive to all that run, in this incarnation, and all hold one view."""
        up = self.up()
        running = sorted((w.name, w.incarnation) for w in up)
        return len({w.view.digest for w in up}) == 1 and all(
            [(n, w.table.get(n).incarnation) for n in w.table.live_names()] == running for w in up
        )

    def until(self, what, most_ms, step_ms=50):
        """Runs until what() or for `most_ms`; the time it took, None if it never was so."""
        began = self.net.now_ms
        while not what():
            if self.net.now_ms - began >= most_ms:
                return None
            self.run(step_ms)
        return self.net.now_ms - began
