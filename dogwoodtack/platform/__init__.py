"""The adapter to the users' platform: it only translates.

Names of the platform's wire and files stay in this package.
"""

from .directory import encode_addresses, parse_query
from .headers import HEADERS
from .settings import SETTINGS_VARIABLE, load_entry_settings, read_entry_settings
from .source import PlatformSource

__all__ = [
    "HEADERS",
    "PlatformSource",
    "SETTINGS_VARIABLE",
    "load_entry_settings",
    "read_entry_settings",
    "parse_query",
    "encode_addresses",
]
