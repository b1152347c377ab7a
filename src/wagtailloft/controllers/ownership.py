"""Find the host that owns a group or a shard of teams."""

import xxhash

from wagtailloft.models import Host, HostState

LIMIT_SHARDS = 16


def owners(subject: str, hosts: tuple[Host, ...], zone: str = "") -> tuple[Host, ...]:
    """Return the live hosts in order of preference; hosts of the given zone come first."""
    live = [h for h in hosts if h.state in (HostState.ALIVE, HostState.SUSPECT)]

    def preference(host: Host) -> tuple[bool, bool, int]:
        doubtful = host.state is HostState.SUSPECT
        return doubtful, bool(zone) and host.zone != zone, -score(subject, host.name)

    return tuple(sorted(live, key=preference))


def score(subject: str, host: str) -> int:
    """Return the rendezvous score of a host for a subject."""
    return xxhash.xxh64_intdigest(f"{subject}\0{host}".encode())


def shard(team: str) -> str:
    """Return the name of the lease that covers a team's rate."""
    return f"shard-{xxhash.xxh64_intdigest(team.encode()) % LIMIT_SHARDS}"
