"""Tests of the leaving slice."""
