"""Tests of connections to back ends."""
