"""The names of the headers that callers, hosts and instances share."""

from typing import NamedTuple

from ..backends import Header

__all__ = ["AddressQuery", "DirectoryQuery", "HeaderNames", "ReadinessQuery"]


class HeaderNames(NamedTuple):
    """Header names, in lower case.

    Attributes:
        request_id: names one attempt of a caller; echoed by instances.
        deadline_ms: how many milliseconds the sender will wait.
        signature: proves that an answer is the instance's.
        expected_instance: the instance that alone may run the request.
        not_executed: on an answer: the request was not run.
        instance_id: on an answer: which instance gave it.
    """

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    expected_instance: bytes
    not_executed: bytes
    instance_id: bytes

    def set_by_host(self) -> frozenset[bytes]:
        """Return the request headers that a host sets itself."""
        return frozenset({self.deadline_ms, self.expected_instance})


class ReadinessQuery(NamedTuple):
    """Whether this host takes callers."""


class AddressQuery(NamedTuple):
    """Which addresses a caller may use.

    Attributes:
        host: the host name that the caller wants to reach.
        zone: the caller's availability zone.
    """

    host: str
    zone: str


DirectoryQuery = ReadinessQuery | AddressQuery


def find_header(headers: list[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None
