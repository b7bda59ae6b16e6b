"""What must hold at the end of a scale run, checked against the records of every front; one line for each
break.

A front's record is compared with what the client was told, never with what the processes say of themselves.
"""

from collections import Counter
from dataclasses import dataclass, field

from lichenquay.testbed.scale.client import Proposal
from lichenquay.testbed.scale.digest import values_digest
from lichenquay.testbed.scale.latency import config_figures
from lichenquay.testbed.scale.record import NEVER, Life

ANSWERED = ("queries finished", "queries deferred", "queries killed")
MOST_LINES = 40  # Of breaks of one rule; the rest is counted.


@dataclass
class Findings:
    """Counts, and the lines of the breaks."""

    out_of_order: int = 0
    two_versions_after_rest: int = 0
    never_in_force: int = 0
    broken_rules: list[str] = field(default_factory=list)


def audit(proposals: list[Proposal], lives: list[Life], fronts_up: int) -> Findings:
    """`lives`: every start of every front; `fronts_up`: how many were meant to be up at the end, after
    rest.
    """
    findings = Findings()
    made = sorted((p for p in proposals if p.accepted_ms is not None), key=lambda p: p.version)
    lines = check_proposals(proposals, made)
    lines += check_order(lives, findings)
    lines += check_queries(lives)
    lines += check_rest(made, lives, fronts_up, findings)
    findings.never_in_force = config_figures(made, lives).never_in_force
    if findings.never_in_force:
        lines.append(f"{findings.never_in_force} pairs of accepted change and front were never in force")
    findings.broken_rules = lines
    return findings


def check_proposals(proposals: list[Proposal], made: list[Proposal]) -> list[str]:
    """Every proposal has an outcome, and no two changes one version."""
    lines = []
    unknown = sum(not proposal.is_over for proposal in proposals)
    if unknown:
        lines.append(f"{unknown} of {len(proposals)} proposals have no outcome")
    for before, after in zip(made, made[1:], strict=False):
        if before.version == after.version:
            lines.append(f"two accepted changes have version {after.version}")
    return shortened(lines)


def check_order(lives: list[Life], findings: Findings) -> list[str]:
    """A version in force never goes back within a life."""
    lines = []
    for life in lives:
        back = sum(after < before for before, after in zip(life.versions, life.versions[1:], strict=False))
        findings.out_of_order += back
        if back:
            lines.append(f"{life.name}: its version went back {back} times")
        if life.truncated:
            lines.append(f"{life.name}: more steps than are kept, so it can't be judged")
        if life.prefixes_wrong:
            lines.append(f"{life.name}: holds {life.prefixes_wrong} keys that it did not ask for")
    return shortened(lines)


def check_queries(lives: list[Life]) -> list[str]:
    """Every query that a hollow front's controller was asked is answered once or still open; no fault was
    caught.
    """
    lines = []
    for life in lives:
        counts = Counter(life.counts)
        answered = sum(counts[what] for what in ANSWERED)
        if counts["queries asked"] != answered + counts["queries open"]:
            lines.append(f"{life.name}: {counts['queries asked']} queries asked, {answered} answered")
        if counts["faults"]:
            lines.append(f"{life.name}: its controller met {counts['faults']} faults")
    return shortened(lines)


def check_rest(made: list[Proposal], lives: list[Life], fronts_up: int, findings: Findings) -> list[str]:
    """After rest every front that is up holds the newest version, and exactly the values of the accepted
    changes.
    """
    newest = made[-1].version if made else 0
    expected = expected_digest(made)
    up = [life for life in lives if life.ended_ms == NEVER]
    lines = []
    if len(up) != fronts_up:
        lines.append(f"{len(up)} fronts kept a record to the end, {fronts_up} were up")
    for life in up:
        if life.last != newest:
            lines.append(f"{life.name}: version {life.last} after rest, {newest} is the newest")
        elif life.values_digest != expected:
            lines.append(f"{life.name}: holds other values than version {newest} has")
        else:
            continue
        findings.two_versions_after_rest += 1
    return shortened(lines)


def expected_digest(made: list[Proposal]) -> str:
    """The lab's hash of what accepted changes, applied by version, lead to."""
    values = {}
    for proposal in made:
        for entry in proposal.entries:
            if entry.deleted:
                values.pop(entry.key, None)
            else:
                values[entry.key] = entry.value
    return values_digest(values)


def shortened(lines: list[str]) -> list[str]:
    """The first lines, and how many more there are."""
    if len(lines) <= MOST_LINES:
        return lines
    return [*lines[:MOST_LINES], f"and {len(lines) - MOST_LINES} more of the kind"]
