"""The HTML page of a scale run: need against budget by size on log scales, predictions and outcomes,
scenarios.

Plots are rendered as those of the load report.
"""

import html
from pathlib import Path

from lichenquay.load.page import figure_as_html, plt
from lichenquay.testbed.scale.roles import Role

# Half of each of a gateway's budgets: the targets for its control functions.
GATEWAY_BUDGET = {"cpu_share": 0.019, "kb": 64 * 1024, "bytes_per_s": 2500.0}
LABELS = {"cpu_share": "share of a core", "kb": "KB", "bytes_per_s": "bytes a second"}
STYLE = (
    "body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
)


def write_page(path: Path, figures: dict) -> None:
    """Writes one HTML file with its plots embedded."""
    parts = [
        "<!doctype html><meta charset=utf-8><title>Scale run</title>",
        f"<style>{STYLE}</style><h1>Scale run: {figures['fronts_hollow']} lightweight gateways</h1>",
        "<h2>Need against budget</h2>",
        *(need_against_budget(figures, cost) for cost in GATEWAY_BUDGET),
        "<h2>In force</h2>",
        in_force(figures),
        "<h2>Predicted and measured</h2>",
        predictions_table(figures),
        "<h2>Scenarios</h2>",
        scenarios_table(figures),
        "<h2>Figures</h2>",
        plain_table(figures),
    ]
    Path(path).write_text("".join(parts), encoding="utf-8")


def need_against_budget(figures: dict, cost: str) -> str:
    """Plots the cost of one member of each role by the number of gateways, with the gateway's budget as a
    line.
    """
    figure, plot = plt.subplots(figsize=(9, 4))
    for role in Role:
        points = [(size["fronts"], size[role][cost]) for size in figures["sizes"] if role in size]
        points = [(gateways, need) for gateways, need in points if need > 0]
        if points:
            plot.plot(*zip(*points, strict=True), marker="o", label=f"one {role.value}")
    plot.axhline(GATEWAY_BUDGET[cost], linestyle="--", color="black", label="half of a gateway's budget")
    plot.set_xscale("log")
    plot.set_yscale("log")
    plot.set_xlabel("gateways")
    plot.set_ylabel(LABELS[cost])
    plot.legend(fontsize="small")
    return figure_as_html(figure)


def in_force(figures: dict) -> str:
    """Plots percentiles of each scenario's changes, from proposal to in force."""
    measured = {
        name: scenario
        for name, scenario in figures["scenarios"].items()
        if scenario["in_force_p99_ms"] is not None
    }
    figure, plot = plt.subplots(figsize=(9, 4))
    names = list(measured)
    for key, label in (("in_force_p50_ms", "p50"), ("in_force_p99_ms", "p99"), ("in_force_max_ms", "max")):
        plot.plot(names, [measured[name][key] for name in names], marker="o", linestyle="", label=label)
    plot.set_yscale("log")
    plot.set_ylabel("ms")
    plot.tick_params(axis="x", rotation=30)
    plot.legend()
    return figure_as_html(figure)


def predictions_table(figures: dict) -> str:
    """Returns a table of each metric's prediction, its interval, and the outcome."""
    rows = []
    for name, predicted in figures["predicted"].items():
        holds = "yes" if figures["prediction_holds"][name] else "no"
        bounds = [cell_text(predicted[key]) for key in ("value", "low", "high")]
        rows.append((name, *bounds, cell_text(figures["measured"][name]), holds))
    return table(("metric", "predicted", "low", "high", "measured", "within"), rows)


def scenarios_table(figures: dict) -> str:
    """Returns a table of each scenario's figures and faults."""
    keys = ("changes", "pairs", "in_force_p50_ms", "in_force_p99_ms", "in_force_max_ms", "heal_s", "start_s")
    rows = [
        (name, *(cell_text(scenario[key]) for key in keys), "; ".join(scenario["done"]))
        for name, scenario in figures["scenarios"].items()
    ]
    return table(("scenario", *keys, "done"), rows)


def plain_table(figures: dict) -> str:
    """Returns a table of all figures that are single values."""
    rows = [(name, value) for name, value in figures.items() if not isinstance(value, dict | list)]
    rows += [("broken rule", line) for line in figures["broken_rules"]]
    rows += [("note", line) for line in figures["notes"]]
    return table(("figure", "value"), rows)


def table(heads, rows) -> str:
    """Returns an HTML table."""
    head = "".join(f"<th>{html.escape(str(cell))}</th>" for cell in heads)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) + "</tr>" for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def cell_text(value) -> str:
    """Returns a value as the text of a cell."""
    return "-" if value is None else f"{value:.4g}" if isinstance(value, float) else str(value)
