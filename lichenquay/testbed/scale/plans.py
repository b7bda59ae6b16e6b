"""The two forms of a scale run: a short one of under a minute, and the full one."""

from dataclasses import dataclass, field

from lichenquay.testbed.scale import scenario as s

REAL_GATEWAYS = 2
LARGE_SIZES = (50, 200, 800, 2000)
MIDDLE_SIZES = (50, 200, 400, 800)  # Used where at most 2,000 gateways are held out.


@dataclass(frozen=True)
class Plan:
    """Describes what a run measures and which scenarios it runs. Times are seconds, rates changes a
    second.
    """

    shape: s.Shape
    sizes: tuple[int, ...]  # Sizes that are fitted.
    held_out: int  # Predicted before it is measured; the scenarios run at this size.
    window_s: float
    windows: int = 2  # Measurements at each size.
    settle_s: float = 1.0  # Before a window, after all gateways have the newest version.
    changes_per_s: float = 1.0
    scenarios: list[s.Scenario] = field(default_factory=list)
    settle_timeout_s: float = 20.0  # Until all gateways must have the same version.
    real_fronts: int = 0  # Run under load beside the lightweight ones, while scenarios run.

    @property
    def seconds(self) -> float:
        """Returns the approximate duration, for the progress bar."""
        measured = (len(self.sizes) + 1) * (self.settle_s + self.windows * self.window_s + 1.0)
        return 6.0 + measured + sum(scenario.seconds + 1.0 for scenario in self.scenarios) + 2.0


def short(seed: int, engines: int = 100) -> Plan:
    """Returns a run of under a minute: 120 gateways, and the faults for which latency targets are stated."""
    shape = s.Shape(fronts=120, engines=engines, hosts=2, seed=seed)
    scenarios = [
        s.failover(shape, 14.0, 2.0),
        s.zone_start(shape, 3.5, 1.0),
        s.region_cut(shape, 6.0, 1.0),
    ]
    return Plan(
        shape, (15, 30, 60, 90), 120, window_s=1.0, settle_s=0.5, changes_per_s=2.0, scenarios=scenarios
    )


def full(seed: int, held_out: int = 4400, engines: int = 100) -> Plan:
    """Returns a run that fits four sizes, holds a larger one out, and runs every scenario."""
    shape = s.Shape(fronts=held_out, engines=engines, hosts=8, seed=seed)
    sizes = LARGE_SIZES if held_out > LARGE_SIZES[-1] else MIDDLE_SIZES
    scenarios = [
        s.calm(15.0, 1.0),
        s.failover(shape, 24.0, 1.0),
        s.publisher_paused(16.0, 1.0),
        s.disk_faults(24.0, 1.0),
        s.zone_start(shape, 25.0, 1.0),
        s.region_cut(shape, 24.0, 1.0),
        s.bad_network(20.0, 1.0),
        s.slow_reader(shape, 20.0, 1.0),
        s.rack_lost(shape, 20.0, 1.0),
        s.rolling_deploy(shape, 40.0, 1.0),
        s.ordinary_day(shape, 30.0, 1.0),
    ]
    return Plan(
        shape,
        sizes,
        held_out,
        window_s=6.0,
        settle_s=3.0,
        scenarios=scenarios,
        settle_timeout_s=60.0,
        real_fronts=REAL_GATEWAYS,
    )


def small(seed: int, gateways: int, scenarios: list[s.Scenario]) -> Plan:
    """Returns a plan for tests: one host, two zones, short windows."""
    shape = s.Shape(fronts=gateways, engines=20, hosts=1, voters=3, relays_of_zone=2, seed=seed)
    sizes = tuple(max(1, gateways * part // 5) for part in range(1, 5))
    return Plan(
        shape,
        sizes,
        gateways,
        window_s=0.5,
        windows=1,
        settle_s=0.2,
        changes_per_s=4.0,
        scenarios=scenarios,
        settle_timeout_s=15.0,
    )
