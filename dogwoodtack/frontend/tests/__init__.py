"""Tests of the callers' door."""
