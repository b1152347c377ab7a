"""Rank the hosts that may own a group or a shard of teams, by rendezvous hashing."""

import math

import xxhash

from wagtailloft.models import Host, HostState

RATE_LEASE_SHARDS = 16
SPREADERS_LEAST = 3
HOSTS_PER_SPREADER = 40
LIVE = (HostState.ALIVE, HostState.SUSPECT)

Preference = tuple[bool, bool, int]


def owners(subject: str, hosts: tuple[Host, ...], zone: str = "") -> tuple[Host, ...]:
    """Return the live hosts in order of preference; hosts of the given zone come first."""
    live = [h for h in hosts if is_live(h)]
    return tuple(sorted(live, key=lambda h: preference(subject, zone, h)))


def preference(subject: str, zone: str, host: Host) -> Preference:
    """Return the rank of a host for a subject; the lowest owns it."""
    doubtful = host.state is HostState.SUSPECT
    return doubtful, bool(zone) and host.zone != zone, -score(subject, host.name)


def is_live(host: Host) -> bool:
    """Tell whether a host may own anything."""
    return host.state in LIVE


def platform_watchers(region: str, hosts: tuple[Host, ...]) -> tuple[Host, ...]:
    """Return the hosts that watch the platform for a region."""
    near = tuple(h for h in hosts if h.region == region)
    count = max(SPREADERS_LEAST, math.ceil(len(near) / HOSTS_PER_SPREADER))
    return owners(f"spreader:{region}", near)[:count]


def score(subject: str, host: str) -> int:
    """Return the rendezvous score of a host for a subject."""
    return xxhash.xxh64_intdigest(f"{subject}\0{host}".encode())


def rate_shard(team: str) -> str:
    """Return the name of the lease that covers a team's rate."""
    return f"shard-{xxhash.xxh64_intdigest(team.encode()) % RATE_LEASE_SHARDS}"
