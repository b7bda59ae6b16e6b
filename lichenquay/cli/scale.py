"""`lab scale`: many hollow fronts, publishers and relays on this machine, measured and audited.

What it runs is imported when it is called, as that reaches over the whole tree.
"""

import json
import tempfile
from dataclasses import replace
from pathlib import Path

import click

from lichenquay.cli import say
from lichenquay.load.run import CannotRun
from lichenquay.testbed.world import CannotStart

ROLE_HEADS = ("role", "cpu_share", "kb", "bytes_per_s", "messages_per_s")
PREDICTION_HEADS = ("metric", "predicted", "low", "high", "measured", "within")
SCENARIO_HEADS = ("changes", "in_force_p50_ms", "in_force_p99_ms", "in_force_max_ms", "heal_s", "start_s")


@click.command()
@click.option("--full", is_flag=True, help="The long form: four sizes fitted, a larger one held out.")
@click.option("--virtual", is_flag=True, help="In virtual time: one size, no processes.")
@click.option("--engine-sweep", is_flag=True, help="24 fronts and 100 to 25,000 engines.")
@click.option(
    "--fronts",
    type=click.IntRange(20, 4400),
    default=4400,
    show_default=True,
    help="With --full: the size that is held out. With --virtual: the size.",
)
@click.option("--engines", type=click.IntRange(0, 25_000), default=100, show_default=True)
@click.option("--scenario", "only", multiple=True, help="Only this scenario; may be given again. Or: none.")
@click.option(
    "--real-fronts", type=click.IntRange(0, 8), help="Under load beside the hollow ones; --full: 2."
)
@click.option(
    "--queries",
    type=click.FloatRange(0, 20),
    default=0.0,
    show_default=True,
    help="A second, at a controller in each hollow front; 0: no controllers.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--out", type=click.Path(file_okay=False), help="Keep the run's files here.")
@say.json_option
@say.fails_plainly(CannotStart, CannotRun)
def scale(full, virtual, engine_sweep, fronts, engines, only, real_fronts, queries, seed, out, json_to):
    """Hollow fronts, publishers and relays: what they cost by size, and changes in force amid faults."""
    from lichenquay.testbed.scale import plans
    from lichenquay.testbed.scale.engine_sweep import EngineSweep
    from lichenquay.testbed.scale.figures import engine_figures_of, figures_of, virtual_figures_of
    from lichenquay.testbed.scale.runner import Runner
    from lichenquay.testbed.scale.virtual_run import VirtualRunner, plan_of

    if full + virtual + engine_sweep > 1:
        raise click.UsageError("--full, --virtual, --engine-sweep: one of them")
    if full and fronts <= plans.MIDDLE_SIZES[-1]:
        raise click.UsageError(f"--full: more than {plans.MIDDLE_SIZES[-1]} fronts are held out")
    folder = Path(out or tempfile.mkdtemp(prefix="lichenquay-scale-"))
    folder.mkdir(parents=True, exist_ok=True)
    with say.progress("scale") as done:
        if engine_sweep:
            figures = engine_figures_of(EngineSweep(folder, seed, done).run())
        elif virtual:
            plan = with_scenarios(plan_of(fronts, engines, seed), only)
            figures = virtual_figures_of(VirtualRunner(plan, done).run())
        else:
            plan = plans.full(seed, fronts, engines) if full else plans.short(seed, engines)
            plan = replace(plan, shape=replace(plan.shape, queries_per_s=queries))
            if real_fronts is not None:
                plan = replace(plan, real_fronts=real_fronts)
            figures = figures_of(Runner(with_scenarios(plan, only), folder, done).run())
    keep(figures, folder, json_to)
    tell(figures)
    click.echo(f"kept in {folder}")
    raise SystemExit(bool(figures["broken_rules"]))


def keep(figures, folder, json_to):
    """Figures as JSON, and the page of a run that has sizes."""
    from lichenquay.testbed.scale.report import write_page

    (folder / "report.json").write_text(json.dumps(figures, indent=1))
    if "sizes" in figures:
        write_page(folder / "report.html", figures)
    say.write_json(json_to, figures)


def with_scenarios(plan, only):
    """The plan with these scenarios alone; with all of its own where none is named."""
    if not only:
        return plan
    return replace(plan, scenarios=[one for one in plan.scenarios if one.name in only])


def tell(figures):
    """The figures as tables."""
    if "roles" in figures:
        roles = [(role, *cost.values()) for role, cost in figures["roles"].items()]
        say.table(f"{figures['fronts_hollow']} hollow fronts: of one member", roles, ROLE_HEADS)
    if "engine_sizes" in figures:
        tell_engine_sizes(figures["engine_sizes"])
    if "predicted" in figures:
        predicted = [
            (name, *(f"{one[key]:.4g}" for key in ("value", "low", "high")), *outcome_of(figures, name))
            for name, one in figures["predicted"].items()
        ]
        say.table("predicted and measured, at the size that was held out", predicted, PREDICTION_HEADS)
    for front in figures.get("real_fronts", ()):
        say.table(f"real front {front['name']}", [*front.items()][1:5] + [*front["report"].items()])
    if "scenarios" in figures:
        rows = [(name, *(one[key] for key in SCENARIO_HEADS)) for name, one in figures["scenarios"].items()]
        say.table("scenarios", rows, ("scenario", *SCENARIO_HEADS))
    plain = [(name, value) for name, value in figures.items() if not isinstance(value, dict | list)]
    config = [(f"config.{name}", value) for name, value in figures.get("config", {}).items()]
    say.table("all", plain + config)
    for line in figures["notes"]:
        click.echo(f"note: {line}")
    for line in figures["broken_rules"]:
        click.echo(f"broken: {line}")


def tell_engine_sizes(sizes):
    """One column for each number of engines."""
    from lichenquay.testbed.scale.report import cell_text

    names = [name for name in sizes[0] if name != "engines"]
    rows = [(name, *(cell_text(one.get(name)) for one in sizes)) for name in names]
    heads = ("of one member", *(str(one["engines"]) for one in sizes))
    say.table("24 hollow fronts, by engines", rows, heads)


def outcome_of(figures, name):
    """What was measured, and whether it lies within the interval."""
    measured = figures["measured"][name]
    return "-" if measured is None else f"{measured:.4g}", str(figures["prediction_holds"][name])
