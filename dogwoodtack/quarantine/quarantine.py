"""Which requests are held back because they crash the instances that run them.

Load pattern: a request crashes each instance that begins to run it, and comes again and
again at any host.  Each crash also cuts innocent requests that are under way at the
instance, of which some come again as well.  A memory of each host alone is too late, so
hosts tell each other of the crashes, and one that succeeds is cleared everywhere.
"""

from collections import OrderedDict
from collections.abc import Iterable

from .messages import Crash, CrashReport

__all__ = ["Quarantine"]

# A request under which so many instances have crashed is sent to none.
QUARANTINE_CRASHES = 3
# From so many on it is not sent to a second instance: no retry and no hedge.
SUSPECT_CRASHES = 2
# After this time without a crash under it a request is sent again.  If it crashes one
# more instance, it is held back for as long again.
QUARANTINE_S = 3600.0
# Crashes before this time do not count.
MEMORY_S = 24 * 3600.0
# Instances that crash together, as when they lose power, count as one crash under a
# request that has succeeded before.
SIMULTANEOUS_S = 1.0
# What is news is reported for this long, so that a lost datagram does no harm.
REPEAT_S = 1.5
MAX_REPORTS = 64
MAX_SUSPECTS = 4096
MAX_SUCCEEDED = 4096


class _Suspicion:
    """The crashes under one request, by the start of the instance.

    Attributes:
        crashed_at: when each instance crashed.
        cleared: those before a success of the request.
        has_succeeded: whether the request has succeeded at any time.
        changed_at: when this host learned of any of it.
    """

    __slots__ = ("crashed_at", "cleared", "has_succeeded", "changed_at")

    def __init__(self, has_succeeded: bool, now: float) -> None:
        self.crashed_at: dict[str, float] = {}
        self.cleared: set[str] = set()
        self.has_succeeded = has_succeeded
        self.changed_at = now

    @property
    def last_crash_at(self) -> float:
        """Return the time of the latest crash."""
        return max(self.crashed_at.values())

    def crashes(self, now: float) -> int:
        """Return how many crashes count against the request."""
        times = sorted(
            at
            for start, at in self.crashed_at.items()
            if start not in self.cleared and now - at < MEMORY_S
        )
        if not self.has_succeeded:
            return len(times)
        gaps = (later - earlier for earlier, later in zip(times, times[1:]))
        separate = sum(1 for gap in gaps if gap > SIMULTANEOUS_S)
        return separate + 1 if times else 0

    def is_quarantined(self, now: float) -> bool:
        """Return whether the request is held back."""
        return (
            self.crashes(now) >= QUARANTINE_CRASHES
            and now - self.last_crash_at < QUARANTINE_S
        )

    def clear(self, now: float) -> None:
        """Record a success of the request."""
        if self.cleared != self.crashed_at.keys() or not self.has_succeeded:
            self.changed_at = now
        self.cleared.update(self.crashed_at)
        self.has_succeeded = True

    def merge(self, report: CrashReport, now: float) -> None:
        """Add what another host knows."""
        for crash in report.crashes:
            start = crash.instance_start
            if start not in self.crashed_at:
                self.crashed_at[start] = now - crash.age_s
                self.changed_at = now
            if crash.is_cleared != (start in self.cleared):
                # One of the two hosts does not know of the success yet.
                self.changed_at = now
            if crash.is_cleared:
                self.cleared.add(start)
        if report.has_succeeded and not self.has_succeeded:
            self.has_succeeded = True
            self.changed_at = now

    def report(self, digest: str, now: float) -> CrashReport:
        """Return what this host knows."""
        crashes = tuple(
            Crash(start, max(0.0, now - at), start in self.cleared)
            for start, at in self.crashed_at.items()
        )
        return CrashReport(digest, self.has_succeeded, crashes)


class Quarantine:
    """The requests under which instances have crashed, as known to all hosts.

    It does no input or output, and callers pass in the time.
    """

    def __init__(self) -> None:
        self._suspicions: dict[str, _Suspicion] = {}
        # Requests that have succeeded at this host, the latest last.
        self._succeeded: OrderedDict[str, None] = OrderedDict()

    def on_crash(self, digest: str, instance_start: str, now: float) -> bool:
        """Record that an instance crashed while a request was under way there.

        Args:
            digest: the request.
            instance_start: names the instance and its start.
            now: seconds on the monotonic clock.

        Returns:
            Whether the request is held back from now on.
        """
        crash = Crash(instance_start, 0.0, False)
        return self._merge(CrashReport(digest, False, (crash,)), now)

    def on_success(self, digest: str, now: float) -> None:
        """Record that a request has succeeded, which clears it of all crashes."""
        self._succeeded[digest] = None
        self._succeeded.move_to_end(digest)
        if len(self._succeeded) > MAX_SUCCEEDED:
            self._succeeded.popitem(last=False)
        suspicion = self._suspicions.get(digest)
        if suspicion is not None:
            suspicion.clear(now)

    def on_reports(self, reports: Iterable[CrashReport], now: float) -> list[str]:
        """Add what another host knows; return the requests newly held back."""
        return [report.digest for report in reports if self._merge(report, now)]

    def _merge(self, report: CrashReport, now: float) -> bool:
        digest = report.digest
        if not report.crashes:
            return False
        suspicion = self._suspicions.get(digest)
        was_quarantined = suspicion is not None and suspicion.is_quarantined(now)
        if suspicion is None:
            suspicion = _Suspicion(digest in self._succeeded, now)
        suspicion.merge(report, now)
        self._suspicions[digest] = suspicion
        if len(self._suspicions) > MAX_SUSPECTS:
            self._drop_least(now)
        return suspicion.is_quarantined(now) and not was_quarantined

    def _drop_least(self, now: float) -> None:
        """Forget the request with the fewest crashes, the oldest of several."""

        def weight(digest: str) -> tuple[int, float]:
            suspicion = self._suspicions[digest]
            return suspicion.crashes(now), suspicion.last_crash_at

        del self._suspicions[min(self._suspicions, key=weight)]

    def is_quarantined(self, digest: str, now: float) -> bool:
        """Return whether a request is sent to no instance."""
        suspicion = self._suspicions.get(digest)
        return suspicion is not None and suspicion.is_quarantined(now)

    def is_suspect(self, digest: str, now: float) -> bool:
        """Return whether a request is sent to one instance at most."""
        suspicion = self._suspicions.get(digest)
        return suspicion is not None and suspicion.crashes(now) >= SUSPECT_CRASHES

    def crashes(self, digest: str, now: float) -> int:
        """Return how many crashes count against a request."""
        suspicion = self._suspicions.get(digest)
        return 0 if suspicion is None else suspicion.crashes(now)

    def time_left_s(self, digest: str, now: float) -> float:
        """Return for how many more seconds a request is held back."""
        suspicion = self._suspicions.get(digest)
        if suspicion is None:
            return 0.0
        return max(0.0, suspicion.last_crash_at + QUARANTINE_S - now)

    def count(self, now: float) -> int:
        """Return how many requests are held back."""
        return sum(1 for one in self._suspicions.values() if one.is_quarantined(now))

    def held_back(self, now: float) -> list[CrashReport]:
        """Return what is known of the requests that are held back."""
        return [
            suspicion.report(digest, now)
            for digest, suspicion in self._suspicions.items()
            if suspicion.is_quarantined(now)
        ]

    def report(self, digest: str, now: float) -> CrashReport | None:
        """Return what is known of one request, None if that is nothing."""
        suspicion = self._suspicions.get(digest)
        return None if suspicion is None else suspicion.report(digest, now)

    def reports(self, now: float, only_news: bool = False) -> tuple[CrashReport, ...]:
        """Return what other hosts are told: what is news, and what is held back.

        Args:
            now: seconds on the monotonic clock.
            only_news: whether to leave out requests that have been held back for long.
        """
        told = [
            (suspicion.changed_at, digest)
            for digest, suspicion in self._suspicions.items()
            if now - suspicion.changed_at < REPEAT_S
            or (not only_news and suspicion.is_quarantined(now))
        ]
        latest = sorted(told, reverse=True)[:MAX_REPORTS]
        return tuple(
            self._suspicions[digest].report(digest, now) for _, digest in latest
        )
