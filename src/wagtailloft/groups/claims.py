"""Tell whether the host that replaces a group's primary is still at work on it."""

from wagtailloft.fleet.hosts import Hosts
from wagtailloft.models import HostState

UNFINISHED_S = 8.0  # above a promotion that waits out a host, with its order


def is_abandoned(hosts: Hosts, claimant: str, *, at_work: bool, waited: float) -> bool:
    """Tell whether a claim may be taken over.

    claimant names a process; at_work tells whether this host is replacing the primary itself, and
    waited for how many seconds the claim has been known.
    """
    if claimant == hosts.own.process:
        return not at_work
    name, _, process = claimant.rpartition("/")
    host = hosts.get(name)
    if host is None or host.state is not HostState.ALIVE:
        return True
    if process.isdigit() and hosts.has_ended(name, int(process)):
        return True
    return waited > UNFINISHED_S
