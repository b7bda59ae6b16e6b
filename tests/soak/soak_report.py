"""The report on one soak run: its summary, and the findings with the history around them."""

from collections import Counter

MAX_SHOWN = 5  # findings; more if there are more kinds


def report(seed, fault, history, findings):
    """Returns the lines on one run."""
    codes = Counter(answer[0] for request in history.requests for answer in request.answers)
    summary = (
        f"seed {seed}: {len(findings)} findings; {len(history.requests)} requests, "
        f"{dict(sorted(codes.items()))} answers, {len(history.attempts)} attempts; "
        f"ended {history.ending_s:.2f} s after SIGTERM, lag {history.max_lag_s:.3f} s; "
        f"{len(history.pauses)} pauses, {history.lost_polls} lost polls"
    )
    command = f"scripts/soak --seed {seed}" + (f" --fault '{fault}'" if fault else "")
    lines = [summary, *(line for line in history.error_output.splitlines() if line.startswith("struck "))]
    shown = findings_to_show(findings)
    for at_s, _, text in shown:
        lines += [f"  {command}: {at_s - history.started_s:.3f} s: {text}", *history.lines_around(at_s)]
    left_out = Counter(finding.kind for finding in findings) - Counter(finding.kind for finding in shown)
    if findings:
        lines += ["  the gateway's log:", *(f"    {line}" for line in history.error_output.splitlines())]
    lines += [f"  not shown: {count} of the kind {kind!r}" for kind, count in sorted(left_out.items())]
    return lines


def findings_to_show(findings):
    """Returns the first finding of each kind, and further ones up to `MAX_SHOWN`, in order of time."""
    first_of_kind = {finding.kind: finding for finding in reversed(findings)}.values()
    others = [finding for finding in findings if finding not in first_of_kind]
    return sorted([*first_of_kind, *others[: max(0, MAX_SHOWN - len(first_of_kind))]])
