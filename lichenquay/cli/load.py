"""`load`: the load generator by itself."""

from pathlib import Path

import click

from lichenquay.cli import say
from lichenquay.cli.lab import KEYS, PLAIN, out_of
from lichenquay.config.reader import read_file
from lichenquay.config.testbed_settings import read_testbed
from lichenquay.load.run import Workers, report_of

OUT = click.option("--out", type=click.Path(file_okay=False), help="Keep the run's files here.")


@click.group()
def load():
    """Open-loop load: runs, traces, what the generator itself can do."""


@load.command()
@click.argument("target")
@click.option("--world", type=click.Path(), help="Settings: groups, tenants and the load.")
@click.option(
    "--trace", type=click.Path(), help="CSV or Parquet: queries as recorded, instead of arrivals and mix."
)
@click.option("--rate", type=click.FloatRange(0.01, 1e6), help="Queries a second.")
@click.option("--seconds", type=click.FloatRange(0.1, 86_400))
@OUT
@say.json_option
@say.fails_plainly(*PLAIN)
def run(target, world, trace, rate, seconds, out, json_to):
    """Send a load to a front at TARGET (127.0.0.1:PORT)."""
    host, _, port = target.rpartition(":")
    if not host.startswith("127.") or not port.isdigit():
        raise click.UsageError(f"TARGET: {target!r} is no loopback address with a port")
    conf = read_file(world) if world else read_testbed("")
    conf.load.trace = trace or conf.load.trace
    conf.load.rate, conf.load.seconds = rate or conf.load.rate, seconds or conf.load.seconds
    from lichenquay.testbed.trial import keep

    out = out_of(out)
    workers = Workers(conf, target, out)
    workers.start()
    with say.progress("load") as done:
        kept = workers.go(done)
    figures = {**report_of(kept, conf), "out": str(out)}
    keep(out, conf, kept, figures)
    say.write_json(json_to, figures)
    say.table(f"load on {target}", [(k, figures.get(k)) for k in KEYS if k in figures])
    if figures["void"]:
        click.echo(f"void: {figures['why_void']}")
    click.echo(f"kept in {out}")
    raise SystemExit(bool(figures["silent"] or figures["void"]))


@load.command()
@click.option("--seconds", type=click.FloatRange(4, 600), default=20.0, show_default=True)
@click.option("--rate", type=click.FloatRange(100, 2000), default=400.0, show_default=True)
@click.option("--stall-ms", type=click.FloatRange(50, 5000), default=500.0, show_default=True)
@OUT
@say.json_option
@say.fails_plainly(*PLAIN)
def stall(seconds, rate, stall_ms, out, json_to):
    """A deliberate stall, seen by an open loop and missed by a closed one of the same rate."""
    from lichenquay.load import proof

    with say.progress("stall") as done:
        found = proof.stall(out_of(out), rate, seconds, stall_ms, done)
    say.write_json(json_to, found)
    say.table(
        f"a stall of {stall_ms:g} ms at {rate:g} a second",
        [(k, found["open"][k], found["closed"].get(k)) for k in found["open"]],
        ("figure", "open loop", "closed loop"),
    )
    seen = found["open"]["p999_ms"] > stall_ms / 2 > found["closed"]["p999_ms"]
    click.echo("the open loop shows it, the closed loop misses it" if seen else "not shown")
    raise SystemExit(not seen or found["open"]["void"])


@load.command()
@click.option(
    "--seconds", type=click.FloatRange(1, 600), default=5.0, show_default=True, help="Of each step."
)
@click.option("--workers", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option(
    "--rates",
    default="1000,2000,3000,5000,7500,10000,12500",
    show_default=True,
    help="Steps, queries a second.",
)
@OUT
@say.json_option
@say.fails_plainly(*PLAIN)
def capacity(seconds, workers, rates, out, json_to):
    """The rate that the generator sustains against null servers, with its overhead."""
    from lichenquay.load import proof

    try:
        rates = [float(r) for r in rates.split(",")]
    except ValueError:
        raise click.UsageError(f"--rates: not numbers: {rates!r}") from None
    with say.progress("capacity") as done:
        found = proof.capacity(out_of(out), rates, seconds, workers, progress=done)
    say.write_json(json_to, found)
    keys = (
        "rate",
        "ok",
        "answered_per_s",
        "lag_p50_ms",
        "lag_p99_ms",
        "lag_max_ms",
        "p99_ms",
        "generator_cpu_share",
    )
    say.table("capacity", [[s[k] for k in keys] for s in found["steps"]], keys)
    click.echo(
        f"sustained: {found['sustained_per_s']:g} a second, lag p99 under {found['lag_bound_ms']:g} ms"
    )
    raise SystemExit(not found["sustained_per_s"])


@load.command()
@click.argument("a", type=click.Path(exists=True))
@click.argument("b", type=click.Path(exists=True))
@say.json_option
def compare(a, b, json_to):
    """Set two runs, or two folders of runs, side by side, with bootstrap intervals of the difference."""
    from lichenquay.load import compare as c

    try:
        rows = c.compare(c.runs_in(a), c.runs_in(b))
    except c.BadRun as why:
        raise click.ClickException(str(why)) from None
    heads = ("metric", "a", "b", "b - a", "low", "high")
    say.table(f"{a} (a) and {b} (b)", rows, heads)
    say.write_json(json_to, [dict(zip(heads, r)) for r in rows])


@load.command()
@click.argument("source", type=click.Path())
@click.argument("target", type=click.Path(), required=False)
@click.option("--world", type=click.Path(), help="Settings: groups and tenants that the trace names.")
@say.fails_plainly(*PLAIN)
def trace(source, target, world):
    """Check a trace; with TARGET, write it there as CSV or Parquet with all its columns."""
    from lichenquay.load.trace import read_trace, write_trace

    conf = read_file(world) if world else read_testbed("")
    plan = read_trace(source, conf, conf.seed)
    if target:
        if Path(target).suffix not in (".csv", ".parquet", ".pq"):
            raise click.UsageError(f"TARGET: {target!r} is neither .csv nor .parquet")
        write_trace(target, plan)
    click.echo(
        f"{source}: {len(plan['at_ms'])} queries, {plan['at_ms'][-1] / 1000 if len(plan['at_ms']) else 0:g} s"
    )
