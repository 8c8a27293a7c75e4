"""Tests of modules that belong to no slice."""
