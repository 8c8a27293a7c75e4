"""Experiments, measurements and the demonstration; not part of the product."""

__all__: list[str] = []
