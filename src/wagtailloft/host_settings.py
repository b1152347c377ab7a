"""Settings of one host process, and the server for callers that it is given."""

from typing import Protocol

from wagtailloft.controllers.client_budget import ClientLimits
from wagtailloft.models import Host, Record
from wagtailloft.rates.token_pool import Tolerance


class Bounds(Record):
    """Time bounds of the deployment, in seconds, and the tolerance of rate limits.

    key_withdrawal and config_apply are the times until withdrawn keys are refused and new
    configurations are in force; stop_grace is the time for a graceful stop, member_drain that for
    which a member goes on after it has reported that it is leaving. evacuation is the time until
    members in an evacuated zone get nothing more, 0 if zones are not evacuated. In any second, a
    cold member may get its group's cold_rate times cold_excess, plus cold_slack statements.
    """

    key_withdrawal: float
    config_apply: float
    stop_grace: float
    member_drain: float
    tolerance: Tolerance
    evacuation: float = 0.0
    cold_excess: float = 1.5
    cold_slack: float = 5.0


class HostSettings(Record):
    """Settings of one host process; both addresses are IP:PORT, seeds are IP addresses of hosts.

    starts_fleet tells that no process of the fleet has run before. Without adaptive_pace, the limit
    on the statements at a target is fixed.
    """

    own: Host
    store_address: str
    promotion_address: str
    bounds: Bounds
    seeds: tuple[str, ...] = ()
    max_fds: int = 1024
    clients: ClientLimits = ClientLimits()
    starts_fleet: bool = False
    adaptive_pace: bool = True


class CallerServer(Protocol):
    """A server for the connections of callers."""

    @property
    def full(self) -> bool:
        """Whether no descriptor is left for another caller."""

    async def start(self) -> None:
        """Start to accept callers."""

    async def expire_transactions(self) -> None:
        """End idle transactions as they expire, until cancelled."""

    async def drain(self, until: float) -> None:
        """Close sessions that are between requests, until the given time."""

    async def stop(self, until: float, answer_until: float) -> None:
        """End open transactions, and close callers' connections by the first of the given times.

        Statements that run get their results until the second one.
        """
