"""Organisations of a soak: their keys and limits, their callers, and the checks."""

import time
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from dogwoodtack_standins.site import ExecutedRequest

from .callers import Call, Caller, Draft
from .site import Site

__all__ = [
    "CHANGES",
    "KEY_PREFIX",
    "LIMITED",
    "OrganisationCaller",
    "Organisations",
    "Terms",
    "Version",
    "check_calls",
    "check_limits",
    "known_since",
    "run_times",
]

# Its key is never taken away and its callers are never limited, so that the other
# checks have as many requests as without organisations.
UNLIMITED = "org-steady"
LIMITED = ("org-a", "org-b", "org-c")
KEY_PREFIX = "soak-key-"
CHANGES = ("key added", "key taken", "key replaced", "limit falls")
# Requests per second, also the burst. A surge is many times that, also at each host.
FIRST_RATE_PER_S = 8.0
LEAST_RATE_PER_S = 2.0
# The guaranteed time to the use of a version, by a host that was not disturbed for the
# other time.
CONFIG_S = 2.5
UNDISTURBED_S = 3.0
# The bound on what runs of an organisation in a window.
WINDOW_S = 5.0
OVER_FACTOR = 1.1
SLACK = 20
REQUEST_INTERVAL_S = 0.15
SURGE_INTERVAL_S = 0.04
UPLOAD_BYTES = (10_000, 300_000)
PIECE_BYTES = 16_384
# Pause of a slow sender after each piece, at most: up to 1.5 s for the longest body.
PIECE_PAUSE_S = 0.08
TENANT_SPELLINGS = (
    "X-Dogwoodtack-Tenant",
    "x-dogwoodtack-tenant",
    "X_Dogwoodtack_Tenant",
    "X-DOGWOODTACK_TENANT",
)


class Terms(NamedTuple):
    """Keys and limit of an organisation in one version; rate 0 is no limit."""

    keys: tuple[str, ...]
    rate_per_s: float = 0.0


class Version(NamedTuple):
    """The terms that were written at a monotonic time, by organisation."""

    at: float
    terms: dict[str, Terms]

    def has_key(self, key: str) -> bool:
        """Return whether a key is valid in this version."""
        return any(key in terms.keys for terms in self.terms.values())


class Organisations:
    """The organisations of a site.

    Attributes:
        history: the terms of each version, oldest first.
        owners: the organisation of each key that is or was valid.
    """

    def __init__(self) -> None:
        self.owners: dict[str, str] = {}
        terms = {UNLIMITED: Terms(self._new_key(UNLIMITED))}
        self.steady_key = terms[UNLIMITED].keys[0]
        for name in LIMITED:
            keys = self._new_key(name) + self._new_key(name)
            terms[name] = Terms(keys, FIRST_RATE_PER_S)
        self.history = [Version(time.monotonic(), terms)]

    @property
    def terms(self) -> dict[str, Terms]:
        """Return the newest terms."""
        return self.history[-1].terms

    def as_tenants(self) -> dict[str, Any]:
        """Return the newest terms as a part of the configuration."""
        return {
            name: {"apiKeys": keys, "priority": 1, "ratePerS": rate, "burst": rate}
            for name, (keys, rate) in self.terms.items()
        }

    def change(self, name: str, change: str) -> None:
        """Make one of the CHANGES; the last key is not taken without a new one."""
        keys, rate = self.terms[name]
        if change == "limit falls":
            rate = max(LEAST_RATE_PER_S, rate / 2)
        if change in ("key taken", "key replaced"):
            keys = keys[1:]
        if change in ("key added", "key replaced") or not keys:
            keys += self._new_key(name)
        terms = {**self.terms, name: Terms(keys, rate)}
        self.history.append(Version(time.monotonic(), terms))

    def _new_key(self, name: str) -> tuple[str]:
        key = f"{KEY_PREFIX}{len(self.owners):04d}"
        self.owners[key] = name
        return (key,)


class OrganisationCaller(Caller):
    """Sends requests of one organisation, some with other keys or forged names.

    Args:
        organisation: its organisation, whose keys it uses, also those taken away.
        is_surging: whether it sends as fast as responses come.
    """

    def __init__(
        self,
        site: Site,
        seed: int,
        number: int,
        organisation: str,
        is_surging: bool = False,
    ) -> None:
        super().__init__(site, seed, number)
        self._organisation = organisation
        self._is_surging = is_surging
        self.interval_s = SURGE_INTERVAL_S if is_surging else REQUEST_INTERVAL_S

    def _draw(self) -> Draft:
        key = self._draw_key()
        headers = {}
        if self._rng.random() < 0.25:
            headers[self._rng.choice(TENANT_SPELLINGS)] = UNLIMITED
        kinds = ("book", "look", *["book" if self._is_surging else "file"] * 2)
        kind = self._rng.choice(kinds)
        if kind != "file":
            return Draft(kind, b"b" if kind == "book" else None, key, headers)
        body = self._rng.randbytes(self._rng.randint(*UPLOAD_BYTES))
        pause_s = self._rng.choice((0.0, self._rng.uniform(0.0, PIECE_PAUSE_S)))
        return Draft(kind, body, key, headers, _slowly(body, pause_s))

    def _draw_key(self) -> str:
        draw = self._rng.random()
        if draw < 0.05:
            return ""
        if draw < 0.1:
            return f"unknown-{KEY_PREFIX}{self._rng.randrange(10_000)}"
        organisations, name = self._site.organisations, self._organisation
        if draw < 0.3:
            owners = list(organisations.owners.items())
            return self._rng.choice([key for key, owner in owners if owner == name])
        return self._rng.choice(organisations.terms[name].keys)


def _slowly(body: bytes, pause_s: float) -> Iterator[bytes]:
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]
        time.sleep(pause_s)


def known_since(disturbances: Iterable[tuple[float, float]], at: float) -> float:
    """Return from when on versions may be in force at a host at a time.

    Args:
        disturbances: begin and end of what kept the host from learning versions.
        at: monotonic time.
    """
    since = at
    for lost_at, back_at in sorted(disturbances, key=lambda one: one[1], reverse=True):
        if lost_at <= at and back_at + UNDISTURBED_S > since:
            since = min(since, lost_at)
    return since - CONFIG_S


def in_force(history: Sequence[Version], begin: float, end: float) -> list[Version]:
    """Return the versions that may be in force at some time between two."""
    replaced_at = [version.at for version in history[1:]] + [float("inf")]
    return [
        version
        for version, until in zip(history, replaced_at)
        if version.at <= end and until >= begin
    ]


def check_calls(
    calls: Iterable[Call],
    ran: Iterable[ExecutedRequest],
    organisations: Organisations,
    disturbances: dict[str, list[tuple[float, float]]],
) -> list[str]:
    """Find valid keys that got a 401, and runs without a valid key or its owner.

    Args:
        calls: the calls; only routes of non-idempotent ones need keys.
        ran: what instances ran.
        organisations: owners of keys, and versions.
        disturbances: begin and end of those of each host.
    """
    senders: dict[str, list[list[str]]] = defaultdict(list)
    for one in ran:
        # A key that has reached the instance is one of the values.
        senders[one.request_id].append([value for _, value in one.sender])
    violations = []
    begin = organisations.history[0].at
    for call in calls:
        since = known_since(disturbances[call.host], call.sent_at)
        versions = in_force(organisations.history, since, call.ended_at)
        valid = [version.has_key(call.key) for version in versions]
        allowed = [[organisations.owners[call.key]]] if any(valid) else []
        if not call.is_non_idempotent and not all(valid):
            allowed.append([])
        evidence = (
            f"{call.id} to {call.host} at {call.sent_at - begin:.2f} with {call.key!r},"
            f" valid in {sum(valid)} of {len(valid)} versions since"
            f" {since - begin:.2f},"
        )
        if call.status == 401 and (all(valid) or not call.is_non_idempotent):
            violations.append(f"{evidence} got 401")
        violations += [
            f"{evidence} ran as {names}"
            for names in senders[call.id]
            if names not in allowed
        ]
    return violations


def check_limits(
    times: dict[str, list[float]],
    history: Sequence[Version],
    disturbances: Sequence[tuple[float, float]],
) -> list[str]:
    """Find windows in which more requests of an organisation ran than may.

    Args:
        times: when requests ran, in order, by organisation.
        history: versions, oldest first.
        disturbances: begin and end of those of all hosts.
    """
    violations = []
    for name in times.keys() & set(LIMITED):
        for start in times[name]:
            end = start + WINDOW_S
            count = sum(start <= at < end for at in times[name])
            versions = in_force(history, known_since(disturbances, start), end)
            rate = max(version.terms[name].rate_per_s for version in versions)
            allowed = (rate * WINDOW_S + rate) * OVER_FACTOR + SLACK
            if count > allowed:
                violations.append(
                    f"{count} of {name} ran in {WINDOW_S} s"
                    f" from {start - history[0].at:.2f},"
                    f" allowed {allowed:.1f} at rate {rate}"
                )
                break
    return violations


def run_times(ran: Iterable[ExecutedRequest]) -> dict[str, list[float]]:
    """Return when each request first ran, by the organisation it ran as."""
    times: dict[str, list[float]] = defaultdict(list)
    seen: set[str] = set()
    for one in sorted(ran, key=lambda one: one.at):
        if one.sender and one.request_id not in seen:
            seen.add(one.request_id)
            times[one.sender[0][1]].append(one.at)
    return times
