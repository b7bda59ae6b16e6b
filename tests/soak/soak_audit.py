"""Audits the history of a soak run; each check yields its findings."""

from collections import defaultdict
from itertools import combinations
from typing import NamedTuple

from lichenquay.gateway import frames

CROSSING_S = 0.05  # PROTOCOL: what crosses a close within this time is sent again
LATE_ANSWER_S = 0.5  # STANDING: later than this after its time, a request is lost
AFTER_LEAVING_S = 0.1  # STANDING: an attempt that begins later than this after its client left is a break
AFTER_DRAIN_S = 0.3  # 250 ms of the settings, and 50 ms on sockets
MAX_BUDGET_OVER_REST_S = 0.15  # STANDING: of the deadline passed to an engine, over what its client has left
AFTER_PAUSE_S = 0.1  # in which a process that was stopped when an answer was due gives it
SLACK_S = 0.05  # of the harness, besides its longest turn
MAX_MEMORY_GROWTH_MB = 32.0
MAX_MORE_DESCRIPTORS = 2


class Finding(NamedTuple):
    """A broken rule: when, which check found it, and the case."""

    at_s: float
    kind: str
    text: str


def audit(history, has_crowd):
    """Returns all findings in order of time. has_crowd: idle clients took all places."""
    findings = [
        *answers(history, has_crowd),
        *executions(history),
        *late_attempts(history),
        *budgets(history),
        *process(history),
    ]
    return sorted(findings)


def answers(history, has_crowd):
    """One whole final answer, in time and with rows that an engine made, for each request that was taken."""
    lag_s = history.max_lag_s + SLACK_S
    for request in history.requests:
        name = f"{request.group} {request.ref}"
        if len(request.answers) > 1:
            text = f"{name}: {len(request.answers)} answers"
            yield Finding(request.answers[1][2], "second answer", text)
        for code, body, answered_s in request.answers:
            due_s = _due_s(history, request, lag_s)
            if answered_s > due_s and request.left_s is None:
                text = f"{name}: answered {answered_s - due_s:.3f} s too late"
                yield Finding(answered_s, "late answer", text)
            is_completed = code == frames.AnswerCode.COMPLETED
            if is_completed and body not in history.results.get(request.ref, ()):
                text = f"{name}: rows that no engine made: {body[:60]!r}"
                yield Finding(answered_s, "foreign rows", text)
        if request.sent_s is None or request.answers or _left_in_time(history, request, lag_s):
            continue
        if has_crowd and request.is_rejected_connection:
            continue
        if request.closed_s is None or request.sent_s < request.closed_s - CROSSING_S - lag_s:
            text = f"{name}: no answer; closed {_relative(request.closed_s, request.sent_s)}"
            yield Finding(request.sent_s, "no answer", text)


def _left_in_time(history, request, lag_s):
    """Returns whether the client left while its answer was not overdue."""
    return request.left_s is not None and request.left_s <= _due_s(history, request, lag_s)


def _due_s(history, request, lag_s):
    """Returns when the answer to a request is due: a process that is stopped then answers once it goes on."""
    due_s = request.sent_s + request.allow_ms / 1000 + LATE_ANSWER_S + lag_s
    for from_s, to_s in history.pauses:
        if from_s <= due_s <= to_s + AFTER_PAUSE_S:
            due_s = to_s + AFTER_PAUSE_S + lag_s
    return due_s


def _relative(closed_s, sent_s):
    return "never" if closed_s is None else f"{closed_s - sent_s:.3f} s after it was sent"


def executions(history):
    """No two attempts of one request at once, and none after one that may have had an effect, if mutating."""
    attempts_by_ref = defaultdict(list)
    for attempt in history.attempts:
        attempts_by_ref[attempt.ref].append(attempt)
    for ref, attempts in attempts_by_ref.items():
        for first, second in combinations(attempts, 2):
            names = f"{first.group} {ref} at {first.engine} ({first.end or 'running'}) and {second.engine}"
            if first.ended_s is None or second.arrived_s < first.ended_s:
                yield Finding(second.arrived_s, "two attempts", f"two attempts at once: {names}")
            if first.group == "manifest" and first.executed:
                yield Finding(second.arrived_s, "mutating", f"mutating query sent again: {names}")


def late_attempts(history):
    """No attempt begins long after its client left, or after its engine's drain counted as told."""
    lag_s = history.max_lag_s + SLACK_S
    left_s = {request.ref: request.left_s for request in history.requests if request.left_s is not None}
    for attempt in history.attempts:
        late_s = attempt.began_s - left_s.get(attempt.ref, attempt.began_s)
        if late_s > AFTER_LEAVING_S + lag_s:
            text = f"{attempt.group} {attempt.ref}: begun {late_s:.3f} s after its client left"
            yield Finding(attempt.arrived_s, "client left", text)
        drained_s = history.drained_s.get(attempt.engine, attempt.began_s)
        if attempt.began_s - drained_s > AFTER_DRAIN_S + lag_s:
            text = f"{attempt.ref}: sent to {attempt.engine} after its drain"
            yield Finding(attempt.arrived_s, "drain", text)


def budgets(history):
    """No engine is told to work for longer than the client waits."""
    requests = {request.ref: request for request in history.requests}
    for attempt in history.attempts:
        request = requests[attempt.ref]
        if request.sent_s is None:  # the rest of it is on its way
            continue
        rest_s = request.sent_s + request.allow_ms / 1000 - attempt.began_s
        over_s = attempt.budget_ms / 1000 - rest_s
        if over_s > MAX_BUDGET_OVER_REST_S + history.max_lag_s + SLACK_S:
            text = f"{attempt.group} {attempt.ref}: deadline {over_s:.3f} s over what its client has left"
            yield Finding(attempt.arrived_s, "deadline", text)


def process(history):
    """The process ends by itself and without a fault, and gives back what it took."""
    end_s = history.events[-1][0]
    if history.was_killed:
        yield Finding(end_s, "not ended", "the gateway did not end before SIGKILL")
    elif history.exit_code != 0:
        yield Finding(end_s, "exit code", f"exit code {history.exit_code}")
    if "Traceback" in history.error_output:
        yield Finding(end_s, "traceback", f"traceback: {history.error_output[-2000:]}")
    if history.descriptors_after is not None:
        more = history.descriptors_after - history.descriptors_before
        if more > MAX_MORE_DESCRIPTORS:
            yield Finding(end_s, "descriptors", f"{more} more descriptors than at its start")
        if history.memory_growth_mb > MAX_MEMORY_GROWTH_MB:
            yield Finding(end_s, "memory", f"memory grown by {history.memory_growth_mb:.0f} MB")
