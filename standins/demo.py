"""The demo: a whole fleet, a write, a read of it elsewhere, a failover, a graceful stop."""

import sys
import time

from standins.fleet import Fleet, wait_until
from wagtailloft import Session, WagtailError

GAP_LIMIT_S = 7.0


class Steps:
    """Print one line a step with the time it took."""

    def __init__(self) -> None:
        self._last = time.monotonic()

    def done(self, text: str) -> None:
        """Print that a step is done."""
        now = time.monotonic()
        print(f"{now - self._last:7.3f} s  {text}", flush=True)
        self._last = now


def main() -> int:
    """Run the demo; return 0 if every step went right."""
    steps = Steps()
    with Fleet() as fleet:
        fleet.start_group("bookings-db")
        for name in ("host-1", "host-2", "host-3"):
            fleet.start_host(name)
        fleet.wait_hosts()
        steps.done("platform, one group of three members and three daemons run")
        key = _set_up(fleet)
        steps.done("team, key, group and route created with the command-line tool")
        fleet.wait_primary("bookings-db")
        steps.done(f"{fleet.primary('bookings-db').name} was made primary by the fleet")
        _serve(fleet, key, steps)
        _stop(fleet, steps)
    return 0


def _set_up(fleet: Fleet) -> str:
    fleet.run_cli_json("team", "set", "archive-krakow", "--rate=200", "--burst=200")
    key = fleet.run_cli_json("key", "create", "archive-krakow")["secret"]
    fleet.create_group_with_cli("bookings-db")
    fleet.run_cli_json("route", "set", "bookings", "--group=bookings-db", "--teams=archive-krakow")
    return key


def _serve(fleet: Fleet, key: str, steps: Steps) -> None:
    one = fleet.session("bookings", key, ["host-1"])
    wait_until(
        lambda: _try_write(one, "CREATE TABLE slots (id INTEGER, who TEXT)"), 10.0, "no write"
    )
    steps.done("table created through host-1")
    answer = one.write("INSERT INTO slots VALUES (1, 'Zofia')")
    steps.done(f"write through host-1 acknowledged by a majority; primary {answer.served_by}")
    for host in ("host-2", "host-3"):
        read = one.read("SELECT who FROM slots WHERE id = 1", host=fleet.hosts[host].url)
        if read.result.rows != (("Zofia",),):
            raise RuntimeError(f"{host} did not read the write: {read.result.rows}")
        steps.done(f"own write read through {host} from {read.served_by} ({read.role})")
    old = fleet.primary("bookings-db")
    old.process.kill()
    steps.done(f"primary {old.name} killed")
    started = time.monotonic()
    answer = one.write("INSERT INTO slots VALUES (2, 'Stefan')", deadline=10.0)
    gap = time.monotonic() - started
    steps.done(f"next write held for {gap:.3f} s, then acknowledged; primary {answer.served_by}")
    if gap > GAP_LIMIT_S:
        raise RuntimeError(f"the gap was over {GAP_LIMIT_S} s")
    rows = one.read("SELECT who FROM slots ORDER BY id").result.rows
    if rows != (("Zofia",), ("Stefan",)):
        raise RuntimeError(f"rows are {rows}")
    steps.done("both rows are there")
    for decision in fleet.run_cli_json("explain", "bookings-db"):
        print(f"           {decision['host']}: {decision['what']}: {decision['why']}")


def _stop(fleet: Fleet, steps: Steps) -> None:
    codes = {name: host.process.stop() for name, host in fleet.hosts.items()}
    if any(codes.values()):
        raise RuntimeError(f"exit codes {codes}")
    steps.done("all daemons stopped gracefully")


def _try_write(session: Session, sql: str) -> bool:
    try:
        session.write(sql)
    except WagtailError:
        return False
    return True


if __name__ == "__main__":
    sys.exit(main())
