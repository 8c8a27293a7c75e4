"""Log events and metrics for changes of an instance's health."""

from aioprometheus import Counter, Gauge, Registry

from ..logs import log_event
from .messages import Explanation, Verdict

__all__ = ["HealthReport"]


class HealthReport:
    """Write a log event and update metrics on each change of a verdict."""

    def __init__(self, registry: Registry) -> None:
        self.suspect_gauge = Gauge(
            "dogwoodtack_instance_suspect",
            "1 while the evidence against an instance passes the threshold.",
            registry=registry,
        )
        self.changes_counter = Counter(
            "dogwoodtack_instance_verdict_changes_total",
            "Changes of the verdict by service, instance and signal.",
            registry=registry,
        )

    def on_change(self, service: str, verdict: Verdict, why: Explanation) -> None:
        """Report that an instance became unhealthy or healthy again."""
        labels = {"service": service, "instance": verdict.instance}
        self.suspect_gauge.set(labels, int(verdict.is_sick))
        self.changes_counter.inc({**labels, "signal": str(why.signal)})
        log_event(
            _event(verdict, why),
            service=service,
            instance=verdict.instance,
            score=why.score,
            signal=why.signal,
            requests=why.requests,
            window_s=why.window_s,
            hits=why.hits,
            total=why.total,
            allowed_share=why.peer_share,
            sources=why.sources,
            probation=why.on_probation,
            strikes=why.strikes,
        )


def _event(verdict: Verdict, why: Explanation) -> str:
    """Return the name of the event that reports a change."""
    if verdict.is_sick:
        return "instance-suspect"
    return "instance-well" if why.in_work else "instance-out-of-work"
