"""Hosts of a fleet that are played in this process, for tests of one host among many."""

from collections import defaultdict

from wagtailloft.fleet.messages import AgedChanges, Hello, HelloReply, PullResponse
from wagtailloft.fleet.records import Changes
from wagtailloft.models import Host


def host(number, zones):
    """Return a host of a fleet; names sort by number."""
    return Host(
        name=f"h{number:02}",
        ip=f"10.0.0.{number}",
        caller_port=1,
        peer_port=2,
        operator_port=3,
        zone=f"z{number % zones}",
        incarnation=1,
    )


class JoinedMesh:
    """Carry pulls between hosts that are all played in this process."""

    def __init__(self, meshes):
        """Join the others; meshes holds all by address."""
        self.meshes, self.handlers = meshes, {}

    def register_handler(self, message_type, handler):
        """Take a handler."""
        self.handlers[message_type] = handler

    def connected(self, address):
        """Tell that every host is connected."""
        return True

    async def call(self, address, message, limit):
        """Have a host answer."""
        return await self.meshes[address[0]].handlers[type(message)](None, message)


class FakeMesh:
    """Answer for all other hosts, and note what was asked of each."""

    def __init__(self):
        """Start with copies that nobody has confirmed."""
        self.ages = defaultdict(lambda: 0.1)
        self.pulls = defaultdict(set)
        self.hosts = {}

    def register_handler(self, message_type, handler):
        """Take a handler, which nobody calls."""

    def connected(self, address):
        """Tell that every host is connected."""
        return True

    async def call(self, address, message, limit):
        """Answer a greeting or a pull."""
        other = self.hosts[address[0]]
        if isinstance(message, Hello):
            return HelloReply(host=other)
        for known in message.known_revisions:
            self.pulls[other.name].add(known.topic)
        topic_changes = tuple(
            AgedChanges(
                changes=Changes(topic=k.topic, revision=1, is_snapshot=False),
                age=self.ages[other.name],
            )
            for k in message.known_revisions
        )
        return PullResponse(topic_changes=topic_changes, verified=True)
