"""Header names shared by callers, hosts and instances, and discovery queries."""

import math
from typing import NamedTuple

from ..backends import Header, ResponseHead

__all__ = [
    "AddressQuery",
    "DirectoryQuery",
    "HeaderNames",
    "ReadinessQuery",
    "find_header",
    "parse_retry_after",
]


class HeaderNames(NamedTuple):
    """Header names, in lower case.

    Attributes:
        request_id: identifies one attempt of a caller; instances echo it.
        authorization: carries the key of an organisation.
        tenant: tells instances the name of the organisation; only hosts set it.
        deadline_ms: milliseconds that the sender will wait for the response.
        signature: proves that a response comes from the instance.
        expected_instance: the only instance that may run the request.
        not_executed: on a response: the request was not run.
        instance_id: on a response: the instance that sent it.
        rate_limit: on a response: the requests per second that the instance takes
            from all hosts together; there is no limit without it.
        leaving: on a response: the instance leaves.
        retry_after: on a response: when to retry.
    """

    request_id: bytes
    authorization: bytes
    tenant: bytes
    deadline_ms: bytes
    signature: bytes
    expected_instance: bytes
    not_executed: bytes
    instance_id: bytes
    rate_limit: bytes
    leaving: bytes
    retry_after: bytes

    def set_by_host(self) -> frozenset[bytes]:
        """Return the request headers that a host sets itself."""
        return frozenset({self.deadline_ms, self.expected_instance})

    def identifying(self) -> frozenset[bytes]:
        """Return the request headers that say which organisation sends a request."""
        return frozenset({self.authorization, self.tenant})


class ReadinessQuery(NamedTuple):
    """Asks whether this host accepts requests of callers."""


class AddressQuery(NamedTuple):
    """Asks which entry hosts a caller may use.

    Attributes:
        host: the host name that the caller wants to reach.
        zone: the caller's availability zone.
    """

    host: str
    zone: str


DirectoryQuery = ReadinessQuery | AddressQuery


def parse_retry_after(head: ResponseHead, default_s: float) -> float:
    """Return the seconds of a response's Retry-After header, or a default."""
    try:
        seconds = float(head.header(b"retry-after") or default_s)
    except ValueError:
        return default_s
    return seconds if 0.0 <= seconds < math.inf else default_s


def find_header(headers: list[Header], name: bytes) -> bytes | None:
    """Return the first value of a header named in lower case, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None
