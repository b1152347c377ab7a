"""Steps over the parts that serve the platform, without processes."""

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

from wagtailloft import logs
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
from wagtailloft.fleet.topic_cache import TopicCache
from wagtailloft.groups import promotion_lease
from wagtailloft.groups.candidates import covers_all_commits, is_newer_primary
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


def over(count, **strategies):
    """Run a check over so many generated cases."""

    def decorate(check):
        settings(max_examples=count, derandomize=True, deadline=None, database=None)(
            given(**strategies)(check)
        )()

    return decorate


def lease_value(number):
    """Return a value that tells entries apart."""
    return PromotionLeaseRecord(holder="h", fence=number)


@then("over {count:d} generated deliveries the copy agrees with a replay")
def step_copy(context, count):
    writes = st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), max_size=12)
    reads = st.lists(st.tuples(st.integers(0, 12), st.booleans()), max_size=10)

    @over(count, writes=writes, reads=reads)
    def check(writes, reads):
        states, events, state = [{}], [], {}
        for number, (name, removed) in enumerate(writes, start=1):
            state = {k: v for k, v in state.items() if k != name}
            if not removed:
                state[name] = number
            value = None if removed else lease_value(number)
            events.append(Entry(name=name, revision=number, value=value))
            states.append(state)
        cache, latest = TopicCache(topic=Topic.FLEET), 0
        for at, whole in reads:
            at = min(at, len(writes))
            if whole:
                entries = [
                    Entry(name=n, revision=r, value=lease_value(r)) for n, r in states[at].items()
                ]
            else:
                entries = [e for e in events if cache.revision < e.revision <= at]
            changes = Changes(
                topic=Topic.FLEET, revision=at, is_snapshot=whole, entries=tuple(entries)
            )
            cache.apply(changes, 0.0)
            latest = max(latest, at)
            held = {n: cache.get(n).revision for n in NAMES if cache.get(n)}
            assert cache.revision == latest and held == states[latest], (held, states[latest])


@then("over {count:d} generated histories no read misses what it has to contain")
def step_choice(context, count):
    commits = st.lists(st.floats(0, 10), min_size=1, max_size=40)
    asks = st.lists(st.floats(0, 10), max_size=20)

    @over(count, commits=commits, asks=asks, at=st.floats(0, 12), seen=st.integers(0, 40))
    def check(commits, asks, at, seen):
        commits = sorted(commits)

        def position(when):
            return Position(term=1, index=sum(1 for c in commits if c <= when))

        samples = PositionSamples()
        for asked in sorted(a for a in asks if a <= at):
            samples.add(asked, position(asked))
        targets = tuple(
            Target(name=n, group="g", address="1.1.1.1:1", zone=f"z{i}", role=Role.REPLICA)
            for i, n in enumerate(NAMES)
        )
        snapshot = GroupSnapshot(targets=targets, primary=targets[0], zone="z1")
        own = Position(term=1, index=min(seen, len(commits)))
        choice = choose(
            StatementNeeds(rule=RULE, writes=False, session_position=own), snapshot, samples, at
        )
        assert choice is not None
        if not choice.is_primary:
            assert choice.min_position >= position(at - RULE.max_age)
            assert choice.min_position >= own
        write = choose(StatementNeeds(rule=RULE, writes=True), snapshot, samples, at)
        assert write.is_primary and write.target == "a"


@then("over {count:d} generated fleets no window holds more than is allowed")
def step_shares(context, count):
    moves = st.lists(st.integers(0, 3), min_size=3, max_size=3)

    @over(count, moves=moves, rate=st.integers(5, 80), hosts=st.integers(1, 6))
    def check(moves, rate, hosts):
        rule = TeamRule(name="t", rate=rate, burst=rate)
        pools = [TokenPool(tolerance=TOLERANCE) for _ in range(4)]
        for pool in pools:
            pool.configure((rule,), 0.0)
        granted, at, number = [], 0.0, 0
        holder = [moves[0]] * 40 + [moves[1]] * 40 + [moves[2]] * 40
        for index in holder:
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


@then("over {count:d} generated lines the decoder answers")
def step_lines(context, count):
    words = st.sampled_from(
        ("QUERY", "STARTUP", "QUIT", "BEGIN", "READ", "WRITE", "EXEC", "SET", "PREPARE", "x", "")
    )
    text = st.lists(words | st.text(max_size=8), max_size=6).map(" ".join)

    @over(count, line=text | st.none())
    def check(line):
        message = wire.decode_message(line)
        if isinstance(message, wire.Query) and message.statement is not None:
            assert message.request_id and message.request_id != "-"
            assert line == f"QUERY {message.request_id} {message.statement.text}"


@then("over {count:d} generated streams lines are split the same at any cuts")
def step_cuts(context, count):
    @over(
        count,
        data=st.lists(st.binary(max_size=12), max_size=8).map(b"\r\n".join),
        cuts=st.lists(st.integers(0, 90), max_size=6),
    )
    def check(data, cuts):
        data += b"\r\n"
        whole = wire.LineDecoder(max_bytes=10).feed(data)
        edges = sorted({0, len(data), *(c for c in cuts if c < len(data))})
        lines, parts = wire.LineDecoder(max_bytes=10), []
        for begin, end in zip(edges, edges[1:], strict=False):
            parts += lines.feed(data[begin:end])
        assert [p if p is None else p.rstrip("\r") for p in parts] == [
            w if w is None else w.rstrip("\r") for w in whole
        ]


@then("over {count:d} generated statements a target's answers are decoded")
def step_answers(context, count):
    rows = st.lists(st.text("abc 0", min_size=1, max_size=30), max_size=3)

    @over(count, rows=rows, junk=st.text(max_size=12), code=st.sampled_from(("BUSY", "NEW", "")))
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


@then("over {count:d} generated entries the others stand")
def step_entries(context, count):
    good = {
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
    odd = st.none() | st.booleans() | st.integers() | st.text(max_size=5) | st.lists(st.integers())

    @over(count, field=st.sampled_from(sorted(good)), value=odd, missing=st.booleans())
    def check(field, value, missing):
        bad = {k: v for k, v in good.items() if k != field}
        if not missing:
            bad[field] = value
        stored = records.StoredObject(
            meta=records._Meta(name="x", revision=2), spec=msgspec.Raw(msgspec.json.encode(bad))
        )
        target = records.decode_entry(Topic.TARGETS, stored).value
        assert target is None or type(target.slots) is int
        if field in ("service", "state", "addr", "db_role", "seq") and missing:
            assert target is None

    body = b'{"at":3,"items":[{"meta":{"name":"a","revision":2},"spec":"\xff"},'
    body += b'{"meta":{"name":"b","revision":3},"spec":' + msgspec.json.encode(good) + b"}]}"
    import store

    found = [
        records.decode_entry(Topic.TARGETS, item).value
        for item in store._decode_changes(200, body).items
    ]
    assert found[0] is None and found[1].address == "10.0.0.1:80"


@then("over {count:d} generated configurations decoding ends with one or none")
def step_configurations(context, count):
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

    @over(count, spec=tree)
    def check(spec):
        stored = records.StoredObject(
            meta=records._Meta(name="main", revision=2),
            spec=msgspec.Raw(msgspec.json.encode(spec)),
        )
        value = records.decode_entry(Topic.SETTINGS, stored).value
        assert value is None or isinstance(value, Configuration)


@then("the member that leads is one of a later term than the replaced primary's")
def step_leads(context):
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


@then("with {others:d} replicas and commits that wait for {sync:d}, {needed:d} have to reply")
def step_holds_all(context, others, sync, needed):
    assert covers_all_commits(needed, others, sync) and not covers_all_commits(
        needed - 1, others, sync
    )


@then("a fence waits out the lease, and an outage where no majority was told")
def step_fence(context):
    assignment = PrimaryAssignment(group="g", epoch=1, settled=False, primary="")
    progress = FenceProgress(assignment=assignment, planned=False, host_count=5, started_at=100.0)
    alone = progress.deadline(3.3)
    assert alone >= 100.0 + OUTAGE_ASSIGNMENT_MAX_AGE_S + 3.3
    for _ in range(2):
        progress.confirm()
    assert progress.deadline(3.3) >= progress._last_confirmed_at + 3.3 + EXPIRY_MARGIN_S


@then("a writer whose reader stopped returns at once, keeps failures longest and counts drops")
def step_writer(context):
    reader, fd = os.pipe()
    writer = logs.Writer(fd=fd, rate=1e9)
    began = time.monotonic()
    kept = sum(writer.put("x" * 100, failure=False) for _ in range(20_000))
    assert time.monotonic() - began < 2.0
    assert kept < 20_000 and writer.dropped
    assert writer.put("the failure", failure=True)
    assert not writer.put("another line", failure=False)
    os.close(reader)
    os.close(fd)


@then("trace and timeline put lines of several files in order, and name what they can't read")
def step_logbook(context):
    with tempfile.TemporaryDirectory() as folder:
        one, two = Path(folder) / "edge-1.log", Path(folder) / "edge-2.log"
        one.write_text(
            'time=3.0 event=failed request=r1 detail="no answer, a \\"b\\""\n'
            "not a line\ntime=1.0 event=started host=edge-1\n"
        )
        two.write_text("time=2.0 event=statement request=r1\ntime=x event=started\n")
        files = (str(one), str(two))
        lines = logbook.trace("r1", files)
        assert [(x.host, x.event) for x in lines] == [("edge-2", "statement"), ("edge-1", "failed")]
        assert lines[1].fields["detail"] == 'no answer, a "b"'
        assert [x.event for x in logbook.timeline(files)] == ["started"]
        tool = [sys.executable, "-m", "wagtailloft.cli"]
        done = subprocess.run([*tool, "trace", "r1", *files], capture_output=True, text=True)
        assert done.returncode == 0 and "edge-2" in done.stdout, done.stderr
        for words, wanted in ((["trace", "r9", *files], 5), (["timeline", "/no/file"], 2)):
            done = subprocess.run([*tool, *words], capture_output=True, text=True)
            assert done.returncode == wanted and len(done.stderr.splitlines()) == 1, done.stderr


@then("a faulty settings file is refused with its place and what is right")
def step_settings_file(context):
    good = {
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
            lines = [f"{k} = {v}" for k, v in {**good, **changes}.items() if v]
            path.write_text("\n".join(lines) + "\n" + tables)

        write()
        cfg = settings_file.load(str(path))
        assert cfg.own.peer_port == 7000 and cfg.bounds.key_withdrawal == 5.0
        for changes, wanted in (
            ({"ip": "7"}, "$.ip"),
            ({"node_name": ""}, "node_name"),
            ({"port_range": "[1]"}, "$.port_range"),
            ({"zone": '"a'}, "line 3"),
        ):
            write(**changes)
            try:
                settings_file.load(str(path))
            except FixSettings as exc:
                assert str(path) in str(exc) and wanted in str(exc), exc
            else:
                raise AssertionError(changes)
        write()
        path.write_text(path.read_text().replace("10.0.0.2:1", "nowhere"))
        try:
            settings_file.load(str(path))
        except FixSettings as exc:
            assert "platform.addr" in str(exc) and "IP:PORT" in str(exc), exc


@then("a process started in the adapter's folder finds the standard library's platform module")
def step_shadow(context):
    started = [sys.executable, "platform/run.py"]
    done = subprocess.run(started, cwd=ROOT, capture_output=True, text=True, env={})
    assert done.returncode == 2 and "cannot be read" in done.stderr, done.stderr
    code = "import sys; sys.path.insert(0, 'platform'); import run, platform; platform.system()"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert not (PLATFORM / "__init__.py").exists()


@then("requirements.txt lists what pyproject.toml does")
def step_requirements(context):
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    listed = (ROOT / "requirements.txt").read_text().split()
    assert sorted(listed) == sorted(project["dependencies"])


@then("no module outside the adapter imports it or spells the platform's names")
def step_names(context):
    own = {p.stem for p in PLATFORM.glob("*.py")} - {"records"}
    spelled = re.compile(r"WAITPOS|STARTUP|READONLY|Wagtailloft-|/objects/|wait_ms|api_keys")
    adapters = {"object_api.py", "http.py", "callers.py", "operators.py", "members.py"}
    for path in (ROOT / "src").rglob("*.py"):
        if path.parent.name == "adapters" and path.name in adapters:
            continue
        text = path.read_text()
        imported = set(re.findall(r"^(?:from|import) (\w+)", text, re.MULTILINE))
        assert not imported & own, (path, imported & own)
        assert not spelled.search(text), (path, spelled.search(text))


class FakeLinkFactory:
    """Open links until a limit."""

    def __init__(self, limit):
        """Allow so many links at once."""
        self.limit, self.open_links = limit, []

    async def open(self, spec):
        """Open a link or refuse it as full."""
        self.open_links = [x for x in self.open_links if not x.closed]
        if len(self.open_links) >= self.limit:
            exc = NotSent("full")
            exc.kind = Kind.TOO_MANY_LINKS
            raise exc
        link = FakeLink(spec)
        self.open_links.append(link)
        return link


class FakeLink:
    """Answer everything."""

    def __init__(self, spec):
        """Belong to a team."""
        self.spec, self.closed = spec, False

    def close(self):
        """Close."""
        self.closed = True


def target(name="m", slots=2):
    """Return a member of a group."""
    return Target(name=name, group="g", address="1.1.1.1:1", role=Role.PRIMARY, slots=slots)


@then("a target that is full is waited for and not taken for dead")
def step_full(context):
    async def check():
        link_factory = FakeLinkFactory(limit=2)
        pool = LinkPool(target=target(), limit=16, link_factory=link_factory)
        taken = [await pool.acquire(t, pool_now() + 1) for t in ("a", "b")]
        try:
            await pool.acquire("c", pool_now() + 0.05)
        except NotSent as exc:
            assert exc.kind in (Kind.TOO_MANY_LINKS, Kind.QUEUE_FULL), exc.kind
        else:
            raise AssertionError("a third link was opened")
        pool.release(*taken[0], 0.01)
        link, _ = await pool.acquire("c", pool_now() + 0.2)
        assert (
            link.spec.team == "c" and len([x for x in link_factory.open_links if not x.closed]) == 2
        )

    asyncio.run(check())


@then("a pool that saw links hang still lets reads in")
def step_hung(context):
    async def check():
        pool = LinkPool(target=target(), limit=4, link_factory=FakeLinkFactory(limit=16))
        for _ in range(40):
            link, ticket = await pool.acquire("t", pool_now() + 1)
            pool.release(link, ticket, 0.8)
        link, ticket = await pool.acquire("t", pool_now() + 0.25)
        pool.release(link, ticket, 0.01)

    asyncio.run(check())


@then("after a burst a pool of {limit:d} connections at {slots:d} slots keeps {kept:d}")
def step_kept(context, limit, slots, kept):
    async def check():
        link_factory = FakeLinkFactory(limit=limit)
        pool = LinkPool(target=target(slots=slots), limit=limit, link_factory=link_factory)
        taken = [await pool.acquire(f"t{n}", pool_now() + 1) for n in range(limit - 2)]
        for link, ticket in taken:
            pool.release(link, ticket, 0.01)
        pool.close_surplus()
        assert pool.link_count == kept, pool.link_count
        assert len([x for x in link_factory.open_links if not x.closed]) == kept

    asyncio.run(check())


def pool_now():
    """Return the time that pools use."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FakeStore:
    """Hold the duty's object under conditions."""

    def __init__(self):
        """Start empty."""
        self.entry, self.revision = None, 0

    async def put(self, topic, name, value, revision):
        """Write if the revision is right."""
        if (self.entry.revision if self.entry else 0) != revision:
            raise Conflict(self.entry)
        self.revision += 1
        self.entry = Entry(name=name, revision=self.revision, value=value)
        return self.entry


class FakeCache:
    """Show what the store holds."""

    def __init__(self, store):
        """Read from a store."""
        self.store = store

    def get(self, topic, name):
        """Return the object."""
        return self.store.entry

    async def write(self, topic, name, value):
        """Write over the revision that is shown."""
        known = self.store.entry
        return await self.store.put(topic, name, value, known.revision if known else 0)


@then("another holder waits, and the fence grows")
def step_duty(context):
    async def check():
        store = FakeStore()
        first, second = (
            promotion_lease.PromotionLease(
                own=Host(name=n, ip="", caller_port=1, peer_port=1, operator_port=1, incarnation=1),
                cache=FakeCache(store),
                has_ended=lambda name, incarnation: name == "b",
            )
            for n in ("a", "b")
        )
        assert await first.acquire() and first.fencing_token == 1 and first.is_held()
        assert await first.acquire() and first.fencing_token == 1
        began = time.monotonic()
        assert await second.acquire() and second.fencing_token == 2
        waited = time.monotonic() - began
        assert waited >= promotion_lease.TAKEOVER_WAIT_S - 0.05 and not first.is_held(), waited
        began = time.monotonic()
        assert await first.acquire() and first.fencing_token == 3
        waited = time.monotonic() - began
        assert (
            promotion_lease.ENDED_HOLDER_WAIT_S - 0.05 <= waited < promotion_lease.TAKEOVER_WAIT_S
        ), waited

    asyncio.run(check())


@then("a team that a pool does not know yet is asked for again at once")
def step_unknown(context):
    pool = TokenPool(tolerance=TOLERANCE)
    pool.renew_share("h", 1, 1.0)
    took = pool.grant(GrantRequest(team="t", host="h", number=1, held=0, wanted=1), 1.0)
    assert took is None, took
    pool.configure((TeamRule(name="t", rate=10, burst=10),), 1.1)
    tokens, _ = pool.grant(GrantRequest(team="t", host="h", number=2, held=0, wanted=1), 1.1)
    assert tokens >= 1
