"""The hosts whose confirmations of a fence count towards a majority."""

from wagtailloft import logs
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.ports import StoreDown
from wagtailloft.fleet.records import CountedHostsRecord, Topic
from wagtailloft.fleet.store_cache import EXPIRY_MARGIN_S, OUTAGE_ASSIGNMENT_MAX_AGE_S, StoreCache

COUNTED_HOSTS_OBJECT = "counted"
# Every cache that assignments are used from is newer than that.
COUNTED_AFTER_S = OUTAGE_ASSIGNMENT_MAX_AGE_S + EXPIRY_MARGIN_S


class CountedHosts:
    """Keep the store's list of the hosts that every host which may use an assignment knows of.

    A host that can't reach the store takes a majority of the hosts that it knows for a majority.
    It overlaps a majority of all hosts if that is made of hosts from this list.
    """

    def __init__(self, *, hosts: Hosts, cache: StoreCache) -> None:
        self._hosts = hosts
        self._cache = cache

    def __contains__(self, host: str) -> bool:
        """Tell whether a host is listed."""
        return host in self._listed()

    async def update(self) -> None:
        """List hosts that have long been registered, and drop those that are not any more."""
        names = {h.name for h in self._hosts.all()}
        listed = self._listed()
        wanted = tuple(
            sorted(
                name
                for name in names
                if self._hosts.is_registered(name)
                and (name in listed or self._hosts.registered_for(name) > COUNTED_AFTER_S)
            )
        )
        if set(wanted) == listed:
            return
        record = CountedHostsRecord(hosts=wanted)
        try:
            if await self._cache.write(Topic.FLEET, COUNTED_HOSTS_OBJECT, record) is not None:
                logs.event("counted_hosts_changed", hosts=len(wanted), before=len(listed))
        except StoreDown as exc:
            logs.event("counted_hosts_unchanged", why=str(exc))

    def _listed(self) -> frozenset[str]:
        entry = self._cache.get(Topic.FLEET, COUNTED_HOSTS_OBJECT)
        if entry is None or not isinstance(entry.value, CountedHostsRecord):
            return frozenset()
        return frozenset(entry.value.hosts)
