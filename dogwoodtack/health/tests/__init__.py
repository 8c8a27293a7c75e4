"""Tests of detection."""
