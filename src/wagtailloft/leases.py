"""Hold the leases that allow this host to grant rates."""

import math
import threading
import time
from dataclasses import dataclass

from result import Err

from wagtailloft import logs
from wagtailloft.adapters.object_api import Conflict, ObjectApi
from wagtailloft.catalog import Catalog
from wagtailloft.controllers.object_cache import MAX_AGE_S, SettingsState
from wagtailloft.controllers.ownership import LIMIT_SHARDS
from wagtailloft.controllers.token_bucket import TOKEN_LIFETIME_S
from wagtailloft.decisions import Decisions
from wagtailloft.gossip import Gossip
from wagtailloft.models import Epoch, Lease, Record

LEASE_DURATION_S = 3.0
RENEW_S = 1.0
MARGIN_S = 0.2
CALL_TIMEOUT_S = 0.8


class GrantRight(Record):
    """Hold the right to grant within one epoch, and from when."""

    epoch: int
    granting_from: float


@dataclass(kw_only=True)
class _Shard:
    name: str
    version: int = 0
    lease: Lease | None = None
    seen: float = 0.0
    held_until: float = 0.0
    grants_from: float = math.inf
    known_since: float = math.inf
    announced: int = 0
    clean: bool = False
    renewed: float = 0.0


class Leases:
    """Take, renew and release the leases of the shards that this host should own."""

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
        self._shards = {f"shard-{i}": _Shard(name=f"shard-{i}") for i in range(LIMIT_SHARDS)}

    def grant_right(self, shard: str) -> GrantRight | None:
        """Return the right to grant for a shard now, or None."""
        state = self._shards[shard]
        lease = state.lease
        if lease is None or lease.holder != self._holder:
            return None
        if time.monotonic() >= state.held_until and not self._goes_on(state):
            return None
        return GrantRight(epoch=lease.epoch, granting_from=state.grants_from)

    def held_shards(self) -> tuple[str, ...]:
        """Return the shards that this host may grant for."""
        return tuple(name for name in self._shards if self.grant_right(name) is not None)

    def tick(self) -> None:
        """Take, renew or release what is due."""
        if not self._lock.acquire(blocking=False):
            return
        try:
            for shard in self._shards.values():
                self._tick(shard, time.monotonic())
        finally:
            self._lock.release()

    def release(self) -> None:
        """Release every lease that this host holds."""
        with self._lock:
            for shard in self._shards.values():
                if shard.lease is not None and shard.lease.holder == self._holder:
                    self._release(shard)

    def _tick(self, shard: _Shard, now: float) -> None:
        mine = self._is_mine(shard.name)
        holds = shard.lease is not None and shard.lease.holder == self._holder
        if holds and not mine:
            self._release(shard)
        elif holds and now - shard.renewed >= RENEW_S:
            self._renew(shard)
        elif holds and shard.grants_from == math.inf:
            self._open(shard, now)
        elif mine and not holds:
            self._approach(shard, now)

    def _is_mine(self, name: str) -> bool:
        first = self._gossip.owners(name)[:1]
        return bool(first) and first[0].name == self._gossip.own().name

    def _goes_on(self, shard: _Shard) -> bool:
        """Tell whether the platform is down for all, so that nobody can have followed us."""
        if self._gossip.settings_state() is not SettingsState.OUTAGE:
            return False
        epoch = self._catalog.find(Epoch, shard.name)
        return epoch is not None and epoch.epoch == shard.lease.epoch

    def _approach(self, shard: _Shard, now: float) -> None:
        found = self._object_api.get("lease", shard.name, CALL_TIMEOUT_S)
        if isinstance(found, Err):
            return
        change = found.ok_value
        if change is None:
            self._take(shard, 0, Lease(name=shard.name))
            return
        lease = change.decode(Lease)
        if change.revision != shard.version:
            shard.version, shard.lease, shard.seen = change.revision, lease, now
        if not lease.holder:
            self._take(shard, change.revision, lease)
        elif now - shard.seen >= LEASE_DURATION_S and self._gossip.hears_majority():
            self._take(shard, change.revision, lease)
        elif now - shard.seen >= RENEW_S / 2:
            self._gossip.exchange_with_all()

    def _take(self, shard: _Shard, version: int, old: Lease) -> None:
        lease = Lease(name=shard.name, holder=self._holder, epoch=old.epoch + 1)
        shard.grants_from = math.inf
        shard.known_since = math.inf
        shard.clean = not old.holder
        if not self._write(shard, lease, version):
            return
        if not self._announce(shard, lease):
            return
        if not old.epoch:
            shard.grants_from = 0.0
        why = f"epoch {lease.epoch}, before it {old.holder or 'nobody'}"
        logs.event("lease_taken", shard=shard.name, why=why)
        self._decisions.add(shard.name, "lease taken", why)

    def _open(self, shard: _Shard, now: float) -> None:
        """Let grants begin once no earlier holder's tokens can be out.

        An earlier holder grants without the platform only in an outage. Once a majority knows our
        epoch it learns of it, and if a majority was fresh all along it was in no outage.
        """
        self._gossip.exchange_with_all()
        if not self._gossip.known_by_majority(shard.announced):
            return
        shard.known_since = min(shard.known_since, now)
        calm = shard.clean or self._gossip.majority_fresh_since(shard.known_since - MAX_AGE_S)
        if not calm and now - shard.known_since < MAX_AGE_S:
            return
        shard.grants_from = max(now, shard.known_since + TOKEN_LIFETIME_S)
        if not calm:
            shard.grants_from = shard.known_since + MAX_AGE_S + TOKEN_LIFETIME_S
        wait = shard.grants_from - now
        self._decisions.add(shard.name, "grants begin", f"in {wait:.1f} s, calm: {calm}")

    def _renew(self, shard: _Shard) -> None:
        lease = shard.lease
        renewed = Lease(
            name=lease.name,
            holder=lease.holder,
            epoch=lease.epoch,
            renewals=lease.renewals + 1,
        )
        self._write(shard, renewed, shard.version)

    def _release(self, shard: _Shard) -> None:
        shard.held_until = 0.0
        lease = Lease(name=shard.name, epoch=shard.lease.epoch)
        self._write(shard, lease, shard.version)
        shard.held_until = 0.0
        shard.lease = None
        logs.event("lease_released", shard=shard.name)

    def _write(self, shard: _Shard, lease: Lease, version: int) -> bool:
        asked = time.monotonic()
        put = self._object_api.put("lease", shard.name, lease, version, CALL_TIMEOUT_S)
        if isinstance(put, Err):
            if isinstance(put.err_value, Conflict):
                shard.lease = None
            return False
        shard.version = put.ok_value.revision
        shard.lease = lease
        shard.renewed = asked
        shard.held_until = asked + LEASE_DURATION_S - MARGIN_S
        return True

    def _announce(self, shard: _Shard, lease: Lease) -> bool:
        epoch = Epoch(name=shard.name, holder=lease.holder, epoch=lease.epoch)
        found = self._object_api.get("epoch", shard.name, CALL_TIMEOUT_S)
        version = 0
        if found.is_ok() and found.ok_value is not None:
            version = found.ok_value.revision
        put = self._object_api.put("epoch", shard.name, epoch, version, CALL_TIMEOUT_S)
        if isinstance(put, Err):
            shard.held_until = 0.0
            shard.lease = None
            return False
        shard.announced = put.ok_value.revision
        return True
