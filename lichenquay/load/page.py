"""A run's page: one HTML file with plots and figures in it, by matplotlib. Percentiles are by intended send time."""

import base64
import html
import io

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402

BINS = 60


def picture(figure):
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=90, bbox_inches="tight")
    plt.close(figure)
    return f'<img src="data:image/png;base64,{base64.b64encode(out.getvalue()).decode()}">'


def over_time(c, seconds):
    """Latency percentiles and rates by the time at which queries were meant to go."""
    edges = np.linspace(0, max(seconds, 0.1) * 1000, BINS + 1)
    which = np.clip(np.digitize(c["at_ms"], edges) - 1, 0, BINS - 1)
    took = c["answered_ms"] - c["at_ms"]
    x, width = (edges[:-1] + edges[1:]) / 2000, (edges[1] - edges[0]) / 1000
    figure, (top, low) = plt.subplots(2, 1, figsize=(10, 6), sharex=True)
    for q, label in ((50, "p50"), (90, "p90"), (99, "p99"), (100, "max")):
        top.plot(
            x,
            [
                np.percentile(v, q) if len(v) else np.nan
                for v in (took[(which == b) & ~np.isnan(took)] for b in range(BINS))
            ],
            label=label,
        )
    top.set_yscale("log")
    top.set_ylabel("ms from the intended time")
    top.legend(ncols=4)
    answered = c["answered_ms"][~np.isnan(c["answered_ms"])]
    low.plot(x, np.bincount(which, minlength=BINS) / width, label="asked")
    low.plot(x, np.histogram(answered, edges)[0] / width, label="answered")
    low.set_ylabel("a second")
    low.set_xlabel("s")
    low.legend()
    return picture(figure)


def spectrum(latency):
    """Latency against the share that is slower, by the histograms."""
    figure, plot = plt.subplots(figsize=(10, 4))
    q = 1 - np.logspace(0, -5, 120)
    for name, h in latency.items():
        if h.get_total_count():
            plot.plot(1 / (1 - q), [h.get_value_at_percentile(100 * p) / 1000 for p in q], label=name)
    plot.set_xscale("log")
    plot.set_yscale("log")
    plot.set_xlabel("one in so many is slower")
    plot.set_ylabel("ms")
    plot.legend()
    return picture(figure)


def by_engine(ledger):
    """Queries that run at each engine over time."""
    spans, open_ = [], {}
    for x in ledger:
        if x["kind"] == "start":
            open_[x["engine"], x["ref"]] = x["ms"]
        elif x["kind"] == "end" and (x["engine"], x["ref"]) in open_:
            spans.append((x["engine"], open_.pop((x["engine"], x["ref"])), x["ms"]))
    if not spans:
        return ""
    begun, last = min(s[1] for s in spans), max(s[2] for s in spans)
    t, figure = np.linspace(begun, last, 240), plt.figure(figsize=(10, 4))
    plot = figure.gca()
    for engine in sorted({s[0] for s in spans}):
        mine = np.array([s[1:] for s in spans if s[0] == engine])
        plot.plot(
            (t - begun) / 1000, [((mine[:, 0] <= at) & (mine[:, 1] > at)).sum() for at in t], label=engine
        )
    plot.set_xlabel("s")
    plot.set_ylabel("queries that run")
    plot.legend(ncols=4, fontsize="small")
    return picture(figure)


def page(path, title, figures, c, latency, ledger=()):
    rows = "".join(
        f"<tr><td>{html.escape(k)}</td><td>{html.escape(str(v))}</td></tr>"
        for k, v in figures.items()
        if not isinstance(v, dict)
    )
    groups = "".join(
        f"<tr><td>{html.escape(g)}</td>" + "".join(f"<td>{v}</td>" for v in x.values()) + "</tr>"
        for g, x in figures.get("groups", {}).items()
    )
    heads = "".join(f"<th>{k}</th>" for k in next(iter(figures.get("groups", {}).values()), {}))
    text = (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><style>body{{font:14px sans-serif;margin:2em}}"
        f"td,th{{padding:2px 10px;text-align:right}}td:first-child{{text-align:left}}</style><h1>{html.escape(title)}</h1>"
        f"<h2>Over time</h2>{over_time(c, figures['seconds'])}<h2>Spectrum</h2>{spectrum(latency)}"
        f"<h2>Engines</h2>{by_engine(ledger)}<h2>Groups</h2><table><tr><th></th>{heads}</tr>{groups}</table>"
        f"<h2>Figures</h2><table>{rows}</table>"
    )
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
