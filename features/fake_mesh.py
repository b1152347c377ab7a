"""Fake connections between hosts, for tests of one host's view of a fleet in one process."""

from collections import Counter, defaultdict

from wagtailloft.fleet.messages import AgedChanges, AgedRevision, Hello, HelloReply, PullResponse
from wagtailloft.fleet.records import Changes
from wagtailloft.models import Host


def make_host(number, zones, incarnation=1):
    """Return a host whose name sorts by its number, in one of `zones` availability zones."""
    return Host(
        name=f"h{number:02}",
        ip=f"10.0.0.{number}",
        caller_port=1,
        peer_port=2,
        operator_port=3,
        zone=f"z{number % zones}",
        incarnation=incarnation,
    )


class InProcessMesh:
    """A mesh that calls the handlers of other hosts in the same process directly."""

    def __init__(self, meshes):
        """Take the meshes of all hosts, keyed by IP address."""
        self.meshes, self.handlers = meshes, {}

    def register_handler(self, message_type, handler):
        """Register the handler of a message type."""
        self.handlers[message_type] = handler

    def connected(self, address):
        """Return True: every host is connected."""
        return True

    async def call(self, address, message, limit):
        """Return the response of the handler of the host at an address."""
        return await self.meshes[address[0]].handlers[type(message)](None, message)


class FakeMesh:
    """A mesh that responds for all other hosts and records the topics pulled from each.

    `ages` is the age in seconds that each host reports for its changes, `revision` the revision
    that all have, and `sent` counts how often the changes of a topic were sent.
    """

    def __init__(self):
        """Let every host report changes 0.1 s old, at revision 1, until a test sets `ages`."""
        self.ages = defaultdict(lambda: 0.1)
        self.pulls = defaultdict(set)
        self.hosts = {}
        self.revision, self.sent = 1, Counter()

    def register_handler(self, message_type, handler):
        """Ignore a handler: no host sends messages to this one."""

    def connected(self, address):
        """Return True: every host is connected."""
        return True

    async def call(self, address, message, limit):
        """Respond to a Hello or a PullRequest."""
        other = self.hosts[address[0]]
        if isinstance(message, Hello):
            return HelloReply(host=other)
        for known in message.known_revisions:
            self.pulls[other.name].add(known.topic)
        topic_changes, newer = [], []
        for known in message.known_revisions:
            if message.names_only and known.revision < self.revision:
                age = self.ages[other.name]
                newer.append(AgedRevision(topic=known.topic, revision=self.revision, age=age))
                continue
            self.sent[known.topic] += known.revision < self.revision
            changes = Changes(topic=known.topic, revision=self.revision, is_snapshot=False)
            topic_changes.append(AgedChanges(changes=changes, age=self.ages[other.name]))
        return PullResponse(
            topic_changes=tuple(topic_changes),
            verified=True,
            newer=tuple(newer),
            host=other.name,
        )
