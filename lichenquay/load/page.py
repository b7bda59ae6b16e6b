"""The HTML page of a run, one file with its plots and figures. Percentiles are by intended send time."""

import base64
import html
import io
from typing import NamedTuple

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402

BINS = 60
ENGINE_SAMPLES = 240
SPECTRUM_POINTS = 120
MIN_SECONDS = 0.1

STYLE = (
    "body{font:14px sans-serif;margin:2em}"
    "td,th{padding:2px 10px;text-align:right}td:first-child{text-align:left}"
)


class EngineSpan(NamedTuple):
    """The time in which a query ran at an engine, in milliseconds."""

    engine: str
    start_ms: float
    end_ms: float


def figure_as_html(figure):
    """Returns a figure as an HTML image with its data in it, and closes the figure."""
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=90, bbox_inches="tight")
    plt.close(figure)
    return f'<img src="data:image/png;base64,{base64.b64encode(out.getvalue()).decode()}">'


def plot_over_time(columns, seconds):
    """Returns the plot of latency percentiles and rates by the intended send time."""
    edges_ms = np.linspace(0, max(seconds, MIN_SECONDS) * 1000, BINS + 1)
    bins = np.clip(np.digitize(columns["at_ms"], edges_ms) - 1, 0, BINS - 1)
    centers_s = (edges_ms[:-1] + edges_ms[1:]) / 2000
    bin_seconds = (edges_ms[1] - edges_ms[0]) / 1000
    figure, (latency_plot, rate_plot) = plt.subplots(2, 1, figsize=(10, 6), sharex=True)
    _plot_percentiles(latency_plot, centers_s, bins, columns["answered_ms"] - columns["at_ms"])
    answered_ms = columns["answered_ms"][~np.isnan(columns["answered_ms"])]
    rate_plot.plot(centers_s, np.bincount(bins, minlength=BINS) / bin_seconds, label="asked")
    rate_plot.plot(centers_s, np.histogram(answered_ms, edges_ms)[0] / bin_seconds, label="answered")
    rate_plot.set_ylabel("a second")
    rate_plot.set_xlabel("s")
    rate_plot.legend()
    return figure_as_html(figure)


def _plot_percentiles(plot, centers_s, bins, latency_ms):
    is_answered = ~np.isnan(latency_ms)
    latency_by_bin = [latency_ms[(bins == number) & is_answered] for number in range(BINS)]
    for percentile, label in ((50, "p50"), (90, "p90"), (99, "p99"), (100, "max")):
        values = [np.percentile(values, percentile) if len(values) else np.nan for values in latency_by_bin]
        plot.plot(centers_s, values, label=label)
    plot.set_yscale("log")
    plot.set_ylabel("ms from the intended time")
    plot.legend(ncols=4)


def plot_spectrum(latency):
    """Returns the plot of latency against the share that is slower, from histograms by group."""
    figure, plot = plt.subplots(figsize=(10, 4))
    quantiles = 1 - np.logspace(0, -5, SPECTRUM_POINTS)
    for group, histogram in latency.items():
        if histogram.get_total_count():
            latency_ms = [histogram.get_value_at_percentile(100 * share) / 1000 for share in quantiles]
            plot.plot(1 / (1 - quantiles), latency_ms, label=group)
    plot.set_xscale("log")
    plot.set_yscale("log")
    plot.set_xlabel("one in so many is slower")
    plot.set_ylabel("ms")
    plot.legend()
    return figure_as_html(figure)


def plot_engines(ledger):
    """Returns the plot of the queries that run at each engine over time, '' if none ran."""
    spans = _engine_spans(ledger)
    if not spans:
        return ""
    start_ms = min(span.start_ms for span in spans)
    end_ms = max(span.end_ms for span in spans)
    times_ms = np.linspace(start_ms, end_ms, ENGINE_SAMPLES)
    figure = plt.figure(figsize=(10, 4))
    plot = figure.gca()
    for engine in sorted({span.engine for span in spans}):
        starts_ms = np.array([span.start_ms for span in spans if span.engine == engine])
        ends_ms = np.array([span.end_ms for span in spans if span.engine == engine])
        running = [((starts_ms <= time_ms) & (ends_ms > time_ms)).sum() for time_ms in times_ms]
        plot.plot((times_ms - start_ms) / 1000, running, label=engine)
    plot.set_xlabel("s")
    plot.set_ylabel("queries that run")
    plot.legend(ncols=4, fontsize="small")
    return figure_as_html(figure)


def _engine_spans(ledger):
    spans = []
    start_ms_by_query = {}
    for entry in ledger:
        if entry["kind"] == "start":
            start_ms_by_query[entry["engine"], entry["ref"]] = entry["ms"]
        elif entry["kind"] == "end":
            start_ms = start_ms_by_query.pop((entry["engine"], entry["ref"]), None)
            if start_ms is not None:
                spans.append(EngineSpan(entry["engine"], start_ms, entry["ms"]))
    return spans


def write_page(path, title, figures, columns, latency, ledger=()):
    """Writes the page of a run.

    Parameters
    ----------
    path: the file.
    title: the heading.
    figures: as `build_report` returns them; nested ones are left out, but for the groups.
    columns: of the run's queries, by name.
    latency: histograms in microseconds, by group.
    ledger: what each engine did, as entries of the ledger.
    """
    escaped_title = html.escape(title)
    text = (
        f"<!doctype html><meta charset=utf-8><title>{escaped_title}</title><style>{STYLE}</style>"
        f"<h1>{escaped_title}</h1>"
        f"<h2>Over time</h2>{plot_over_time(columns, figures['seconds'])}"
        f"<h2>Spectrum</h2>{plot_spectrum(latency)}"
        f"<h2>Engines</h2>{plot_engines(ledger)}"
        f"<h2>Groups</h2>{_groups_table(figures.get('groups', {}))}"
        f"<h2>Figures</h2>{_figures_table(figures)}"
    )
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)


def _figures_table(figures):
    rows = "".join(
        f"<tr><td>{html.escape(name)}</td><td>{html.escape(str(value))}</td></tr>"
        for name, value in figures.items()
        if not isinstance(value, dict)
    )
    return f"<table>{rows}</table>"


def _groups_table(groups):
    first_group = next(iter(groups.values()), {})
    headings = "".join(f"<th>{name}</th>" for name in first_group)
    rows = ""
    for group, figures in groups.items():
        cells = "".join(f"<td>{value}</td>" for value in figures.values())
        rows += f"<tr><td>{html.escape(group)}</td>{cells}</tr>"
    return f"<table><tr><th></th>{headings}</tr>{rows}</table>"
