"""Which entry hosts there are, as far as this one knows.

Records are kept by incarnation.  Only a process raises the counter of its own
record, so records of one incarnation are ordered without any clock, and records
of two incarnations never have to be compared.
"""

from ..digest import BucketDigest, bucket_of, entry_hash
from .host_list import HostView
from .records import Member, MemberRecord, MemberState, supersedes

__all__ = ["Member", "Membership"]


class Membership:
    """The view this node has of the fleet."""

    def __init__(
        self, me: Member, started_at: float = 0.0, hosts: HostView | None = None
    ) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._names: dict[str, set[str]] = {}
        self._buckets: dict[int, set[str]] = {}
        self.digest = BucketDigest()
        self.hosts = hosts or HostView()
        self._is_cut_off = False
        self.revision = 0
        self._members: list[Member] | None = None
        self._usable: list[Member] | None = None
        self._mine = MemberRecord(me, 0, MemberState.ALIVE, started_at)
        self._put(self._mine)

    # What other slices ask.

    @property
    def me(self) -> Member:
        """Return this node's own member."""
        return self._mine.member

    def leave(self) -> None:
        """Tell the fleet that this node is leaving."""
        self._update_mine(self.me._replace(is_leaving=True))

    def stay(self) -> None:
        """Tell the fleet that this node is not leaving after all."""
        self._update_mine(self.me._replace(is_leaving=False))

    def note_ready(self) -> None:
        """Tell the fleet that this node holds the configuration."""
        self._update_mine(self.me._replace(is_ready=True))

    def members(self) -> list[Member]:
        """Return every entry host not known dead, this one among them.

        A suspect is among them: homes and owners should not move for a call
        that timed out.
        """
        if self._members is None:
            self._members = [
                record.member
                for record in self._records.values()
                if self._is_live(record)
            ]
        return list(self._members)

    def usable(self) -> list[Member]:
        """Return the members to send callers to.

        They are alive, ready, not leaving and not suspect.  This node is missing
        while it is cut off.  The list must not be changed.
        """
        if self._usable is None:
            self._usable = [
                record.member
                for record in self._records.values()
                if self._is_usable(record)
            ]
        return self._usable

    def _is_mine(self, record: MemberRecord) -> bool:
        return record.member.incarnation == self.me.incarnation

    def _is_live(self, record: MemberRecord) -> bool:
        """Return whether a record counts as alive; this node's always does."""
        return record.state is not MemberState.DEAD or self._is_mine(record)

    def _is_usable(self, record: MemberRecord) -> bool:
        member = record.member
        if member.is_leaving or not member.is_ready:
            return False
        if self._is_mine(record):
            return not self._is_cut_off
        return record.state is MemberState.ALIVE

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Return the member of an incarnation, None if unknown or dead."""
        record = self._records.get(incarnation)
        if record is None or not self._is_live(record):
            return None
        return record.member

    def by_name(self, name: str) -> Member | None:
        """Return the member of a name, None if unknown or dead.

        While the process before is not yet known dead, two have the name; the
        one that is alive and started later is returned.
        """
        records = [self._records[key] for key in self._names.get(name, ())]
        live = [one for one in records if self._is_live(one)]
        return max(live, key=_preference).member if live else None

    def is_listed(self, name: str) -> bool:
        """Return whether the platform's host list still shows a host.

        True in doubt; see HostView.  A host that is known alive is listed: the
        list may not show it yet.
        """
        return self.by_name(name) is not None or self.hosts.is_listed(name)

    def is_cut_off(self) -> bool:
        """Return whether neither the store nor any peer was reached lately."""
        return self._is_cut_off

    # What gossip tells and asks.

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Note whether this node is cut off."""
        if is_cut_off != self._is_cut_off:
            self._is_cut_off = is_cut_off
            self._usable = None

    def record(self, incarnation: str) -> MemberRecord | None:
        """Return what is known of an incarnation, dead ones included."""
        return self._records.get(incarnation)

    @property
    def mine(self) -> MemberRecord:
        """Return this node's own record."""
        return self._mine

    def records(self) -> list[MemberRecord]:
        """Return every record, those of dead processes included."""
        return list(self._records.values())

    def in_bucket(self, bucket: int) -> list[MemberRecord]:
        """Return the records in one bucket of the digest."""
        return [self._records[key] for key in self._buckets.get(bucket, ())]

    def merge(self, record: MemberRecord) -> bool:
        """Take a record if it is newer than the known one; return whether."""
        known = self._records.get(record.member.incarnation)
        if known is not None and not supersedes(record, known):
            return False
        if known is None and record.state is MemberState.DEAD:
            return False
        self._put(record)
        return True

    def accuse(self, incarnation: str, state: MemberState) -> MemberRecord | None:
        """Note that a process seems or is gone; return the new record, if any."""
        known = self._records.get(incarnation)
        if known is None or incarnation == self.me.incarnation:
            return None
        record = known._replace(state=state)
        return record if self.merge(record) else None

    def refute(self) -> None:
        """Say that this node is alive, over whatever is believed of it."""
        believed = self._records[self.me.incarnation]
        self._mine = self._mine._replace(counter=believed.counter)
        self._update_mine(self.me)

    def is_accused(self) -> bool:
        """Return whether others believe this node suspect or dead."""
        believed = self._records[self.me.incarnation]
        return believed.state is not MemberState.ALIVE

    def drop(self, incarnation: str) -> None:
        """Forget a dead process."""
        record = self._records.pop(incarnation)
        self._unindex(record)

    def _update_mine(self, member: Member) -> None:
        counter = self._mine.counter + 1
        self._mine = MemberRecord(
            member, counter, MemberState.ALIVE, self._mine.started_at
        )
        self._put(self._mine)

    def _put(self, record: MemberRecord) -> None:
        incarnation = record.member.incarnation
        known = self._records.get(incarnation)
        if known is not None:
            self._unindex(known)
        self._records[incarnation] = record
        self._names.setdefault(record.member.name, set()).add(incarnation)
        bucket = bucket_of(incarnation)
        self._buckets.setdefault(bucket, set()).add(incarnation)
        self._toggle(record)

    def _unindex(self, record: MemberRecord) -> None:
        incarnation = record.member.incarnation
        _discard(self._names, record.member.name, incarnation)
        _discard(self._buckets, bucket_of(incarnation), incarnation)
        self._toggle(record)

    def _toggle(self, record: MemberRecord) -> None:
        """Update the digest, which leaves dead processes out.

        Nodes forget the dead at different times; their digests agree anyway.
        """
        self.revision += 1
        self._members = None
        self._usable = None
        if record.state is MemberState.DEAD:
            return
        incarnation = record.member.incarnation
        value = entry_hash(incarnation, record.counter, record.state)
        self.digest.toggle(bucket_of(incarnation), value)


def _preference(record: MemberRecord) -> tuple[bool, bool, float, str]:
    return (
        record.state is MemberState.ALIVE,
        not record.member.is_leaving,
        record.started_at,
        record.member.incarnation,
    )


def _discard(index: dict, key: object, incarnation: str) -> None:
    keys = index[key]
    keys.discard(incarnation)
    if not keys:
        del index[key]
