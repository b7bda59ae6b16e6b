"""Checks the invariants of a scale run against the records of every gateway, with one line for each
violation.

A gateway's record is compared with the outcomes that the client received, never with what the processes
report about themselves.
"""

from collections import Counter
from dataclasses import dataclass, field

from lichenquay.testbed.scale.client import TimedProposal
from lichenquay.testbed.scale.digest import values_digest
from lichenquay.testbed.scale.latency import config_figures
from lichenquay.testbed.scale.record import NEVER, GatewayLifetime

ANSWERED = ("queries finished", "queries deferred", "queries killed")
MAX_VIOLATIONS_PER_RULE = 40  # For each rule; further violations are only counted.


@dataclass
class Findings:
    """Holds the counts of violations and one line for each of them."""

    out_of_order: int = 0
    two_versions_after_rest: int = 0
    never_in_force: int = 0
    broken_rules: list[str] = field(default_factory=list)


def audit(proposals: list[TimedProposal], lifetimes: list[GatewayLifetime], gateways_up: int) -> Findings:
    """Returns the findings of a run. `lifetimes`: every start of every gateway; `gateways_up`: how many
    should be running at the end, after the settling time.
    """
    findings = Findings()
    accepted = sorted((p for p in proposals if p.accepted_ms is not None), key=lambda p: p.version)
    violations = check_proposals(proposals, accepted)
    violations += check_order(lifetimes, findings)
    violations += check_queries(lifetimes)
    violations += check_final_state(accepted, lifetimes, gateways_up, findings)
    findings.never_in_force = config_figures(accepted, lifetimes).never_in_force
    if findings.never_in_force:
        violations.append(
            f"{findings.never_in_force} pairs of accepted change and gateway were never in force"
        )
    findings.broken_rules = violations
    return findings


def check_proposals(proposals: list[TimedProposal], accepted: list[TimedProposal]) -> list[str]:
    """Checks that every proposal has an outcome and that no two accepted changes share a version."""
    violations = []
    unknown = sum(not proposal.is_decided for proposal in proposals)
    if unknown:
        violations.append(f"{unknown} of {len(proposals)} proposals have no outcome")
    for before, after in zip(accepted, accepted[1:], strict=False):
        if before.version == after.version:
            violations.append(f"two accepted changes have version {after.version}")
    return truncated_list(violations)


def check_order(lifetimes: list[GatewayLifetime], findings: Findings) -> list[str]:
    """Checks that the version in force never goes back within a lifetime."""
    violations = []
    for lifetime in lifetimes:
        regressions = sum(
            after < before for before, after in zip(lifetime.versions, lifetime.versions[1:], strict=False)
        )
        findings.out_of_order += regressions
        if regressions:
            violations.append(f"{lifetime.name}: its version went back {regressions} times")
        if lifetime.truncated:
            violations.append(f"{lifetime.name}: its record is truncated, so its order can't be checked")
        if lifetime.prefixes_wrong:
            violations.append(
                f"{lifetime.name}: holds {lifetime.prefixes_wrong} keys outside its subscription"
            )
    return truncated_list(violations)


def check_queries(lifetimes: list[GatewayLifetime]) -> list[str]:
    """Checks that every query submitted at a lightweight gateway is answered once or still open, and that its
    controller raised no exception.
    """
    violations = []
    for lifetime in lifetimes:
        counts = Counter(lifetime.counts)
        answered = sum(counts[counter] for counter in ANSWERED)
        if counts["queries asked"] != answered + counts["queries open"]:
            violations.append(
                f"{lifetime.name}: {counts['queries asked']} queries asked, {answered} answered"
            )
        if counts["faults"]:
            violations.append(f"{lifetime.name}: its controller raised {counts['faults']} exceptions")
    return truncated_list(violations)


def check_final_state(
    accepted: list[TimedProposal], lifetimes: list[GatewayLifetime], gateways_up: int, findings: Findings
) -> list[str]:
    """Checks that every running gateway holds the newest version, and exactly the values of the accepted
    changes.
    """
    newest = accepted[-1].version if accepted else 0
    expected = expected_digest(accepted)
    running = [lifetime for lifetime in lifetimes if lifetime.ended_ms == NEVER]
    violations = []
    if len(running) != gateways_up:
        violations.append(f"{len(running)} gateways wrote a record up to the end, {gateways_up} were running")
    for lifetime in running:
        if lifetime.last_version != newest:
            violations.append(
                f"{lifetime.name}: version {lifetime.last_version} after the settling time, "
                f"{newest} is the newest"
            )
        elif lifetime.values_digest != expected:
            violations.append(f"{lifetime.name}: holds other values than version {newest} has")
        else:
            continue
        findings.two_versions_after_rest += 1
    return truncated_list(violations)


def expected_digest(accepted: list[TimedProposal]) -> str:
    """Returns the test bed's digest of the values that result from the accepted changes in order of
    version.
    """
    values = {}
    for proposal in accepted:
        for entry in proposal.entries:
            if entry.deleted:
                values.pop(entry.key, None)
            else:
                values[entry.key] = entry.value
    return values_digest(values)


def truncated_list(violations: list[str]) -> list[str]:
    """Returns the first `MAX_VIOLATIONS_PER_RULE` violations and a count of the others."""
    if len(violations) <= MAX_VIOLATIONS_PER_RULE:
        return violations
    return [
        *violations[:MAX_VIOLATIONS_PER_RULE],
        f"and {len(violations) - MAX_VIOLATIONS_PER_RULE} more of the kind",
    ]
