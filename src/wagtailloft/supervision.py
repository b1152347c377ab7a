"""Keep the work on which a process lives going: log, count and restart what fails."""

import asyncio
import os
import threading
import time
import traceback
from collections import deque
from collections.abc import Awaitable, Callable
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial

from wagtailloft import logs
from wagtailloft.clock import now

FIRST_DELAY_S = 0.1
MAX_DELAY_S = 2.0
WORKING_RUN_S = 10.0  # a run this long ends a series of failures
# A new process has a fresh state but meets the same input. So it helps a task that has worked in
# this one, and hardly one that has failed from the start: all hosts would end over and over.
MAX_FAILURES = 20  # takes 30 s at least
MAX_FAILURES_FROM_START = 21_600  # takes 12 h at least
STOP_CHECK_INTERVAL_S = 0.05
EXIT_TASK_FAILED = os.EX_SOFTWARE
MAX_FRAMES = 3
MAX_REASON_CHARS = 400


class TaskReturned(Exception):
    """The failure of a task that returned too early."""


class FailureSeries:
    """The failures in a row of one task."""

    def __init__(self) -> None:
        self.count = 0
        self._has_worked = False
        self._delay = FIRST_DELAY_S

    @property
    def is_hopeless(self) -> bool:
        """Tell whether a new process is more likely to help than another run."""
        return self.count >= (MAX_FAILURES if self._has_worked else MAX_FAILURES_FROM_START)

    def add(self, ran_for: float) -> float:
        """Count the failure of a run of so many seconds; return the delay before the next run."""
        if ran_for >= WORKING_RUN_S:
            self.count, self._has_worked, self._delay = 0, True, FIRST_DELAY_S
        self.count += 1
        delay = self._delay
        self._delay = min(MAX_DELAY_S, delay * 2)
        return delay


class Supervisor:
    """Restart tasks and threads that fail, and end the process if that does not help.

    count_failure is called with the name of each task that failed, end_process to stop the process;
    both may be called from any thread.
    """

    def __init__(
        self,
        *,
        count_failure: Callable[[str], None] = lambda name: None,
        end_process: Callable[[], None] = lambda: None,
    ) -> None:
        self._count_failure = count_failure
        self._end_process = end_process
        self._tasks: list[asyncio.Task[None]] = []

    def start_task(
        self, name: str, run: Callable[[], Awaitable[None]], *, may_return: bool = False
    ) -> None:
        """Run a coroutine function until stop(); a return counts as a failure if not allowed."""
        coro = self._keep_task_running(name, run, may_return)
        task = asyncio.get_running_loop().create_task(coro, name=name)
        task.add_done_callback(self._end_if_failed)
        self._tasks.append(task)

    def start_thread(
        self, name: str, run: Callable[[], None], *, is_stopped: Callable[[], bool]
    ) -> threading.Thread:
        """Run a function in a thread of its own until is_stopped returns True."""
        thread = threading.Thread(
            target=self._run_thread, args=(name, run, is_stopped), name=name, daemon=True
        )
        thread.start()
        return thread

    def stop(self) -> None:
        """Cancel the tasks."""
        for task in self._tasks:
            task.cancel()

    def report(self, name: str, exc: BaseException, **fields: object) -> None:
        """Log and count a failure of work that is done again without a restart."""
        self._count_failure(name)
        logs.warn("task_failed", task=name, why=_reason(exc), at=_location(exc), **fields)

    def handle_loop_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Report the failure of a callback, or of a task that nobody waits for."""
        exc = context.get("exception")
        if not isinstance(exc, BaseException):
            exc = RuntimeError(context.get("message"))
        self.report(_source(context), exc)

    def _end_if_failed(self, task: asyncio.Task[None]) -> None:
        """End the process if a failure could not be recorded, for then the task is gone."""
        if not task.cancelled() and task.exception() is not None:
            self._end_process()

    def _run_thread(
        self, name: str, run: Callable[[], None], is_stopped: Callable[[], bool]
    ) -> None:
        try:
            self._keep_thread_running(name, run, is_stopped)
        except Exception:
            self._end_process()
            raise

    async def _keep_task_running(
        self, name: str, run: Callable[[], Awaitable[None]], may_return: bool
    ) -> None:
        series = FailureSeries()
        while True:
            began = now()
            try:
                await run()
                if may_return:
                    return
                failure: BaseException = TaskReturned("it should run until the process stops")
            except asyncio.CancelledError as exc:
                if asyncio.current_task().cancelling():
                    raise
                failure = exc  # of something that the task awaited
            except Exception as exc:
                failure = exc
            await asyncio.sleep(self._record_failure(name, failure, series, now() - began))

    def _keep_thread_running(
        self, name: str, run: Callable[[], None], is_stopped: Callable[[], bool]
    ) -> None:
        series = FailureSeries()
        while not is_stopped():
            began = now()
            try:
                run()
                if is_stopped():
                    return
                failure: Exception = TaskReturned("it should run until the process stops")
            except Exception as exc:
                failure = exc
            ends_at = now() + self._record_failure(name, failure, series, now() - began)
            while now() < ends_at and not is_stopped():
                time.sleep(STOP_CHECK_INTERVAL_S)

    def _record_failure(
        self, name: str, failure: BaseException, series: FailureSeries, ran_for: float
    ) -> float:
        """Report a failure and end the process if it is the last resort; return the delay."""
        delay = series.add(ran_for)
        self.report(name, failure, failures=series.count, retry_in=delay)
        if series.is_hopeless:
            logs.warn("process_failed", task=name, failures=series.count)
            self._end_process()
        return delay


class ReportingExecutor(ThreadPoolExecutor):
    """A thread pool that reports each function that failed, also if nobody awaits its result."""

    def __init__(self, *, threads: int, name: str, supervisor: Supervisor) -> None:
        super().__init__(threads, thread_name_prefix=name)
        self._supervisor = supervisor

    def submit(self, fn: Callable, /, *args: object, **kwargs: object) -> Future:
        """Run a function in a thread of the pool."""
        fut = super().submit(fn, *args, **kwargs)
        fut.add_done_callback(partial(self._report_failure, _name_of(fn)))
        return fut

    def _report_failure(self, name: str, fut: Future) -> None:
        exc = None if fut.cancelled() else fut.exception()
        if exc is not None:
            self._supervisor.report(name, exc)


def _reason(exc: BaseException) -> str:
    """Return an exception's type and text; unlike repr(), this never raises."""
    lines = traceback.format_exception_only(exc)
    return " ".join(line.strip() for line in lines)[:MAX_REASON_CHARS]


def _location(exc: BaseException) -> str:
    """Return the innermost calls in which an exception was raised, the last one at the end."""
    frames = deque(traceback.walk_tb(exc.__traceback__), maxlen=MAX_FRAMES)
    return ">".join(f"{frame.f_code.co_qualname}:{line}" for frame, line in frames)


def _source(context: dict[str, object]) -> str:
    """Return a name for what failed in the context of an event loop's exception handler."""
    task = context.get("task") or context.get("future")
    if isinstance(task, asyncio.Task):
        return _name_of(task.get_coro())
    if "protocol" in context:
        return type(context["protocol"]).__name__
    callback = getattr(context.get("handle"), "_callback", None)
    return _name_of(callback) if callback else "event_loop"


def _name_of(work: object) -> str:
    if isinstance(work, partial):
        return _name_of(work.func)
    return getattr(work, "__qualname__", "") or type(work).__name__
