"""Rank the hosts that may own a group or a shard of teams, by rendezvous hashing."""

import math

import xxhash

from wagtailloft.models import Host, HostState

RATE_LEASE_SHARDS = 16
MIN_PLATFORM_WATCHERS = 3
HOSTS_PER_PLATFORM_WATCHER = 40
LIVE_STATES = (HostState.ALIVE, HostState.SUSPECT)

Preference = tuple[bool, bool, int]


def owners(subject: str, hosts: tuple[Host, ...], zone: str = "") -> tuple[Host, ...]:
    """Return the live hosts in order of preference for a subject; the first one owns it.

    Suspected hosts come after all others; within both, hosts of the given availability zone come
    first.
    """
    live = [h for h in hosts if is_live(h)]
    return tuple(sorted(live, key=lambda h: preference(subject, zone, h)))


def preference(subject: str, zone: str, host: Host) -> Preference:
    """Return the sort key of a host for a subject; the host with the lowest key owns it."""
    suspected = host.state is HostState.SUSPECT
    return suspected, bool(zone) and host.zone != zone, -score(subject, host.name)


def is_live(host: Host) -> bool:
    """Tell whether a host may own anything."""
    return host.state in LIVE_STATES


def platform_watchers(region: str, hosts: tuple[Host, ...]) -> tuple[Host, ...]:
    """Return the hosts that watch the platform for a region, in order of preference."""
    in_region = tuple(h for h in hosts if h.region == region)
    count = max(MIN_PLATFORM_WATCHERS, math.ceil(len(in_region) / HOSTS_PER_PLATFORM_WATCHER))
    return owners(f"spreader:{region}", in_region)[:count]


def score(subject: str, host: str) -> int:
    """Return the rendezvous score of a host for a subject."""
    return xxhash.xxh64_intdigest(f"{subject}\0{host}".encode())


def rate_shard(team: str) -> str:
    """Return the name of the lease that covers a team's rate tokens."""
    return f"shard-{xxhash.xxh64_intdigest(team.encode()) % RATE_LEASE_SHARDS}"
