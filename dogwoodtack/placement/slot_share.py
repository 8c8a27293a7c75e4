"""Whether a host leaves a free slot to the other hosts of its zone."""

import math

__all__ = ["SlotShare"]

# A peer learns of a free slot 10 ms after the end of a request, and needs a moment to
# use it.
YIELD_S = 0.012
# Nothing is left to others for this long after they did not use what was left.
UNWANTED_S = 0.25
# A host may hold this many times its equal share before it leaves slots to others.
TOLERATED_SHARE = 1.25
# With more slots for each host, one of its own becomes free soon enough.
MAX_SLOTS_PER_HOST = 8.0


class SlotShare:
    """Leave free slots to others for a moment while this host holds more than its part.

    Load pattern: every host has requests queued. The host at which a request ends is
    the first to know of the free slot. Where the hosts have two slots each, those that
    had none for a moment got none for long, and their urgent requests were rejected
    while other hosts served less urgent ones.
    """

    def __init__(self) -> None:
        # Since when free slots are left to others.
        self._since: float | None = None
        self._unwanted_until = -math.inf

    def must_yield(self, held: int, slots: float, hosts: int, now: float) -> bool:
        """Return whether a slot that is free is left to other hosts.

        Args:
            held: slots that this host's requests hold.
            slots: slots that the zone's hosts can count on.
            hosts: hosts that compete for them.
            now: seconds on the monotonic clock.
        """
        share = slots / max(1, hosts)
        may_take = held + 1 <= TOLERATED_SHARE * share or share > MAX_SLOTS_PER_HOST
        if hosts <= 1 or may_take or now < self._unwanted_until:
            self._since = None
            return False
        if self._since is None:
            self._since = now
        if now - self._since < YIELD_S:
            return True
        self._since = None
        self._unwanted_until = now + UNWANTED_S
        return False

    def on_none_free(self) -> None:
        """Note that the slots that were left to others are in use."""
        self._since = None
