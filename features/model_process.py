"""Processes of a model that freeze and end between any two steps, in virtual time."""

import asyncio
import contextvars
import heapq
from dataclasses import dataclass, field

from features.virtual_time import VirtualTimeLoop

_PROCESS = contextvars.ContextVar("process", default=None)


@dataclass(kw_only=True, eq=False)
class Process:
    """A process. While it is frozen it runs nothing; once it has ended it never does again."""

    frozen: bool = False
    ended: bool = False
    held: list = field(default_factory=list)
    context: contextvars.Context = field(default_factory=contextvars.copy_context)

    def __post_init__(self):
        """Let what runs in the context belong to this process."""
        self.context.run(_PROCESS.set, self)

    def spawn(self, coroutine):
        """Run a coroutine as a task of this process."""
        return asyncio.get_running_loop().create_task(coroutine, context=self.context.copy())

    def call(self, function):
        """Call a function; the tasks that it creates belong to this process."""
        return self.context.copy().run(function)

    def thaw(self):
        """Run what was held back."""
        self.frozen = False
        held, self.held = self.held, []
        asyncio.get_running_loop()._ready.extend(held)


class ProcessLoop(VirtualTimeLoop):
    """A loop that holds back the callbacks of frozen processes, and drops those of ended ones."""

    def __init__(self):
        """Start without processes."""
        super().__init__()
        self.outside = contextvars.Context()  # what belongs to no process
        self._ended = []

    def call_outside(self, seconds, function, *args):
        """Call a function after a time, whatever becomes of the process that asks for it."""
        return self.call_later(seconds, function, *args, context=self.outside)

    def release(self):
        """Let tasks of ended processes run, so that they can be cancelled."""
        ended, self._ended = self._ended, None
        self._ready.extend(ended)

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._virtual_now = max(self._virtual_now, self._scheduled[0].when())
        while self._scheduled and self._scheduled[0].when() <= self._virtual_now:
            timer = heapq.heappop(self._scheduled)
            timer._scheduled = False
            if timer.cancelled():
                self._timer_cancelled_count -= 1
            else:
                self._ready.append(timer)
        runnable = [h for h in self._ready if not self._hold(h)]
        self._ready.clear()
        self._ready.extend(runnable)
        if runnable:
            super()._run_once()

    def _hold(self, handle):
        process = handle._context.get(_PROCESS)
        if process is None or self._ended is None:
            return False
        if process.ended:
            self._ended.append(handle)
        elif process.frozen:
            process.held.append(handle)
        return process.ended or process.frozen
