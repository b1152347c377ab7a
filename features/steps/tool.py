"""Steps for the command-line tool and the start of the daemon."""

import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then

from features.test_fleet import GROUP, TEAM

TOOL = [sys.executable, "-m", "wagtailloft.cli"]
DAEMON = [sys.executable, "-m", "wagtailloft.daemon"]
INVALID_SETTINGS = """[host]
name = host 1
ip = somewhere
zone = krk-a
region = pl-south
caller_port = 99999
peer_port = 7002
[platform]
address = 10.0.0.1
[session]
secret = short
[proces]
threads = 4
"""
EXPECTED_ERRORS = (
    ":2: [host] name: 'host 1' is invalid; expected letters",
    ":3: [host] ip: 'somewhere' is invalid; expected an IP address",
    ":6: [host] caller_port: '99999' is invalid; expected a port",
    ":1: [host]: option 'operator_port' is missing",
    ":9: [platform] address: '10.0.0.1' is invalid; expected an IP address and a port",
    ":11: [session] secret: the value is invalid; expected 16 characters",
    ":12: [proces]: unknown section",
)


def run_command(command):
    """Run a command and return its exit code and output."""
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


@then("the tool lists, changes and removes objects, as tables and as JSON")
def step_manage_objects(context):
    fleet = context.test_fleet.fleet
    fleet.run_cli_json("team", "set", "museum", "--rate=5", "--burst=2")
    fleet.run_cli_json("team", "set", "museum", "--weight=2")
    listed = {t["name"]: t for t in fleet.run_cli_json("team", "list", host="host-2")}
    assert (listed["museum"]["rate"], listed["museum"]["weight"]) == (5, 2), listed
    key = fleet.run_cli_json("key", "create", "museum", "--label=till")
    assert len(key["secret"]) > 30
    keys = fleet.run_cli("key", "list").stdout
    assert key["id"] in keys and key["secret"] not in keys
    fleet.run_cli_json("key", "withdraw", key["id"])
    fleet.run_cli_json("team", "remove", "museum")
    table = fleet.run_cli("team", "list").stdout
    assert table.splitlines()[0].split()[:2] == ["revision", "name"], table
    fleet.run_cli_json("settings", "set", "defaults", "queue_limit", "70")
    assert fleet.run_cli_json("settings", "get") == {"queue_limit": "70"}
    path = Path(tempfile.mkdtemp()) / "tree.ini"
    path.write_text("[defaults]\nqueue_limit = 60\n[zone:krk-a]\ndeadline = 2s\n")
    differences = fleet.run_cli_json("settings", "diff", str(path))
    assert {d["option"] for d in differences} == {"queue_limit", "deadline"}, differences
    fleet.run_cli_json("settings", "apply", str(path))
    assert fleet.run_cli_json("settings", "diff", str(path)) == []


@then("the tool shows status and explains a request and the group")
def step_status_and_explain(context):
    fleet = context.test_fleet.fleet
    context.test_fleet.session().read("SELECT 1", request_id="explain-me")
    text = fleet.run_cli("status").stdout
    assert "host-2" in text and GROUP in text and "primary" in text, text
    decisions = fleet.run_cli_json("explain", "explain-me", host="host-2")
    assert any("read at" in d["what"] for d in decisions), decisions
    assert "promoted" in fleet.run_cli("explain", GROUP).stdout


@then("each class of error has its exit code and a one-line message")
def step_exit_codes(context):
    fleet = context.test_fleet.fleet
    cases = (
        (3, [*TOOL, "status", "--host=127.0.0.1:1"], "no daemon answers at 127.0.0.1:1"),
        (5, None, "no team 'nobody'", "team", "remove", "nobody"),
        (4, None, "is used by", "team", "remove", TEAM),
        (2, None, "no team 'nobody'", "key", "create", "nobody"),
        (2, None, "250ms", "settings", "set", "defaults", "deadline", "soon"),
        (2, None, "expected the first characters of a key's id", "key", "withdraw", ""),
        (
            4,
            None,
            "nothing was overwritten",
            "settings",
            "set",
            "defaults",
            "deadline",
            "3s",
            "--version=1",
        ),
        (5, None, "no decisions are recorded", "explain", "no-such-request"),
    )
    for exit_code, command, message, *args in cases:
        completed = run_command(command) if command else fleet.run_cli(*args)
        assert completed.returncode == exit_code, (args, completed)
        assert (
            message in completed.stderr and len(completed.stderr.splitlines()) == 1
        ), completed.stderr


@then("with invalid settings the daemon exits with code 2 and a line for each error")
def step_invalid_settings(context):
    path = Path(tempfile.mkdtemp()) / "host.ini"
    path.write_text(INVALID_SETTINGS)
    completed = run_command([*DAEMON, f"--settings={path}"])
    assert completed.returncode == 2, completed
    lines = completed.stderr.splitlines()
    for error in EXPECTED_ERRORS:
        assert any(line.startswith(f"{path}{error}") for line in lines), (error, lines)
    assert run_command([*DAEMON, "--settings=/nowhere.ini"]).returncode == 2


@then("the tool and the daemon print help")
def step_help(context):
    for command in ([*TOOL, "--help"], [*TOOL, "team", "set", "--help"], [*DAEMON, "--help"]):
        completed = run_command(command)
        assert (
            completed.returncode == 0 and "SYNOPSIS" in completed.stdout + completed.stderr
        ), completed
