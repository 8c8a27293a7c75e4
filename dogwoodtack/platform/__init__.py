"""Adapter between the entry host and the users' platform.

The platform's protocol and file formats are known only to this package.
"""

from .directory import encode_addresses, parse_query
from .headers import HEADERS
from .settings import SETTINGS_VARIABLE, decode_entry_settings, load_entry_settings
from .source import PlatformSource

__all__ = [
    "HEADERS",
    "PlatformSource",
    "SETTINGS_VARIABLE",
    "load_entry_settings",
    "decode_entry_settings",
    "parse_query",
    "encode_addresses",
]
