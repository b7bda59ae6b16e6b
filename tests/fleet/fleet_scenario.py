"""The recorded scenario: join, borrow, lend, repay; the ledger's leader cut off, then killed and restarted
with its folder; and a graceful leave.
"""

from fleet_audit import Audit, InvariantViolationError
from virtual_fleet import LEASE_MS, World

# Of: join; borrow and repay; leader cut off; leader killed; leave.
PHASE_ENDS_MS = (2000.0, 3900.0, 7700.0, 10_200.0, 12_700.0)
END_MS, SETTLE_MS, CHECK_INTERVAL_MS = PHASE_ENDS_MS[-1], 9_000.0, 100.0
NAMES = "abc"


def ledger_leader(world):
    """Returns the process that holds the ledger's lease; if none, the first that runs, or None."""
    running = [process for process in world.processes.values() if process.runtime is not None]
    return next(
        (process for process in running if process.runtime.quota_participant.group.holds(process.now_ms())),
        running[0] if running else None,
    )


def others(world, process):
    """Returns all processes but one."""
    return [other for other in world.processes.values() if other is not process]


def cut_off(world, process, ms):
    """Drops all messages from and to a process for `ms`."""
    links = {(process.name, other.name) for other in others(world, process)} | {
        (other.name, process.name) for other in others(world, process)
    }
    world.cut_links |= links
    world.at(world.now_ms + ms, lambda: world.cut_links.difference_update(links))


def kill_at_record(world, back_ms):
    """Kills the ledger's leader at the moment when a record is committed, while one voter's disk is full;
    restarts it after `back_ms`.
    """
    process = ledger_leader(world)
    if process is None:
        return
    ledger = process.runtime.quota_participant.leader.committed
    start_number, voter = process.start_count, others(world, process)[0]
    voter.disk.mode = "full"
    record_number = ledger.record_number if ledger else 0

    def kill_once_committed(checks=0):
        """Kills the leader if a record was committed, else checks again in 1 ms, up to 300 times."""
        if process.runtime is None or process.start_count != start_number:
            return
        current = process.runtime.quota_participant.leader.committed
        if current is not None and current.record_number > record_number or checks > 300:
            process.kill()
            world.at(world.now_ms + 30, lambda: setattr(voter.disk, "mode", "healthy"))
            world.at(world.now_ms + back_ms, process.start)
        else:
            world.at(world.now_ms + 1, lambda: kill_once_committed(checks + 1))

    kill_once_committed()


def quick_restart(world, processes):
    """Kills processes and restarts them within a lease."""
    for process in processes:
        process.kill()
        world.at(world.now_ms + 30, process.start)


def schedule_scenario(world):
    """Schedules all events of the scenario."""
    processes = world.processes

    def at(true_ms, call):
        """Schedules a call. A run of one change ends with the phase after it, and skips later events."""
        world.at(true_ms, lambda: world.end_ms >= true_ms and not world.is_settling and call())

    for index, name in enumerate(NAMES):
        at(40 * index, processes[name].start)
    # Throughout, some queries of the lender at every gateway.
    for at_ms in range(1700, int(END_MS) - 800, 130):
        for index, name in enumerate(NAMES):
            at(at_ms + 17 * index, lambda name=name: world.query(name, "lender", 1.0))
    for at_ms in range(2000, 3000, 40):  # more than the quota: the tenant borrows
        at(at_ms, lambda: world.query("a", "borrower", 9.0))
        at(at_ms + 20, lambda: world.query("b", "borrower", 9.0, over=1.0))
    for at_ms in range(3000, 3500, 50):  # the lender needs its quota
        at(at_ms, lambda: world.query(ledger_leader(world).name, "lender", 25.0))
    at(4000, lambda: cut_off(world, ledger_leader(world), 3200))
    for at_ms in range(6600, 7100, 40):
        at(at_ms, lambda: world.query("b", "borrower", 5.0))
    at(7900, lambda: kill_at_record(world, 1500))
    for at_ms in range(7800, 8200, 30):
        at(at_ms, lambda: world.query("c", "borrower", 4.0))
    at(10_250, lambda: leave_and_return(world))
    at(
        11_400,
        lambda: quick_restart(
            world, [process for process in others(world, ledger_leader(world)) if process.runtime is not None]
        ),
    )


def leave_and_return(world):
    """The ledger's leader leaves gracefully; it starts again, as a new incarnation, once it is down."""
    process = ledger_leader(world)
    process.leave()

    def restart_once_down():
        """Starts the process if it is down, else checks again in 50 ms."""
        if process.runtime is None:
            process.start()
        else:
            world.at(world.now_ms + 50, restart_once_down)

    world.at(world.now_ms + 600, restart_once_down)


def phase_end(true_ms):
    """Returns the end of the phase that a time is in, or of the next if that is less than a lease away."""
    return next((end for end in PHASE_ENDS_MS if end >= true_ms + LEASE_MS), END_MS)


def run(mutations=None, seed=1, record=False, end_ms=END_MS):
    """Returns (violation or None, reason why it didn't come to rest or None, the world)."""
    world = World(Audit(), seed, NAMES, mutations)
    world.packets = [] if record else None
    schedule_scenario(world)
    return *run_to_rest(world, end_ms), world


def run_to_rest(world, end_ms):
    """Runs the scenario to `end_ms` and then to rest; returns (violation or None, reason or None)."""
    audit = world.audit
    try:
        world.run(end_ms)
        world.is_settling = True
        for call in world.deferred_calls:
            call()
        deadline_ms, reason = world.now_ms + SETTLE_MS, "not checked"
        while world.now_ms < deadline_ms and reason:
            world.run(world.now_ms + CHECK_INTERVAL_MS)
            reason = audit.unsettled_reason()
    except InvariantViolationError as error:
        return str(error), None
    except Exception as error:  # a part that raises on a message's content is at fault
        return f"{type(error).__name__}: {error}", None
    return (audit.violations[0] if audit.violations else None), reason
