"""A fleet of failure detectors in the simulated network. A host whose detector learns that it was removed
restarts with a higher incarnation.
"""

from lichenquay.membership.failure_detector import FailureDetector
from lichenquay.membership.settings import Settings
from lichenquay.testbed.virtual_network import LinkConditions, VirtualNetwork

REJOIN_DELAY_MS = 10
DEFAULT_CONDITIONS, DEFAULT_SETTINGS = LinkConditions(), Settings()


class ObservedFleet:
    """A fleet of detectors. `log` holds (time in ms, host, StateChange) of all hosts, in order."""

    def __init__(
        self,
        names,
        seed,
        conditions=DEFAULT_CONDITIONS,
        settings=DEFAULT_SETTINGS,
        seeds=None,
        start=True,
        make=FailureDetector,
    ):
        """Adds a host for each name. `seeds` are the names that a detector knows at its start (all, if None);
        `make` builds a detector.
        """
        self.names, self.settings, self.log, self.rejoin_count = list(names), settings, [], 0
        self.net = VirtualNetwork(seed, conditions)
        self.net.after = self._after
        self.observers = []  # Called as observer(host, detector, changes) after each call of a detector.
        for name in self.names:
            self.net.host(
                name,
                lambda host: {
                    "members": make(
                        host.name, host.incarnation, seeds or self.names, host.rng, settings, host.now_ms()
                    )
                },
                rate=self.net.rng.uniform(0.975, 1.025),
                offset_ms=self.net.rng.uniform(0, 1e9),
                start=False,
            )
            if start:
                self.net.at(0, self.net.start, name)

    def _after(self, host, _, detector):
        changes = list(detector.changes)
        detector.changes.clear()
        self.log.extend((self.net.now_ms, host.name, change) for change in changes)
        for observer in self.observers:
            observer(host, detector, changes)
        if detector.ended_incarnation is not None:
            self.net.at(self.net.now_ms + REJOIN_DELAY_MS, self._rejoin, host, detector)

    def _rejoin(self, host, detector):
        if host.up and host.parts["members"] is detector:
            self.rejoin_count += 1
            self.net.start(host.name, detector.ended_incarnation)

    def watch(self, name):
        """Returns a host's detector."""
        return self.net.hosts[name].parts["members"]

    def up(self):
        """Returns the detectors of running hosts that haven't ended."""
        return [
            host.parts["members"]
            for host in self.net.hosts.values()
            if host.up and not host.parts["members"].end_reason
        ]

    def run(self, ms):
        """Runs for `ms` of virtual time."""
        self.net.run(self.net.now_ms + ms)

    def all_consider(self, name, state, except_names=()):
        """Returns whether all running detectors but those of `name` and `except_names` have it in `state`."""
        return all(
            detector.state_of(name) == state
            for detector in self.up()
            if detector.name != name and detector.name not in except_names
        )

    def views_agree(self):
        """Returns whether all running detectors have one view in which exactly the running hosts are alive,
        in their present incarnations.
        """
        up = self.up()
        running = sorted((detector.name, detector.incarnation) for detector in up)
        return len({detector.view.digest for detector in up}) == 1 and all(
            [(name, detector.table.get(name).incarnation) for name in detector.table.live_names()] == running
            for detector in up
        )

    def until(self, condition, timeout_ms, step_ms=50):
        """Runs until `condition()` holds, for `timeout_ms` at most; returns the time taken in ms, or None."""
        started_ms = self.net.now_ms
        while not condition():
            if self.net.now_ms - started_ms >= timeout_ms:
                return None
            self.run(step_ms)
        return self.net.now_ms - started_ms
