"""Lists the probes, the sizes at which they run, and the model by which each of their quantities is
fitted.
"""

from dataclasses import dataclass

from lichenquay.testbed.scale.fit import Model
from lichenquay.testbed.scale.probes import (
    controller,
    datagram,
    discovery,
    host,
    lease,
    members,
    query_rate,
    quota,
    starved,
)
from lichenquay.testbed.scale.sample import Measure


@dataclass(frozen=True)
class CapacityProbe:
    """Holds one probe: the sizes of its short and full form, the last of each held out, and a model for each
    quantity.

    A probe without sizes for a form is left out of that form.
    """

    name: str
    measure: Measure
    size_of: str
    short: tuple[int, ...]
    full: tuple[int, ...]
    models: dict[str, Model]

    def sizes(self, full: bool) -> tuple[int, ...]:
        """Returns the sizes of one form."""
        return self.full if full else self.short


def of_loss(loss: int, messages: Model) -> dict[str, Model]:
    """Returns the models of the cost of membership where `loss` of 100 datagrams are lost."""
    name = f"members.lost_{loss}"
    return {
        f"{name}.messages": messages,
        f"{name}.bytes": messages,
        f"{name}.processor": messages,
        f"{name}.detect": Model.LOG10,
    }


PROBES = (
    CapacityProbe(
        "controller",
        controller.measure,
        "engines",
        (100, 500, 1_000, 2_500),
        (100, 1_000, 3_000, 10_000, 25_000),
        {
            "controller.beats": Model.LINEAR,
            "controller.query": Model.LINEAR,
            "controller.list_event": Model.N_LOG_N,
            "controller.homes": Model.N_LOG_N,
            "controller.first_list": Model.QUADRATIC,
            "controller.whole_list": Model.QUADRATIC,
            "controller.state": Model.LINEAR,
        },
    ),
    CapacityProbe(
        "query rate",
        query_rate.measure,
        "queries a second",
        (20, 40, 60, 80),
        (40, 80, 160, 320, 640),
        {"controller.query_by_rate": Model.LINEAR},
    ),
    CapacityProbe(
        "members",
        members.measure,
        "fronts",
        (5, 10, 20, 50),
        (5, 20, 50, 200, 800),
        {
            **of_loss(0, Model.CONSTANT),
            **of_loss(20, Model.LOG10),
            "members.state": Model.LINEAR,
        },
    ),
    CapacityProbe(
        "datagram",
        datagram.measure,
        "bytes of message",
        (50, 200, 400, 1_000),
        (50, 100, 200, 400, 800, 1_080),
        {
            "datagram.length": Model.LINEAR,
            "datagram.seal": Model.LINEAR,
            "datagram.open": Model.LINEAR,
            "datagram.socket": Model.LINEAR,
        },
    ),
    CapacityProbe(
        "host",
        host.measure,
        "fronts",
        (),
        (2, 3, 5, 8),
        {
            f"host.{kind}.{quantity}": Model.CONSTANT
            for kind in host.SETTINGS_BY_KIND
            for quantity in ("processor", "datagrams", "bytes_out")
        },
    ),
    CapacityProbe(
        "starved",
        starved.measure,
        "messages heard a second",
        (50, 200, 500, 2_000),
        (50, 200, 500, 900, 2_000),
        {"starved.turns": Model.LINEAR, "starved.sent": Model.LINEAR},
    ),
    CapacityProbe(
        "discovery",
        discovery.measure,
        "engines",
        (100, 500, 1_000, 5_000),
        (100, 1_000, 3_000, 10_000, 25_000),
        {
            "discovery.whole_list": Model.LINEAR,
            "discovery.body": Model.LINEAR,
            "discovery.engines": Model.LINEAR,
            "discovery.idle_calls": Model.CONSTANT,
            "discovery.idle_bytes_out": Model.CONSTANT,
            "discovery.idle_bytes_in": Model.CONSTANT,
        },
    ),
    CapacityProbe(
        "quota, a front",
        quota.measure_gateway_escrow,
        "tenants",
        (1, 4, 16, 48),
        (1, 4, 16, 64, 128),
        {
            "quota.front.asks": Model.LINEAR,
            "quota.front.bytes_out": Model.LINEAR,
            "quota.front.bytes_in": Model.LINEAR,
            "quota.front.processor": Model.LINEAR,
        },
    ),
    CapacityProbe(
        "quota, the keeper",
        quota.measure_ledger_leader,
        "fronts",
        (2, 8, 24, 64),
        (5, 20, 50, 200, 800),
        {
            "quota.keeper.asks": Model.LINEAR,
            "quota.keeper.processor": Model.LINEAR,
            "quota.keeper.record_bytes": Model.LINEAR,
            "quota.keeper.pieces": Model.LINEAR,
            "quota.keeper.state": Model.LINEAR,
        },
    ),
    CapacityProbe(
        "lease, round trips",
        lease.measure_round_trips,
        "ms of round trip",
        (1, 5, 20, 60),
        (1, 5, 20, 60, 100),
        {
            "lease.record_made": Model.LINEAR,
            "lease.takeover": Model.LINEAR,
            "lease.record_disk": Model.CONSTANT,
            "lease.record_sent": Model.CONSTANT,
        },
    ),
    CapacityProbe(
        "lease, a voter behind",
        lease.measure_lagging,
        "kilobytes of state",
        (16, 64, 128, 256),
        (16, 64, 128, 256, 608),
        {"lease.lagging_takeover": Model.LINEAR},
    ),
    CapacityProbe(
        "lease, record sizes",
        lease.measure_record_sizes,
        "bytes of record",
        (200, 2_000, 4_000, 8_000),
        (200, 1_000, 4_000, 8_000, 16_000),
        {"lease.large_record_made": Model.LINEAR, "lease.large_record_processor": Model.LINEAR},
    ),
)
