"""Why a well-formed request becomes no query; the text of each error is sent as the request's answer."""

from lichenquay.gateway.errors import GatewayError
from lichenquay.gateway.frames import AnswerCode


class InvalidRequestError(GatewayError):
    """A well-formed request that is not a valid query."""

    code = AnswerCode.FAILED


class RequestRejectedError(InvalidRequestError):
    """A valid request that is rejected now but may be retried."""

    code = AnswerCode.REJECTED
