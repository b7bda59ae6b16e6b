"""Selection of the replica group that receives a session, and of the gateways that may leave."""

from lichenquay.migration.target_selection import (
    GatewayStatus,
    LeavingPhase,
    may_start_leaving,
    select_target,
)

MEMBERS = [
    GatewayStatus("a", 9000, zone="x"),
    GatewayStatus("b", 9000, zone="y"),
    GatewayStatus("c", 9000, is_new=True, zone="y"),
    GatewayStatus("d", 9000, is_new=True, is_ready=False, zone="x"),
    GatewayStatus("e", 10),
    GatewayStatus("g", 9000, phase=LeavingPhase.LEAVING),
    GatewayStatus("h", 9000, is_alive=False),
]


def test_the_zone_of_the_engine_comes_first_then_new_gateways():
    """Gateways that are full, leave, are not ready or not alive are never selected."""
    assert select_target("s", 100, "x", MEMBERS) == "a"
    assert select_target("s", 100, "y", MEMBERS) == "c"
    assert select_target("s", 100, "", MEMBERS) == "c"
    assert select_target("s", 100, "y", MEMBERS, {"c"}) == "b"
    assert select_target("s", 100, "", MEMBERS, {"a", "b", "c"}) is None


def test_sessions_are_spread_by_weight_and_free_bytes():
    """A member that is removed changes the targets of its own sessions only."""
    members = [GatewayStatus("a", 1000), GatewayStatus("b", 1000, weight=3.0), GatewayStatus("c", 2000)]
    targets = [select_target(f"s{i}", 10, "", members) for i in range(3000)]
    shares = {name: targets.count(name) / 3000 for name in "abc"}
    assert abs(shares["a"] - 1 / 6) < 0.03
    assert abs(shares["b"] - 3 / 6) < 0.03
    assert abs(shares["c"] - 2 / 6) < 0.03
    without_last = [select_target(f"s{i}", 10, "", members[:2]) for i in range(3000)]
    assert all(new == old for new, old in zip(without_last, targets, strict=True) if old != "c")


def test_only_a_share_of_the_fleet_leaves_at_a_time():
    """The first by name may leave, gateways that already leave count, and a ready one must stay."""
    fleet = [GatewayStatus(f"f{i}", 1000) for i in range(8)]
    announced = [
        member._replace(phase=LeavingPhase.ANNOUNCED) if member.name in ("f1", "f4", "f6") else member
        for member in fleet
    ]
    may_leave = [may_start_leaving(name, announced, 0.25) for name in ("f1", "f4", "f6")]
    assert may_leave == [True, True, False]
    leaving = [
        member._replace(phase=LeavingPhase.LEAVING) if member.name in ("f1", "f4") else member
        for member in announced
    ]
    assert not may_start_leaving("f6", leaving, 0.25)
    one_left = [
        member._replace(phase=LeavingPhase.STAYING, is_alive=member.name != "f1") for member in leaving
    ]
    assert may_start_leaving("f6", one_left, 0.25)
    nobody_stays = [GatewayStatus("f0", 9, phase=LeavingPhase.ANNOUNCED)]
    assert not may_start_leaving("f0", nobody_stays, 1.0)
