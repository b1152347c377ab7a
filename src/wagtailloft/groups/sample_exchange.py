"""Exchange position samples between hosts, so that few reads need the primary to get one.

In a large fleet a host rarely sends a statement to a given primary itself. One host of each
availability zone collects a group's samples for its zone from the owner of the primary's links,
through which every statement for the primary passes.
"""

import asyncio

from wagtailloft import logs
from wagtailloft.clock import now
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.mesh import Mesh, PeerConnection
from wagtailloft.fleet.messages import AgedPosition, Message, SampleRequest, SampleResponse
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.relay import Relay

# Covers one statement at a primary. Without the wait, a burst of reads that lack a sample would all
# go to the primary.
IN_FLIGHT_WAIT_S = 0.06
POLL_INTERVAL_S = 0.006  # between checks for the sample of a statement in flight
OWNER_TIMEOUT_S = 0.08  # covers IN_FLIGHT_WAIT_S and a round trip across zones
COLLECTOR_TIMEOUT_S = 0.1  # covers OWNER_TIMEOUT_S and a round trip within a zone
RETRY_PAUSE_S = 0.3  # after a source did not answer; the primary is read meanwhile
SPACING_S = 0.2  # between the samples sent; the limits on the age of reads are seconds
REFRESH_SHARE = 0.5  # of the allowed age, after which a collector renews its samples ahead of need


class SampleExchange:
    """Fetch samples that this host lacks, and answer other hosts that lack them."""

    def __init__(
        self, *, hosts: Hosts, mesh: Mesh, directory: GroupDirectory, relay: Relay
    ) -> None:
        self._hosts = hosts
        self._directory = directory
        self._relay = relay
        self._fetches: dict[str, asyncio.Task[None]] = {}
        self._paused_until: dict[str, float] = {}
        mesh.register_handler(SampleRequest, self._handle_request)

    async def fetch(self, group: str, max_age: float) -> bool:
        """Obtain a sample younger than max_age seconds; return whether there is one now."""
        if not self._has_sample(group, max_age):
            fetch = self._start_fetch(group, max_age)
            if fetch is not None:
                await asyncio.shield(fetch)
        return self._has_sample(group, max_age)

    def _has_sample(self, group: str, max_age: float) -> bool:
        return self._directory.samples(group).newest_age(now()) <= max_age

    def _start_fetch(self, group: str, max_age: float) -> asyncio.Task[None] | None:
        """Return the fetch of a group's samples in progress, a new one, or None after a failure."""
        if group not in self._fetches:
            if self._paused_until.get(group, 0.0) > now():
                return None
            task = asyncio.get_running_loop().create_task(self._fetch(group, max_age))
            self._fetches[group] = task
            task.add_done_callback(lambda _: self._fetches.pop(group, None))
        return self._fetches[group]

    async def _fetch(self, group: str, max_age: float) -> None:
        source, timeout = self._source(group)
        if source == self._hosts.own.name:
            await self._wait_for_statement(group, max_age)
            return
        samples = self._directory.samples(group)
        sent_at = now()
        request = SampleRequest(
            group=group, max_age=max_age, newest_age=samples.newest_age(sent_at)
        )
        try:
            response = await self._hosts.call(source, request, timeout)
        except (NotSent, NoResponse) as exc:
            logs.event("samples_unavailable", host=source, group=group, why=str(exc))
            self._paused_until[group] = now() + RETRY_PAUSE_S
            return
        if not isinstance(response, SampleResponse):
            return
        # Ages are counted from when the request was sent, so a sample never appears younger.
        for sample in response.samples:
            samples.add(sent_at - sample.age, sample.position)

    def _source(self, group: str) -> tuple[str, float]:
        """Return the host to ask, and how long to wait for it; this host if it is the owner."""
        own = self._hosts.own
        primary = self._directory.primary(group)
        if primary is None:
            return own.name, 0.0
        owner = self._relay.owners(primary)[0].name
        collectors = self._hosts.rank_owners(f"samples-{group}", own.zone)
        if not collectors or own.name in (owner, collectors[0].name):
            return owner, OWNER_TIMEOUT_S
        return collectors[0].name, COLLECTOR_TIMEOUT_S

    async def _wait_for_statement(self, group: str, max_age: float) -> None:
        """Wait for the sample of a statement that is in flight to the primary, if there is one."""
        samples = self._directory.samples(group)
        deadline = now() + IN_FLIGHT_WAIT_S
        while samples.in_flight and not self._has_sample(group, max_age) and now() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _handle_request(self, conn: PeerConnection, message: Message) -> Message:
        assert isinstance(message, SampleRequest)
        await self.fetch(message.group, message.max_age)
        samples = self._directory.samples(message.group)
        at = now()
        if samples.newest_age(at) > message.max_age * REFRESH_SHARE:
            self._start_fetch(message.group, message.max_age)  # while the present ones are usable
        taken = samples.taken_after(at - min(message.newest_age, message.max_age), SPACING_S)
        return SampleResponse(
            samples=tuple(AgedPosition(age=at - when, position=p) for when, p in taken)
        )
