"""Organisations of a soak: their keys and limits, their callers, and the checks."""

import itertools
import threading
import time
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from dogwoodtack_standins.site import ExecutedRequest

from .callers import Call, Caller, Draft
from .site import Site

__all__ = [
    "LIMITED",
    "UNLIMITED",
    "OrganisationCaller",
    "Organisations",
    "Terms",
    "Version",
    "check_keys",
    "check_limits",
    "check_senders",
    "KEY_PREFIX",
    "known_since",
    "run_times",
]

# Its key is never taken away and its callers are never limited, so that the other
# checks have as many requests as without organisations.
UNLIMITED = "org-steady"
LIMITED = ("org-a", "org-b", "org-c")
KEY_PREFIX = "soak-key-"
FIRST_KEYS = 2
FIRST_RATE_PER_S = 24.0
LEAST_RATE_PER_S = 3.0
# The guaranteed time to the use of a version, by a host that was not disturbed for the
# other time.
CONFIG_S = 2.5
UNDISTURBED_S = 3.0
# The bound on what runs of an organisation in a window.
WINDOW_S = 5.0
OVER_FACTOR = 1.1
SLACK = 20
REQUEST_INTERVAL_S = 0.1
SURGE_INTERVAL_S = 0.03
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
    burst: float = 0.0


class Version(NamedTuple):
    """The terms that were written at a monotonic time, by organisation."""

    at: float
    terms: dict[str, Terms]

    def has_key(self, key: str) -> bool:
        """Return whether a key is valid in this version."""
        return any(key in terms.keys for terms in self.terms.values())


class Organisations:
    """The organisations of a site and their history.

    Attributes:
        history: the terms of each version, oldest first.
        owners: the organisation of each key that is or was valid.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._numbers = itertools.count()
        self.owners: dict[str, str] = {}
        terms = {UNLIMITED: Terms((self._new_key(UNLIMITED),))}
        for name in LIMITED:
            keys = tuple(self._new_key(name) for _ in range(FIRST_KEYS))
            terms[name] = Terms(keys, FIRST_RATE_PER_S, FIRST_RATE_PER_S)
        self.history = [Version(time.monotonic(), terms)]

    @property
    def terms(self) -> dict[str, Terms]:
        """Return the newest terms."""
        return self.history[-1].terms

    def steady_key(self) -> str:
        """Return the key that is valid throughout."""
        return self.terms[UNLIMITED].keys[0]

    def keys_ever(self, name: str) -> list[str]:
        """Return the keys that an organisation has or had, oldest first."""
        return [key for key, owner in list(self.owners.items()) if owner == name]

    def as_tenants(self) -> dict[str, Any]:
        """Return the newest terms as a part of the configuration."""
        return {
            name: {
                "apiKeys": list(terms.keys),
                "priority": 1,
                "ratePerS": terms.rate_per_s,
                "burst": terms.burst,
            }
            for name, terms in self.terms.items()
        }

    def add_key(self, name: str) -> None:
        """Add a key."""
        with self._lock:
            old = self.terms[name]
            self._set(name, old._replace(keys=(*old.keys, self._new_key(name))))

    def take_key(self, name: str, replaces: bool) -> None:
        """Take the oldest key away; the last one is always replaced."""
        with self._lock:
            old = self.terms[name]
            keys = old.keys[1:]
            if replaces or not keys:
                keys = (*keys, self._new_key(name))
            self._set(name, old._replace(keys=keys))

    def lower_limit(self, name: str) -> None:
        """Halve the limit."""
        with self._lock:
            old = self.terms[name]
            rate = max(LEAST_RATE_PER_S, old.rate_per_s / 2)
            self._set(name, old._replace(rate_per_s=rate, burst=rate))

    def _set(self, name: str, terms: Terms) -> None:
        self.history.append(Version(time.monotonic(), {**self.terms, name: terms}))

    def _new_key(self, name: str) -> str:
        key = f"{KEY_PREFIX}{next(self._numbers):04d}"
        self.owners[key] = name
        return key


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
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        if self._rng.random() < 0.25:
            headers[self._rng.choice(TENANT_SPELLINGS)] = UNLIMITED
        kinds = ("book", "look") if self._is_surging else ("book", "look", "file")
        kind = self._rng.choice(kinds)
        if kind == "look":
            return Draft(False, kind, headers=headers, key=key, needs_key=False)
        if kind == "book":
            return Draft(True, kind, b"b", headers, key)
        body = self._rng.randbytes(self._rng.randint(*UPLOAD_BYTES))
        pause_s = self._rng.choice((0.0, self._rng.uniform(0.0, PIECE_PAUSE_S)))
        return Draft(True, kind, body, headers, key, pieces=_slowly(body, pause_s))

    def _draw_key(self) -> str:
        organisations = self._site.organisations
        draw = self._rng.random()
        if draw < 0.05:
            return ""
        if draw < 0.1:
            return f"unknown-{KEY_PREFIX}{self._rng.randrange(10_000)}"
        if draw < 0.3:
            return self._rng.choice(organisations.keys_ever(self._organisation)[-4:])
        return self._rng.choice(organisations.terms[self._organisation].keys)


def _slowly(body: bytes, pause_s: float) -> Iterator[bytes]:
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]
        time.sleep(pause_s)


def known_since(
    disturbances: Iterable[tuple[float, float]], at: float, begin: float = 0.0
) -> float:
    """Return from when on versions may be in force at a host at a time.

    Args:
        disturbances: begin and end of what kept the host from learning versions.
        at: monotonic time.
        begin: earliest time to return.
    """
    since = at
    for lost_at, back_at in sorted(disturbances, key=lambda one: one[1], reverse=True):
        if lost_at <= at and back_at + UNDISTURBED_S > since:
            since = min(since, lost_at)
    return max(begin, since - CONFIG_S)


def _in_force(
    history: Sequence[Version], begin: float, end: float
) -> Iterator[Version]:
    """Yield the versions that may be in force at some time between two."""
    following = [version.at for version in history[1:]] + [float("inf")]
    for version, replaced_at in zip(history, following):
        if version.at <= end and replaced_at >= begin:
            yield version


def check_senders(
    ran: Iterable[ExecutedRequest],
    calls: Iterable[Call],
    owners: dict[str, str],
    history: Sequence[Version],
) -> list[str]:
    """Find keys and wrong names that reached an instance.

    Args:
        ran: what instances ran.
        calls: the calls whose names are checked.
        owners: organisation of each key that was ever valid.
        history: versions, oldest first.
    """
    by_id = {call.id: call for call in calls}
    violations = []
    for one in ran:
        names = [name for _, name in one.sender]
        if any(header.lower() == "authorization" for header, _ in one.sender):
            violations.append(f"{one.request_id} reached an instance with its key")
        call = by_id.get(one.request_id)
        if call is None:
            continue
        owner = owners.get(call.key)
        allowed = [[owner]] if owner else []
        if not call.needs_key and not _is_always_valid(call.key, history):
            allowed.append([])
        if names not in allowed:
            violations.append(f"{call.id} of {owner} ran as {names}")
    return violations


def _is_always_valid(key: str, history: Sequence[Version]) -> bool:
    return all(version.has_key(key) for version in history)


def check_keys(
    calls: Iterable[Call],
    ran_ids: set[str],
    history: Sequence[Version],
    disturbances: dict[str, list[tuple[float, float]]],
) -> list[str]:
    """Find requests that ran without a valid key, and valid keys that got a 401.

    Args:
        calls: the calls.
        ran_ids: ids of the requests that ran.
        history: versions, oldest first.
        disturbances: begin and end of those of each host.
    """
    violations = []
    for call in calls:
        since = known_since(disturbances.get(call.host, ()), call.sent_at)
        versions = list(_in_force(history, since, call.ended_at))
        valid = [version.has_key(call.key) for version in versions]
        evidence = (
            f"{call.id} to {call.host} at {call.sent_at - history[0].at:.2f} s with"
            f" {call.key!r} (known since {since - history[0].at:.2f} s)"
        )
        if call.status == 401 and (all(valid) or not call.needs_key):
            violations.append(f"{evidence} got 401")
        if call.needs_key and call.id in ran_ids and not any(valid):
            violations.append(f"{evidence} ran without a valid key")
    return violations


def check_limits(
    times: dict[str, list[float]],
    history: Sequence[Version],
    disturbances: Sequence[tuple[float, float]],
) -> list[str]:
    """Find windows in which more requests of an organisation ran than may.

    Args:
        times: when requests ran, by organisation.
        history: versions, oldest first.
        disturbances: begin and end of those of all hosts.
    """
    violations = []
    for name, unsorted_times in times.items():
        ran_at = sorted(unsorted_times)
        end = 0
        for index, start in enumerate(ran_at):
            while end < len(ran_at) and ran_at[end] < start + WINDOW_S:
                end += 1
            since = known_since(disturbances, start)
            terms = [
                version.terms[name]
                for version in _in_force(history, since, start + WINDOW_S)
            ]
            if not all(one.rate_per_s for one in terms):
                continue
            most = max(one.rate_per_s * WINDOW_S + one.burst for one in terms)
            allowed = most * OVER_FACTOR + SLACK
            if end - index > allowed:
                at_s = start - history[0].at
                violations.append(
                    f"{end - index} of {name} ran in {WINDOW_S} s from {at_s:.2f} s,"
                    f" allowed {allowed:.0f} (known since {since - history[0].at:.2f})"
                )
                break
    return violations


def run_times(
    ran: Iterable[ExecutedRequest], calls: Iterable[Call], owners: dict[str, str]
) -> dict[str, list[float]]:
    """Return when each request first ran, by organisation that instances were told."""
    first: dict[str, tuple[float, str]] = {}
    ids = {call.id for call in calls}
    for one in sorted(ran, key=lambda one: one.at):
        if one.request_id in ids and one.sender:
            first.setdefault(one.request_id, (one.at, one.sender[0][1]))
    times: dict[str, list[float]] = defaultdict(list)
    for at, name in first.values():
        if name in owners.values():
            times[name].append(at)
    return times
