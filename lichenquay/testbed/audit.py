"""An audit of a run, from what the clients kept and what the engines wrote; free of I/O. Each check can fail, and tests let
each one (a front that breaks its rule on purpose)."""

import json
from collections import Counter, defaultdict

import numpy as np

from lichenquay.config import lichenquay_pb2 as pb

ONE_ANSWER, IN_TIME, NOTHING_AFTER, ROWS = (
    "no answer",
    "answered late",
    "answered twice",
    "rows that no engine made",
)
TWICE, COPIES, DRAINED, PUSHED, ORPHAN = (
    "mutating query run twice",
    "two submissions out",
    "sent after a told drain",
    "cold engine pushed over",
    "finished without an engine's run",
)
STRANGE = "answers to queries that nobody asked"
SLACK_MS = 100.0  # for the way to the client and its own clock
DRAIN_MS = 300.0  # 250 ms, and 50 ms on sockets
MOST_SHOWN = 5


def read_ledger(path):
    """The ledger's entries; a last line that was cut off is left out, any other that cannot be read is an error."""
    with open(path, encoding="utf-8") as file:
        lines = file.read().split("\n")
    entries = []
    for no, line in enumerate(lines, 1):
        if line:
            try:
                entries.append(json.loads(line))
            except ValueError:
                if no < len(lines):
                    raise ValueError(f"{path}: line {no} cannot be read") from None
    return entries


def lives_of(ledger):
    """(ref, engine, from, until) of each submission: from when it had come whole until it ended there or was given up."""
    lives, out = [], {}
    for x in ledger:
        key = x["ref"], x["engine"]
        if x["kind"] == "post":
            out.setdefault(key, x["ms"])
        elif x["kind"] in ("full", "end", "unread") and key in out:
            lives.append((*key, out.pop(key), x["ms"]))
        elif x["kind"] in ("died", "fell"):
            for k in [k for k in out if k[1] == x["engine"]]:
                lives.append((*k, out.pop(k), x["ms"]))
    last = ledger[-1]["ms"] if ledger else 0.0
    return lives + [(*k, since, last) for k, since in out.items()]


def audit(c, ledger, lab):
    """Findings: [(check, how many, examples)], for `c` columns of the clients' queries."""
    found = defaultdict(list)
    clients = zip(
        c["ref"], c["answers"], c["left"], c["code"], c["odd"], c["sent_ms"], c["answered_ms"], c["allowed"]
    )
    finished, mutating = set(), {g.name for g in lab.groups if g.effect == pb.MUTATING}
    for ref, answers, left, code, odd, sent, at, allowed in clients:
        if not answers and not left and sent == sent:
            found[ONE_ANSWER].append(ref)
        if answers > 1:
            found[NOTHING_AFTER].append(ref)
        if code >= 0 and at - sent > allowed + SLACK_MS:
            found[IN_TIME].append(f"{ref}: {at - sent:.0f} of {allowed} ms")
        if odd:
            found[ROWS].append(ref)
        if code == 0:
            finished.add(ref)
    groups = dict(zip(c["ref"], c["group"]))
    runs, drained, ended = Counter(), {}, set()
    for x in ledger:
        if x["kind"] == "start":
            runs[x["ref"]] += 1
        elif x["kind"] == "end" and x["ending"] == "finished":
            ended.add(x["ref"])
        elif x["kind"] == "told":
            if x["state"] == "SERVING":
                drained.pop(x["engine"], None)
            else:
                drained.setdefault(x["engine"], x["ms"])
        elif x["kind"] == "post" and x["ms"] > drained.get(x["engine"], float("inf")) + DRAIN_MS:
            found[DRAINED].append(
                f"{x['ref']} at {x['engine']}, {x['ms'] - drained[x['engine']]:.0f} ms after"
            )
        elif x["kind"] == "fell":
            found[PUSHED].append(f"{x['engine']}: {x['sent_ms']} of {x['bound_ms']} ms")
    found[TWICE] += [ref for ref, n in runs.items() if n > 1 and groups.get(ref) in mutating]
    found[ORPHAN] += sorted(finished - ended)
    lives = defaultdict(list)
    for ref, engine, since, until in lives_of(ledger):
        lives[ref].append((since, until, engine))
    for ref, spans in lives.items():
        spans.sort()
        for (_, until, one), (since, _, other) in zip(spans, spans[1:]):
            if since < until - 1.0:
                found[COPIES].append(f"{ref} at {one} and {other} for {until - since:.0f} ms")
    return [(check, len(what), what[:MOST_SHOWN]) for check, what in found.items() if what]


def value_of(c, lab):
    """Value in time over value asked for, in all and by group and tenant, of queries whose clients stayed. Late ones count
    their late share. The target grows with the work, as the fronts have it."""
    groups = {g.name: g for g in lab.groups}
    value = np.array([groups[g].value for g in c["group"]])
    target = np.array([groups[g].target_ms for g in c["group"]])
    late_value = np.array([groups[g].late_value for g in c["group"]])
    took = np.where(np.isnan(c["answered_ms"]), np.inf, c["answered_ms"] - c["at_ms"])
    done, stayed = c["code"] == 0, ~c["left"]
    got = value * done * np.where(took <= target, 1.0, late_value)

    def share(rows):
        asked = float((value * rows).sum())
        return round(float((got * rows).sum()) / asked, 4) if asked else None

    return {
        "all": share(stayed),
        "groups": {n: share(stayed & (c["group"] == n)) for n in groups},
        "tenants": {t.name: share(stayed & (c["tenant"] == t.name)) for t in lab.tenants},
    }
