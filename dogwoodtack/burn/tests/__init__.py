"""Tests of the burn slice."""
