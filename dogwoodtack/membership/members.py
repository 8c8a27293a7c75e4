"""The members of the fleet as this node knows them.

Records are kept by incarnation.  Only a process itself increments the counter of
its record, so the records of one incarnation are ordered without any clock, and
records of two incarnations never have to be compared.
"""

from ..digest import BucketDigest, bucket_for, hash_entry
from .host_list import HostListView
from .records import Member, MemberRecord, MemberState, supersedes

__all__ = ["Member", "Membership"]


class Membership:
    """This node's view of the fleet."""

    def __init__(
        self,
        local_member: Member,
        started_at: float = 0.0,
        host_list: HostListView | None = None,
    ) -> None:
        self._records: dict[str, MemberRecord] = {}
        self._incarnations_by_name: dict[str, set[str]] = {}
        self._incarnations_by_bucket: dict[int, set[str]] = {}
        self.digest = BucketDigest()
        self.host_list = host_list or HostListView()
        self._is_cut_off = False
        self.revision = 0
        self._members: list[Member] | None = None
        self._serving: list[Member] | None = None
        self._local_record = MemberRecord(
            local_member, 0, MemberState.ALIVE, started_at
        )
        self._put(self._local_record)

    # For the other packages.

    @property
    def local_member(self) -> Member:
        """Return this node as a member."""
        return self._local_record.member

    def mark_leaving(self) -> None:
        """Mark this node as leaving."""
        self._update_local(self.local_member._replace(is_leaving=True))

    def cancel_leaving(self) -> None:
        """Mark this node as no longer leaving."""
        self._update_local(self.local_member._replace(is_leaving=False))

    def mark_ready(self) -> None:
        """Mark this node as holding the configuration."""
        self._update_local(self.local_member._replace(is_ready=True))

    def members(self) -> list[Member]:
        """Return every entry host that is not dead, this one included.

        Suspects are included: host assignments and key owners should not move
        because of one call that timed out.
        """
        if self._members is None:
            self._members = [
                record.member
                for record in self._records.values()
                if self._is_live(record)
            ]
        return list(self._members)

    def serving_members(self) -> list[Member]:
        """Return the members that callers may be sent to.

        They are alive, not suspect, ready and not leaving.  This node is left out
        while it is cut off.  The caller must not modify the list.
        """
        if self._serving is None:
            self._serving = [
                record.member
                for record in self._records.values()
                if self._is_serving(record)
            ]
        return self._serving

    def _is_local(self, record: MemberRecord) -> bool:
        return record.member.incarnation == self.local_member.incarnation

    def _is_live(self, record: MemberRecord) -> bool:
        """Return whether a process is not dead; this node never counts as dead."""
        return record.state is not MemberState.DEAD or self._is_local(record)

    def _is_serving(self, record: MemberRecord) -> bool:
        member = record.member
        if member.is_leaving or not member.is_ready:
            return False
        if self._is_local(record):
            return not self._is_cut_off
        return record.state is MemberState.ALIVE

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Return the member with an incarnation, None if unknown or dead."""
        record = self._records.get(incarnation)
        if record is None or not self._is_live(record):
            return None
        return record.member

    def by_name(self, name: str) -> Member | None:
        """Return the member with a name, None if unknown or dead.

        After a restart two incarnations have the name until the former one is
        known to be dead.  A live process is then preferred to a suspect, one that
        is not leaving to one that is, and the one started later to the other.
        """
        records = [
            self._records[key] for key in self._incarnations_by_name.get(name, ())
        ]
        live = [one for one in records if self._is_live(one)]
        return max(live, key=_preference_key).member if live else None

    def is_listed(self, name: str) -> bool:
        """Return whether a host is on the platform's host list.

        True in doubt; see HostListView.  A host not known to be dead counts as
        listed, because the list may not show it yet.
        """
        return self.by_name(name) is not None or self.host_list.is_listed(name)

    def is_cut_off(self) -> bool:
        """Return whether neither the store nor any peer was reached recently."""
        return self._is_cut_off

    # For gossip.

    def set_cut_off(self, is_cut_off: bool) -> None:
        """Set whether this node is cut off."""
        if is_cut_off != self._is_cut_off:
            self._is_cut_off = is_cut_off
            self._serving = None

    def record(self, incarnation: str) -> MemberRecord | None:
        """Return the record of an incarnation, dead ones included."""
        return self._records.get(incarnation)

    @property
    def local_record(self) -> MemberRecord:
        """Return this node's own record."""
        return self._local_record

    def records(self) -> list[MemberRecord]:
        """Return all records, those of dead processes included."""
        return list(self._records.values())

    def in_bucket(self, bucket: int) -> list[MemberRecord]:
        """Return the records in one bucket of the digest."""
        return [
            self._records[key] for key in self._incarnations_by_bucket.get(bucket, ())
        ]

    def merge(self, record: MemberRecord) -> bool:
        """Store a record if it supersedes the known one; return whether.

        A dead process that is not known is not stored.
        """
        known = self._records.get(record.member.incarnation)
        if known is not None and not supersedes(record, known):
            return False
        if known is None and record.state is MemberState.DEAD:
            return False
        self._put(record)
        return True

    def declare_state(
        self, incarnation: str, state: MemberState
    ) -> MemberRecord | None:
        """Declare another process suspect or dead.

        Returns:
            The new record, None if it does not supersede the known one.
        """
        known = self._records.get(incarnation)
        if known is None or incarnation == self.local_member.incarnation:
            return None
        record = known._replace(state=state)
        return record if self.merge(record) else None

    def refute(self) -> None:
        """Publish ALIVE with a counter above that of any declaration known here."""
        declared = self._records[self.local_member.incarnation]
        self._local_record = self._local_record._replace(counter=declared.counter)
        self._update_local(self.local_member)

    def needs_refutation(self) -> bool:
        """Return whether another node declared this one suspect or dead."""
        declared = self._records[self.local_member.incarnation]
        return declared.state is not MemberState.ALIVE

    def remove(self, incarnation: str) -> None:
        """Remove the record of a dead process."""
        record = self._records.pop(incarnation)
        self._unindex(record)

    def _update_local(self, member: Member) -> None:
        counter = self._local_record.counter + 1
        self._local_record = MemberRecord(
            member, counter, MemberState.ALIVE, self._local_record.started_at
        )
        self._put(self._local_record)

    def _put(self, record: MemberRecord) -> None:
        incarnation = record.member.incarnation
        known = self._records.get(incarnation)
        if known is not None:
            self._unindex(known)
        self._records[incarnation] = record
        self._incarnations_by_name.setdefault(record.member.name, set()).add(
            incarnation
        )
        bucket = bucket_for(incarnation)
        self._incarnations_by_bucket.setdefault(bucket, set()).add(incarnation)
        self._update_digest(record)

    def _unindex(self, record: MemberRecord) -> None:
        incarnation = record.member.incarnation
        _discard(self._incarnations_by_name, record.member.name, incarnation)
        _discard(self._incarnations_by_bucket, bucket_for(incarnation), incarnation)
        self._update_digest(record)

    def _update_digest(self, record: MemberRecord) -> None:
        """Toggle a record in the digest and invalidate the cached lists.

        The digest leaves dead processes out, because nodes remove their records at
        different times and their digests should still agree.
        """
        self.revision += 1
        self._members = None
        self._serving = None
        if record.state is MemberState.DEAD:
            return
        incarnation = record.member.incarnation
        value = hash_entry(incarnation, record.counter, record.state)
        self.digest.toggle(bucket_for(incarnation), value)


def _preference_key(record: MemberRecord) -> tuple[bool, bool, float, str]:
    return (
        record.state is MemberState.ALIVE,
        not record.member.is_leaving,
        record.started_at,
        record.member.incarnation,
    )


def _discard(index: dict, key: object, incarnation: str) -> None:
    incarnations = index[key]
    incarnations.discard(incarnation)
    if not incarnations:
        del index[key]
