"""Leases that allow this host to grant the rate tokens of a shard of teams."""

import math
import threading
from dataclasses import dataclass

import msgspec
from result import Err

from wagtailloft import clock, logs
from wagtailloft.adapters.object_api import ObjectApi, WriteConflict
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.freshness import SETTINGS_MAX_AGE_S, SettingsState
from wagtailloft.controllers.ownership import RATE_LEASE_SHARDS
from wagtailloft.controllers.token_bucket import TOKEN_LIFETIME_S
from wagtailloft.decisions import Decisions
from wagtailloft.gossip import Gossip
from wagtailloft.models import REMOVED, Lease, LeaseEpoch, Record, decode
from wagtailloft.revisions import era_of, make_revision

LEASE_DURATION_S = 3.0
RENEW_INTERVAL_S = 1.0
EXPIRY_MARGIN_S = 0.2  # the holder stops this long before another host may take the lease over
LEASE_CALL_TIMEOUT_S = 0.8


class GrantRight(Record):
    """The right to grant rate tokens within one epoch of a lease.

    granting_from is the monotonic time in seconds at which grants may start, infinite while it is
    not known yet.
    """

    epoch: int
    granting_from: float


@dataclass(kw_only=True)
class _ShardLease:
    """The state of one shard's lease as this host knows it; times are in monotonic seconds.

    published_epoch is the epoch that this host published last, epoch_revision the platform's
    revision of it; epoch_known_at is when a majority of hosts was first seen to have it.
    """

    name: str
    version: int = 0
    lease: Lease | None = None
    last_change_at: float = 0.0
    held_until: float = 0.0
    granting_from: float = math.inf
    epoch_known_at: float = math.inf
    published_epoch: int = 0
    epoch_revision: int = 0
    released_by_predecessor: bool = False
    renewed_at: float = 0.0


class Leases:
    """Acquire, renew and release the leases of the shards that this host should own."""

    def __init__(
        self,
        *,
        holder: str,
        object_api: ObjectApi,
        gossip: Gossip,
        catalog: Catalog,
        decisions: Decisions,
    ) -> None:
        self._holder = holder
        self._object_api = object_api
        self._gossip = gossip
        self._catalog = catalog
        self._decisions = decisions
        self._lock = threading.Lock()
        self._shards = {
            f"shard-{i}": _ShardLease(name=f"shard-{i}") for i in range(RATE_LEASE_SHARDS)
        }

    def grant_right(self, shard_name: str) -> GrantRight | None:
        """Return the right to grant tokens of a shard, or None if this host does not have it."""
        shard_lease = self._shards[shard_name]
        lease = shard_lease.lease
        if lease is None or lease.holder != self._holder:
            return None
        if clock.now() >= shard_lease.held_until and not self._valid_during_outage(shard_lease):
            return None
        return GrantRight(epoch=lease.epoch, granting_from=shard_lease.granting_from)

    def held_shards(self) -> tuple[str, ...]:
        """Return the names of the shards for which this host has the right to grant."""
        return tuple(name for name in self._shards if self.grant_right(name) is not None)

    def tick(self) -> None:
        """Acquire, renew or release each lease that is due; return at once if a tick is running."""
        if not self._lock.acquire(blocking=False):
            return
        try:
            for shard_lease in self._shards.values():
                self._tick(shard_lease, clock.now())
        finally:
            self._lock.release()

    def release(self) -> None:
        """Release every lease that this host holds."""
        with self._lock:
            for shard_lease in self._shards.values():
                if shard_lease.lease is not None and shard_lease.lease.holder == self._holder:
                    self._release(shard_lease)

    def _tick(self, shard_lease: _ShardLease, now: float) -> None:
        preferred = self._is_preferred_owner(shard_lease.name)
        is_holder = shard_lease.lease is not None and shard_lease.lease.holder == self._holder
        if is_holder and not preferred:
            self._release(shard_lease)
        elif is_holder and now - shard_lease.renewed_at >= RENEW_INTERVAL_S:
            self._write_renewal(shard_lease, shard_lease.lease, shard_lease.version)
        elif is_holder and shard_lease.granting_from == math.inf:
            self._schedule_grants(shard_lease, now)
        elif preferred and not is_holder:
            self._try_acquire(shard_lease, now)

    def _is_preferred_owner(self, name: str) -> bool:
        first = self._gossip.owners(name)[:1]
        return bool(first) and first[0].name == self._gossip.own().name

    def _valid_during_outage(self, shard_lease: _ShardLease) -> bool:
        """Tell whether an expired lease stays valid because the platform is down for all hosts.

        No other host can acquire the lease during such an outage. The epoch check excludes one that
        acquired it before the outage, as far as this host has learned of it.
        """
        if self._gossip.settings_state() is not SettingsState.OUTAGE:
            return False
        epoch = self._catalog.find(LeaseEpoch, shard_lease.name)
        return epoch is not None and epoch.epoch == shard_lease.lease.epoch

    def _try_acquire(self, shard_lease: _ShardLease, now: float) -> None:
        if not self._catalog.objects.is_complete():
            # A holder that a restored store has forgotten may still act.
            return
        found = self._object_api.get("lease", shard_lease.name, LEASE_CALL_TIMEOUT_S)
        if isinstance(found, Err):
            return
        change, lease = found.ok_value, Lease(name=shard_lease.name)
        version = make_revision(era_of(self._catalog.objects.revision), 0)
        if change is not None:
            version, lease = change.revision, change.decode(Lease)
        if version != shard_lease.version:
            shard_lease.version, shard_lease.last_change_at = version, now
        # After a write without a response the store may name this host, which then goes on in an
        # epoch that it published. If an older copy names it, another host may hold the lease.
        is_own = lease.holder == self._holder and lease.era == era_of(version)
        if is_own and lease.epoch == shard_lease.published_epoch:
            self._write_renewal(shard_lease, lease, version)
            return
        is_free = is_own or (not lease.holder and lease.era == era_of(version))
        if is_free or (change is None and self._catalog.objects.is_first_era()):
            self._acquire(shard_lease, version, lease)
        elif now - shard_lease.last_change_at >= LEASE_DURATION_S and self._gossip.hears_majority():
            self._acquire(shard_lease, version, lease)
        elif now - shard_lease.last_change_at >= RENEW_INTERVAL_S / 2:
            self._gossip.exchange_with_all()

    def _acquire(self, shard_lease: _ShardLease, version: int, old: Lease) -> None:
        era = era_of(version)
        # Epochs of an era are above those of earlier ones, which the store may have forgotten.
        epoch = max(old.epoch, make_revision(era, 0)) + 1
        lease = Lease(name=shard_lease.name, holder=self._holder, epoch=epoch, era=era)
        # Reset before the write, which makes grant_right() return these values.
        shard_lease.granting_from = math.inf
        shard_lease.epoch_known_at = math.inf
        shard_lease.released_by_predecessor = not old.holder and old.era == era
        if not self._write(shard_lease, lease, version):
            return
        if not self._publish_epoch(shard_lease, lease):
            return
        if not old.epoch and self._catalog.objects.is_first_era():
            shard_lease.granting_from = 0.0
        why = f"epoch {lease.epoch}, previous holder: {old.holder or 'none'}"
        logs.event("lease_taken", shard=shard_lease.name, why=why)
        self._decisions.add(shard_lease.name, "lease taken", why)

    def _schedule_grants(self, shard_lease: _ShardLease, now: float) -> None:
        """Set the time at which grants start: when no token of an earlier holder can be valid.

        After its lease has expired, an earlier holder grants only in SettingsState.OUTAGE, that is
        while it hears a majority of the hosts and none of them has fresh settings. Once a majority
        knows the new epoch, the earlier holder learns the epoch from one of them within
        SETTINGS_MAX_AGE_S and stops. It cannot have been in OUTAGE if a majority has been fresh
        without a break since SETTINGS_MAX_AGE_S before that, nor if it released the lease; then no
        such delay is needed.
        """
        self._gossip.exchange_with_all()
        if not self._gossip.known_by_majority(shard_lease.epoch_revision):
            return
        shard_lease.epoch_known_at = min(shard_lease.epoch_known_at, now)
        outage_excluded = shard_lease.released_by_predecessor or self._gossip.majority_fresh_since(
            shard_lease.epoch_known_at - SETTINGS_MAX_AGE_S
        )
        if not outage_excluded and now - shard_lease.epoch_known_at < SETTINGS_MAX_AGE_S:
            return
        shard_lease.granting_from = max(now, shard_lease.epoch_known_at + TOKEN_LIFETIME_S)
        if not outage_excluded:
            shard_lease.granting_from = (
                shard_lease.epoch_known_at + SETTINGS_MAX_AGE_S + TOKEN_LIFETIME_S
            )
        delay = shard_lease.granting_from - now
        self._decisions.add(
            shard_lease.name,
            "grants start",
            f"in {delay:.1f} s, outage excluded: {outage_excluded}",
        )

    def _write_renewal(self, shard_lease: _ShardLease, lease: Lease, version: int) -> None:
        renewed = msgspec.structs.replace(lease, renewals=lease.renewals + 1)
        self._write(shard_lease, renewed, version)

    def _release(self, shard_lease: _ShardLease) -> None:
        lease = msgspec.structs.replace(shard_lease.lease, holder="", renewals=0)
        # Before the write, since the next holder relies on it as soon as the store has it.
        shard_lease.held_until = 0.0
        shard_lease.lease = None
        self._write(shard_lease, lease, shard_lease.version)
        shard_lease.held_until = 0.0
        shard_lease.lease = None
        logs.event("lease_released", shard=shard_lease.name)

    def _write(self, shard_lease: _ShardLease, lease: Lease, version: int) -> bool:
        """Write a lease; its duration starts when the write is sent, so that it never ends late."""
        requested_at = clock.now()
        put = self._object_api.put("lease", shard_lease.name, lease, version, LEASE_CALL_TIMEOUT_S)
        if isinstance(put, Err):
            conflict = put.err_value
            if not isinstance(conflict, WriteConflict):
                return False
            if self._may_write_again(shard_lease, conflict):
                lease = msgspec.structs.replace(lease, era=era_of(conflict.revision))
                return self._write(shard_lease, lease, conflict.revision)
            shard_lease.lease = None
            return False
        shard_lease.version = put.ok_value.revision
        shard_lease.lease = lease
        shard_lease.renewed_at = requested_at
        shard_lease.held_until = requested_at + LEASE_DURATION_S - EXPIRY_MARGIN_S
        return True

    def _may_write_again(self, shard_lease: _ShardLease, conflict: WriteConflict) -> bool:
        """Tell whether the store has only forgotten the lease that this host holds.

        Before the lease expires, no other host can have acquired it in any era. One that has done
        so afterwards wrote it in the present era.
        """
        era = era_of(conflict.revision)
        if era <= era_of(shard_lease.version) or clock.now() >= shard_lease.held_until:
            return False
        is_stored = bytes(conflict.value) != bytes(REMOVED)
        return not is_stored or decode(conflict.value, Lease).era < era

    def _publish_epoch(self, shard_lease: _ShardLease, lease: Lease) -> bool:
        epoch = LeaseEpoch(name=shard_lease.name, holder=lease.holder, epoch=lease.epoch)
        found = self._object_api.get("epoch", shard_lease.name, LEASE_CALL_TIMEOUT_S)
        version, published = 0, 0
        if found.is_ok() and found.ok_value is not None:
            version = found.ok_value.revision
            published = found.ok_value.decode(LeaseEpoch).epoch
        if published >= lease.epoch:
            # Another host has taken the lease over; in an outage it grants by its published epoch.
            logs.warn("epoch_outdated", shard=shard_lease.name, epoch=epoch.epoch, later=published)
            self._drop(shard_lease)
            return False
        put = self._object_api.put("epoch", shard_lease.name, epoch, version, LEASE_CALL_TIMEOUT_S)
        if isinstance(put, Err):
            self._drop(shard_lease)
            return False
        shard_lease.published_epoch = lease.epoch
        shard_lease.epoch_revision = put.ok_value.revision
        return True

    def _drop(self, shard_lease: _ShardLease) -> None:
        """Give up a lease whose epoch this host could not publish."""
        shard_lease.held_until = 0.0
        shard_lease.lease = None
