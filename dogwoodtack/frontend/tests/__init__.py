"""Tests of the frontend."""
