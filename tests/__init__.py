"""Tests that run separate processes."""
