"""Which organisation a key belongs to, and whether a request needs one."""

from collections.abc import Iterable
from typing import NamedTuple

from ..errors import ErrorKind
from ..routing import Organisation
from .credentials import Credentials

__all__ = ["AccessRules", "Admission"]


class Admission(NamedTuple):
    """Whether a request may go on.

    Attributes:
        organisation: the organisation that sends it, None if it names none.
        error: why it may not, None if it may.
        detail: further explanation of the error; it quotes nothing of the request.
    """

    organisation: Organisation | None = None
    error: ErrorKind | None = None
    detail: str = ""


class AccessRules:
    """The keys of one configuration.

    Args:
        organisations: the organisations that have keys; None if callers need no key. A
            key of several organisations is valid for none of them, and so are all keys
            of an organisation whose name can't be sent in a header as it is.
    """

    def __init__(self, organisations: Iterable[Organisation] | None) -> None:
        self.requires_keys = organisations is not None
        self._by_digest: dict[str, Organisation | None] = {}
        for organisation in organisations or ():
            if _is_sendable(organisation.name):
                self._add_keys(organisation)

    def _add_keys(self, organisation: Organisation) -> None:
        for digest in set(organisation.key_digests):
            is_shared = digest in self._by_digest
            self._by_digest[digest] = None if is_shared else organisation

    @property
    def valid_keys(self) -> int:
        """Return how many keys are valid."""
        return sum(one is not None for one in self._by_digest.values())

    def check(self, credentials: Credentials, allows_anonymous: bool) -> Admission:
        """Return which organisation sends a request, or why it is rejected.

        Args:
            credentials: the request's credentials.
            allows_anonymous: whether the request's route needs no key.
        """
        if not self.requires_keys:
            return Admission()
        if credentials.is_ambiguous:
            return Admission(error=ErrorKind.BAD_REQUEST, detail=credentials.problem)
        organisation = self._by_digest.get(credentials.key_digest)
        if organisation is not None or allows_anonymous:
            return Admission(organisation)
        detail = credentials.problem
        if not detail:
            is_shared = credentials.key_digest in self._by_digest
            detail = "key of several organisations" if is_shared else "unknown key"
        return Admission(error=ErrorKind.UNAUTHORIZED, detail=detail)


def _is_sendable(name: str) -> bool:
    """Return whether instances receive a name in a header exactly as it is.

    Spaces at its ends would be lost, and it could be taken for another name.
    """
    try:
        name.encode()
    except UnicodeEncodeError:
        return False
    return bool(name) and name == name.strip() and name.isprintable()
