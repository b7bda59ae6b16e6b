"""Audits a run from the clients' records and the engines' ledger, without I/O.

Each check can fail: a test starts a gateway that breaks the check's rule (testbed/faulty_gateway.py) and
expects the finding.
"""

import json
from collections import Counter, defaultdict
from itertools import pairwise

import numpy as np

from lichenquay.config import lichenquay_pb2 as pb

NO_ANSWER, ANSWERED_LATE, ANSWERED_TWICE, UNKNOWN_ROWS = (
    "no answer",
    "answered late",
    "answered twice",
    "rows that no engine produced",
)
(
    MUTATION_RUN_TWICE,
    CONCURRENT_SUBMISSIONS,
    SENT_AFTER_DRAIN,
    COLD_ENGINE_OVERLOADED,
    COMPLETED_WITHOUT_RUN,
) = (
    "mutating query run twice",
    "two submissions at once",
    "sent after an announced drain",
    "cold engine overloaded",
    "completed without a run on an engine",
)
UNASKED_ANSWERS = "answers to queries that nobody asked"
ANSWER_TOLERANCE_MS = 100.0  # network delay to the client and rounding of its clock
DRAIN_TOLERANCE_MS = 300.0  # 250 ms to stop sending, and 50 ms for data already on sockets
MAX_EXAMPLES = 5


def read_ledger(path):
    """Returns the ledger's entries; drops a truncated last line and raises ValueError for any other
    unreadable one.
    """
    with open(path, encoding="utf-8") as file:
        lines = file.read().split("\n")
    entries = []
    for line_number, line in enumerate(lines, 1):
        if line:
            try:
                entries.append(json.loads(line))
            except ValueError:
                if line_number < len(lines):
                    raise ValueError(f"{path}: line {line_number} cannot be read") from None
    return entries


def submissions_of(ledger):
    """Returns (ref, engine, start_ms, end_ms) of each submission: from the complete POST until the query ends
    at that engine or is abandoned.
    """
    submissions, open_since_ms = [], {}
    for event in ledger:
        key = event["ref"], event["engine"]
        if event["kind"] == "post":
            open_since_ms.setdefault(key, event["ms"])
        elif event["kind"] in ("full", "end", "unread") and key in open_since_ms:
            submissions.append((*key, open_since_ms.pop(key), event["ms"]))
        elif event["kind"] in ("died", "fell"):
            for lost_key in [key for key in open_since_ms if key[1] == event["engine"]]:
                submissions.append((*lost_key, open_since_ms.pop(lost_key), event["ms"]))
    last_ms = ledger[-1]["ms"] if ledger else 0.0
    return submissions + [(*key, start_ms, last_ms) for key, start_ms in open_since_ms.items()]


def audit(columns, ledger, testbed):
    """Returns findings [(check, count, examples)] for the columns of the clients' queries."""
    findings = defaultdict(list)
    clients = zip(
        columns["ref"],
        columns["answers"],
        columns["left"],
        columns["code"],
        columns["odd"],
        columns["sent_ms"],
        columns["answered_ms"],
        columns["allowed"],
        strict=True,
    )
    completed, mutating_groups = (
        set(),
        {group.name for group in testbed.groups if group.effect == pb.MUTATING},
    )
    for ref, answers, client_left, code, has_wrong_rows, sent_ms, answered_ms, allowed_ms in clients:
        if not answers and not client_left and sent_ms == sent_ms:
            findings[NO_ANSWER].append(ref)
        if answers > 1:
            findings[ANSWERED_TWICE].append(ref)
        if code >= 0 and answered_ms - sent_ms > allowed_ms + ANSWER_TOLERANCE_MS:
            findings[ANSWERED_LATE].append(f"{ref}: {answered_ms - sent_ms:.0f} of {allowed_ms} ms")
        if has_wrong_rows:
            findings[UNKNOWN_ROWS].append(ref)
        if code == 0:
            completed.add(ref)
    groups = dict(zip(columns["ref"], columns["group"], strict=True))
    run_counts, drain_known_ms, finished_runs = Counter(), {}, set()
    for event in ledger:
        if event["kind"] == "start":
            run_counts[event["ref"]] += 1
        elif event["kind"] == "end" and event["ending"] == "finished":
            finished_runs.add(event["ref"])
        elif event["kind"] == "told":
            if event["state"] == "SERVING":
                drain_known_ms.pop(event["engine"], None)
            else:
                drain_known_ms.setdefault(event["engine"], event["ms"])
        elif (
            event["kind"] == "post"
            and event["ms"] > drain_known_ms.get(event["engine"], float("inf")) + DRAIN_TOLERANCE_MS
        ):
            findings[SENT_AFTER_DRAIN].append(
                f"{event['ref']} at {event['engine']}, "
                f"{event['ms'] - drain_known_ms[event['engine']]:.0f} ms after"
            )
        elif event["kind"] == "fell":
            findings[COLD_ENGINE_OVERLOADED].append(
                f"{event['engine']}: {event['sent_ms']} of {event['bound_ms']} ms"
            )
    findings[MUTATION_RUN_TWICE] += [
        ref for ref, count in run_counts.items() if count > 1 and groups.get(ref) in mutating_groups
    ]
    findings[COMPLETED_WITHOUT_RUN] += sorted(completed - finished_runs)
    submissions = defaultdict(list)
    for ref, engine, start_ms, end_ms in submissions_of(ledger):
        submissions[ref].append((start_ms, end_ms, engine))
    for ref, spans in submissions.items():
        spans.sort()
        for (_, end_ms, first_engine), (start_ms, _, second_engine) in pairwise(spans):
            if start_ms < end_ms - 1.0:
                findings[CONCURRENT_SUBMISSIONS].append(
                    f"{ref} at {first_engine} and {second_engine} for {end_ms - start_ms:.0f} ms"
                )
    return [
        (check, len(examples), examples[:MAX_EXAMPLES]) for check, examples in findings.items() if examples
    ]


def value_in_time(columns, testbed):
    """Returns earned over requested value, in all and by group and tenant, of queries whose clients stayed.

    A late answer earns its group's late value. The target is the group's `target_ms`; it isn't stretched with
    the query's work.
    """
    groups = {group.name: group for group in testbed.groups}
    value = np.array([groups[group].value for group in columns["group"]])
    target = np.array([groups[group].target_ms for group in columns["group"]])
    late_value = np.array([groups[group].late_value for group in columns["group"]])
    latency_ms = np.where(np.isnan(columns["answered_ms"]), np.inf, columns["answered_ms"] - columns["at_ms"])
    is_completed, client_stayed = columns["code"] == 0, ~columns["left"]
    earned = value * is_completed * np.where(latency_ms <= target, 1.0, late_value)

    def earned_share(rows):
        requested = float((value * rows).sum())
        return round(float((earned * rows).sum()) / requested, 4) if requested else None

    return {
        "all": earned_share(client_stayed),
        "groups": {name: earned_share(client_stayed & (columns["group"] == name)) for name in groups},
        "tenants": {
            tenant.name: earned_share(client_stayed & (columns["tenant"] == tenant.name))
            for tenant in testbed.tenants
        },
    }
