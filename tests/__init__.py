"""Integration tests that start entry hosts and stand-ins as processes."""
