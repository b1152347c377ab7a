"""Decide when a claim on a failover is abandoned.

A claim may be taken over from a process that still runs. What keeps two processes from ordering
promotions is the promotion lease, and the check of the claim before each order.
"""

from wagtailloft.digits import is_decimal
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.models import HostState

# Longer than a failover that waits for unreachable hosts which a majority confirms, and then orders
# the promotion. One that waits for longer may be taken over while it runs.
CLAIM_TIMEOUT_S = 8.0


def is_claim_abandoned(
    hosts: Hosts, claimant: str, *, running_here: bool, claim_age: float
) -> bool:
    """Tell whether a claim on a failover may be taken over, or resumed by its own process.

    claimant names the process that holds the claim, running_here tells whether this process is
    running the failover, and claim_age is the number of seconds since this host first saw the
    claim.
    """
    if claimant == hosts.own.process_name:
        return not running_here
    name, _, incarnation = claimant.rpartition("/")
    host = hosts.get(name)
    if host is None or host.state is not HostState.ALIVE:
        return True
    if is_decimal(incarnation) and host.incarnation > int(incarnation):
        return True
    return claim_age > CLAIM_TIMEOUT_S
