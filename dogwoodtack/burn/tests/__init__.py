"""Tests of the burn rates."""
