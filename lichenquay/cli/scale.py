"""`lab scale`: many simulated gateways, publishers and relays on this machine, measured and audited.

What it runs is imported when it is called, as that reaches over the whole tree.
"""

import json
import tempfile
from dataclasses import replace
from pathlib import Path

import click

from lichenquay.cli import console
from lichenquay.load.errors import RunError
from lichenquay.testbed.world import WorldStartError

ROLE_HEADINGS = ("role", "cpu_share", "kb", "bytes_per_s", "messages_per_s")
PREDICTION_HEADINGS = ("metric", "predicted", "low", "high", "measured", "within")
SCENARIO_HEADINGS = ("changes", "in_force_p50_ms", "in_force_p99_ms", "in_force_max_ms", "heal_s", "start_s")


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
@console.json_option
@console.reports_errors(WorldStartError, RunError)
def scale(full, virtual, engine_sweep, fronts, engines, only, real_fronts, queries, seed, out, json_path):
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
    with console.progress("scale") as done:
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
    write_reports(figures, folder, json_path)
    print_figures(figures)
    click.echo(f"kept in {folder}")
    raise SystemExit(bool(figures["broken_rules"]))


def write_reports(figures, folder, json_path):
    """Figures as JSON, and the page of a run that has sizes."""
    from lichenquay.testbed.scale.report import write_page

    (folder / "report.json").write_text(json.dumps(figures, indent=1))
    if "sizes" in figures:
        write_page(folder / "report.html", figures)
    console.write_json(json_path, figures)


def with_scenarios(plan, only):
    """The plan with these scenarios alone; with all of its own where none is named."""
    if not only:
        return plan
    return replace(plan, scenarios=[one for one in plan.scenarios if one.name in only])


def print_figures(figures):
    """The figures as tables."""
    if "roles" in figures:
        roles = [(role, *cost.values()) for role, cost in figures["roles"].items()]
        console.print_table(f"{figures['fronts_hollow']} hollow fronts: of one member", roles, ROLE_HEADINGS)
    if "engine_sizes" in figures:
        print_engine_sizes(figures["engine_sizes"])
    if "predicted" in figures:
        predicted = [
            (name, *(f"{one[key]:.4g}" for key in ("value", "low", "high")), *measured_cells(figures, name))
            for name, one in figures["predicted"].items()
        ]
        console.print_table(
            "predicted and measured, at the size that was held out", predicted, PREDICTION_HEADINGS
        )
    for front in figures.get("real_fronts", ()):
        console.print_table(f"real front {front['name']}", [*front.items()][1:5] + [*front["report"].items()])
    if "scenarios" in figures:
        rows = [
            (name, *(one[key] for key in SCENARIO_HEADINGS)) for name, one in figures["scenarios"].items()
        ]
        console.print_table("scenarios", rows, ("scenario", *SCENARIO_HEADINGS))
    plain = [(name, value) for name, value in figures.items() if not isinstance(value, dict | list)]
    config = [(f"config.{name}", value) for name, value in figures.get("config", {}).items()]
    console.print_table("all", plain + config)
    for line in figures["notes"]:
        click.echo(f"note: {line}")
    for line in figures["broken_rules"]:
        click.echo(f"broken: {line}")


def print_engine_sizes(sizes):
    """One column for each number of engines."""
    from lichenquay.testbed.scale.report import cell_text

    names = [name for name in sizes[0] if name != "engines"]
    rows = [(name, *(cell_text(one.get(name)) for one in sizes)) for name in names]
    headings = ("of one member", *(str(one["engines"]) for one in sizes))
    console.print_table("24 hollow fronts, by engines", rows, headings)


def measured_cells(figures, name):
    """What was measured, and whether it lies within the interval."""
    measured = figures["measured"][name]
    return "-" if measured is None else f"{measured:.4g}", str(figures["prediction_holds"][name])
