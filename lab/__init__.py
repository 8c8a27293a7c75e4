"""Simulations, benchmarks and a demonstration; not part of the product."""

__all__: list[str] = []
