"""Membership among processes of the real program: kills, pauses, datagram loss, partitions and links cut in
one direction.

`--runs N --seed S` runs N seeds of some tests, and others for longer; the figures go to --figures.
"""

import os
import shutil
import signal
import socket
import time
from datetime import datetime

import pytest
from cluster import CUT_STATES, Cluster, until

from lichenquay.config.fleet_settings import fingerprint
from lichenquay.config.reader import read_file, read_settings
from lichenquay.fleet.message_envelope import Layer, MessageEnvelope
from lichenquay.membership import members_pb2

CONVERGENCE_TIMEOUT_S, DETECTION_TARGET_MS = 20.0, 3000.0


def unix_ms(event):
    """Returns an event's Unix time in ms."""
    return datetime.fromisoformat(event["timestamp"]).timestamp() * 1000


def wait_until_all_alive(cluster, names=None):
    """Waits until these gateways (all, if None) consider each other alive."""
    names = names or cluster.names
    until(lambda: cluster.views_agree(names, dict.fromkeys(names, "alive")), CONVERGENCE_TIMEOUT_S)


def member_events(cluster, names=None, members=None, states=("faulty", "removed")):
    """Returns (gateway, event) of logged changes of `members` to one of the states."""
    return [
        (observer, event)
        for observer in names or cluster.names
        for event in cluster.events(observer, "member")
        if event["state"] in states and event["member"] in (members or cluster.names)
    ]


def quantile(values, share):
    """Returns a quantile of the values, for a share from 0 to 1."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def test_killed_gateway_is_faulty_everywhere_and_returns_with_a_new_incarnation(tmp_path, seeds, figures):
    """Kills two gateways under 10 % loss; the others must not be considered faulty, and the median detection
    time has a bound.
    """
    detected = figures("members").setdefault("detect_ms", [])
    for seed in seeds:
        path = tmp_path / str(seed)
        path.mkdir()
        with Cluster(path, 5, seed) as cluster:
            wait_until_all_alive(cluster)
            cluster.relay.set(loss=0.1)
            for name in ("e", "b"):
                first_incarnation = cluster.members("a")[name][0]
                killed_ms = time.time() * 1000
                cluster.kill(name)
                others = [other for other in cluster.names if other != name]
                until(lambda name=name, others=others: cluster.views_agree(others, {name: "faulty"}), 12)
                verdicts_ms = [
                    unix_ms(event)
                    for observer, event in member_events(cluster, others, [name], ["faulty"])
                    if unix_ms(event) > killed_ms
                ]
                assert len(verdicts_ms) == len(others)
                detected += [verdict_ms - killed_ms for verdict_ms in verdicts_ms]
                cluster.restart(name)
                wait_until_all_alive(cluster)
                assert cluster.members("a")[name][0] > first_incarnation
            assert not member_events(cluster, members=[name for name in cluster.names if name not in "be"])
    figures("members")["detect_p99_ms"] = quantile(detected, 0.99)
    assert quantile(detected, 0.5) < DETECTION_TARGET_MS


def test_pauses_and_loss_remove_nobody_and_views_agree_afterwards(tmp_path, seeds, figures):
    """Suspends gateways in turn by SIGSTOP for two seconds, with 20 % loss: no gateway may be considered
    removed.
    """
    member_figures = figures("members")
    member_figures.update(
        {
            "false_gone": member_figures.get("false_gone", 0),
            "false_cut": member_figures.get("false_cut", 0),
            "pauses": member_figures.get("pauses", 0),
        }
    )
    for seed in seeds:
        path = tmp_path / str(seed)
        path.mkdir()
        with Cluster(path, 4, seed) as cluster:
            wait_until_all_alive(cluster)
            cluster.relay.set(loss=0.2)
            for name in cluster.names[seed % 2 :: 2]:
                cluster.pause(name, 2.0)
                time.sleep(1.0)
            cluster.relay.heal()
            healed_s = time.monotonic()
            wait_until_all_alive(cluster)
            member_figures["views_agree_ms"] = max(
                member_figures.get("views_agree_ms", 0), (time.monotonic() - healed_s) * 1000
            )
            member_figures["pauses"] += 2
            member_figures["false_gone"] += len(member_events(cluster, states=["removed"]))
            member_figures["false_cut"] += len(member_events(cluster, states=["faulty"]))
    assert member_figures["false_gone"] == 0


@pytest.mark.parametrize("to_all", [False, True])
def test_gateway_heard_one_way_only_keeps_one_state_and_does_not_flap(tmp_path, request, figures, to_all):
    """A gateway that one other can't hear stays alive. One that no other hears is faulty everywhere, also in
    its own view.
    """
    seconds = 20.0 if request.config.getoption("--runs") > 1 else 8.0
    with Cluster(tmp_path, 4, 3) as cluster:
        wait_until_all_alive(cluster)
        cluster.relay.cut(["d"], cluster.names if to_all else ["a"], both=False)
        cut_s = time.monotonic()
        if to_all:
            until(lambda: cluster.views_agree(states={"d": "faulty"}), 12)
        time.sleep(max(0.0, seconds - (time.monotonic() - cut_s)))
        wanted = "faulty" if to_all else "alive"
        until(lambda: cluster.views_agree(states={**dict.fromkeys("abc", "alive"), "d": wanted}), 5)
        flaps = sum(
            max(0, len(member_events(cluster, [observer], [member], ["faulty"])) - (to_all and member == "d"))
            for observer in cluster.names
            for member in cluster.names
        )
        figures("members")["flaps"] = figures("members").get("flaps", 0) + flaps
        assert flaps == 0
        if not to_all:
            assert not member_events(cluster, states=CUT_STATES)
        cluster.relay.heal()
        wait_until_all_alive(cluster)


def test_partitioned_fleet_agrees_again_and_a_graceful_leave_is_announced(tmp_path):
    """Both sides of a partition consider the other faulty, and agree after it; a gateway that leaves is
    `left` everywhere at once.
    """
    with Cluster(tmp_path, 5, 4, folders=False) as cluster:
        wait_until_all_alive(cluster)
        cluster.relay.cut("ab", "cde")
        until(
            lambda: (
                cluster.views_agree("ab", dict.fromkeys("cde", "faulty"))
                and cluster.views_agree("cde", dict.fromkeys("ab", "faulty"))
            ),
            15,
        )
        cluster.relay.heal()
        wait_until_all_alive(cluster)
        started_s = time.monotonic()
        assert cluster.leave("c") == 0 and time.monotonic() - started_s < 3.7
        until(lambda: cluster.views_agree("abde", {"c": "left"}), 5)
        cluster.restart("c")
        wait_until_all_alive(cluster)


def test_gateway_after_a_long_pause_suspects_no_other(tmp_path):
    """A gateway suspended for 7 s was silent itself: after it, the others consider it faulty, and it must
    accuse none of them.
    """
    with Cluster(tmp_path, 4, 5) as cluster:
        wait_until_all_alive(cluster)
        assert not member_events(cluster, ["a"], "bcd", ["suspect", *CUT_STATES]), "before the pause"
        cluster.pause("a", 7.0)
        until(lambda: cluster.views_agree(states=dict.fromkeys("abcd", "alive")), 15)
        assert not member_events(cluster, ["a"], "bcd", ["suspect", *CUT_STATES]), cluster.log("a")[-4000:]
        assert member_events(cluster, "bcd", ["a"], ["faulty"])


def test_foreign_and_damaged_datagrams_are_dropped_and_counted(tmp_path):
    """Damaged datagrams, and those of another fleet, name, receiver or incarnation, change no view and are
    counted by reason.
    """
    with Cluster(tmp_path, 2, 6) as cluster:
        wait_until_all_alive(cluster)
        link = cluster.relay.links["a", "b"]
        link.change = lambda data: [
            data,
            data[:-1],
            data[:9] + bytes([data[9] ^ 4]) + data[10:],
            b"",
            b"\xff" * 1500,
        ]
        time.sleep(1.0)
        link.change = None
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for fleet, name, to, incarnation in (
                ("moor", "a", "b", 7),
                ("yard", "z", "b", 7),
                ("yard", "a", "a", 7),
                ("yard", "a", "b", 0),
            ):
                data = MessageEnvelope(fleet, 1, name, "ab").seal(
                    incarnation, to, Layer.MEMBERS, members_pb2.Message().SerializeToString()
                )
                sender.sendto(data, cluster.relay.targets["b"])
        until(
            lambda: "datagrams dropped: another fleet" in cluster.log("b") or not cluster.status_report("b"),
            5,
        )
        report = " ".join(" ".join(words) for words in cluster.status_report("b"))
        assert (
            "dropped: unreadable" in report
            and "dropped: another fleet" in report
            and "dropped: other settings" in report
        )
        assert cluster.views_agree(states=dict.fromkeys("ab", "alive")) and "Traceback" not in cluster.log(
            "b"
        )


def test_startup_error_is_one_log_line(tmp_path):
    """A taken port and a folder in use end the process with one line; SIGHUP of a running gateway reloads its
    configuration.
    """
    with Cluster(tmp_path, 2, 7) as cluster:
        wait_until_all_alive(cluster)
        port, cluster.fleet_ports["b"] = cluster.fleet_ports["b"], cluster.fleet_ports["a"]
        for error_text, restore in (
            ("cannot listen on", lambda: cluster.fleet_ports.update(b=port)),
            ("in use by another process", lambda: None),
        ):
            before = len(cluster.log("b"))
            running = cluster.running["b"]
            if error_text.startswith("cannot"):
                cluster.kill("b")
            cluster.start("b")
            assert cluster.running["b"].wait(10) == 1
            lines = cluster.log("b")[before:].strip().splitlines()
            assert len(lines) == 1 and error_text in lines[0], lines
            restore()
            if error_text.startswith("cannot"):
                cluster.start_counts["b"] -= 1
                cluster.restart("b")
                wait_until_all_alive(cluster)
            else:
                cluster.running["b"] = running
        cluster.signal("a", signal.SIGHUP)
        until(
            lambda: (
                "configurations reloaded: 1"
                in " ".join(" ".join(words) for words in cluster.status_report("a"))
            )
        )


def test_foreign_folder_is_refused_and_clock_set_back_keeps_incarnations_rising(tmp_path):
    """Guards against two gateways with one history, and against the reuse of an incarnation."""
    with Cluster(tmp_path, 2, 8) as cluster:
        wait_until_all_alive(cluster)
        first_incarnation = cluster.members("a")["b"][0]
        cluster.kill("b")
        (tmp_path / "folder-b").rename(tmp_path / "kept")
        shutil.copytree(tmp_path / "folder-a", tmp_path / "folder-b")
        before = len(cluster.log("b"))
        cluster.start("b")
        assert cluster.running["b"].wait(10) == 1
        lines = cluster.log("b")[before:].strip().splitlines()
        assert len(lines) == 1 and "folder-b" in lines[0] and "a" in lines[0], lines
        shutil.rmtree(tmp_path / "folder-b")
        (tmp_path / "kept").rename(tmp_path / "folder-b")
        cluster.start_counts["b"] -= 1
        cluster.env = {"PYTHONPATH": os.path.dirname(__file__), "LICHENQUAY_TEST_CLOCK_BACK_S": "86400"}
        cluster.restart("b")
        wait_until_all_alive(cluster)
        assert cluster.members("a")["b"][0] == first_incarnation + 1 > time.time() * 1000 - 86_400_000


def test_gateway_told_of_its_removal_rejoins_with_a_new_incarnation(tmp_path):
    """A datagram, as a faulty gateway may send it, tells a running gateway that it was removed: it takes a
    higher incarnation, which is stored before it is announced.
    """
    with Cluster(tmp_path, 3, 9) as cluster:
        wait_until_all_alive(cluster)
        first_incarnation = cluster.members("a")["b"][0]
        row = members_pb2.Row(name="b", incarnation=first_incarnation, word=0, state=members_pb2.GONE)
        removal = members_pb2.Message(gossip=members_pb2.Gossip(), rows=[row])
        path = tmp_path / "a.textproto"
        settings = read_file(path, read_settings).fleet
        data = MessageEnvelope("yard", fingerprint(settings), "a", cluster.names).seal(
            cluster.members("b")["a"][0], "b", Layer.MEMBERS, removal.SerializeToString()
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(data, cluster.relay.targets["b"])
        until(
            lambda: [event for event in cluster.events("b", "rejoined after removal") if event["stored"]], 10
        )
        until(
            lambda: (
                cluster.views_agree(states=dict.fromkeys("abc", "alive"))
                and cluster.members("a")["b"][0] > first_incarnation
            ),
            15,
        )
        second_incarnation = cluster.members("a")["b"][0]
        cluster.kill("b")
        cluster.restart("b")
        wait_until_all_alive(cluster)
        assert cluster.members("a")["b"][0] > second_incarnation and "Traceback" not in cluster.log("b")
