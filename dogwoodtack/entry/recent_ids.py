"""The ids of the last requests of a host."""

__all__ = ["RecentIds"]

# About a minute of requests at the most that one host serves.
MAX_IDS = 4096


class RecentIds:
    """Tells whether a request's id came before, among the last ones.

    Args:
        max_ids: number of ids that are remembered.
    """

    def __init__(self, max_ids: int = MAX_IDS) -> None:
        self._max_ids = max_ids
        # A dictionary keeps the order in which ids came.
        self._ids: dict[bytes, None] = {}

    def add(self, request_id: bytes) -> bool:
        """Remember an id and return whether it was remembered already."""
        is_repeated = request_id in self._ids
        self._ids.pop(request_id, None)
        self._ids[request_id] = None
        if len(self._ids) > self._max_ids:
            del self._ids[next(iter(self._ids))]
        return is_repeated
