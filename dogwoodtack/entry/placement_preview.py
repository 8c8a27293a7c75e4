"""Where a request would go now, and why, without sending it.

All that a real request would change is read from copies: slots, queues, budgets,
buckets, the turn of a split and the random numbers stay as they are.
"""

import enum
import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from ..placement import (
    Candidate,
    PlacementRequest,
    Placer,
    Requirements,
    SelectionMode,
    expected_cost,
)
from ..quotas import Decision, Quotas
from ..routing import Configuration, Organisation, Route, TrafficSplitter
from .request import default_time_limit_s, max_runs

__all__ = [
    "PREVIEW_PATH",
    "CandidateRow",
    "HostView",
    "PreviewOutcome",
    "PlacementPreview",
    "Question",
    "parse_question",
    "preview_request",
]

PREVIEW_PATH = "/place"
# Costs and probabilities are shown with so many digits, times in milliseconds.
SHOWN_DIGITS = 3


class Question(NamedTuple):
    """The request that is asked about.

    Attributes:
        method: its method.
        host: the host name in its URL.
        target: its path and query.
        organisation: name of the organisation that sends it, empty if none.
    """

    method: str
    host: str
    target: str
    organisation: str = ""


class HostView(NamedTuple):
    """What an entry host decides by.

    Attributes:
        configuration: the configuration in force, None if there is none yet.
        find_route: returns the route of a host name and target, and the version.
        splitter: the turns of split routes.
        placer: the placer.
        quotas: the rate limits.
        response_kb: expected size of the responses in kilobytes, by route.
        is_cut_off: whether the paths to all instances are lost.
        are_keys_confirmed: whether the known keys may be relied on.
    """

    configuration: Configuration | None
    find_route: Callable[[str, str], tuple[Route | None, int]]
    splitter: TrafficSplitter
    placer: Placer
    quotas: Quotas
    response_kb: Mapping[str, float]
    is_cut_off: bool = False
    are_keys_confirmed: bool = True


class PreviewOutcome(enum.StrEnum):
    """What would become of the request.

    Attributes:
        PLACED: it would be sent to an instance at once.
        QUEUED: it would wait for a slot.
        HANDED_OVER: another host would get it, or it would be refused.
        REFUSED: it would be refused.
    """

    PLACED = "placed"
    QUEUED = "queued"
    HANDED_OVER = "handed-over"
    REFUSED = "refused"


class CandidateRow(NamedTuple):
    """What is known of one instance.

    Attributes:
        instance: its id.
        zone: its zone.
        in_flight: requests in flight on it.
        slots: its slots.
        unhealthy_probability: probability that it or the path to it is unhealthy.
        has_free_slot: whether this host may use a free slot there, and the body fits.
        expected_cost: cost of the request there, in units of one failed request;
            what is chosen by chance among nearly equal ones is not in it.
    """

    instance: str
    zone: str
    in_flight: int
    slots: int
    unhealthy_probability: float
    has_free_slot: bool
    expected_cost: float


class PlacementPreview(NamedTuple):
    """Where a request would go, and what that rests on.

    Attributes:
        question: the request.
        outcome: what would become of it.
        reason: why it would not be placed at once; empty if it would.
        instance: the first choice, empty if there is none.
        version: version of the configuration.
        route: name of its route, empty if there is none.
        kind: kind of the route.
        repeats: whether it may be repeated at another instance.
        priority: the route's priority.
        organisation_priority: the organisation's priority; None without one.
        services: the route's services and their weights.
        service: the service whose turn it is.
        rate_limit: the inputs of the rate limit's decision; None without a limit.
        admission_chance: how likely the rate limit admits it, 0 to 1.
        balancing: how the service's requests are spread.
        queue_length: requests that wait at this host for the service.
        expected_wait_s: how long it would wait if it had to, in seconds; None if
            there is no end in sight.
        candidates: the service's instances that accept requests, the best first.
    """

    question: Question
    outcome: PreviewOutcome
    reason: str = ""
    instance: str = ""
    version: int = 0
    route: str = ""
    kind: str = ""
    repeats: str = ""
    priority: int | None = None
    organisation_priority: int | None = None
    services: tuple[tuple[str, float], ...] = ()
    service: str = ""
    rate_limit: Decision | None = None
    admission_chance: float = 1.0
    balancing: str = ""
    queue_length: int = 0
    expected_wait_s: float | None = None
    candidates: tuple[CandidateRow, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Return it as a JSON object."""
        limit = self.rate_limit
        return {
            **self._asdict(),
            "question": self.question._asdict(),
            "services": [
                {"service": name, "weight": weight} for name, weight in self.services
            ],
            "rate_limit": None if limit is None else _rounded(limit._asdict()),
            "candidates": [one._asdict() for one in self.candidates],
        }


def parse_question(target: str) -> Question:
    """Decode the target of a call to `PREVIEW_PATH`.

    Raises:
        ValueError: a part of the request is missing or given twice, or is unknown.
    """
    query = parse_qs(
        urlsplit(target).query, keep_blank_values=True, strict_parsing=True
    )
    if any(len(values) > 1 for values in query.values()):
        raise ValueError("a parameter is given twice")
    fields = {name: values[0] for name, values in query.items()}
    missing = {"method", "host", "target"} - fields.keys()
    unknown = fields.keys() - set(Question._fields)
    if missing or unknown:
        raise ValueError("needs method, host and target; may have organisation")
    return Question(**fields)


def preview_request(question: Question, view: HostView, now: float) -> PlacementPreview:
    """Return where a request would go now.

    Args:
        question: the request; it has no body and no deadline of its own.
        view: what the host decides by; nothing in it is changed.
        now: seconds on the monotonic clock.
    """
    preview = PlacementPreview(question, PreviewOutcome.REFUSED)
    if view.configuration is None:
        return preview._replace(reason="503: no configuration is known yet")
    route, version = view.find_route(question.host, question.target)
    preview = preview._replace(version=version)
    if route is None:
        return preview._replace(reason="404: no route")
    preview = _with_route(preview, route)
    organisation = _find_organisation(view.configuration, question.organisation)
    refusal = _access_refusal(question, route, organisation, view)
    if refusal:
        return preview._replace(reason=refusal)
    if organisation is not None:
        preview = _with_rate_limit(preview, organisation, view.quotas, now)
        if preview.admission_chance <= 0.0:
            return preview._replace(reason="429: over the organisation's rate limit")
    return _with_placement(preview, route, organisation, view, now)


def _with_route(preview: PlacementPreview, route: Route) -> PlacementPreview:
    return preview._replace(
        route=route.name,
        kind=route.kind.value,
        repeats="if the store confirms the route" if max_runs(route) > 1 else "no",
        priority=route.priority,
        services=tuple(tuple(one) for one in route.weighted_services),
    )


def _find_organisation(configuration: Configuration, name: str) -> Organisation | None:
    known = configuration.organisations or ()
    return next((one for one in known if one.name == name), None)


def _access_refusal(
    question: Question, route: Route, organisation: Organisation | None, view: HostView
) -> str:
    """Return why a request is refused before it is placed, empty if it is not."""
    if question.organisation and organisation is None:
        return "no such organisation in this configuration"
    if view.configuration.organisations is None or route.allows_anonymous:
        return ""
    if organisation is None:
        return "401: the route needs a key; name an organisation"
    return "" if view.are_keys_confirmed else "503: keys are not confirmed"


def _with_rate_limit(
    preview: PlacementPreview, organisation: Organisation, quotas: Quotas, now: float
) -> PlacementPreview:
    return preview._replace(
        organisation_priority=organisation.priority,
        rate_limit=quotas.decision(organisation.name, now),
        admission_chance=round(
            quotas.admission_chance(organisation.name, now), SHOWN_DIGITS
        ),
    )


def _with_placement(
    preview: PlacementPreview,
    route: Route,
    organisation: Organisation | None,
    view: HostView,
    now: float,
) -> PlacementPreview:
    service = view.splitter.peek_service(route)
    placer = view.placer.snapshot(service)
    req = _placement_request(placer, service, route, organisation, view, now)
    found = placer.find(req, now)
    wait_s, rejection = placer.try_queue(req, now)
    if found is None and rejection is not None:
        found = placer.find_overflow(req, now)
    preview = preview._replace(
        service=service,
        balancing=placer.balancing.mode(service).value,
        queue_length=view.placer.queue_length(service),
        expected_wait_s=round(wait_s, SHOWN_DIGITS) if math.isfinite(wait_s) else None,
        candidates=_rows(placer, req, found, now),
    )
    if view.is_cut_off:
        return preview._replace(
            outcome=PreviewOutcome.HANDED_OVER, reason="this host reaches no instance"
        )
    if found is not None:
        return preview._replace(
            outcome=PreviewOutcome.PLACED, instance=found.instance.id
        )
    if rejection is not None:
        return preview._replace(reason=f"503: {rejection.detail}")
    return preview._replace(
        outcome=PreviewOutcome.QUEUED, reason="no instance is eligible at present"
    )


def _placement_request(
    placer: Placer,
    service: str,
    route: Route,
    organisation: Organisation | None,
    view: HostView,
    now: float,
) -> PlacementRequest:
    """Return the first placement of a request that has just arrived."""
    has_budget = placer.budget(service).remaining(now, placer.retry_budget_hosts, True)
    is_exploratory = max_runs(route) > 1 and has_budget > 1
    mode = SelectionMode.EXPLORATORY if is_exploratory else SelectionMode.CAUTIOUS
    deadline = now + default_time_limit_s(route)
    return PlacementRequest(
        service=service,
        requirements=Requirements(mode, view.response_kb.get(route.name, 1.0)),
        priority=route.priority,
        start_by=placer.start_by(service, now, route.objective_s, route.name),
        abandon_at=deadline - placer.service_time_s(service) / 2,
        arrived_at=now,
        on_decision=lambda decision: None,
        organisation="" if organisation is None else organisation.name,
        organisation_priority=0 if organisation is None else organisation.priority,
        route=route.name,
    )


def _rows(
    placer: Placer, req: PlacementRequest, found: Candidate | None, now: float
) -> tuple[CandidateRow, ...]:
    """Return the candidates: the first choice, those with a free slot, the others."""
    candidates = placer.candidates(req.service, now)
    free = {one.instance.id for one in placer.eligible(candidates, req)}
    first = None if found is None else found.instance.id
    balancing = placer.balancing.mode(req.service)
    rows = [
        CandidateRow(
            one.instance.id,
            one.instance.zone,
            one.in_flight,
            one.instance.slots,
            round(one.unhealthy_probability, SHOWN_DIGITS),
            one.instance.id in free,
            round(expected_cost(one, req.requirements, balancing), SHOWN_DIGITS),
        )
        for one in candidates
    ]
    rows.sort(
        key=lambda row: (
            row.instance != first,
            not row.has_free_slot,
            row.expected_cost,
            row.instance,
        )
    )
    return tuple(rows)


def _rounded(values: dict[str, float]) -> dict[str, float]:
    return {name: round(value, SHOWN_DIGITS) for name, value in values.items()}
