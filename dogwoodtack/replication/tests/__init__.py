"""Tests of the spread of configuration."""
