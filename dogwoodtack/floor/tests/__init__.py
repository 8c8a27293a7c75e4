"""Tests of the floor."""
