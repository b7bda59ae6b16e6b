"""What an installation says of a tenant's account, checked. Errors: ValueError, in one line."""

from lichenquay.quota import quota_pb2 as pb

MOST_NAME = 64  # bytes; an ask with the longest names still is one datagram


def figures_of(tenant, rate_ms, bucket_ms, limit_ms=0.0, term_ms=60000.0, repay_share=0.5, lend_share=0.25):
    """`rate_ms` of engine work a second, up to `bucket_ms`; loans up to `limit_ms`, for `term_ms`, repaid by
    `repay_share` of what it accrues. It lends what is over `lend_share` of its bucket."""

    def must(holds, what):
        if not holds:
            raise ValueError(f"quota of {tenant!r}: {what}")

    must(0 < len(tenant.encode()) <= MOST_NAME, f"a name has 1 to {MOST_NAME} bytes")
    for name, value in ("rate", rate_ms), ("bucket", bucket_ms), ("limit", limit_ms):
        must(0 <= value < 1e12, f"{name} {value:g} is not from 0 to 1e12 ms")
    must(0 < term_ms < 1e12, f"term {term_ms:g} is not over 0 ms")
    must(0 < repay_share <= 1, f"repay share {repay_share:g} is not over 0, up to 1")
    must(0 <= lend_share <= 1, f"lend share {lend_share:g} is not from 0 to 1")
    paid = repay_share * rate_ms * term_ms / 1000
    must(limit_ms <= paid, f"a limit of {limit_ms:g} ms cannot be repaid in its term: {paid:g} ms are")
    return pb.Open(
        tenant=tenant,
        rate_us=round(rate_ms * 1000),
        bucket_us=round(bucket_ms * 1000),
        limit_us=round(limit_ms * 1000),
        term_ms=round(term_ms),
        repay_permille=round(repay_share * 1000),
        lend_permille=round(lend_share * 1000),
    )
