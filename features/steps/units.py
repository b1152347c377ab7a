"""Steps for single parts of the platform path, run in this process."""

import asyncio
import os
import re
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import msgspec
from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from features.virtual_time import run_virtual
from wagtailloft import clock, logs
from wagtailloft.controllers.concurrency import TurnOutcome
from wagtailloft.controllers.scheduling import TurnRequest
from wagtailloft.controllers.token_bucket import GrantRequest
from wagtailloft.errors import FixSettings, Kind, NotSent
from wagtailloft.fleet.ports import Conflict
from wagtailloft.fleet.records import (
    Changes,
    Configuration,
    Entry,
    Freshness,
    PrimaryAssignment,
    PromotionLeaseRecord,
    RouteRule,
    Target,
    TeamRule,
    Topic,
)
from wagtailloft.fleet.store_cache import OUTAGE_ASSIGNMENT_MAX_AGE_S
from wagtailloft.fleet.store_era import StoreEra
from wagtailloft.fleet.topic_cache import TopicCache
from wagtailloft.groups import promotion_lease
from wagtailloft.groups.candidates import covers_all_commits, has_taken_over, is_newer_primary
from wagtailloft.groups.fencing import EXPIRY_MARGIN_S, FenceProgress
from wagtailloft.groups.link_pool import LinkPool
from wagtailloft.groups.ports import TargetStatus
from wagtailloft.groups.samples import PositionSamples
from wagtailloft.groups.target_choice import GroupSnapshot, StatementNeeds, choose
from wagtailloft.models import Host, Position, Role
from wagtailloft.operations import logbook
from wagtailloft.rates.token_pool import TokenPool, Tolerance

ROOT = Path(__file__).resolve().parents[2]
PLATFORM = ROOT / "platform"
sys.path.append(str(PLATFORM))

import links  # noqa: E402
import records  # noqa: E402
import settings_file  # noqa: E402
import wire  # noqa: E402

NAMES = ("a", "b", "c")
RULE = RouteRule(database="d", group="g", freshness=Freshness.BOUNDED, max_age=1.5, timeout=1.0)
TOLERANCE = Tolerance(window=5.0, excess=0.1, slack=20.0)


def check_examples(count, **strategies):
    """Run the decorated check on `count` generated examples.

    The examples are derived from the check's source, so that every run generates the same ones.
    """

    def decorate(check):
        settings(max_examples=count, derandomize=True, deadline=None, database=None)(
            given(**strategies)(check)
        )()

    return decorate


def promotion_lease_value(number):
    """Return a value that differs for each number."""
    return PromotionLeaseRecord(holder="h", taken=number)


@then("for {count:d} generated deliveries the cache matches a replay")
def step_cache_matches_replay(context, count):
    writes = st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), max_size=12)
    reads = st.lists(st.tuples(st.integers(0, 12), st.booleans()), max_size=10)

    @check_examples(count, writes=writes, reads=reads)
    def check(writes, reads):
        states, events, state = [{}], [], {}
        for number, (name, removed) in enumerate(writes, start=1):
            state = {k: v for k, v in state.items() if k != name}
            if not removed:
                state[name] = number
            value = None if removed else promotion_lease_value(number)
            events.append(Entry(name=name, revision=number, value=value))
            states.append(state)
        cache, latest = TopicCache(topic=Topic.FLEET), 0
        for at, is_snapshot in reads:
            at = min(at, len(writes))
            if is_snapshot:
                entries = [
                    Entry(name=n, revision=r, value=promotion_lease_value(r))
                    for n, r in states[at].items()
                ]
            else:
                entries = [e for e in events if cache.revision < e.revision <= at]
            changes = Changes(
                topic=Topic.FLEET, revision=at, is_snapshot=is_snapshot, entries=tuple(entries)
            )
            cache.apply(changes, 0.0)
            latest = max(latest, at)
            cached = {n: cache.get(n).revision for n in NAMES if cache.get(n)}
            assert cache.revision == latest and cached == states[latest], (cached, states[latest])


@then("for {count:d} generated histories every read requires a sufficient position")
def step_reads_see_required_position(context, count):
    commits = st.lists(st.floats(0, 10), min_size=1, max_size=40)
    sample_times = st.lists(st.floats(0, 10), max_size=20)

    @check_examples(
        count,
        commits=commits,
        sample_times=sample_times,
        at=st.floats(0, 12),
        seen=st.integers(0, 40),
    )
    def check(commits, sample_times, at, seen):
        commits = sorted(commits)

        def position(when):
            return Position(term=1, index=sum(1 for c in commits if c <= when))

        samples = PositionSamples()
        for requested_at in sorted(t for t in sample_times if t <= at):
            samples.add(requested_at, position(requested_at))
        targets = tuple(
            Target(name=n, group="g", address="1.1.1.1:1", zone=f"z{i}", role=Role.REPLICA)
            for i, n in enumerate(NAMES)
        )
        snapshot = GroupSnapshot(targets=targets, primary=targets[0], zone="z1")
        session_position = Position(term=1, index=min(seen, len(commits)))
        choice = choose(
            StatementNeeds(rule=RULE, writes=False, session_position=session_position),
            snapshot,
            samples,
            at,
        )
        assert choice is not None
        if not choice.is_primary:
            assert choice.min_position >= position(at - RULE.max_age)
            assert choice.min_position >= session_position
        write = choose(StatementNeeds(rule=RULE, writes=True), snapshot, samples, at)
        assert write.is_primary and write.target == "a"


@then("for {count:d} generated fleets no window exceeds the tolerated number of operations")
def step_grants_within_allowed_excess(context, count):
    owner_sequence = st.lists(st.integers(0, 3), min_size=3, max_size=3)

    @check_examples(
        count, owner_sequence=owner_sequence, rate=st.integers(5, 80), hosts=st.integers(1, 6)
    )
    def check(owner_sequence, rate, hosts):
        rule = TeamRule(name="t", rate=rate, burst=rate)
        pools = [TokenPool(tolerance=TOLERANCE) for _ in range(4)]
        for pool in pools:
            pool.configure((rule,), 0.0)
        granted, at, number = [], 0.0, 0
        owner_indexes = (
            [owner_sequence[0]] * 40 + [owner_sequence[1]] * 40 + [owner_sequence[2]] * 40
        )
        for index in owner_indexes:
            at += 0.1
            for host in range(hosts):
                number += 1
                pools[index].renew_share(f"h{host}", hosts, at)
                request = GrantRequest(team="t", host=f"h{host}", number=number, held=0, wanted=50)
                tokens, _ = pools[index].grant(request, at) or (0, 0)
                granted += [at] * int(tokens)
        allowed = (rate * 5 + rate) * 1.1 + 20
        for start in granted:
            inside = sum(1 for g in granted if start <= g < start + 5.0)
            assert inside <= allowed, (inside, allowed)


@then("for {count:d} generated lines the decoder returns a message")
def step_decode_lines(context, count):
    words = st.sampled_from(
        ("QUERY", "STARTUP", "QUIT", "BEGIN", "READ", "WRITE", "EXEC", "SET", "PREPARE", "x", "")
    )
    text = st.lists(words | st.text(max_size=8), max_size=6).map(" ".join)

    @check_examples(count, line=text | st.none())
    def check(line):
        message = wire.decode_message(line)
        if isinstance(message, wire.Query) and message.statement is not None:
            assert message.request_id and message.request_id != "-"
            assert line == f"QUERY {message.request_id} {message.statement.text}"


@then("for {count:d} generated streams the line decoder returns the same lines at any split")
def step_split_lines(context, count):
    @check_examples(
        count,
        data=st.lists(st.binary(max_size=12), max_size=8).map(b"\r\n".join),
        cuts=st.lists(st.integers(0, 90), max_size=6),
    )
    def check(data, cuts):
        data += b"\r\n"
        unsplit = wire.LineDecoder(max_bytes=10).feed(data)
        edges = sorted({0, len(data), *(c for c in cuts if c < len(data))})
        decoder, parts = wire.LineDecoder(max_bytes=10), []
        for begin, end in zip(edges, edges[1:], strict=False):
            parts += decoder.feed(data[begin:end])
        assert parts == unsplit, (parts, unsplit)


@then("for {count:d} generated statements a target's responses are decoded")
def step_decode_responses(context, count):
    rows = st.lists(st.text("abc 0", min_size=1, max_size=30), max_size=3)

    @check_examples(
        count, rows=rows, junk=st.text(max_size=12), code=st.sampled_from(("BUSY", "NEW", ""))
    )
    def check(rows, junk, code):
        async def feed():
            spec = links.LinkSpec(group="g", target="m", address="1.1.1.1:1", team="t")
            link = links.TargetLink(spec=spec)
            pending = links._PendingResponse(future=asyncio.get_running_loop().create_future())
            link._pending.append(pending)
            lines = [*(f"ROW {r}" for r in rows), f"ERR {code} {junk}" if code else "DONE sig"]
            text = "\r\n".join([*(line.replace("\r", "") for line in lines), "READY I 3.7"])
            link.data_received(text.encode("latin-1", "replace") + b"\r\n")
            return pending

        pending = asyncio.run(feed())
        if pending.future.done():
            outcome = pending.future.result()
            assert outcome.ok == (code == "")
            assert not outcome.ok or outcome.rows == tuple(r for r in rows)

    assert wire.KINDS_BY_TARGET_CODE.get("NEW", Kind.OUTCOME_UNKNOWN) is Kind.OUTCOME_UNKNOWN


@then("for {count:d} generated entries an invalid one does not affect the others")
def step_decode_entries(context, count):
    valid = {
        "service": "s",
        "addr": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "db_role": "replica",
        "born": 5,
    }
    odd_values = (
        st.none() | st.booleans() | st.integers() | st.text(max_size=5) | st.lists(st.integers())
    )

    @check_examples(
        count, field=st.sampled_from(sorted(valid)), value=odd_values, missing=st.booleans()
    )
    def check(field, value, missing):
        invalid = {k: v for k, v in valid.items() if k != field}
        if not missing:
            invalid[field] = value
        stored = records.StoredObject(
            meta=records._Meta(name="x", revision=2), spec=msgspec.Raw(msgspec.json.encode(invalid))
        )
        target = records.decode_entry(Topic.TARGETS, stored, 1).value
        assert target is None or type(target.slots) is int
        if field in ("service", "state", "addr", "db_role", "seq") and missing:
            assert target is None

    body = b'{"at":3,"items":[{"meta":{"name":"a","revision":2},"spec":"\xff"},'
    body += b'{"meta":{"name":"b","revision":3},"spec":' + msgspec.json.encode(valid) + b"}]}"
    import store

    decoded = [
        records.decode_entry(Topic.TARGETS, item, 1).value
        for item in store._decode_changes(store._Response(200, body, 1)).items
    ]
    assert decoded[0] is None and decoded[1].address == "10.0.0.1:80"


@then("for {count:d} generated configurations decoding returns a configuration or none")
def step_decode_configurations(context, count):
    leaf = st.none() | st.integers() | st.text(max_size=4) | st.booleans()
    tree = st.recursive(
        leaf,
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(("version", "routes", "services", "tenants", "limits", "name", "host")),
            inner,
            max_size=4,
        ),
        max_leaves=12,
    )

    @check_examples(count, spec=tree)
    def check(spec):
        stored = records.StoredObject(
            meta=records._Meta(name="main", revision=2),
            spec=msgspec.Raw(msgspec.json.encode(spec)),
        )
        value = records.decode_entry(Topic.SETTINGS, stored, 1).value
        assert value is None or isinstance(value, Configuration)


@then("it has taken over if no other member was ordered, and no record of an order may be lost")
def step_renamed_member(context):
    renamed = TargetStatus(
        target="d", role=Role.PRIMARY, term=3, received=Position(term=2, index=1)
    )
    for ordered, may_lack_orders, expected in (
        (("b",), False, True),
        (("a", "b"), False, True),
        (("b",), True, False),
        (("c", "b"), False, False),
        (("b", "a"), False, False),
    ):
        claim = PrimaryAssignment(
            group="g",
            epoch=2,
            settled=False,
            primary="",
            term=2,
            replaced="a",
            ordered=ordered,
            may_lack_orders=may_lack_orders,
        )
        assert has_taken_over(renamed, claim) is expected, claim


@then("only a primary of a later term than the replaced primary's is accepted")
def step_newer_primary(context):
    assignment = PrimaryAssignment(
        group="g", epoch=2, settled=False, primary="", term=2, replaced="b"
    )

    def status(name, role, term):
        return TargetStatus(target=name, role=role, term=term, received=Position())

    assert not is_newer_primary(status("a", Role.PRIMARY, 1), assignment)
    assert not is_newer_primary(status("a", Role.PRIMARY, 2), assignment)
    assert not is_newer_primary(status("b", Role.PRIMARY, 3), assignment)
    assert not is_newer_primary(status("c", Role.REPLICA, 3), assignment)
    assert is_newer_primary(status("c", Role.PRIMARY, 3), assignment)


@then("with {others:d} replicas and commits that wait for {sync:d}, {needed:d} must reply")
def step_required_replies(context, others, sync, needed):
    assert covers_all_commits(needed, others, sync) and not covers_all_commits(
        needed - 1, others, sync
    )


@then(
    "a fence waits for cached assignments to expire, and longer without a majority's confirmation"
)
def step_fence_deadline(context):
    assignment = PrimaryAssignment(group="g", epoch=1, settled=False, primary="")
    progress = FenceProgress(assignment=assignment, planned=False, host_count=5, started_at=100.0)
    unconfirmed_deadline = progress.deadline(3.3)
    assert unconfirmed_deadline >= 100.0 + OUTAGE_ASSIGNMENT_MAX_AGE_S + 3.3
    for _ in range(2):
        progress.confirm(counts=True)
    progress.confirm(counts=False)
    assert progress.deadline(3.3) == unconfirmed_deadline, "2 of 5 are no majority"
    before = clock.now()
    progress.confirm(counts=True)
    deadline = progress.deadline(3.3)
    assert before + 3.3 + EXPIRY_MARGIN_S <= deadline <= clock.now() + 3.3 + EXPIRY_MARGIN_S
    time.sleep(0.01)
    progress.confirm(counts=True)
    assert progress.deadline(3.3) == deadline, "a host that confirms later prolongs the wait"


@then("a writer whose reader stopped returns at once, drops failures last and counts dropped lines")
def step_log_writer(context):
    reader, fd = os.pipe()
    writer = logs.Writer(fd=fd, rate=1e9)
    began = time.monotonic()
    queued = sum(writer.put("x" * 100, failure=False) for _ in range(20_000))
    assert time.monotonic() - began < 2.0
    assert queued < 20_000 and writer.dropped
    assert writer.put("the failure", failure=True)
    assert not writer.put("another line", failure=False)
    os.close(reader)
    os.close(fd)


@then("trace and timeline order the lines of several files, and name files that can't be read")
def step_log_tool(context):
    with tempfile.TemporaryDirectory() as folder:
        first, second = Path(folder) / "edge-1.log", Path(folder) / "edge-2.log"
        first.write_text(
            'time=3.0 event=failed request=r1 detail="no answer, a \\"b\\""\n'
            "not a line\ntime=1.0 event=started host=edge-1\n"
        )
        second.write_text("time=2.0 event=statement request=r1\ntime=x event=started\n")
        files = (str(first), str(second))
        lines = logbook.trace("r1", files)
        assert [(x.host, x.event) for x in lines] == [("edge-2", "statement"), ("edge-1", "failed")]
        assert lines[1].fields["detail"] == 'no answer, a "b"'
        assert [x.event for x in logbook.timeline(files)] == ["started"]
        command = [sys.executable, "-m", "wagtailloft.cli"]
        completed = subprocess.run(
            [*command, "trace", "r1", *files], capture_output=True, text=True
        )
        assert completed.returncode == 0 and "edge-2" in completed.stdout, completed.stderr
        for arguments, exit_code in ((["trace", "r9", *files], 5), (["timeline", "/no/file"], 2)):
            completed = subprocess.run([*command, *arguments], capture_output=True, text=True)
            assert (
                completed.returncode == exit_code and len(completed.stderr.splitlines()) == 1
            ), completed.stderr


@then("an invalid settings file is refused with the position and the expected value")
def step_invalid_settings_refused(context):
    valid = {
        "node_name": '"edge-1"',
        "ip": '"10.0.0.1"',
        "zone": '"a"',
        "region": '"r"',
        "port_range": "[7000, 7015]",
        "unknown": "1",
    }
    tables = '[listen]\nfrontend="10.0.0.1:1"\nready="10.0.0.1:2"\n'
    tables += '[platform]\naddr="10.0.0.2:1"\n[cloud_api]\naddr="10.0.0.3:1"\n'
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"

        def write(**changes):
            lines = [f"{k} = {v}" for k, v in {**valid, **changes}.items() if v]
            path.write_text("\n".join(lines) + "\n" + tables)

        write()
        cfg = settings_file.load(str(path))
        assert cfg.own.peer_port == 7000 and cfg.bounds.key_withdrawal == 5.0
        for changes, expected in (
            ({"ip": "7"}, "$.ip"),
            ({"node_name": ""}, "node_name"),
            ({"port_range": "[1]"}, "$.port_range"),
            ({"zone": '"a'}, "line 3"),
        ):
            write(**changes)
            try:
                settings_file.load(str(path))
            except FixSettings as exc:
                assert str(path) in str(exc) and expected in str(exc), exc
            else:
                raise AssertionError(changes)
        write()
        path.write_text(path.read_text().replace("10.0.0.2:1", "nowhere"))
        try:
            settings_file.load(str(path))
        except FixSettings as exc:
            assert "platform.addr" in str(exc) and "IP:PORT" in str(exc), exc


@then("a process started in the adapter's folder finds the standard library's platform module")
def step_adapter_folder_hides_no_module(context):
    command = [sys.executable, "platform/run.py"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, env={})
    assert completed.returncode == 2 and "cannot be read" in completed.stderr, completed.stderr
    code = "import sys; sys.path.insert(0, 'platform'); import run, platform; platform.system()"
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
    )
    assert completed.returncode == 0, completed.stderr
    assert not (PLATFORM / "__init__.py").exists()


@then("requirements.txt lists the dependencies of pyproject.toml")
def step_requirements_match(context):
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    listed = (ROOT / "requirements.txt").read_text().split()
    assert sorted(listed) == sorted(project["dependencies"])


@then("no module outside the adapter imports it or contains the platform's names")
def step_platform_names_only_in_adapter(context):
    adapter_modules = {p.stem for p in PLATFORM.glob("*.py")} - {"records"}
    platform_names = re.compile(r"WAITPOS|STARTUP|READONLY|Wagtailloft-|/objects/|wait_ms|api_keys")
    allowed_files = {"object_api.py", "http.py", "callers.py", "operators.py", "members.py"}
    for path in (ROOT / "src").rglob("*.py"):
        if path.parent.name == "adapters" and path.name in allowed_files:
            continue
        text = path.read_text()
        imported = set(re.findall(r"^(?:from|import) (\w+)", text, re.MULTILINE))
        assert not imported & adapter_modules, (path, imported & adapter_modules)
        assert not platform_names.search(text), (path, platform_names.search(text))


class FakeLinkFactory:
    """Open links up to a limit, as a target with limited connections does."""

    def __init__(self, limit):
        """Allow up to limit open links."""
        self.limit, self.open_links = limit, []

    async def open(self, spec):
        """Open a link; raise NotSent with Kind.TOO_MANY_LINKS at the limit."""
        self.open_links = [x for x in self.open_links if not x.closed]
        if len(self.open_links) >= self.limit:
            exc = NotSent("full")
            exc.kind = Kind.TOO_MANY_LINKS
            raise exc
        link = FakeLink(spec)
        self.open_links.append(link)
        return link


class FakeLink:
    """A link to a target that only records whether it is closed."""

    def __init__(self, spec):
        """Create an open link; spec names its team."""
        self.spec, self.closed = spec, False

    def close(self):
        """Mark the link as closed."""
        self.closed = True


def make_target(name="m", slots=2):
    """Return a primary with the given number of slots."""
    return Target(name=name, group="g", address="1.1.1.1:1", role=Role.PRIMARY, slots=slots)


@then("a statement waits for a full target, which is not considered dead")
def step_full_target(context):
    async def check():
        link_factory = FakeLinkFactory(limit=2)
        pool = LinkPool(target=make_target(), limit=16, link_factory=link_factory)
        acquired = [await acquire_link(pool, t, 1) for t in ("a", "b")]
        try:
            await acquire_link(pool, "c", 0.05)
        except NotSent as exc:
            assert exc.kind in (Kind.TOO_MANY_LINKS, Kind.QUEUE_FULL), exc.kind
        else:
            raise AssertionError("a third link was opened")
        pool.release(acquired[0])
        link = await acquire_link(pool, "c", 0.2)
        assert (
            link.spec.team == "c" and len([x for x in link_factory.open_links if not x.closed]) == 2
        )

    asyncio.run(check())


@then("a link pool accepts reads after slow uses of its links")
def step_slow_links(context):
    async def check():
        pool = LinkPool(target=make_target(), limit=4, link_factory=FakeLinkFactory(limit=16))
        for _ in range(40):
            link = await acquire_link(pool, "t", 1)
            await asyncio.sleep(0.8)  # the caller pauses in its transaction
            pool.release(link)
        pool.release(await acquire_link(pool, "t", 0.25))

    run_virtual(check())


@then("after a burst a link pool of {limit:d} connections at {slots:d} slots keeps {kept:d}")
def step_links_after_burst(context, limit, slots, kept):
    async def check():
        link_factory = FakeLinkFactory(limit=limit)
        pool = LinkPool(target=make_target(slots=slots), limit=limit, link_factory=link_factory)
        acquired = [await acquire_link(pool, f"t{n}", 1) for n in range(limit - 2)]
        for link in acquired:
            pool.release(link)
        pool.close_surplus()
        assert pool.link_count == kept, pool.link_count
        assert len([x for x in link_factory.open_links if not x.closed]) == kept

    asyncio.run(check())


async def acquire_link(pool, team, wait):
    """Acquire a link as a transaction does that runs nothing yet."""
    link, turn = await pool.acquire(TurnRequest(team=team, deadline=clock.now() + wait))
    turn.end(TurnOutcome.OK, 0.01)
    return link


class FakeStore:
    """A store with one object, the promotion lease; writes are conditional on its revision."""

    def __init__(self):
        """Create an empty store."""
        self.entry, self.revision = None, 0

    async def put(self, topic, name, value, revision):
        """Write the object; raise Conflict unless revision is its current one."""
        if (self.entry.revision if self.entry else 0) != revision:
            raise Conflict(self.entry)
        self.revision += 1
        self.entry = Entry(name=name, revision=self.revision, value=value)
        return self.entry


class FakeStoreCache:
    """A cache that is always up to date with the store."""

    def __init__(self, store):
        """Read from the given store."""
        self.store = store
        self.era = StoreEra(assignment_expiry=2.7)

    def revision(self, topic):
        """Return the revision of the store."""
        return self.store.revision

    def get(self, topic, name):
        """Return the promotion lease's object."""
        return self.store.entry

    async def write(self, topic, name, value):
        """Write the object over its current revision."""
        current = self.store.entry
        return await self.store.put(topic, name, value, current.revision if current else 0)


@then("another host waits to take the lease, and the fencing token increases")
def step_promotion_lease(context):
    async def has_ended(process_name):
        return process_name == "b/1"

    async def check():
        store = FakeStore()
        first, second = (
            promotion_lease.PromotionLease(
                own=Host(name=n, ip="", caller_port=1, peer_port=1, operator_port=1, incarnation=1),
                cache=FakeStoreCache(store),
                has_ended=has_ended,
            )
            for n in ("a", "b")
        )
        assert await first.acquire() and first.fencing_token == 1 and first.is_held()
        assert await first.acquire() and first.fencing_token == 1
        began = time.monotonic()
        assert await second.acquire() and second.fencing_token > 1
        second_token = second.fencing_token
        waited = time.monotonic() - began
        assert waited >= promotion_lease.TAKEOVER_WAIT_S - 0.05 and not first.is_held(), waited
        began = time.monotonic()
        assert await first.acquire() and first.fencing_token > second_token
        waited = time.monotonic() - began
        assert (
            promotion_lease.ENDED_HOLDER_WAIT_S - 0.05 <= waited < promotion_lease.TAKEOVER_WAIT_S
        ), waited

    asyncio.run(check())


@then("a team that the token pool does not know yet is requested again at once")
def step_unconfigured_team(context):
    pool = TokenPool(tolerance=TOLERANCE)
    pool.renew_share("h", 1, 1.0)
    grant = pool.grant(GrantRequest(team="t", host="h", number=1, held=0, wanted=1), 1.0)
    assert grant is None, grant
    pool.configure((TeamRule(name="t", rate=10, burst=10),), 1.1)
    tokens, _ = pool.grant(GrantRequest(team="t", host="h", number=2, held=0, wanted=1), 1.1)
    assert tokens >= 1
