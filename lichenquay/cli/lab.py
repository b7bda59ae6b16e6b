"""`demo` and `lab`: whole worlds on this machine."""

import tempfile
from pathlib import Path

import click

from lichenquay.cli import say
from lichenquay.cli.capacity import capacity
from lichenquay.cli.scale import scale
from lichenquay.config.errors import ConfigurationError
from lichenquay.config.reader import read_file
from lichenquay.config.testbed_settings import read_testbed
from lichenquay.load.run import CannotRun
from lichenquay.load.trace import BadTrace
from lichenquay.testbed.trial import trial
from lichenquay.testbed.world import CannotStart

PLAIN = (ConfigurationError, BadTrace, CannotStart, CannotRun)
KEYS = (
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


def out_of(out):
    return Path(out) if out else Path(tempfile.mkdtemp(prefix="lichenquay-"))


def told(figures, title):
    value = figures.get("value_in_time") or {}
    say.table(title, [(k, figures.get(k)) for k in KEYS] + [("value in time", value.get("all"))])
    for line in figures["broken_rules"]:
        click.echo(f"broken: {line}")
    if figures["void"]:
        click.echo(f"void: {figures['why_void']}")
    click.echo(f"kept in {figures['out']}")


def failed(figures):
    """Whether a command has to end with 1."""
    return bool(figures["broken_rules"] or figures["silent"] or figures["void"] or figures["front_exit"])


@click.command()
@click.option("--seconds", type=click.FloatRange(1, 3600), default=10.0, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(1, 1e5), default=80.0, show_default=True, help="Queries a second."
)
@click.option("--out", type=click.Path(file_okay=False), help="Keep the run's files here.")
@say.json_option
@say.fails_plainly(*PLAIN)
def demo(seconds, rate, out, json_to):
    """A front amid four emulated engines under open-loop load, with an engine drained and another one slow on the way."""
    lab = read_testbed(
        f"""load {{ seconds: {seconds} rate: {rate} shape: SURGE peak: 2 }}
        faults {{ kind: SLOW engine: 1 at_ms: {seconds * 250} for_ms: {seconds * 250} amount: 0.4 }}
        faults {{ kind: DRAIN engine: 2 at_ms: {seconds * 400} for_ms: 1500 }}
        faults {{ kind: SUCCEED engine: 3 at_ms: {seconds * 600} }}""",
        "demo",
    )
    with say.progress("demo") as done:
        figures = trial(lab, out_of(out), progress=done)
    say.write_json(json_to, figures)
    told(figures, f"demo: {seconds:g} s")
    raise SystemExit(failed(figures))


@click.group()
def lab():
    """Worlds of emulated engines, fronts and clients on loopback."""


lab.add_command(capacity)
lab.add_command(scale)


@lab.command()
@click.argument("world", type=click.Path())
@click.option("--out", type=click.Path(file_okay=False), help="Keep the run's files here.")
@say.json_option
@say.fails_plainly(*PLAIN)
def run(world, out, json_to):
    """Play a world from a settings file, and audit it."""
    conf = read_file(world)
    with say.progress("run") as done:
        figures = trial(conf, out_of(out), progress=done)
    say.write_json(json_to, figures)
    told(figures, world)
    raise SystemExit(failed(figures))


@lab.command()
@click.option(
    "--seconds", type=click.FloatRange(2, 600), default=10.0, show_default=True, help="Of calm, and of flood."
)
@click.option("--connections", type=click.IntRange(1, 20_000), default=1500, show_default=True)
@click.option(
    "--addresses",
    type=click.IntRange(1, 60_000),
    default=1,
    show_default=True,
    help="That the flood comes from.",
)
@click.option(
    "--sockets",
    type=click.IntRange(100, 100_000),
    default=400,
    show_default=True,
    help="The front's descriptors.",
)
@click.option(
    "--gate/--no-gate", default=True, show_default=True, help="Known clients, their reserve and caps."
)
@click.option("--out", type=click.Path(file_okay=False), help="Keep the run's files here.")
@say.json_option
@say.fails_plainly(*PLAIN)
def flood(seconds, connections, addresses, sockets, gate, out, json_to):
    """Depot clients with a manifest each, in calm and then amid a flood of connections that always have a query open."""
    from lichenquay.testbed.load_under_faults import siege

    found = siege(out_of(out), seconds, connections, addresses, sockets, gate=gate)
    say.write_json(json_to, found)
    say.table(
        f"{connections} connections from {addresses} addresses, {sockets} descriptors",
        [(k, v) for k, v in found.items() if k != "broken_rules"],
    )
    for line in found["broken_rules"]:
        click.echo(f"broken: {line}")
    raise SystemExit(
        bool(
            found["silent"] or found["broken_rules"] or found["depot_finished"] < 0.99 * found["depot_asked"]
        )
    )
