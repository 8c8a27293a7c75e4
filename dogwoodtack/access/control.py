"""The access rules in force at a host, and whether its keys are still up to date."""

from collections.abc import Callable

from ..errors import ErrorKind
from ..routing import Organisation
from .credentials import Credentials
from .rules import AccessRules, Admission

__all__ = ["AccessControl"]


class AccessControl:
    """Check requests against the rules in force.

    Args:
        is_confirmed: returns whether the keys are recent enough to be relied on.
    """

    def __init__(self, is_confirmed: Callable[[], bool]) -> None:
        self._is_confirmed = is_confirmed
        self._rules = AccessRules(None)

    def set_organisations(self, organisations: tuple[Organisation, ...] | None) -> None:
        """Replace the rules by those of another configuration."""
        self._rules = AccessRules(organisations)

    @property
    def requires_keys(self) -> bool:
        """Return whether there are organisations, so that callers need keys."""
        return self._rules.requires_keys

    @property
    def valid_keys(self) -> int:
        """Return how many keys are valid."""
        return self._rules.valid_keys

    def check(self, credentials: Credentials, allows_anonymous: bool) -> Admission:
        """Return which organisation sends a request, or why it is rejected.

        While the keys can't be relied on, none is valid: requests that need one are
        rejected, and others go on without an organisation.

        Args:
            credentials: the request's credentials.
            allows_anonymous: whether the request's route needs no key.
        """
        admission = self._rules.check(credentials, allows_anonymous)
        if (
            not self.requires_keys
            or admission.error is ErrorKind.BAD_REQUEST
            or self._is_confirmed()
        ):
            return admission
        if allows_anonymous:
            return Admission()
        return Admission(error=ErrorKind.CUT_OFF, detail="keys are not confirmed")
