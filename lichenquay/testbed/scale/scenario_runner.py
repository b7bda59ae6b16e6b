"""Plays a scenario's events on a stage: processes of this machine in real time, or virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from lichenquay.testbed.scale.latency import OutOfReach
from lichenquay.testbed.scale.scenario import Act, Event, Scenario, Shape, Target, fronts_in

SLOW_DISK_MS = 300.0  # Longer for each fsync.


class Stage(Protocol):
    """What a scenario needs of the world that it is played in. Every fault ends by itself after its
    seconds.
    """

    shape: Shape
    now_ms: float  # Of the clock that the fronts' records use.

    def run(self, seconds: float, progress: Callable[[float], None]) -> None:
        """Goes on for so long, and until all that was put off is done."""

    def later(self, seconds: float, call: Callable, *arguments) -> None:
        """Calls so much later, while the stage runs."""

    def set_rate(self, per_s: float) -> None:
        """Changes a second that the client proposes."""

    def newest(self) -> int:
        """The highest accepted version."""

    def leader(self) -> str:
        """The publisher that leads, as far as that is known."""

    def kill(self, name: str, seconds: float) -> None:
        """Kills a control process, and starts it again."""

    def pause(self, name: str, seconds: float) -> None:
        """A control process stands still, and goes on."""

    def fail_disk(self, name: str, seconds: float, full: bool, delay_ms: float) -> None:
        """A publisher's disk is full or slow."""

    def silence(self, names: list[str], seconds: float) -> None:
        """Fronts do not read their sockets."""

    def impair(self, rules: list) -> None:
        """The network's rules, from now on."""

    def up(self, names) -> list[str]:
        """Those of the fronts that run."""

    def start_fronts(self, names: list[str]) -> None:
        """Starts fronts, all at once."""

    def stop_fronts(self, names: list[str]) -> None:
        """Ends fronts without a word."""


@dataclass
class Played:
    """What a scenario did, and when. Versions are the highest that were accepted at that time."""

    scenario: Scenario
    begun_ms: float
    ended_ms: float = 0.0
    done: list[str] = field(default_factory=list)  # Lines: what was done to whom.
    out_of_reach: list[OutOfReach] = field(default_factory=list)
    healed_ms: float | None = None
    healed_version: int = 0
    restarted: frozenset[str] = frozenset()  # The fronts of the last restart.
    restarted_ms: float | None = None
    restarted_version: int = 0
    settled: bool = False  # All fronts had the newest version in force at the end.


def ignore(seconds: float) -> None:
    """Nobody wants to know how far it is."""


@dataclass
class Player:
    """One scenario at a time."""

    stage: Stage

    def play(self, scenario: Scenario, progress: Callable[[float], None] = ignore) -> Played:
        """Plays it to its end, and leaves everything running."""
        self.played = Played(scenario, self.stage.now_ms)
        for event in scenario.events:
            self.stage.later(event.at_s, self._begin, event)
        self.stage.set_rate(scenario.changes_per_s)
        self.stage.run(scenario.seconds, progress)
        self.stage.set_rate(0.0)
        self.played.ended_ms = self.stage.now_ms
        return self.played

    def _begin(self, event: Event):
        match event.act:
            case Act.KILL | Act.PAUSE | Act.DISK_FULL | Act.DISK_SLOW:
                for name in self._names_of(event.targets):
                    self._say(event, name)
                    self._on_control(event, name)
            case Act.RESTART_FRONTS:
                self._restart_fronts(event)
            case Act.SLOW_READER:
                self._slow_reader(event)
            case Act.WEATHER:
                self._weather(event)

    def _say(self, event, whom):
        self.played.done.append(f"{event.act.value}: {whom} for {event.for_s:g} s")

    def _on_control(self, event, name):
        match event.act:
            case Act.KILL:
                self.stage.kill(name, event.for_s)
            case Act.PAUSE:
                self.stage.pause(name, event.for_s)
            case Act.DISK_FULL:
                self.stage.fail_disk(name, event.for_s, True, 0.0)
            case Act.DISK_SLOW:
                self.stage.fail_disk(name, event.for_s, False, SLOW_DISK_MS)

    def _names_of(self, targets) -> list[str]:
        """Names, with those that are only known now filled in."""
        leader = self.stage.leader()
        names = []
        for target in targets:
            if target == Target.LEADER:
                names.append(leader)
            elif target == Target.FOLLOWER:
                voters = self.stage.shape.publisher_names()
                names.append(next(name for name in voters if name not in (leader, *names)))
            else:
                names.append(target)
        return names

    def _restart_fronts(self, event):
        names = self.stage.up(event.targets)
        self._say(event, f"{len(names)} fronts")
        self.stage.stop_fronts(names)
        self.stage.later(event.for_s, self._start_fronts, names)

    def _start_fronts(self, names):
        self.played.restarted = frozenset(names)
        self.played.restarted_ms = self.stage.now_ms
        self.played.restarted_version = self.stage.newest()
        self.stage.start_fronts(names)

    def _slow_reader(self, event):
        names = self.stage.up(event.targets)
        self._say(event, ", ".join(names))
        self.stage.silence(names, event.for_s)
        self.stage.later(event.for_s, self._reachable_again, names, self.stage.now_ms)

    def _weather(self, event):
        self._say(event, f"{len(event.rules)} rules")
        self.stage.impair(list(event.rules))
        self.stage.later(event.for_s, self._heal, self.stage.now_ms)

    def _heal(self, from_ms):
        self.stage.impair([])
        zones = self.played.scenario.cut_zones
        if zones:
            names = [name for zone in zones for name in fronts_in(self.stage.shape, zone)]
            self._reachable_again(names, from_ms)

    def _reachable_again(self, names, from_ms):
        now_ms = self.stage.now_ms
        self.played.healed_ms, self.played.healed_version = now_ms, self.stage.newest()
        self.played.out_of_reach.append(OutOfReach(frozenset(names), from_ms, now_ms))
