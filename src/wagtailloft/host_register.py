"""The register of hosts, which the platform's object API holds."""

from result import Err

from wagtailloft import logs
from wagtailloft.adapters.object_api import ObjectApi
from wagtailloft.catalog import Catalog
from wagtailloft.gossip import Gossip
from wagtailloft.models import Host, HostState


class HostRegister:
    """Keep this host registered, and remove other hosts that have long been dead."""

    def __init__(self, *, gossip: Gossip, object_api: ObjectApi, catalog: Catalog) -> None:
        self._gossip = gossip
        self._object_api = object_api
        self._catalog = catalog

    def register(self) -> None:
        """Register this host unless it is registered already or leaving."""
        own = self._gossip.own()
        if own.state is not HostState.ALIVE:
            return
        registered = self._catalog.find(Host, own.name)
        if registered is None or registered.incarnation < own.incarnation:
            self.publish()

    def publish(self) -> None:
        """Write this host and its present state to the register."""
        own = self._gossip.own()
        found = self._object_api.get("host", own.name)
        if isinstance(found, Err):
            return
        version = found.ok_value.revision if found.ok_value else 0
        self._object_api.put("host", own.name, own, version)
        logs.event("published", host=own.name, state=own.state.value)

    def unregister(self) -> None:
        """Remove this host from the register."""
        name = self._gossip.own().name
        found = self._object_api.get("host", name)
        if found.is_ok() and found.ok_value is not None:
            self._object_api.put("host", name, None, found.ok_value.revision)

    def remove_dead_hosts(self) -> None:
        """Remove a host that has long been dead, which may still run where others don't reach it.

        Only one host of the fleet does so: the preferred owner of this task, and only while it
        hears a majority of the hosts. The next host is removed once a majority knows the register
        without the last one. Thus a majority of the earlier register, which may have been cut off
        meanwhile, always has a host in common with one of the present register.
        """
        first = self._gossip.owners("reaper")[:1]
        is_preferred = [h.name for h in first] == [self._gossip.own().name]
        removable = self._gossip.removable_hosts()
        if not is_preferred or not removable or not self._gossip.hears_majority():
            return
        if not self._gossip.known_by_majority(self._catalog.objects.revision):
            self._gossip.exchange_with_all()
            return
        for host in removable:
            registered = self._catalog.find(Host, host.name)
            if registered is not None and registered.incarnation == host.incarnation:
                self._remove(host)
                return

    def _remove(self, host: Host) -> None:
        found = self._object_api.get("host", host.name)
        if isinstance(found, Err) or found.ok_value is None:
            return  # or this host's cache does not have the removal yet
        if found.ok_value.decode(Host).incarnation != host.incarnation:
            return
        put = self._object_api.put("host", host.name, None, found.ok_value.revision)
        if not isinstance(put, Err):
            logs.warn("host_unlisted", host=host.name)
