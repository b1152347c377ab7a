"""Steps for odd entries of the store, and odd records and messages of hosts."""

import asyncio
import math
import re
import sys
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch
from urllib.parse import parse_qs, urlsplit

import msgspec
from behave import given, then, when

from features.fake_mesh import FakeMesh, InProcessMesh, make_host
from features.steps.fuzz import FakeTransport
from features.steps.robustness import expect_failure
from features.virtual_time import run_virtual
from wagtailloft import clock, logs
from wagtailloft.errors import NoResponse, NotSent
from wagtailloft.fleet import mesh as mesh_module
from wagtailloft.fleet.hosts import Hosts
from wagtailloft.fleet.messages import (
    DECODER,
    ENCODER,
    Ack,
    AgedChanges,
    AgedPosition,
    AgedRevision,
    FenceRequest,
    FenceResponse,
    Frame,
    Hello,
    KnownRevision,
    PrimaryAnnouncement,
    PullRequest,
    PullResponse,
    RollbackRequest,
    SampleRequest,
    SampleResponse,
    StatementRequest,
    StatementResponse,
    SuspectReport,
    TeamDemand,
    TeamGrant,
    TokenRequest,
    TokenResponse,
)
from wagtailloft.fleet.ports import Conflict, StoreDown
from wagtailloft.fleet.records import (
    PROMOTION_LEASE_OBJECT,
    Changes,
    Entry,
    EraRecord,
    HostRecord,
    PrimaryAssignment,
    PromotionLeaseRecord,
    Target,
    Topic,
    host_record_name,
)
from wagtailloft.fleet.store_cache import StoreCache
from wagtailloft.fleet.store_era import ERA_OBJECT
from wagtailloft.groups import promotion_lease
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.groups.record_repair import ASSIGNMENT_PREFIX
from wagtailloft.models import Position
from wagtailloft.sessions.statements import (
    Statement,
    StatementResult,
    Verb,
)

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))

import records  # noqa: E402
import store as platform_store  # noqa: E402

MAX_CALLS = 2000  # of one test; above it, the store is asked over and over
DEEP_ARRAY = b"[" * 5000 + b"]" * 5000
DEEP_OBJECT = b'{"a":' * 5000 + b"1" + b"}" * 5000
FIELDS = {
    b"service": b'"g"',
    b"addr": b'"10.0.0.1:80"',
    b"zone": b'"z"',
    b"version": b'"v"',
    b"slots": b"2",
    b"state": b'"ready"',
    b"cold_left_ms": b"0",
    b"seq": b"1",
    b"db_role": b'"replica"',
    b"born": b"5",
}
ODD_FIELDS = [
    *(
        (field, number)
        for field in (b"slots", b"seq", b"born")
        for number in (
            b"-1",
            b"9223372036854775808",
            b"18446744073709551616",
            b"1" * 60,
            b"9" * 6000,
            b"1e400",
        )
    ),
    (b"cold_left_ms", b"1e400"),
    (b"cold_left_ms", b"NaN"),
    (b"cold_left_ms", b"-Infinity"),
    *((b"addr", b'"10.0.0.1:' + port + b'"') for port in (b"0", b"65536", b"-1", b"9" * 30, b"")),
    (b"addr", b'"10.0.0.1 :80"'),
    (b"service", b'"' + b"x" * (1 << 20) + b'"'),
    (b"service", b'"g\\r\\nQUIT"'),
    (b"service", b'"\xff\xfe"'),
    (b"zone", b'"\\ud800"'),
    (b"zone", b'"\\q"'),
    (b"zone", b'"\x00\n"'),
    (b"state", b'"resting"'),
    (b"unknown", DEEP_ARRAY),
    (b"unknown", b"NaN"),
    (b"zone", DEEP_OBJECT),
]


def encode_spec(**changed):
    """Return the JSON of a member's entry with some fields changed."""
    fields = FIELDS | {k.encode(): v for k, v in changed.items()}
    return b"{" + b",".join(b'"%s":%s' % item for item in fields.items()) + b"}"


def encode_object(name, revision, spec=None, meta=b"", beside=b""):
    """Return the JSON of a stored object."""
    head = b'{"meta":{"name":%s,"revision":%s%s},' % (name, revision, meta)
    return head + b'"spec":%s%s}' % (encode_spec() if spec is None else spec, beside)


def named_odd_objects(revision=b"7"):
    """Return objects called odd that can't be members, with whether their revision can be read."""
    specs = [encode_spec(**{field.decode(): value}) for field, value in ODD_FIELDS]
    specs += [b"null", b"7", b'"x"', b"[]", b"{}", DEEP_ARRAY, DEEP_OBJECT, b"Infinity", b"nul"]
    specs += [b'"\xff"', b'"\\u12"', b"01", b'{"a" 1}', b"{,}"]
    name = b'"odd"'
    objects = [(encode_object(name, revision, spec), True) for spec in specs]
    objects += [
        (encode_object(name, revision, b"null", beside=b',"status":' + value), True)
        for value in (DEEP_ARRAY, b"NaN", b'"\\ud800"')
    ]
    objects += [
        (encode_object(name, revision, b"null", meta=b',"finalizers":' + value), True)
        for value in (DEEP_OBJECT, b"Infinity")
    ]
    numbers = (b"-1", b"1e400", b"1" * 40, b"9" * 6000, b'"x"', b"null", DEEP_ARRAY)
    objects += [(encode_object(name, number, b"null"), False) for number in numbers]
    return objects


def unnamed_odd_objects():
    """Return objects whose name can't be read, and what stands for it in a path, if anything."""
    names = [
        (b'"\xff\xfe"', b"\xff\xfe"),
        (b'"\\ud800"', b"\xed\xa0\x80"),
        (b'"' + b"n" * 2000 + b'"', b"n" * 2000),
        (b'"a\x01"', b"a\x01"),
        (b"12", None),
        (b"null", None),
        (DEEP_ARRAY, None),
    ]
    objects = [(encode_object(name, b"7"), cursor) for name, cursor in names]
    return objects + [(raw, None) for raw in (b"null", b"7", b'"x"', b"{}", b"[]", DEEP_ARRAY)]


def all_odd_objects():
    """Return every odd object."""
    named = [raw for raw, _ in named_odd_objects(b"REVISION")]
    return named + [raw for raw, _ in unnamed_odd_objects()]


class RawStore:
    """The HTTP calls of a store whose objects are raw JSON, kept in the order of their writes.

    A list has `page_size` objects a page; the cursor of a page is the position of an object whose
    name, as bytes, the caller gives.
    """

    def __init__(self, *, page_size=500):
        """Start empty, at revision 1."""
        self.objects, self.history, self.revision = [], [], 1
        self.page_size, self.calls, self.stored = page_size, [], None
        self.changed = None

    def write(self, name, raw):
        """Store the JSON of an object under a name, which may differ from the one in the JSON."""
        self.revision += 1
        raw = raw.replace(b"REVISION", b"%d" % self.revision)
        self.objects = [o for o in self.objects if o[0] != name] + [(name, raw)]
        self.history.append((self.revision, raw))
        if self.changed is not None:
            self.changed.set()

    async def call(self, method, path, *, wait=0.0, **kwargs):
        """Answer a call."""
        self.calls.append(f"{method} {path}")
        assert len(self.calls) < MAX_CALLS, self.calls[-3:]
        parts = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(parts.query, encoding="latin-1").items()}
        if method != "GET":
            return platform_store._Response(409, self.stored, 1)
        if parts.path != "/objects/servers":
            await asyncio.sleep(wait)
            return self._respond(b"items", [], False)
        if "watch" not in query:
            names = [name for name, _ in self.objects]
            start = names.index(query["after"].encode("latin-1")) + 1 if "after" in query else 0
            page = [raw for _, raw in self.objects[start : start + self.page_size]]
            return self._respond(b"items", page, start + self.page_size < len(names))
        if wait and not self._events(query):
            self.changed = asyncio.Event()
            try:
                async with asyncio.timeout(wait):
                    await self.changed.wait()
            except TimeoutError:
                pass
        events = [b'{"object":%s,"deleted":false}' % raw for raw in self._events(query)]
        return self._respond(b"events", events, False)

    def _events(self, query):
        return [raw for revision, raw in self.history if revision > int(query["watch"])]

    def _respond(self, field, parts, has_more):
        flag = b"true" if has_more else b"false"
        body = b'{"%s":[%s],"has_more":%s,"at":%d}'
        body %= (field, b", ".join(parts), flag, self.revision)
        return platform_store._Response(200, body, 1)


def make_client(raw_store):
    """Return the platform's client of a store."""
    client = platform_store.ObjectStore(address="127.0.0.1:1", source="127.0.0.1")
    client._http = raw_store
    return client


def good_object(name):
    """Return the JSON of a good entry at the revision of its write."""
    return encode_object(b'"%s"' % name, b"REVISION")


def targets_of(entries):
    """Return the names of the entries that are members."""
    return [e.name for e in entries if isinstance(e.value, Target)]


@then(
    "for each odd entry, the good entries of a {kind} are decoded, and the odd one names no member"
)
def step_odd_among_good(context, kind):
    failures = []
    for raw in all_odd_objects():
        raw_store = RawStore()
        client = make_client(raw_store)
        raw_store.write(b"a", good_object(b"a"))
        raw_store.write(b"odd", raw)
        raw_store.write(b"z", good_object(b"z"))
        after = platform_store.make_revision(1, 1) if kind == "watch" else 0
        try:
            changes = asyncio.run(client.changes(Topic.TARGETS, after, 0.0))
            assert targets_of(changes.entries) == ["a", "z"], targets_of(changes.entries)
            assert changes.revision == platform_store.make_revision(1, 4), changes.revision
            assert all(e.revision <= changes.revision for e in changes.entries)
            ENCODER.encode(changes)
        except Exception as exc:
            failures.append((raw[:200], repr(exc)[:200]))
    assert not failures, f"{len(failures)} of {len(all_odd_objects())}: {failures}"


@then(
    "for each odd entry in a 409, the write conflicts with it at its revision, or the store counts "
    "as failing"
)
def step_odd_conflict(context):
    async def write(raw):
        raw_store = RawStore()
        raw_store.stored = raw
        value = PromotionLeaseRecord(holder="h")
        try:
            await make_client(raw_store).put(Topic.TARGETS, "odd", value, 10**12)
        except Conflict as exc:
            return exc.entry
        except StoreDown:
            return None
        raise AssertionError("a write that conflicts succeeded")

    for raw, has_revision in named_odd_objects():
        entry = asyncio.run(write(raw))
        if has_revision:
            assert entry is not None and entry.value is None, raw[:200]
            assert entry.revision == platform_store.make_revision(1, 7), raw[:200]
    for raw, _ in unnamed_odd_objects():
        entry = asyncio.run(write(raw))
        assert entry is None or entry.value is None, raw[:200]


@then("the pages after one that ends with each odd entry are read, each page once")
def step_odd_ends_page(context):
    for raw, name in [*((r, b"odd") for r, _ in named_odd_objects()), *unnamed_odd_objects()]:
        raw_store = RawStore(page_size=2)
        for good in (b"a", b"b", b"c", None, b"x", b"y"):
            if good is None:
                raw_store.write(b"?" if name is None else name, raw)
            else:
                raw_store.write(good, good_object(good))
        changes = asyncio.run(make_client(raw_store).changes(Topic.TARGETS, 0, 0.0))
        assert sorted(targets_of(changes.entries)) == ["a", "b", "c", "x", "y"], raw[:200]
        assert len(raw_store.calls) == len(set(raw_store.calls)) <= 4, raw_store.calls


@then("it is logged once for each of its revisions, however often it is read")
def step_logged_once(context):
    lines = []
    raw_store = RawStore()
    client = make_client(raw_store)
    raw_store.write(b"odd", encode_object(b'"odd"', b"REVISION", b"null"))
    raw_store.write(b"unnamed", encode_object(b"12", b"REVISION"))
    with patch.object(logs, "warn", lambda name, /, **fields: lines.append((name, fields))):
        for _ in range(5):
            asyncio.run(client.changes(Topic.TARGETS, 0, 0.0))
        assert len(lines) == 2, lines
        raw_store.write(b"odd", encode_object(b'"odd"', b"REVISION", DEEP_ARRAY))
        for _ in range(5):
            asyncio.run(client.changes(Topic.TARGETS, 0, 0.0))
    assert [name for name, _ in lines] == ["entry_unreadable"] * 3, lines
    named = [fields for _, fields in lines if fields["name"] == "odd"]
    assert len(named) == 2 and all(fields["why"] for fields in named), lines


class EncodingMesh(InProcessMesh):
    """A mesh in this process whose messages are encoded and decoded as between hosts."""

    async def call(self, address, message, limit):
        """Return the decoded response of the host at an address."""
        response = await super().call(address, _through_frame(message), limit)
        return _through_frame(response)


def _through_frame(message):
    return DECODER.decode(ENCODER.encode(Frame(call_id=1, is_response=False, body=message))).body


def make_pulling_hosts(store):
    """Return the caches of a host that reads the store and of one that pulls from it."""
    meshes, caches = {}, []
    first, second = make_host(0, 1), make_host(1, 1)
    for own, other in ((first, second), (second, first)):
        meshes[own.ip] = EncodingMesh(meshes)
        hosts = Hosts(own=own, mesh=meshes[own.ip])
        hosts._put(other)
        cache = StoreCache(
            store=store, hosts=hosts, mesh=meshes[own.ip], max_age=3.3, assignment_max_age=2.4
        )
        caches.append(SimpleNamespace(cache=cache, directory=GroupDirectory(cache=cache)))
    return caches


@given("a host that reads a store and a host that pulls from it")
def step_reading_and_pulling(context):
    def run(make_odd):
        """Write odd entries between good ones; return the members known, and the store's calls."""

        async def follow():
            raw_store = RawStore()
            reader, puller = make_pulling_hosts(make_client(raw_store))
            tasks = [asyncio.create_task(reader.cache.watch_store(t)) for t in Topic]
            tasks.append(asyncio.create_task(puller.cache.pull_from_peers()))
            for number, raw in enumerate(make_odd()):
                raw_store.write(b"odd%d" % (number % 9), raw)
                if number % 9 == 0:
                    raw_store.write(b"m%d" % number, good_object(b"m%d" % number))
                await asyncio.sleep(0.3)
            raw_store.write(b"last", good_object(b"last"))
            await asyncio.sleep(3.0)
            failed = [t.exception() for t in tasks if t.done()]
            for task in tasks:
                task.cancel()
            assert not failed, failed
            members = [
                sorted(t.name for t in host.directory.targets("g")) for host in (reader, puller)
            ]
            return members, raw_store.calls

        return run_virtual(follow())

    context.run = run


@when("each odd entry is written between good ones")
def step_write_odd(context):
    odd = all_odd_objects()
    context.expected = sorted(f"m{n}" for n in range(len(odd)) if n % 9 == 0) + ["last"]
    context.members, context.calls = context.run(all_odd_objects)
    _, context.plain_calls = context.run(lambda: [good_object(b"n")] * len(odd))


@then("both hosts have the good ones in force, and the last member written")
def step_both_follow(context):
    for members in context.members:
        assert members == sorted(context.expected), members


@then("the store was called as often as without odd entries")
def step_calls_unchanged(context):
    assert len(context.calls) <= len(context.plain_calls) * 1.1, (
        len(context.calls),
        len(context.plain_calls),
    )


# The fleet's own records.

OTHER = make_host(1, 1)
ASSIGNMENT = PrimaryAssignment(group="g", epoch=3, settled=True, primary="m0", term=2)
FLEET_RECORDS = {
    "host": (host_record_name(OTHER.name), HostRecord(host=OTHER)),
    "assignment": (ASSIGNMENT_PREFIX + "g", ASSIGNMENT),
    "era": (ERA_OBJECT, EraRecord(era=1)),
    "lease": (PROMOTION_LEASE_OBJECT, PromotionLeaseRecord(holder="h01/1", era=1)),
}


class RecordStore:
    """A store of the fleet's records, each of which may have become unreadable."""

    def __init__(self):
        """Start in era 1, without objects."""
        self.entries, self.number = {}, 0

    def set(self, name, value, is_readable=True):
        """Write an object unconditionally, or remove it; return its entry."""
        self.number += 1
        revision = platform_store.make_revision(1, self.number)
        entry = Entry(name=name, revision=revision, value=value, is_readable=is_readable)
        self.entries[name] = entry
        return entry

    async def changes(self, topic, after, wait):
        """Return the changes of the fleet's topic."""
        revision = platform_store.make_revision(1, self.number)
        entries = self.entries.values() if topic is Topic.FLEET else ()
        entries = tuple(e for e in entries if e.revision > after and (after or e.exists))
        return Changes(topic=topic, revision=revision, is_snapshot=not after, entries=entries)

    async def put(self, topic, name, value, revision):
        """Write an object if it is at a revision."""
        known = self.entries.get(name)
        if (known.revision if known else platform_store.make_revision(1, 0)) != revision:
            raise Conflict(known)
        return self.set(name, value)


def start_cache(record_store):
    """Return a host's cache, and the host's view of the fleet, after a read of the store."""
    mesh = FakeMesh()
    mesh.hosts[OTHER.ip] = OTHER
    hosts = Hosts(own=make_host(0, 1), mesh=mesh)
    cache = StoreCache(
        store=record_store, hosts=hosts, mesh=mesh, max_age=3.3, assignment_max_age=2.4
    )
    cache.on_change(Topic.FLEET, hosts.follow_register)
    return cache, hosts


def run_fleet(context, act):
    """Let a host read the fleet's record before and after it changed, and act then."""

    async def run():
        record_store = RecordStore()
        record_store.set(ERA_OBJECT, EraRecord(era=1))  # so that no earlier era is waited for
        name, value = FLEET_RECORDS[context.record]
        record_store.set(name, value)
        cache, hosts = start_cache(record_store)
        await cache.read_now(Topic.FLEET)
        for change in context.changes:
            change(record_store, name)
            await cache.read_now(Topic.FLEET)
        return await act(record_store, cache, hosts)

    return run_virtual(run())


@given("a host that knows a {record} of another host")
def step_knows_record(context, record):
    context.record, context.changes = record, []


@when("another writer makes the {record} unreadable")
def step_make_unreadable(context, record):
    context.changes.append(lambda store, name: store.set(name, None, is_readable=False))


@when("the host is removed from the store")
def step_remove_record(context):
    context.changes.append(lambda store, name: store.set(name, None))


@then("the host acts on the {record} as before")
def step_acts_as_before(context, record):
    async def act(record_store, cache, hosts):
        assert record != "host" or hosts.get(OTHER.name) == OTHER
        assert record != "assignment" or cache.assignment("g") == ASSIGNMENT
        assert record != "era" or cache.era.is_recorded

    run_fleet(context, act)


@then("the host writes the {record} again at its present revision")
def step_rewrites(context, record):
    async def act(record_store, cache, hosts):
        name, value = FLEET_RECORDS[record]
        assert await cache.write(Topic.FLEET, name, value) is not None
        assert record_store.entries[name].value == value

    run_fleet(context, act)


async def never_ends(process_name):
    """Return False: no process is known to have ended."""
    return False


async def take_lease(cache):
    """Take the lease at a host; return the seconds that it took."""
    lease = promotion_lease.PromotionLease(own=make_host(0, 1), cache=cache, has_ended=never_ends)
    cache.on_change(Topic.FLEET, lease.observe)
    started = clock.now()
    assert await lease.acquire()
    return clock.now() - started


@then("the host takes the lease only after a holder's time has passed")
def step_takes_lease(context):
    async def act(record_store, cache, hosts):
        return await take_lease(cache)

    assert run_fleet(context, act) >= promotion_lease.TAKEOVER_WAIT_S


@then("so does a host that starts then")
def step_starting_takes_lease(context):
    async def act(record_store, cache, hosts):
        late, _ = start_cache(record_store)
        await late.read_now(Topic.FLEET)
        return await take_lease(late)

    assert run_fleet(context, act) >= promotion_lease.TAKEOVER_WAIT_S


@then("the host knows the other host no more")
def step_knows_no_more(context):
    async def act(record_store, cache, hosts):
        assert hosts.get(OTHER.name) is None

    run_fleet(context, act)


@then("for each odd number in a record of the fleet, the record can't be read")
def step_odd_fleet_numbers(context):
    wrong = []
    for name, value in FLEET_RECORDS.values():
        plain = msgspec.json.encode(value)
        for number in (b"-1", b"9223372036854775808", b"18446744073709551616", b"70000", b"1e400"):
            for match in re.finditer(rb'"(\w+)":\d+', plain):
                is_port = match[1].endswith(b"_port")
                if number == b"70000" and not is_port:
                    continue
                odd = plain[: match.start()] + b'"%s":%s' % (match[1], number)
                stored = records.decode_object(
                    encode_object(b'"%s"' % name.encode(), b"7", odd + plain[match.end() :])
                )
                entry = records.decode_entry(Topic.FLEET, stored, 1)
                if entry.is_readable or entry.value is not None:
                    wrong.append((name, match[1], number))
    assert not wrong, wrong


# Messages between hosts.

RAW_ACK = msgspec.msgpack.encode(Ack())
MESSAGES = (
    Hello(host=OTHER),
    PullResponse(
        topic_changes=(
            AgedChanges(
                changes=Changes(
                    topic=Topic.FLEET,
                    revision=7,
                    is_snapshot=False,
                    entries=(Entry(name="lead-g", revision=7, value=ASSIGNMENT),),
                ),
                age=0.5,
            ),
        ),
        newer=(AgedRevision(topic=Topic.FLEET, revision=7, age=0.5),),
    ),
    PullRequest(host="h", known_revisions=(KnownRevision(topic=Topic.FLEET, revision=7),)),
    StatementRequest(
        group="g",
        target="m",
        team="t",
        bound=BoundStatement(
            request_id="r",
            statement=Statement(verb=Verb.READ),
            min_position=Position(term=7, index=7),
        ),
        budget=0.5,
        transaction_id=7,
    ),
    StatementResponse(outcome=StatementResult(position=Position(term=7)), transaction_id=7),
    RollbackRequest(transaction_id=7),
    FenceRequest(assignment=ASSIGNMENT, immediate=True),
    FenceResponse(acknowledged=Position(term=7)),
    TokenRequest(
        host="h",
        incarnation=7,
        number=7,
        demands=(TeamDemand(team="t", held=0.5, wanted=0.5, waiting=0.5),),
    ),
    TokenResponse(grants=(TeamGrant(team="t", tokens=0.5, wait=0.5),)),
    SampleRequest(group="g", max_age=0.5, newest_age=0.5),
    SampleResponse(samples=(AgedPosition(age=0.5, position=Position(term=7)),)),
)


def with_odd_numbers(value, numbers):
    """Return the variants of a plain value, each with one of its numbers replaced."""
    if isinstance(value, dict):
        return [{**value, k: odd} for k, v in value.items() for odd in with_odd_numbers(v, numbers)]
    if isinstance(value, list):
        return [
            [*value[:i], odd, *value[i + 1 :]]
            for i, v in enumerate(value)
            for odd in with_odd_numbers(v, numbers)
        ]
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return [n for n in numbers if type(n) is type(value)] if is_number else []


@then("no message is decoded that has an odd number in any field")
def step_odd_messages(context):
    numbers = (-(2**63), 2**63, 2**64 - 1, math.nan, -math.inf)
    wrong = []
    for message in MESSAGES:
        frame = Frame(call_id=1, is_response=False, body=message)
        plain = msgspec.msgpack.decode(ENCODER.encode(frame))
        assert DECODER.decode(msgspec.msgpack.encode(plain)) == frame
        for body in with_odd_numbers(plain[2], numbers):
            try:
                decoded = DECODER.decode(msgspec.msgpack.encode([1, False, body]))
            except msgspec.ValidationError:
                continue
            # The digest of assignments has 64 bits, all of which can be sent.
            if getattr(decoded.body, "assignments_digest", 0) not in (2**63, 2**64 - 1):
                wrong.append(decoded.body)
    assert not wrong, f"{len(wrong)}: {wrong[:4]}"


@then("each odd frame closes its connection, and nothing is raised")
def step_odd_frames(context):
    async def handle(conn, message):
        raise AssertionError(f"{message} was handled")

    def feed(body):
        conn = mesh_module.PeerConnection(handler=handle, on_lost=lambda c: None)
        conn._transport = FakeTransport()
        conn.data_received(len(body).to_bytes(mesh_module.HEADER_BYTES) + body)
        return conn._transport.closed

    async def check():
        deep = b"\x91" * 5000 + b"\x01"
        pull = b"\x93\x01\xc2\x93\xa4pull"
        for body in (
            deep,
            b"\x93\x01\xc2" + deep,
            b"\x94\x01\xc2\xc0" + deep,
            pull + b"\xa1\xff\x90",
            pull + b"\xa1h\xdd\xff\xff\xff\xff",
            pull + b"\xdb\xff\xff\xff\xffh",
            b"\x93\xcf\xff\xff\xff\xff\xff\xff\xff\xff\xc2" + RAW_ACK,
            b"\xc1",
            b"",
        ):
            assert feed(body), body[:20]

    asyncio.run(check())


@when("a request and a response can't be encoded")
def step_unencodable_messages(context):
    async def calls(call):
        await expect_failure(call, RollbackRequest(transaction_id=2**70), NotSent)
        await expect_failure(call, SuspectReport(group="\ud800", target="t", why=""), NotSent)
        await expect_failure(call, PrimaryAnnouncement(assignment=ASSIGNMENT), NoResponse)
        context.answer = await call(RollbackRequest(transaction_id=2))

    async def answer_badly(conn, message):
        return RollbackRequest(transaction_id=2**70)

    context.run_calls(calls, {PrimaryAnnouncement: answer_badly})
