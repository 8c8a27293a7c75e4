"""Which instances are out of work, never more than the floor allows."""

__all__ = ["Floor"]


class Floor:
    """Answer whether an instance is ejected or drained at this moment."""

    def is_removed(self, service: str, instance: str) -> bool:
        """Return whether an instance must get no new work."""
        return False
