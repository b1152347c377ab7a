"""Demonstrate a fleet: a write, reads of it through other hosts, a failover, a graceful stop."""

import sys
import time

from standins.fleet import Fleet, wait_until
from wagtailloft import Session, WagtailError

MAX_FAILOVER_GAP_S = 7.0


class StepTimer:
    """Print one line per step with the time that the step took."""

    def __init__(self) -> None:
        self._last = time.monotonic()

    def finish(self, text: str) -> None:
        """Print a finished step and the seconds since the one before."""
        now = time.monotonic()
        print(f"{now - self._last:7.3f} s  {text}", flush=True)
        self._last = now


def main() -> int:
    """Run the demo; return 0, or raise an error at the first step that fails."""
    steps = StepTimer()
    with Fleet() as fleet:
        fleet.start_group("bookings-db")
        for name in ("host-1", "host-2", "host-3"):
            fleet.start_host(name)
        fleet.wait_hosts()
        steps.finish("platform, one group of three members and three daemons started")
        key = _create_objects(fleet)
        steps.finish("team, key, group and route created with the command-line tool")
        fleet.wait_primary("bookings-db")
        steps.finish(f"{fleet.primary('bookings-db').name} was made primary by the fleet")
        _run_statements(fleet, key, steps)
        _stop_daemons(fleet, steps)
    return 0


def _create_objects(fleet: Fleet) -> str:
    fleet.run_cli_json("team", "set", "archive-krakow", "--rate=200", "--burst=200")
    key = fleet.run_cli_json("key", "create", "archive-krakow")["secret"]
    fleet.create_group_with_cli("bookings-db")
    fleet.run_cli_json("route", "set", "bookings", "--group=bookings-db", "--teams=archive-krakow")
    return key


def _run_statements(fleet: Fleet, key: str, steps: StepTimer) -> None:
    session = fleet.session("bookings", key, ["host-1"])
    wait_until(
        lambda: _try_write(session, "CREATE TABLE slots (id INTEGER, who TEXT)"),
        10.0,
        "no write succeeded",
    )
    steps.finish("table created through host-1")
    response = session.write("INSERT INTO slots VALUES (1, 'Zofia')")
    steps.finish(f"write through host-1 acknowledged by a majority; primary {response.served_by}")
    for host in ("host-2", "host-3"):
        read = session.read("SELECT who FROM slots WHERE id = 1", host=fleet.hosts[host].url)
        if read.result.rows != (("Zofia",),):
            raise RuntimeError(f"{host} did not return the written row: {read.result.rows}")
        steps.finish(f"own write read through {host} from {read.served_by} ({read.role})")
    old_primary = fleet.primary("bookings-db")
    old_primary.process.kill()
    steps.finish(f"primary {old_primary.name} killed")
    started = time.monotonic()
    response = session.write("INSERT INTO slots VALUES (2, 'Stefan')", deadline=10.0)
    gap = time.monotonic() - started
    steps.finish(
        f"next write held for {gap:.3f} s, then acknowledged; primary {response.served_by}"
    )
    if gap > MAX_FAILOVER_GAP_S:
        raise RuntimeError(f"the failover took more than {MAX_FAILOVER_GAP_S} s")
    rows = session.read("SELECT who FROM slots ORDER BY id").result.rows
    if rows != (("Zofia",), ("Stefan",)):
        raise RuntimeError(f"unexpected rows after the failover: {rows}")
    steps.finish("both rows read after the failover")
    for decision in fleet.run_cli_json("explain", "bookings-db"):
        print(f"           {decision['host']}: {decision['what']}: {decision['why']}")


def _stop_daemons(fleet: Fleet, steps: StepTimer) -> None:
    exit_codes = {name: host.process.stop() for name, host in fleet.hosts.items()}
    if any(exit_codes.values()):
        raise RuntimeError(f"a daemon failed to stop gracefully: exit codes {exit_codes}")
    steps.finish("all daemons stopped gracefully")


def _try_write(session: Session, sql: str) -> bool:
    try:
        session.write(sql)
    except WagtailError:
        return False
    return True


if __name__ == "__main__":
    sys.exit(main())
