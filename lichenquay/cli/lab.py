"""`demo` and `lab`: testbeds of engines, gateways and clients on this machine."""

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
MIN_FINISHED_SHARE = 0.99  # of the known clients' queries, amid a flood
RUN_FIGURES = (
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
    """The folder that was asked for, or a new temporary one."""
    return Path(path) if path else Path(tempfile.mkdtemp(prefix="lichenquay-"))


def print_run(figures: dict, title: str) -> None:
    """The figures of a run, the rules that it broke, and where its files are."""
    value = figures.get("value_in_time") or {}
    rows = [(name, figures.get(name)) for name in RUN_FIGURES]
    console.print_table(title, [*rows, ("value in time", value.get("all"))])
    for line in figures["broken_rules"]:
        click.echo(f"broken: {line}")
    if figures["void"]:
        click.echo(f"void: {figures['why_void']}")
    click.echo(f"kept in {figures['out']}")


def has_failed(figures: dict) -> bool:
    """Whether the command has to end with exit code 1."""
    return any(figures[name] for name in ("broken_rules", "silent", "void", "front_exit"))


@click.command()
@click.option("--seconds", type=click.FloatRange(1, 3600), default=10.0, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(1, 1e5), default=80.0, show_default=True, help="Queries a second."
)
@click.option("--out", type=click.Path(file_okay=False), help="Keep the run's files here.")
@console.json_option
@console.reports_errors(*USER_ERRORS)
def demo(seconds, rate, out, json_path):
    """A gateway amid four emulated engines under load; one engine drains, another is slow for a time."""
    testbed = read_testbed(
        f"""load {{ seconds: {seconds} rate: {rate} shape: SURGE peak: 2 }}
        faults {{ kind: SLOW engine: 1 at_ms: {seconds * 250} for_ms: {seconds * 250} amount: 0.4 }}
        faults {{ kind: DRAIN engine: 2 at_ms: {seconds * 400} for_ms: 1500 }}
        faults {{ kind: SUCCEED engine: 3 at_ms: {seconds * 600} }}""",
        "demo",
    )
    with console.progress("demo") as done:
        figures = trial(testbed, output_folder(out), progress=done)
    console.write_json(json_path, figures)
    print_run(figures, f"demo: {seconds:g} s")
    raise SystemExit(has_failed(figures))


@click.group()
def lab():
    """Testbeds of emulated engines, gateways and clients on loopback."""


lab.add_command(capacity)
lab.add_command(scale)


@lab.command()
@click.argument("world", type=click.Path())
@click.option("--out", type=click.Path(file_okay=False), help="Keep the run's files here.")
@console.json_option
@console.reports_errors(*USER_ERRORS)
def run(world, out, json_path):
    """Play a testbed from a settings file, and audit it."""
    testbed = read_file(world)
    with console.progress("run") as done:
        figures = trial(testbed, output_folder(out), progress=done)
    console.write_json(json_path, figures)
    print_run(figures, world)
    raise SystemExit(has_failed(figures))


@lab.command()
@click.option(
    "--seconds",
    type=click.FloatRange(2, 600),
    default=10.0,
    show_default=True,
    help="Before the flood, and of the flood.",
)
@click.option("--connections", type=click.IntRange(1, 20_000), default=1500, show_default=True)
@click.option(
    "--addresses",
    type=click.IntRange(1, 60_000),
    default=1,
    show_default=True,
    help="Addresses that the flood comes from.",
)
@click.option(
    "--sockets",
    type=click.IntRange(100, 100_000),
    default=400,
    show_default=True,
    help="Descriptors of the gateway.",
)
@click.option(
    "--gate/--no-gate", default=True, show_default=True, help="Known clients, their reserve and caps."
)
@click.option("--out", type=click.Path(file_okay=False), help="Keep the run's files here.")
@console.json_option
@console.reports_errors(*USER_ERRORS)
def flood(seconds, connections, addresses, sockets, gate, out, json_path):
    """Known clients with a query each, first alone, then amid a flood of connections with open queries."""
    from lichenquay.testbed.load_under_faults import measure_flood

    found = measure_flood(output_folder(out), seconds, connections, addresses, sockets, gate=gate)
    console.write_json(json_path, found)
    console.print_table(
        f"{connections} connections from {addresses} addresses, {sockets} descriptors",
        [(name, value) for name, value in found.items() if name != "broken_rules"],
    )
    for line in found["broken_rules"]:
        click.echo(f"broken: {line}")
    has_enough = found["depot_finished"] >= MIN_FINISHED_SHARE * found["depot_asked"]
    raise SystemExit(bool(found["silent"] or found["broken_rules"] or not has_enough))
