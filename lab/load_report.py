"""Report of a load run: a latency histogram and counts by kind of response."""

import json
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

__all__ = ["PERCENTILES", "LoadReport"]

MIN_US = 1
MAX_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class LoadReport:
    """Latencies measured from each request's due time, so that stalls count in full."""

    def __init__(self) -> None:
        self.latencies = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
        self.kinds: Counter[str] = Counter()
        self.customers: Counter[str] = Counter()
        self.sent = 0
        self.late_sends = 0

    def record(self, kind: str, customer: str, latency_s: float, is_good: bool) -> None:
        """Record a request that has ended."""
        self.kinds[kind] += 1
        if is_good:
            self.customers[customer] += 1
        self.latencies.record_value(max(MIN_US, int(latency_s * 1e6)))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000

    def merge(self, other: "LoadReport") -> None:
        """Add the report of another process."""
        self.latencies.add(other.latencies)
        self.kinds.update(other.kinds)
        self.customers.update(other.customers)
        self.sent += other.sent
        self.late_sends += other.late_sends

    def as_json(self) -> dict[str, Any]:
        """Return the report as a JSON object; `histogram` is in HDR's encoding."""
        return {
            "sent": self.sent,
            "late_sends": self.late_sends,
            "answers": dict(self.kinds),
            "good_by_customer": dict(self.customers),
            "latency_ms": {
                str(percentile): self.percentile_ms(percentile)
                for percentile in PERCENTILES
            },
            "histogram": self.latencies.encode().decode(),
        }

    @classmethod
    def from_json(cls, text: str) -> "LoadReport":
        """Return the report from the JSON text of `as_json`."""
        data = json.loads(text)
        report = cls()
        report.sent = data["sent"]
        report.late_sends = data["late_sends"]
        report.kinds.update(data["answers"])
        report.customers.update(data["good_by_customer"])
        report.latencies = HdrHistogram.decode(data["histogram"])
        return report

    def as_text(self) -> str:
        """Return the report as human-readable text."""
        lines = [f"sent {self.sent}, of which {self.late_sends} more than 10 ms late"]
        for kind, count in self.kinds.most_common():
            lines.append(f"  {count:8d}  {kind}")
        for name, count in sorted(self.customers.items()):
            if name:
                lines.append(f"  {count:8d}  successful for customer {name}")
        for percentile in PERCENTILES:
            lines.append(
                f"  p{percentile:<5g} {self.percentile_ms(percentile):10.2f} ms"
            )
        return "\n".join(lines)
