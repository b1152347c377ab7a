"""The command that shows where a statement would go, as a summary and a table of the members."""

from typing import Any

from wagtailloft.operator_client import CommandError, ExitCode, OperatorClient
from wagtailloft.printer import Printer, format_table
from wagtailloft.route_report import parse_verb

UNKNOWN = "-"


def show(api: OperatorClient, printer: Printer, route: str, team: str, text: str) -> None:
    """Ask a host where a statement would go, and print its answer."""
    verb = parse_verb(text)
    if verb is None:
        raise CommandError("--text starts with READ, WRITE, BEGIN or BEGIN READ", ExitCode.USAGE)
    report = api.explain_route({"route": route, "team": team, "verb": verb.value})
    if printer.as_json:
        printer.show(report)
        return
    for label, value in _summary(report):
        print(f"{label:<10}  {value}")
    if report["members"]:
        print(format_table([_member_row(m) for m in report["members"]]))


def _summary(report: dict[str, Any]) -> list[tuple[str, str]]:
    """Return the lines above the table, each with its label."""
    route = f"{report['route']}, group {report['group']}"
    if report["priority"] is not None:
        route += f", priority {report['priority']}"
    lines = [("route", route), ("statement", report["statement"])]
    lines.append(("reads", _freshness(report)))
    team = report["team"]
    rate = f"{team['name']}, {team['rate']:g}/s, burst {team['burst']:g}" if team else "none named"
    lines.append(("team", rate))
    refusal = report["refusal"]
    if refusal:
        lines.append(("refusal", f"{refusal['kind']}: {refusal['detail']}{_retry(refusal)}"))
    label = "otherwise" if refusal else "goes to"
    if report["member"]:
        host = f" through {report['host']}" if report["host"] else ""
        lines.append((label, f"{report['member']}{host}: {report['why']}"))
    else:
        lines.append((label, f"no member: {report['why']}"))
    lines.append(("asked", report["asked"]))
    return lines


def _freshness(report: dict[str, Any]) -> str:
    freshness = report["freshness"]
    if report["max_age_s"] is not None:
        freshness += f", at most {report['max_age_s']:g} s old"
    return f"{freshness}, position {report['position'] or UNKNOWN}"


def _retry(refusal: dict[str, Any]) -> str:
    if not refusal["retry"]:
        return " (a retry does not help)"
    if "retry in" in refusal["detail"]:
        return ""
    if refusal["retry_ms"] is None:
        return " (may be retried)"
    return f" (retry in {refusal['retry_ms']} ms)"


def _member_row(member: dict[str, Any]) -> dict[str, Any]:
    shown = {k: UNKNOWN if v is None else v for k, v in member.items()}
    return {
        "member": shown["name"],
        "zone": shown["zone"],
        "role": shown["role"],
        "state": shown["state"],
        "slots": shown["slots"],
        "in_flight": shown["in_flight"],
        "limit": shown["limit"],
        "queue_ms": shown["queue_ms"],
        "rank": shown["rank"] or "",
        "why": shown["why"],
    }
