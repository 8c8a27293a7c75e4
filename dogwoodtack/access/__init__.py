"""Access: which organisation sends a request, and whether it may."""

from .contacts import StoreContacts
from .control import AccessControl
from .counts import OrganisationCounts
from .credentials import Credentials, canonical_name, parse_credentials
from .rules import AccessRules, Admission

__all__ = [
    "AccessControl",
    "AccessRules",
    "Admission",
    "Credentials",
    "OrganisationCounts",
    "StoreContacts",
    "canonical_name",
    "parse_credentials",
]
