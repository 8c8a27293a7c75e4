"""A proxy fleet for back ends that fail partly."""

__version__ = "0.1.0"
__all__ = ["__version__"]
