"""Requests that crash the instances that run them."""

from .digest import request_digest

__all__ = ["request_digest"]
