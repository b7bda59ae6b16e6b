"""The commands `demo` and `lab`: testbeds of engines, gateways and clients on this machine."""

import tempfile
from pathlib import Path

import click

from lichenquay.cli import console
from lichenquay.cli.capacity import capacity
from lichenquay.cli.scale import scale
from lichenquay.config.errors import ConfigurationError
from lichenquay.config.reader import read_file
from lichenquay.config.testbed_settings import read_testbed
from lichenquay.load.errors import RunError, TraceError
from lichenquay.testbed.trial import trial
from lichenquay.testbed.world import WorldStartError

USER_ERRORS = (ConfigurationError, TraceError, WorldStartError, RunError)
MIN_FINISHED_SHARE = 0.99  # of the known clients' queries during a flood
RUN_METRICS = (
    "asked",
    "finished",
    "deferred",
    "killed",
    "silent",
    "left",
    "twice",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "max_ms",
    "lag_p50_ms",
    "lag_p99_ms",
    "lag_max_ms",
    "asked_per_s",
    "waited_for_a_stream",
    "generator_cpu_share",
    "front_cpu_ms_a_query",
    "front_memory_mb",
)


def output_folder(path: str | None) -> Path:
    """Returns the given folder, or a new temporary one."""
    return Path(path) if path else Path(tempfile.mkdtemp(prefix="lichenquay-"))


def print_run(report: dict, title: str) -> None:
    """Prints the metrics of a run, the invariants that it violated, and the folder of its files."""
    value = report.get("value_in_time") or {}
    rows = [(name, report.get(name)) for name in RUN_METRICS]
    console.print_table(title, [*rows, ("value in time", value.get("all"))])
    for line in report["broken_rules"]:
        click.echo(f"broken: {line}")
    if report["void"]:
        click.echo(f"void: {report['why_void']}")
    click.echo(f"kept in {report['out']}")


def has_failed(report: dict) -> bool:
    """Returns whether a run violated an invariant, lost an answer, is void, or had a gateway that exited."""
    return any(report[name] for name in ("broken_rules", "silent", "void", "front_exit"))


@click.command()
@click.option("--seconds", type=click.FloatRange(1, 3600), default=10.0, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(1, 1e5), default=80.0, show_default=True, help="Queries per second."
)
@click.option("--out", type=click.Path(file_okay=False), help="Folder of the run's files.")
@console.json_option
@console.exit_on_errors(*USER_ERRORS)
def demo(seconds, rate, out, json_path):
    """Runs a gateway and four emulated engines under load.

    One engine is slow for a while, one drains, and one is replaced.
    """
    testbed = read_testbed(
        f"""load {{ seconds: {seconds} rate: {rate} shape: SURGE peak: 2 }}
        faults {{ kind: SLOW engine: 1 at_ms: {seconds * 250} for_ms: {seconds * 250} amount: 0.4 }}
        faults {{ kind: DRAIN engine: 2 at_ms: {seconds * 400} for_ms: 1500 }}
        faults {{ kind: SUCCEED engine: 3 at_ms: {seconds * 600} }}""",
        "demo",
    )
    with console.progress("demo") as report_progress:
        report = trial(testbed, output_folder(out), progress=report_progress)
    console.write_json(json_path, report)
    print_run(report, f"demo: {seconds:g} s")
    raise SystemExit(has_failed(report))


@click.group()
def lab():
    """Runs testbeds of emulated engines, gateways and clients on loopback."""


lab.add_command(capacity)
lab.add_command(scale)


@lab.command()
@click.argument("world", type=click.Path())
@click.option("--out", type=click.Path(file_okay=False), help="Folder of the run's files.")
@console.json_option
@console.exit_on_errors(*USER_ERRORS)
def run(world, out, json_path):
    """Runs the testbed of a settings file, and audits the run."""
    testbed = read_file(world)
    with console.progress("run") as report_progress:
        report = trial(testbed, output_folder(out), progress=report_progress)
    console.write_json(json_path, report)
    print_run(report, world)
    raise SystemExit(has_failed(report))


@lab.command()
@click.option(
    "--seconds",
    type=click.FloatRange(2, 600),
    default=10.0,
    show_default=True,
    help="Duration before the flood, and again of the flood.",
)
@click.option("--connections", type=click.IntRange(1, 20_000), default=1500, show_default=True)
@click.option(
    "--addresses",
    type=click.IntRange(1, 60_000),
    default=1,
    show_default=True,
    help="Source addresses of the flood.",
)
@click.option(
    "--sockets",
    type=click.IntRange(100, 100_000),
    default=400,
    show_default=True,
    help="File descriptor limit of the gateway.",
)
@click.option(
    "--gate/--no-gate",
    default=True,
    show_default=True,
    help="Connection admission with known clients, a reserve and limits.",
)
@click.option("--out", type=click.Path(file_okay=False), help="Folder of the run's files.")
@console.json_option
@console.exit_on_errors(*USER_ERRORS)
def flood(seconds, connections, addresses, sockets, gate, out, json_path):
    """Runs known clients with a query each, first alone, then during a flood of connections.

    Each connection of the flood has open queries.
    """
    from lichenquay.testbed.load_under_faults import measure_flood

    results = measure_flood(output_folder(out), seconds, connections, addresses, sockets, gate=gate)
    console.write_json(json_path, results)
    console.print_table(
        f"{connections} connections from {addresses} addresses, {sockets} descriptors",
        [(name, value) for name, value in results.items() if name != "broken_rules"],
    )
    for line in results["broken_rules"]:
        click.echo(f"broken: {line}")
    finished_enough = results["depot_finished"] >= MIN_FINISHED_SHARE * results["depot_asked"]
    raise SystemExit(bool(results["silent"] or results["broken_rules"] or not finished_enough))
