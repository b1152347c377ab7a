"""Steps for odd entries and values, in everything that decodes what others send."""

import asyncio
import base64
import json
import math
import re
import socket
import sys
import tempfile
import threading
import time
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from unittest.mock import patch
from urllib.parse import parse_qs, urlsplit

import msgspec
from behave import given, then, when
from hypothesis import strategies as st

from features.fake_mesh import FakeMesh, InProcessMesh, make_host
from features.steps.fuzz import FakeTransport, fuzz, json_values, mutated
from features.steps.robustness import expect_failure, make_target_link
from features.virtual_time import run_virtual
from wagtailloft import clock, logs, options
from wagtailloft import settings as daemon_settings
from wagtailloft.adapters import peers
from wagtailloft.adapters.callers import CallerHandler
from wagtailloft.adapters.http import HttpConnection
from wagtailloft.adapters.members import HttpMemberLink, MemberRequest, _decode_progress
from wagtailloft.adapters.object_api import HttpObjectApi, WriteConflict
from wagtailloft.adapters.peers import (
    _decode_grant,
    from_thrift_delta,
    from_thrift_digest,
    to_thrift_delta,
)
from wagtailloft.adapters.server import HttpRequest
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.errors import FixSettings, Kind, NoResponse, NotSent
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
from wagtailloft.gen.peer import ttypes
from wagtailloft.groups import promotion_lease
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.ports import BoundStatement, LinkSpec
from wagtailloft.groups.record_repair import ASSIGNMENT_PREFIX
from wagtailloft.json_parts import split_array, split_object
from wagtailloft.models import Member, Mode, Position, Team
from wagtailloft.operators import OperatorService
from wagtailloft.session_tokens import SessionTokens, _tag
from wagtailloft.sessions.session import Session
from wagtailloft.sessions.statements import (
    PreparedStatement,
    Statement,
    StatementResult,
    TransactionState,
    Verb,
)

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))

import front  # noqa: E402
import links  # noqa: E402
import records  # noqa: E402
import settings_file  # noqa: E402
import store as platform_store  # noqa: E402
import wire  # noqa: E402

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
    "lease": (promotion_lease.LEASE_OBJECT, PromotionLeaseRecord(holder="h01/1", era=1)),
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


# Settings.

TOML = """
node_name = "h"
ip = "10.0.0.1"
zone = "z"
region = "r"
port_range = [2, 3]
[listen]
frontend = "10.0.0.1:80"
ready = "10.0.0.1:81"
[platform]
addr = "10.0.0.1:82"
[cloud_api]
addr = "10.0.0.1:83"
[bounds]
revoke_ms = 5000
config_apply_ms = 3000
grace_s = 6
quota_window_s = 5
quota_excess = 0.1
quota_slack = 20
[limits]
max_fds = 1024
memory_mb = 256
"""
INI = """
[host]
name = a
ip = 10.0.0.1
zone = z
region = r
caller_port = 1
peer_port = 2
operator_port = 3
[platform]
address = 10.0.0.1:82
[session]
secret = xxxxxxxxxxxxxxxxxxxx
[process]
threads = 9
drain = 1s
"""
ODD_TOML_VALUES = (
    "nan",
    "inf",
    "-inf",
    "-1",
    "1e400",
    "9" * 40,
    "9" * 5000,
    "[" * 2000 + "]" * 2000,
)
ODD_INI_VALUES = (
    "nan",
    "inf",
    "-1",
    "1e400",
    "9" * 40,
    "9" * 5000,
    "9" * 400 + "s",
    "1" * 17 + "s",
)


def odd_files(text, values):
    """Return a settings file with each of its numbers replaced by each odd value."""
    for match in re.finditer(r"^(\w+) = (\[.*\]|[\d.]+s?)$", text, re.MULTILINE):
        for value in values:
            yield match[1], f"{text[: match.start(2)]}{value}{text[match.end(2) :]}"


def expect_refusal(load, option, text):
    """Return what is wrong with the refusal of a settings file, None if nothing is."""
    try:
        load(text)
    except FixSettings as exc:
        return None if str(exc) else (option, "no message")
    except Exception as exc:
        return option, type(exc).__name__
    return option, text[-300:]


@then("each odd settings file is refused with its errors")
def step_odd_settings(context):
    path = Path(context.stack.enter_context(tempfile.TemporaryDirectory())) / "host.toml"

    def load_toml(text):
        path.write_text(text)
        return settings_file.load(str(path))

    assert load_toml(TOML) and daemon_settings.parse("host.ini", INI)
    odd = [expect_refusal(load_toml, *item) for item in odd_files(TOML, ODD_TOML_VALUES)]
    for old, new in (
        ('"h"', '"h\\r\\nx"'),
        ('"h"', '"' + "h" * 1000 + '"'),
        ('"10.0.0.1"', '"10.0.0"'),
        ("[2, 3]", "[0, 3]"),
        ("[2, 3]", "[2, 70000]"),
        ("[2, 3]", "[-2, 3]"),
        ("[2, 3]", "[3, 2]"),
    ):
        odd.append(expect_refusal(load_toml, new, TOML.replace(old, new, 1)))
    for option, text in odd_files(INI, ODD_INI_VALUES):
        odd.append(expect_refusal(lambda t: daemon_settings.parse("host.ini", t), option, text))
    assert not any(odd), [o for o in odd if o]


@then("each odd value of an option is refused with what is expected")
def step_odd_options(context):
    for option in msgspec.structs.fields(options.Options):
        for value in (
            "9" * 400,
            "9" * 400 + "s",
            "9" * 400 + "B",
            "nan",
            "inf",
            "-1",
            "\u0663s",
            "",
        ):
            parsed = options.parse(option.name, value)
            assert parsed.is_err() and parsed.err_value, (option.name, value[:9])


# Lines of callers and targets.


def run_at_link(response):
    """Return the link that got the bytes of a response to a statement, and the exception raised."""

    async def run():
        link = make_target_link()
        bound = BoundStatement(request_id="r", statement=Statement(verb=Verb.READ, text="READ 1"))
        running = asyncio.create_task(link.run(bound, 0.2))
        await asyncio.sleep(0)
        kept = 0
        for chunk in response:
            if not link.closed:
                link.data_received(chunk)
            kept = max(kept, sum(len(r) for p in link._pending for r in p.rows))
        if link.closed:
            link.connection_lost(None)
        (result,) = await asyncio.gather(running, return_exceptions=True)
        return link, result, kept

    return run_virtual(run())


@then("a statement whose response is {response} gets no response, and the link is closed")
def step_odd_response(context, response):
    text = response.replace("TOO LONG", "ROW " + "x" * wire.MAX_MESSAGE_BYTES)
    data = "".join(f"{line}\r\n" for line in text.split("/")).encode()
    link, result, _ = run_at_link([data])
    assert isinstance(result, NoResponse) and link.closed, result


@then("a link keeps a bounded part of a response, and gets no response")
def step_endless_rows(context):
    row = b"ROW " + b"x" * 1000 + b"\r\n"
    link, result, kept = run_at_link(row * 1000 for _ in range(40))
    assert isinstance(result, NoResponse) and link.closed, result
    assert kept <= links.MAX_RESPONSE_CHARS, kept


@then("a link to a target at port {port:d} is not opened, and nothing was sent")
def step_odd_port(context, port):
    async def check():
        spec = LinkSpec(group="g", target="m", address=f"127.0.0.1:{port}", team="t")
        try:
            await links.TargetLinkFactory(source="127.0.0.1").open(spec)
        except NotSent:
            return
        raise AssertionError("a link was opened")

    asyncio.run(check())


class PausableTransport(FakeTransport):
    """A transport that stops delivering while reading is paused."""

    paused = False

    def pause_reading(self):
        """Pause."""
        self.paused = True

    def resume_reading(self):
        """Resume."""
        self.paused = False

    close = FakeTransport.abort


@then("at most 4 MiB of a caller's messages wait at a host, and all are processed in order")
def step_large_messages(context):
    async def check():
        handled = []

        async def handle(request_id, statement):
            handled.append(request_id)
            await asyncio.sleep(0.01)
            return StatementResult()

        server = SimpleNamespace(closing=False, connections=set())
        connection = front.CallerConnection(server=server, name="s1")
        connection._transport = transport = PausableTransport()
        connection.session = SimpleNamespace(handle=handle, state=TransactionState.IDLE)
        text = b" WRITE a " + b"x" * (wire.MAX_MESSAGE_BYTES - 100) + b"\r\n"
        stream = b"".join(b"QUERY %d" % n + text for n in range(40))
        most = 0
        for start in range(0, len(stream), 1 << 18):
            while transport.paused:
                await asyncio.sleep(0.01)
            connection.data_received(stream[start : start + (1 << 18)])
            waiting = (m.statement.text for m in connection._messages)
            most = max(most, sum(len(t) for t in waiting))
        await asyncio.sleep(1.0)
        assert handled == [str(n) for n in range(40)], handled
        assert most <= 4 << 20, most

    run_virtual(check())


@then(
    "the variables and prepared statements of a session have at most 2 MiB, and others are refused"
)
def step_session_state(context):
    async def check():
        admission = SimpleNamespace(
            record_result=lambda *_: None, age=lambda: 0.0, digest=lambda key: ""
        )
        session = Session(name="s", database="d", key="", admission=admission, dispatcher=None)
        value = "x" * (1 << 19)
        kinds = []
        for n in range(8):
            prepared = PreparedStatement(mode=Mode.READ, text=value)
            for statement in (
                Statement(verb=Verb.SET, name=f"v{n}", argument=value),
                Statement(verb=Verb.PREPARE, name=f"p{n}", prepared=prepared),
            ):
                kinds.append((await session.handle("r", statement)).kind)
        kept = [*session._session_variables.values(), *(p.text for p in session._prepared.values())]
        assert 1 << 20 <= sum(map(len, kept)) <= 2 << 20, [len(k) for k in kept]
        assert kinds.count(Kind.TOO_LARGE) == 16 - len(kept), kinds
        again = Statement(verb=Verb.SET, name="v0", argument="short")
        assert (await session.handle("r", again)).ok
        assert (await session.handle("r", Statement(verb=Verb.DEALLOCATE, name="p0"))).ok

    run_virtual(check())


@then("a log line of values with 1 MiB has at most 4 KiB")
def step_long_log_values(context):
    for value in ("x" * (1 << 20), "\n" * (1 << 20), b"x" * (1 << 20)):
        line = logs.format_event("refused", {"request": value, "ms": 1.0})
        assert len(line) <= 4096 and line.endswith("ms=1"), (len(line), line[-30:])


# Our own interface.

ODD_VALUES = (DEEP_ARRAY, DEEP_OBJECT, b"NaN", b'"\xff"', b'"\\ud800"', b"7", b"[]", b"{}", b"nul")


@then("each odd body of a caller or an operator is refused as a bad request")
def step_odd_bodies(context):
    handler = CallerHandler(entry=None, body_limit=lambda route: 1 << 20)
    operators = OperatorService.__new__(OperatorService)
    for value in ODD_VALUES:
        for body in (value, b'{"sql":"x","args":[%s]}' % value, b'{"sql":"x","args":%s}' % value):
            if body.endswith(b"[7]}") or body.endswith(b":[]}"):
                continue  # good arguments
            refused = handler.parse(
                HttpRequest(method="POST", path="/v1/routes/r/statements", body=body)
            )
            assert refused.is_err() and refused.err_value.kind is Kind.BAD_REQUEST, body[:40]
        for body in (value, b'{"name":"t","rate":%s}' % value):
            if body.endswith(b":7}"):
                continue  # a good rate
            refused = operators._decode_valid("team", "t", body)
            assert refused.is_err() and refused.err_value.kind is Kind.BAD_REQUEST, body[:40]


class RawPlatform:
    """The HTTP transport of a client of the object API that answers with raw JSON."""

    def __init__(self, data, status=200):
        """Answer with the given body."""
        self.data, self.status = data, status

    def request(self, method, url, **kwargs):
        """Answer a call."""
        return SimpleNamespace(status=self.status, data=self.data, headers={"Store-Era": "1"})


def odd_changes():
    """Return the JSON of changes that are of no use."""
    change = b'{"kind":%s,"name":%s,"revision":%s,"value":%s}'
    odd = [change % (b'"team"', b'"odd"', b"2", value) for value in ODD_VALUES]
    odd += [
        change % (b'"team"', b'"odd"', number, b'{"name":"odd"}')
        for number in (b"-1", b"1" * 13, b"9" * 40, b"9" * 6000, b"1e400", b"null", DEEP_ARRAY)
    ]
    for kind, value in (
        (
            b'"host"',
            b'{"name":"h","ip":"1.1.1.1","caller_port":1,"peer_port":70000,"operator_port":1}',
        ),
        (b'"leadership"', b'{"term":18446744073709551616}'),
        (b'"era"', b'{"era":9223372036854775807}'),
        (b'"era"', b'{"era":"x"}'),
        (b'"epoch"', b'{"name":"x","holder":"h","epoch":-1}'),
        (b'"team"', b'{"name":"odd","rate":1e300}'),
        (b"7", b"{}"),
        (DEEP_ARRAY, b"{}"),
    ):
        odd.append(change % (kind, b'"odd"', b"2", value))
    return [*odd, b"7", b"null", DEEP_ARRAY, b"{}"]


@then("for each odd object, the good ones of a list are decoded, and the odd one is logged once")
def step_odd_changes(context):
    good = [
        b'{"kind":"team","name":"%s","revision":%d,"value":{"name":"%s"}}' % (n, r, n)
        for n, r in ((b"a", 1), (b"z", 3))
    ]
    failures = []
    for odd in odd_changes():
        lines = []
        api = HttpObjectApi(address="127.0.0.1:1", source="127.0.0.1")
        api._http = RawPlatform(
            b'{"revision":3,"whole":true,"changes":[%s,%s,%s]}' % (good[0], odd, good[1])
        )
        try:
            with patch.object(logs, "warn", lambda name, /, _lines=lines, **_: _lines.append(name)):
                delta = [api.watch(0, 0.0).ok_value for _ in range(3)][-1]
                cache = ObjectCache()
                cache.apply(delta)
            assert [c.name for c in delta.changes] == ["a", "z"], delta
            assert lines == ["object_unreadable"], lines
            to_thrift_delta(cache.changes_since(0)).validate()
        except Exception as exc:
            failures.append((odd[:90], repr(exc)[:90]))
    assert not failures, f"{len(failures)} of {len(odd_changes())}: {failures}"


@then("for each odd object, a read of it counts as a platform that does not answer")
def step_odd_reads(context):
    for odd in odd_changes():
        api = HttpObjectApi(address="127.0.0.1:1", source="127.0.0.1")
        api._http = RawPlatform(odd)
        kind = re.match(rb'{"kind":"(\w+)"', odd)
        found = api.get(kind[1].decode() if kind else "team", "odd")
        assert found.is_err() and found.err_value.kind is Kind.PLATFORM_DOWN, odd[:90]


@then("each odd response of a member counts as no response")
def step_odd_member(context):
    good = b'{"term":1,"position":{"term":1,"index":2},"results":[]}'
    member = Member(name="m", ip="127.0.0.1", port=1, control_port=1)
    numbers = (b"-1", b"9223372036854775808", b"9" * 60, b"1e400", *ODD_VALUES)
    bodies = [good.replace(b":1,", b":%s," % n, 1) for n in numbers if n != b"7"]
    bodies += [good.replace(b":2}", b":%s}" % n, 1) for n in numbers if n != b"7"]
    bodies += [v for v in ODD_VALUES]
    for body, status in [(b, s) for b in bodies for s in (200, 400)]:
        link = HttpMemberLink(member=member, source="127.0.0.1")
        link._conn = SimpleNamespace(
            usable=True, exchange=lambda *_, r=(status, body): r, close=lambda: None
        )
        try:
            link.call("run", MemberRequest(term=1, mode="read"), 1.0)
        except NoResponse:
            continue
        raise AssertionError((status, body[:90]))
    progress = b'{"name":"m","term":1,"role":"primary","received":{},"applied":{},"source_age":%s}'
    for number in (b"-1", b"1e300", *(v for v in ODD_VALUES if v != b"7")):
        try:
            _decode_progress(progress % number)
        except NoResponse:
            continue
        raise AssertionError(number[:90])


@then("each odd digest, delta, grant and request for tokens is refused")
def step_odd_peers(context):
    def refuses(decode, value):
        try:
            decoded = decode(value)
        except (ValueError, RecursionError):
            return True
        raise AssertionError(decoded)

    digest = dict(sender="h", revision=1, platform_age=0.1, news=[], fresh=True)
    assert from_thrift_digest(ttypes.Digest(**digest)) and from_thrift_digest(
        ttypes.Digest(**digest | {"platform_age": math.inf})
    )
    for odd in ({"platform_age": math.nan}, {"platform_age": -1.0}, {"revision": -1}):
        assert refuses(from_thrift_digest, ttypes.Digest(**digest | odd))
    change = ttypes.ObjectChange("team", "t", -1, b"{}")
    assert refuses(from_thrift_delta, ttypes.Changes(1, [change], False))
    assert refuses(from_thrift_delta, ttypes.Changes(-1, [], False))
    for odd in (math.nan, math.inf, -1.0):
        for field in ("tokens", "wait"):
            grant = ttypes.TokenGrant(**{"number": 1, "tokens": 1.0, "wait": 0.0, field: odd})
            assert refuses(_decode_grant, grant)
        for field in ("held", "wanted"):
            ask = dict(team="t", host="h", number=1, held=0.0, wanted=1.0) | {field: odd}
            assert refuses(peers.decode_grant_request, ttypes.TokenAsk(**ask))


@then("each odd object conflicts with a write at its revision, and its value is given as null")
def step_odd_object_conflict(context):
    for value in (*ODD_VALUES, b'{"name":"odd","rate":1e300}'):
        data = b'{"kind":"team","name":"odd","revision":2,"value":%s}' % value
        api = HttpObjectApi(address="127.0.0.1:1", source="127.0.0.1")
        api._http, api._started_era, api._era = RawPlatform(data, status=409), 1, 1
        put = api.put("team", "odd", Team(name="odd"), 10**12 + 1)
        assert put.err_value == WriteConflict(revision=10**12 + 2), (value[:20], put)


@then("each odd token is refused as a bad session")
def step_odd_tokens(context):
    tokens = SessionTokens(secrets=("x" * 20,))

    def read(body):
        signed = _tag(tokens._secrets[0], body) + body
        return tokens.read("t", base64.urlsafe_b64encode(signed).decode())

    def encode(*position):
        return msgspec.msgpack.encode(["t", {"g": position}])

    assert read(encode(1, 2)).is_ok()
    odd = [encode(*p) for p in ((-1, 2), (1, 2**63), (1, 2**64 - 1), (1.5, 2), (math.nan, 2))]
    odd += [b"\x92\xa1t" + b"\x91" * 3000, b"\x93\xa1t\x80" + b"\x91" * 3000 + b"\x01"]
    odd += [b"\x91" * 3000 + b"\x01", b"\x92\xa1t\xdf\xff\xff\xff\xff", b""]
    for body in odd:
        refused = read(body)
        assert refused.is_err() and refused.err_value.kind is Kind.BAD_SESSION, body[:20]


# Sizes.


@then("any array and any object are split into what they hold, and any other text is refused")
def step_split(context):
    @fuzz(st.lists(json_values, max_size=4), st.sampled_from([None, 1]))
    def check_array(value, indent):
        parts = split_array(json.dumps(value, indent=indent).encode())
        assert [json.loads(p) for p in parts] == value

    @fuzz(st.dictionaries(st.text(), json_values, max_size=4), st.sampled_from([None, 1]))
    def check_object(value, indent):
        parts = split_object(json.dumps(value, indent=indent, ensure_ascii=False).encode())
        assert {json.loads(k): json.loads(v) for k, v in parts.items()} == value

    @fuzz(mutated(b'[1,"a"]', b'{"a":[1]}', b'"', b"\\", b"[", b"]"))
    def check_any(text):
        for split in (split_array, split_object):
            try:
                split(text)
            except ValueError:
                pass


@then("its good entries are decoded within {limit:g} s, however the odd one is nested")
def step_large_odd(context, limit):
    for spec in (
        b"[" * 500_000 + b"]" * 500_000,
        b'{"a":' * 170_000 + b"1" + b"}" * 170_000,
        b"[" + b",," * 500_000 + b"]",
        b'["' + b'\\"' * 500_000 + b'"]',
        b'"' + b"\\u0000" * 170_000 + b'\\q"',
    ):
        raw_store = RawStore()
        raw_store.write(b"a", good_object(b"a"))
        raw_store.write(b"odd", encode_object(b'"odd"', b"REVISION", spec))
        started = time.process_time()
        changes = asyncio.run(make_client(raw_store).changes(Topic.TARGETS, 0, 0.0))
        assert time.process_time() - started < limit, spec[:20]
        assert targets_of(changes.entries) == ["a"], spec[:20]


def serve_endlessly(context, head):
    """Serve 64 MiB after a head to each connection; return the port, and the bytes sent to each."""
    listener = socket.create_server(("127.0.0.1", 0))
    context.stack.callback(listener.close)
    sent = []

    def serve():
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            sent.append(0)
            with conn, suppress(OSError):
                conn.recv(65_536)
                conn.sendall(head)
                for _ in range(64):
                    conn.sendall(b" " * (1 << 20))
                    sent[-1] += 1 << 20

    threading.Thread(target=serve, daemon=True).start()
    return listener.getsockname()[1], sent


HEAD = b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 99999999999\r\n\r\n"


@then("a response of the store over 32 MiB counts as none, and its connection is closed")
def step_endless_store(context):
    port, sent = serve_endlessly(context, HEAD)
    client = platform_store.ObjectStore(address=f"127.0.0.1:{port}", source="127.0.0.1")
    try:
        asyncio.run(client.changes(Topic.TARGETS, 0, 0.0))
    except StoreDown as exc:
        assert "MiB" in str(exc), exc
    else:
        raise AssertionError("an endless response was taken")
    assert len(sent) == 1 and sent[0] < 60 << 20, sent


@then("a response of a member of our own interface over 32 MiB counts as none")
def step_endless_member(context):
    port, sent = serve_endlessly(context, HEAD)
    conn = HttpConnection(ip="127.0.0.1", port=port, source="127.0.0.1")
    conn.open(1.0)
    try:
        conn.exchange("POST", "/run", b"{}", 20.0)
    except NoResponse:
        assert not conn.usable and sent[0] < 60 << 20, sent
        return
    raise AssertionError("an endless response was taken")
