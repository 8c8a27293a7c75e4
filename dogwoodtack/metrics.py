"""Metrics of a node, by aioprometheus, rendered for the operator port."""

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render

from .frontend import RequestRecord

__all__ = ["Metrics"]


class Metrics:
    """Counters and gauges of a process."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = Counter(
            "dogwoodtack_requests_total",
            "Requests by service, outcome and status.",
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "dogwoodtack_requests_in_flight",
            "Requests under way.",
            registry=self.registry,
        )
        self.store_calls = Gauge(
            "dogwoodtack_store_calls",
            "Calls made to the platform's store since the start.",
            registry=self.registry,
        )

        self.keys = Gauge(
            "dogwoodtack_keys_remembered",
            "Idempotency keys remembered.",
            registry=self.registry,
        )
        self.key_answer_bytes = Gauge(
            "dogwoodtack_key_answer_bytes",
            "Bytes of answers kept for repeats.",
            registry=self.registry,
        )
        self.key_settlements = Gauge(
            "dogwoodtack_key_settlements",
            "Answers about keys, told to and got from other entry hosts, by word.",
            registry=self.registry,
        )

    def count_request(self, record: RequestRecord) -> None:
        """Count a completed request."""
        labels = {
            "service": record.service,
            "outcome": str(record.outcome),
            "status": str(record.status),
        }
        self.requests.inc(labels)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        content, _headers = render(self.registry, ["text/plain"])
        return content.decode()
