"""Which entry hosts serve a service: its home set, by rendezvous hashing."""

import hashlib

from .members import Member

__all__ = ["HOME_SET_SIZE", "home_set"]

HOME_SET_SIZE = 36


def _weight(service: str, member: Member) -> bytes:
    text = f"{service}\0{member.name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def home_set(
    service: str, members: list[Member], size: int = HOME_SET_SIZE
) -> list[Member]:
    """Return a service's entry hosts, the zones drawn on in turn.

    Each host keeps its weight whatever other hosts come and go, so a replaced
    host moves only its own share.  Taking the zones in turn lets a home set
    outlive the loss of a zone.
    """
    zones: dict[str, list[Member]] = {}
    for member in sorted(members, key=lambda one: _weight(service, one)):
        zones.setdefault(member.zone, []).append(member)
    ranked = [
        (rank, _weight(service, member), member)
        for in_zone in zones.values()
        for rank, member in enumerate(in_zone)
    ]
    ranked.sort(key=lambda entry: entry[:2])
    return [member for _, _, member in ranked[:size]]
