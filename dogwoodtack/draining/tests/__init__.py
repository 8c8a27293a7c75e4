"""Tests of draining instances."""
