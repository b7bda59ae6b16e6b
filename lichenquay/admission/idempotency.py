"""Idempotency: conditions under which another attempt of a query cannot apply its effect twice."""

from operator import attrgetter

from lichenquay.admission.domain import (
    ALL_OUTCOMES,
    NEVER_EXECUTED,
    Attempt,
    DeduplicationScope,
    Effect,
    Engine,
    Query,
)

# Engines with equal values detect each other's duplicates. Scopes that are not listed span all engines.
_SCOPE_OF_ENGINE = {DeduplicationScope.ZONE: attrgetter("zone"), DeduplicationScope.CELL: attrgetter("cell")}


def may_have_executed(attempt: Attempt) -> bool:
    """Returns whether the attempt may have run, or may still run, on its engine."""
    return attempt.outcome not in NEVER_EXECUTED


def have_all_attempts_ended_harmlessly(query: Query) -> bool:
    """Returns whether all earlier attempts ended such that another one cannot repeat an effect.

    A non-idempotent query is sent again only if no attempt of it ever ran; otherwise its effect could be
    applied twice.
    """
    harmless = NEVER_EXECUTED if query.effect == Effect.NON_IDEMPOTENT else ALL_OUTCOMES
    return all(attempt.outcome in harmless for attempt in query.attempts)


def would_detect_duplicate(
    query: Query, engine: Engine, now_ms: float, slack_ms: float, ignored: Attempt | None = None
) -> bool:
    """Returns whether the engine would still detect the query as a duplicate, if an earlier attempt ran.

    `slack_ms` shortens the idempotency window, because the engine's clock differs from the gateway's.
    `ignored` is the attempt that is about to be sent. The result is always true for queries without an
    idempotency key. Without this rule, a retry in another scope or after the window would apply the effect
    twice.
    """
    if query.effect != Effect.IDEMPOTENT_WITH_KEY:
        return True
    group = query.group
    forgotten_ms = now_ms - group.idempotency_window_ms + slack_ms
    scope_of = _SCOPE_OF_ENGINE.get(group.deduplication_scope)
    for attempt in query.attempts:
        if attempt is ignored or not may_have_executed(attempt):
            continue
        if attempt.sent_ms <= forgotten_ms:
            return False
        if scope_of is not None and scope_of(attempt.engine) != scope_of(engine):
            return False
    return True


def is_client_retry_harmless(query: Query) -> bool:
    """Returns whether a client may safely send the query again, as a rejection with Retry-After says.

    The client's retry may reach any engine, so an idempotency key helps only if all engines share their
    record of keys. Otherwise a rejection of a query that ran invites the client to run it twice.
    """
    if query.effect == Effect.READ_ONLY:
        return True
    if (
        query.effect == Effect.IDEMPOTENT_WITH_KEY
        and query.group.deduplication_scope == DeduplicationScope.ALL
    ):
        return True
    return not any(may_have_executed(attempt) for attempt in query.attempts)
