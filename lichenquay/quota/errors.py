"""The exceptions of this package."""


class QuotaError(Exception):
    """Base class of the errors of the quota package."""


class AccountTermsError(QuotaError, ValueError):
    """The settings of a tenant's account are not valid. The message is one line."""


class LedgerError(QuotaError):
    """A record or snapshot breaks an invariant of the ledger.

    A lost or repeated message never causes this.
    """


class UnknownVersionError(LedgerError):
    """A snapshot was written by another version: it is not damaged, but cannot be read here."""


class ImplausibleReportError(QuotaError):
    """A gateway reports totals that exceed its grants."""
