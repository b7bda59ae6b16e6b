"""Validation of the settings of a tenant's account, and their conversion to the terms of the ledger."""

from lichenquay.quota import quota_pb2 as pb
from lichenquay.quota.errors import AccountTermsError

MAX_TENANT_NAME_BYTES = 64  # a token request with names of this length still fits in one datagram
MAX_AMOUNT_MS = 1e12


def account_terms(
    tenant: str,
    rate_ms: float,
    bucket_ms: float,
    limit_ms: float = 0.0,
    term_ms: float = 60_000.0,
    repay_share: float = 0.5,
    retained_share: float = 0.25,
) -> pb.Open:
    """Validates the settings of an account and returns its terms in whole microseconds.

    `rate_ms`: engine work that accrues per second, up to `bucket_ms`.
    `limit_ms`: the maximum debt of the tenant; a loan is due after `term_ms`.
    `repay_share`: the share of its accrual that repays its debt.
    `retained_share`: the share of its bucket that it never lends.

    Raises AccountTermsError.
    """

    def require(condition: bool, expectation: str) -> None:
        if not condition:
            raise AccountTermsError(f"quota of {tenant!r}: {expectation}")

    name_bytes = len(tenant.encode())
    require(
        0 < name_bytes <= MAX_TENANT_NAME_BYTES,
        f"a name of {name_bytes} bytes is not from 1 to {MAX_TENANT_NAME_BYTES} bytes",
    )
    for name, value in (("rate", rate_ms), ("bucket", bucket_ms), ("limit", limit_ms)):
        require(0 <= value < MAX_AMOUNT_MS, f"{name} {value:g} is not from 0 to 1e12 ms")
    require(0 < term_ms < MAX_AMOUNT_MS, f"term {term_ms:g} is not over 0 and under 1e12 ms")
    require(0 < repay_share <= 1, f"repay share {repay_share:g} is not over 0, up to 1")
    require(0 <= retained_share <= 1, f"lend share {retained_share:g} is not from 0 to 1")
    repayable_ms = repay_share * rate_ms * term_ms / 1000
    require(
        limit_ms <= repayable_ms,
        f"a limit of {limit_ms:g} ms cannot be repaid in its term: {repayable_ms:g} ms can",
    )
    return pb.Open(
        tenant=tenant,
        rate_us=round(rate_ms * 1000),
        bucket_us=round(bucket_ms * 1000),
        limit_us=round(limit_ms * 1000),
        term_ms=round(term_ms),
        repay_permille=round(repay_share * 1000),
        lend_permille=round(retained_share * 1000),
    )
