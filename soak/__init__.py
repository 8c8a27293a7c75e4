"""Soak tests: real entry hosts in front of stand-ins, with injected faults."""
