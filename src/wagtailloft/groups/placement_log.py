"""Log events about where statements are sent, why they wait, and why they are refused."""

from wagtailloft import logs
from wagtailloft.controllers.target_loads import Ejection
from wagtailloft.errors import Kind
from wagtailloft.fleet.messages import StatementResponse
from wagtailloft.groups.attempts import OpenTransaction, StatementContext
from wagtailloft.groups.directory import GroupDirectory
from wagtailloft.groups.ports import BoundStatement
from wagtailloft.groups.target_choice import TargetChoice
from wagtailloft.models import Position


def log_wait_for_primary(
    context: StatementContext, bound: BoundStatement, directory: GroupDirectory
) -> None:
    """Log that an operation waits for a primary."""
    assignment = directory.assignment_or_initial(context.rule.group)
    logs.event(
        "waiting_for_primary",
        request=bound.request_id,
        team=context.team,
        group=context.rule.group,
        epoch=assignment.epoch,
        settled=assignment.settled,
        replaced=assignment.replaced,
        age=round(directory.cache.assignments_age(), 3),
    )


def log_wait_for_replica(context: StatementContext, bound: BoundStatement, seconds: float) -> None:
    """Log that a read waits for a replica to catch up, since the primary can't run it in time."""
    logs.event(
        "waiting_for_replica",
        request=bound.request_id,
        team=context.team,
        group=context.rule.group,
        ms=round(max(0.0, seconds) * 1000),
    )


def log_refusal(
    context: StatementContext,
    bound: BoundStatement,
    kind: Kind,
    retry_in: float,
    suppressed: int,
) -> None:
    """Log that an operation is refused before its deadline, since it could not be served by it."""
    logs.event(
        "refused_early",
        request=bound.request_id,
        team=context.team,
        group=context.rule.group,
        priority=context.rule.priority,
        kind=kind.value,
        retry_ms=round(retry_in * 1000),
        suppressed=suppressed,
    )


def log_ejection(group: str, change: Ejection) -> None:
    """Log that a member was ejected or readmitted."""
    log = logs.warn if change.is_ejected else logs.event
    log(
        "target_ejected" if change.is_ejected else "target_readmitted",
        target=change.target,
        group=group,
        why=change.reason,
        failure_score=round(change.score, 2),
        service_ms=round(change.service * 1000, 1),
    )


def log_statement(
    context: StatementContext,
    bound: BoundStatement,
    choice: TargetChoice,
    owner: str,
    response: StatementResponse,
    seconds: float,
    transaction: OpenTransaction | None,
) -> None:
    """Log one attempt of a statement."""
    outcome = response.outcome
    logs.event(
        "statement",
        request=bound.request_id,
        team=context.team,
        verb=bound.statement.verb.value,
        target=choice.target,
        holder=owner,  # The log key keeps its earlier name.
        why=choice.reason,
        expected_ms=round(choice.expected_delay * 1000, 1),
        after=_format_position(choice.min_position),
        outcome=outcome.kind.value if outcome.kind else "ok",
        detail=outcome.detail,
        # Transaction ids are unique at their owner.
        transaction=f"{owner}/{transaction.transaction_id}" if transaction else "",
        ms=round(seconds * 1000, 1),
    )


def _format_position(position: Position | None) -> str:
    return f"{position.term}.{position.index}" if position else ""
