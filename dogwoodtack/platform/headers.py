"""Names of the platform's request and response headers."""

from ..entry import HeaderNames

__all__ = ["HEADERS"]

HEADERS = HeaderNames(
    request_id=b"x-dogwoodtack-request-id",
    authorization=b"authorization",
    tenant=b"x-dogwoodtack-tenant",
    deadline_ms=b"x-dogwoodtack-deadline-ms",
    signature=b"x-dogwoodtack-response-signature",
    expected_instance=b"x-dogwoodtack-expected-instance",
    not_executed=b"x-dogwoodtack-not-executed",
    instance_id=b"x-dogwoodtack-instance-id",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    retry_after=b"retry-after",
)
