"""Tests of the operators' intents."""
