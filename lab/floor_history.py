"""Merge entry hosts' logs into one history of the instances out of rotation.

Every host logs when it starts and stops treating an instance as ejected or drained, by
CLOCK_BOOTTIME, which all processes of one machine share.
"""

import math
import re
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Moment", "Span", "read_spans", "worst_moment"]

LINE = re.compile(
    r"event=(?P<event>ejected|returned|drained|undrained) service=(?P<service>\S+) "
    r"instance=(?P<instance>\S+) boottime=(?P<at>[0-9.]+)"
)
ENDS = {"returned": "ejected", "undrained": "drained"}


class Span(NamedTuple):
    """A period in which one host treated one instance as out of rotation.

    Attributes:
        host: the entry host.
        service: the service's name.
        instance: the instance's name.
        why: `ejected` or `drained`.
        begin: CLOCK_BOOTTIME in seconds.
        end: CLOCK_BOOTTIME in seconds.
    """

    host: str
    service: str
    instance: str
    why: str
    begin: float
    end: float


class Moment(NamedTuple):
    """The instances that any host treated as out of rotation at one time."""

    at: float
    instances: frozenset[str]


def read_spans(host: str, log_text: str, end: float = math.inf) -> list[Span]:
    """Return a host's spans; those still open end at `end`, when the process did."""
    spans = []
    begun: dict[tuple[str, str, str], float] = {}
    for match in LINE.finditer(log_text):
        event, service, instance, text = match.groups()
        at = float(text)
        if event not in ENDS:
            begun[service, instance, event] = at
            continue
        begin = begun.pop((service, instance, ENDS[event]), None)
        if begin is not None:
            spans.append(Span(host, service, instance, ENDS[event], begin, at))
    for (service, instance, why), begin in begun.items():
        spans.append(Span(host, service, instance, why, begin, end))
    return spans


def worst_moment(spans: Iterable[Span], service: str) -> Moment:
    """Return the moment at which most instances of a service were out of rotation."""
    mine = [span for span in spans if span.service == service]
    worst = Moment(0.0, frozenset())
    for moment in sorted({span.begin for span in mine}):
        out = frozenset(
            span.instance for span in mine if span.begin <= moment < span.end
        )
        if len(out) > len(worst.instances):
            worst = Moment(moment, out)
    return worst
