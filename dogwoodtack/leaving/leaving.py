"""Which back ends are leaving, from whichever source says so first."""

__all__ = ["Leaving"]


class Leaving:
    """Answer whether an instance must get no new work because it leaves."""

    def is_leaving(self, service: str, instance: str) -> bool:
        """Return whether any source has said that the instance is leaving."""
        return False

    def note_draining(self, service: str, instance: str) -> None:
        """Take an instance's own word, given in an answer, that it drains."""
